"""Applies changed settings while the daemon runs, with or without a signal."""

import threading
from collections.abc import Callable
from pathlib import Path

import structlog
from result import Err

from chicorychute.conf.settings import Settings, read_settings

logger = structlog.get_logger()


class SettingsWatch:
    """Watches the settings file for changes.

    Faults of the file are logged, and the previous settings stay in force.

    Parameters
    ----------
    apply : callable
        Applies the new settings, and returns the names of the keys that it put into
        force; the others are logged as waiting for the next start.
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
        """Read the settings, whether the file has changed or not."""
        if self._path is None:
            return
        with self._lock:
            self._text = self._read()
            self._reload("a signal")

    def _reload(self, cause: str) -> None:
        parsed = read_settings(self._path)
        if isinstance(parsed, Err):
            faults = [str(fault) for fault in parsed.err_value]
            logger.error(
                "daemon: settings file has faults, previous settings stay in force",
                cause=cause,
                faults=faults,
            )
            return
        changed = changed_keys(self._settings, parsed.ok_value)
        self._settings = parsed.ok_value
        applied = self._apply(parsed.ok_value) & changed
        logger.info(
            "daemon: settings were read again",
            cause=cause,
            in_force=sorted(applied),
            at_next_start=sorted(changed - applied),
        )

    def _read(self) -> str | None:
        """Return the text of the file, None if it can't be read.

        It may be missing for a moment while it is replaced.
        """
        if self._path is None:
            return None
        try:
            return self._path.read_text("utf-8-sig")
        except (OSError, UnicodeDecodeError) as error:
            logger.warning("daemon: settings file can't be read", error=str(error))
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
