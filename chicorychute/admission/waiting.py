"""Waiting requests of one rank: those that can still meet their target come first.

Load pattern: for some seconds more work than there are slots, with requests that may
wait for several times their target. In the order of arrival every request waits until
its answer is late, though the slots could answer most of them in time. Here a request
that can't meet its target any more gives way to those that can. It is served once none
of them waits, or refused as soon as it is not expected to meet its deadline.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Protocol


class Waiting(Protocol):
    """Request that waits.

    Attributes
    ----------
    target_s : float
        Time until which its answer is wanted.
    deadline_s : float
        Time after which its answer is worthless.
    """

    target_s: float
    deadline_s: float


class RankWaiting:
    """Requests of one rank in the order in which they are served."""

    def __init__(self) -> None:
        self._on_time: OrderedDict[Waiting, None] = OrderedDict()
        self._late: OrderedDict[Waiting, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late)

    def __contains__(self, ticket: Waiting) -> bool:
        return ticket in self._on_time or ticket in self._late

    def __iter__(self) -> Iterator[Waiting]:
        yield from self._on_time
        yield from self._late

    @property
    def late(self) -> int:
        """Number of requests that can't meet their target any more."""
        return len(self._late)

    def add(self, ticket: Waiting, is_late: bool) -> None:
        """Add a request; one that is late already goes behind all others."""
        (self._late if is_late else self._on_time)[ticket] = None

    def remove(self, ticket: Waiting) -> None:
        """Remove a request."""
        if self._on_time.pop(ticket, self) is self:
            del self._late[ticket]

    def demote_late(self, end_s: float) -> None:
        """Put requests behind the others whose answer would be late.

        Parameters
        ----------
        end_s : float
            Time until which a request that starts now takes.
        """
        while self._on_time:
            ticket = next(iter(self._on_time))
            if end_s <= ticket.target_s:
                break
            del self._on_time[ticket]
            self._late[ticket] = None

    def expected_misses(
        self, now_s: float, service_s: float, interval_s: float
    ) -> list[Waiting]:
        """Return the late requests that are not expected to meet their deadline.

        Parameters
        ----------
        service_s : float
            Time that a request takes once it has started.
        interval_s : float
            Expected time between the starts of two late requests.
        """
        misses = []
        start_s = now_s
        for ticket in self._late:
            if start_s + service_s > ticket.deadline_s:
                misses.append(ticket)
            else:
                start_s += interval_s
        return misses

    def oldest_late(self) -> Waiting | None:
        """Return the late request that has waited longest, None if none is late."""
        return next(iter(self._late), None)
