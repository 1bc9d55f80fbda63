"""Errors of traces and of stated outcomes."""

import attrs


@attrs.frozen
class TraceError(Exception):
    """A file can't be replayed; the message names the line and the remedy."""

    line: int
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.problem}: {self.remedy}"
