"""Settings object of one daemon and its reader."""

import configparser
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from chicorychute.conf import defaults
from chicorychute.conf.defaults import Key
from chicorychute.conf.exceptions import SettingFault


@attrs.frozen
class UpstreamSettings:
    """One upstream beside the daemon."""

    id: str
    service: str
    url: str
    probe: str = ""


@attrs.frozen
class Settings:
    """Checked settings, read as ``settings.get(section, name)``."""

    value_by_key: dict[tuple[str, str], Any]
    upstreams: tuple[UpstreamSettings, ...]

    def get(self, section: str, name: str) -> Any:
        """Return the value of one key.

        Raises
        ------
        KeyError
            If no such key is defined.
        """
        return self.value_by_key[section, name]


def read_settings(path: Path) -> Result[Settings, list[SettingFault]]:
    """Read and check the INI file at `path`, reporting all faults at once."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text("utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        problem = f"can't be read ({error.__class__.__name__}: {error})"
        hint = "name a readable INI file in UTF-8"
        fault = SettingFault("conf.E001", str(path), "", "", str(path), problem, hint)
        return Err([fault])
    return _Reader(str(path), parser).read()


class _Reader:
    """Collects values and faults of one parsed file."""

    def __init__(self, file: str, parser: configparser.ConfigParser):
        self._file = file
        self._parser = parser
        self._faults: list[SettingFault] = []

    def read(self) -> Result[Settings, list[SettingFault]]:
        """Return the settings, or every fault."""
        sections = {key.section for key in defaults.KEYS}
        values: dict[tuple[str, str], Any] = {}
        for section in sections:
            keys = [key for key in defaults.KEYS if key.section == section]
            found = self._read_section(section, keys)
            values.update({(section, name): value for name, value in found.items()})
        upstreams = []
        for section in self._parser.sections():
            if section.startswith(defaults.UPSTREAM_SECTION_PREFIX):
                upstreams.append(self._read_upstream(section))
            elif section not in sections:
                hint = "remove it or correct its name"
                self._fault("conf.E002", section, "", "", "is not a section", hint)
        if self._faults:
            return Err(self._faults)
        return Ok(Settings(values, tuple(upstreams)))

    def _read_upstream(self, section: str) -> UpstreamSettings | None:
        name = section.removeprefix(defaults.UPSTREAM_SECTION_PREFIX)
        found = self._read_section(section, defaults.UPSTREAM_KEYS)
        if len(found) < len(defaults.UPSTREAM_KEYS):
            return None
        return UpstreamSettings(name, found["service"], found["url"], found["probe"])

    def _read_section(self, section: str, keys: Iterable[Key]) -> dict[str, Any]:
        key_by_name = {key.name: key for key in keys}
        given = self._parser[section] if self._parser.has_section(section) else {}
        for name in given:
            if name not in key_by_name:
                hint = f"use one of {', '.join(key_by_name)}"
                self._fault(
                    "conf.E003", section, name, given[name], "is not a known key", hint
                )
        found = {}
        for name, key in key_by_name.items():
            if name not in given:
                if key.default is defaults.REQUIRED:
                    hint = f"set it to {key.accepts}"
                    self._fault("conf.E004", section, name, "", "is missing", hint)
                else:
                    found[name] = key.default
                continue
            try:
                found[name] = key.read(given[name].strip())
            except ValueError:
                hint = f"use {key.accepts}"
                self._fault(
                    "conf.E005", section, name, given[name], "is not accepted", hint
                )
        return found

    def _fault(
        self, id: str, section: str, key: str, value: str, problem: str, hint: str
    ) -> None:
        self._faults.append(
            SettingFault(id, self._file, section, key, value, problem, hint)
        )
