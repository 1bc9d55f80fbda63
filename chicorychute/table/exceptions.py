"""Errors of the operators' table."""

import attrs


@attrs.frozen
class TableFault:
    """One bad cell, with its place and the remedy.

    Attributes
    ----------
    line : int
        Line of the CSV text, from 1.
    column : str
        Header of the column, empty where the fault is of the whole row.
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
