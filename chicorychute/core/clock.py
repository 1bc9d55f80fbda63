"""Clock interface, and a clock that is advanced by hand."""

from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time for every decision."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def utc(self) -> datetime:
        """Return the wall clock, for logs and incarnations only."""


class ManualClock:
    """Clock for replay and tests.

    Parameters
    ----------
    start : datetime, optional
        Wall clock at monotonic second zero.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._start = start
        self._elapsed_s = 0.0

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed_s

    def utc(self) -> datetime:
        """Return the start moved forward by the seconds advanced."""
        return self._start + timedelta(seconds=self._elapsed_s)

    def advance(self, seconds: float) -> None:
        """Move time forward by `seconds`.

        Raises
        ------
        ValueError
            If `seconds` is negative.
        """
        if seconds < 0:
            raise ValueError(f"can't advance by {seconds} s: pass zero or more seconds")
        self._elapsed_s += seconds
