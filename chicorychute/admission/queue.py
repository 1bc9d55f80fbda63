"""Admits requests to one upstream by rank, within its slots."""

from collections import deque

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Reason

QUEUE_LIMIT_PER_SLOT = 100
URGENCY_STEP = 16.0  # weight ratio between neighbouring priorities


@attrs.frozen
class RankPolicy:
    """Cells of the table that the queue needs for one rank."""

    rank: str
    priority: int
    share: float


@attrs.frozen(eq=False)
class Ticket:
    """Place of one request in the queue.

    Attributes
    ----------
    deadline_s : float
        Reading of the gate's clock after which the answer is worthless.
    """

    rank: str
    deadline_s: float


@attrs.frozen
class Granted:
    """The request holds a slot and must be run, then released."""

    ticket: Ticket


@attrs.frozen
class Queued:
    """The request waits for a slot."""

    ticket: Ticket


@attrs.frozen
class Refused:
    """The request was turned away before any byte was sent."""

    ticket: Ticket
    reason: Reason


Decision = Granted | Queued | Refused


class UpstreamQueue:
    """Slots of one upstream and the requests waiting for them.

    Parameters
    ----------
    slots : int
        Requests that the upstream runs at a time.
    policies : iterable of RankPolicy
        One for each rank of the service.
    """

    def __init__(self, slots: int, policies: tuple[RankPolicy, ...], clock: Clock):
        self._clock = clock
        self._waiting_by_rank: dict[str, deque[Ticket]] = {}
        self._credit_by_rank: dict[str, float] = {}
        self._queued = 0
        self.in_flight = 0
        self.configure(slots, policies)

    @property
    def queued(self) -> int:
        """Requests waiting for a slot."""
        return self._queued

    def configure(self, slots: int, policies: tuple[RankPolicy, ...]) -> None:
        """Take the cells of a new table; waiting requests stay in place."""
        self.slots = slots
        self._policy_by_rank = {policy.rank: policy for policy in policies}
        for policy in policies:
            self._waiting_by_rank.setdefault(policy.rank, deque())
            self._credit_by_rank.setdefault(policy.rank, 0.0)

    def submit(self, ticket: Ticket) -> Decision:
        """Grant a slot, queue the request or refuse it."""
        if ticket.rank not in self._policy_by_rank:
            return Refused(ticket, Reason.NO_ROUTE)
        if self._clock.monotonic() >= ticket.deadline_s:
            return Refused(ticket, Reason.DEADLINE)
        if self.in_flight < self.slots and not self._queued:
            self.in_flight += 1
            return Granted(ticket)
        waiting = self._waiting_by_rank[ticket.rank]
        if len(waiting) >= self.slots * QUEUE_LIMIT_PER_SLOT:
            return Refused(ticket, Reason.OVERLOAD)
        waiting.append(ticket)
        self._queued += 1
        return Queued(ticket)

    def release(self) -> list[Decision]:
        """Return one slot; returns the grants and refusals that follow."""
        self.in_flight -= 1
        return self.advance()

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting request; returns False if it no longer waits."""
        waiting = self._waiting_by_rank.get(ticket.rank, deque())
        if ticket not in waiting:
            return False
        waiting.remove(ticket)
        self._queued -= 1
        return True

    def advance(self) -> list[Decision]:
        """Drop requests past their deadline and fill free slots by rank."""
        decisions: list[Decision] = list(self._expire())
        while self._queued and self.in_flight < self.slots:
            waiting = self._waiting_by_rank[self._next_rank()]
            self._queued -= 1
            self.in_flight += 1
            decisions.append(Granted(waiting.popleft()))
        return decisions

    def _expire(self) -> list[Refused]:
        now = self._clock.monotonic()
        expired = []
        for waiting in self._waiting_by_rank.values():
            late = [ticket for ticket in waiting if now >= ticket.deadline_s]
            for ticket in late:
                waiting.remove(ticket)
                expired.append(Refused(ticket, Reason.DEADLINE))
        self._queued -= len(expired)
        return expired

    def _next_rank(self) -> str:
        """Return the rank whose guaranteed share is most overdue, else the first.

        Each grant credits every waiting rank by its share and debits the rank
        served; a rank with a credit of one whole slot goes before its turn.
        """
        waiting = [rank for rank, queue in self._waiting_by_rank.items() if queue]
        for rank in waiting:
            self._credit_by_rank[rank] += self._policy_by_rank[rank].share
        overdue = [rank for rank in waiting if self._credit_by_rank[rank] >= 1]
        if overdue:
            rank = max(overdue, key=self._credit_by_rank.__getitem__)
        else:
            rank = min(waiting, key=lambda r: self._policy_by_rank[r].priority)
        self._credit_by_rank[rank] = max(0.0, self._credit_by_rank[rank] - 1)
        return rank
