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
        place = f"{self.file}: [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return f"{self.id}: {place}: {self.value!r} {self.problem}: {self.hint}"
