"""Faults of the settings file."""

import attrs


@attrs.frozen
class SettingFault:
    """One invalid setting, with its location and the remedy.

    Attributes
    ----------
    id : str
        Error code, ``conf.E001`` and so on.
    section, key, value : str
        Empty if the fault concerns the file, the section or a missing key.
    problem : str
        What is wrong, as the end of a sentence that starts with the value.
    hint : str
        What to change.
    """

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
