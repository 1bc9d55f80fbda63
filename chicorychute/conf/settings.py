"""Settings of one daemon, and how they are read from a file."""

import configparser
from collections.abc import Collection, Iterable
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from chicorychute.conf import defaults
from chicorychute.conf.consistency import LISTENERS, UpstreamSettings, check_consistency
from chicorychute.conf.defaults import Key
from chicorychute.conf.exceptions import SettingFault


@attrs.frozen
class Settings:
    """Settings that passed all checks."""

    value_by_key: dict[tuple[str, str], Any]
    upstreams: tuple[UpstreamSettings, ...]

    def get(self, section: str, name: str) -> Any:
        """Return the value of one key.

        Raises
        ------
        KeyError
            If `section` has no key `name`.
        """
        return self.value_by_key[section, name]


def read_settings(path: Path) -> Result[Settings, list[SettingFault]]:
    """Read and check the INI file at `path`.

    Returns
    -------
    Ok of Settings, or Err of every fault found
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(path.read_text("utf-8-sig"), source=str(path))
    except configparser.DuplicateOptionError as error:
        return Err([_duplicate_fault(path, error.section, error.option, error.lineno)])
    except configparser.DuplicateSectionError as error:
        return Err([_duplicate_fault(path, error.section, "", error.lineno)])
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        detail = " ".join(str(error).split())
        problem = f"can't be read ({detail})"
        hint = "name a readable INI file in UTF-8"
        return Err([SettingFault("conf.E001", str(path), "", "", "", problem, hint)])
    return _Reader(str(path), parser).read()


def _duplicate_fault(path: Path, section: str, key: str, line: int) -> SettingFault:
    problem = f"appears twice (line {line})"
    return SettingFault("conf.E006", str(path), section, key, "", problem, "keep one")


class _Reader:
    """Collects the values and faults of one parsed file."""

    def __init__(self, file: str, parser: configparser.ConfigParser):
        self._file = file
        self._parser = parser
        self._faults: list[SettingFault] = []

    def read(self) -> Result[Settings, list[SettingFault]]:
        """Return the settings, or every fault."""
        keys_by_section: dict[str, list[Key]] = {}
        for key in defaults.KEYS:
            keys_by_section.setdefault(key.section, []).append(key)
        values: dict[tuple[str, str], Any] = {}
        for section, keys in keys_by_section.items():
            section_values = self._read_section(section, keys)
            values.update(
                {(section, name): value for name, value in section_values.items()}
            )
        for section in LISTENERS:
            address = values.get((section, "address"))
            if address is not None:
                values[section, "host"], values[section, "port"] = address
        upstreams = self._read_upstreams(keys_by_section.keys())
        faults = [*self._faults, *check_consistency(self._file, values, upstreams)]
        if faults:
            return Err(faults)
        return Ok(Settings(values, upstreams))

    def _read_upstreams(
        self, known_sections: Collection[str]
    ) -> tuple[UpstreamSettings, ...]:
        upstreams = []
        for section in self._parser.sections():
            if section.startswith(defaults.UPSTREAM_SECTION_PREFIX):
                upstream = self._read_upstream(section)
                if upstream is not None:
                    upstreams.append(upstream)
            elif section not in known_sections:
                hint = f"use one of {', '.join(known_sections)} or upstream:ID"
                self._add_fault(
                    "conf.E002", section, "", "", "is not a known section", hint
                )
        if not any(
            section.startswith(defaults.UPSTREAM_SECTION_PREFIX)
            for section in self._parser.sections()
        ):
            hint = "add a section [upstream:ID] with its service and url"
            self._add_fault("conf.E007", "upstream:ID", "", "", "is missing", hint)
        return tuple(upstreams)

    def _read_upstream(self, section: str) -> UpstreamSettings | None:
        name = section.removeprefix(defaults.UPSTREAM_SECTION_PREFIX)
        section_values = self._read_section(section, defaults.UPSTREAM_KEYS)
        if not defaults.is_name(name):
            hint = f"name the upstream with {defaults.NAME_CHARACTERS}"
            self._add_fault(
                "conf.E002", section, "", "", "is not a known section", hint
            )
            return None
        if len(section_values) < len(defaults.UPSTREAM_KEYS):
            return None
        return UpstreamSettings(
            name,
            section_values["service"],
            section_values["url"],
            section_values["probe"],
        )

    def _read_section(self, section: str, keys: Iterable[Key]) -> dict[str, Any]:
        key_by_name = {key.name: key for key in keys}
        given = self._parser[section] if self._parser.has_section(section) else {}
        for name in given:
            if name not in key_by_name:
                hint = f"use one of {', '.join(key_by_name)}"
                self._add_fault(
                    "conf.E003", section, name, given[name], "is not a known key", hint
                )
        section_values = {}
        for name, key in key_by_name.items():
            if name not in given:
                if key.default is defaults.REQUIRED:
                    hint = f"set it to {key.accepts}"
                    self._add_fault("conf.E004", section, name, "", "is missing", hint)
                else:
                    section_values[name] = key.default
                continue
            try:
                section_values[name] = key.read(given[name].strip())
            except ValueError:
                hint = f"use {key.accepts}"
                self._add_fault(
                    "conf.E005", section, name, given[name], "is not accepted", hint
                )
        return section_values

    def _add_fault(
        self, id: str, section: str, key: str, value: str, problem: str, hint: str
    ) -> None:
        self._faults.append(
            SettingFault(id, self._file, section, key, value, problem, hint)
        )
