"""Errors of the settings."""

import attrs


@attrs.frozen
class SettingFault:
    """One bad setting, with its place and the remedy."""

    id: str
    file: str
    section: str
    key: str
    value: str
    problem: str
    hint: str

    def __str__(self) -> str:
        location = self.file
        if self.section:
            location += f": [{self.section}]"
        if self.key:
            location += f" {self.key}"
        value = f"{self.value!r} " if self.value else ""
        return f"{self.id}: {location}: {value}{self.problem}: {self.hint}"
