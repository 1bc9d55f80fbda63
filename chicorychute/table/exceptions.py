"""Faults of the operators' table."""

import attrs


@attrs.frozen
class TableFault:
    """One invalid cell, with its location and the remedy.

    Attributes
    ----------
    id : str
        Error code, ``table.E001`` and so on.
    line : int
        Line of the CSV text, from 1.
    column : str
        Header of the column, empty if the fault concerns the complete row.
    problem : str
        What is wrong, as the end of a sentence that starts with the value.
    hint : str
        What to change.
    """

    id: str
    line: int
    column: str
    value: str
    problem: str
    hint: str

    def __str__(self) -> str:
        location = f"line {self.line}"
        if self.column:
            location += f", column {self.column}"
        value = f"{self.value!r} " if self.value else ""
        return f"{self.id}: {location}: {value}{self.problem}: {self.hint}"
