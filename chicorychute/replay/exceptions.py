"""Errors in traces and in files of stated outcomes."""

import attrs


@attrs.frozen
class TraceError(Exception):
    """A trace or a file of outcomes is invalid; the message names line and remedy."""

    line: int
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.problem}: {self.remedy}"
