"""Takes settings that changed while the daemon runs, told by a signal or not."""

import threading
from collections.abc import Callable
from pathlib import Path

import structlog
from result import Err

from chicorychute.conf.settings import Settings, read_settings

logger = structlog.get_logger()


class SettingsWatch:
    """Compares the settings file with what was read of it last.

    A file with faults is told and changes nothing.

    Parameters
    ----------
    apply : callable
        Takes the new settings, and returns the names of the keys that it put in
        force; the others are told as waiting for the next start.
    """

    def __init__(
        self,
        path: Path | None,
        settings: Settings,
        apply: Callable[[Settings], frozenset[str]],
    ):
        self._path = path
        self._settings = settings
        self._apply = apply
        self._lock = threading.Lock()
        self._text = self._read()

    def poll(self) -> None:
        """Read the settings if the file has changed."""
        if self._path is None:
            return
        with self._lock:
            text = self._read()
            if text is not None and text != self._text:
                self._text = text
                self._reload("the file has changed")

    def on_signal(self) -> None:
        """Read the settings, changed or not."""
        if self._path is None:
            return
        with self._lock:
            self._text = self._read()
            self._reload("a signal")

    def _reload(self, cause: str) -> None:
        outcome = read_settings(self._path)
        if isinstance(outcome, Err):
            faults = [str(fault) for fault in outcome.err_value]
            logger.error("daemon: settings were refused", cause=cause, faults=faults)
            return
        changed = changed_keys(self._settings, outcome.ok_value)
        self._settings = outcome.ok_value
        applied = self._apply(outcome.ok_value) & changed
        logger.info(
            "daemon: settings were read again",
            cause=cause,
            in_force=sorted(applied),
            at_next_start=sorted(changed - applied),
        )

    def _read(self) -> str | None:
        """Return the text of the file; None while it is being replaced."""
        if self._path is None:
            return None
        try:
            return self._path.read_text("utf-8-sig")
        except (OSError, UnicodeDecodeError) as error:
            logger.warning("daemon: settings can't be read", error=str(error))
            return None


def changed_keys(old: Settings, new: Settings) -> frozenset[str]:
    """Return the names of the keys whose values differ, as ``section.key``."""
    keys = old.value_by_key.keys() | new.value_by_key.keys()
    changed = {
        f"{section}.{name}"
        for section, name in keys
        if old.value_by_key.get((section, name))
        != new.value_by_key.get((section, name))
    }
    if old.upstreams != new.upstreams:
        changed.add("upstream")
    return frozenset(changed)
