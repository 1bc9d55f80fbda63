"""Queue that admits requests to one upstream by rank, within its slots."""

import heapq
import itertools
import math
from collections.abc import Iterable

import attrs

from chicorychute.admission.ranks import RankOrder, RankPolicy, RankState
from chicorychute.admission.waiting import RankWaiting
from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Reason

__all__ = [
    "Decision",
    "Granted",
    "Queued",
    "RankPolicy",
    "Refused",
    "Ticket",
    "UpstreamQueue",
]

QUEUE_LIMIT_PER_SLOT = 100
# Fraction of the slots that late requests may expect to get while others can be in
# time, as a rank does in a flood of others.
LATE_SLOT_FRACTION = 0.1
# Deadlines of tickets that no longer wait, kept before the heap is rebuilt.
STALE_DEADLINE_LIMIT = 64


@attrs.frozen(eq=False)
class Ticket:
    """Request to be admitted by the queue.

    Attributes
    ----------
    deadline_s : float
        Time on the gate's clock after which the answer is worthless.
    team : str
        Team that sent the request, empty where it named none.
    alone : bool
        Whether no other request may run at the same time.
    fingerprint : str
        Hash that the same request has again when it is repeated.
    may_wait : bool
        Whether it may wait for a slot, or be sent to an upstream at risk.
    repeatable : bool
        Whether the request may run more than once.
    target_s : float
        Time on the gate's clock until which the answer is wanted.
    """

    rank: str
    deadline_s: float
    team: str = ""
    alone: bool = False
    fingerprint: str = ""
    may_wait: bool = True
    repeatable: bool = True
    target_s: float = math.inf


@attrs.frozen
class Granted:
    """The request occupies a slot; it must be run, then released."""

    ticket: Ticket


@attrs.frozen
class Queued:
    """The request waits for a slot."""

    ticket: Ticket


@attrs.frozen
class Refused:
    """The request was refused before any byte of it was sent."""

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
    order : RankOrder, optional
        Chooses among the ranks.

    Attributes
    ----------
    limit : int
        Slots that may be in use, fewer than `slots` while the upstream sheds or
        slows.
    """

    def __init__(
        self,
        slots: int,
        policies: Iterable[RankPolicy],
        clock: Clock,
        order: RankOrder | None = None,
    ):
        self._clock = clock
        self._order = RankOrder() if order is None else order
        self._waiting_by_rank: dict[str, RankWaiting] = {}
        self._displaced: list[Refused] = []
        self._granted_s_by_ticket: dict[Ticket, float] = {}
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._sequence = itertools.count()
        self._queued = 0
        self._running_alone: Ticket | None = None
        self.in_flight = 0
        self.configure(slots, policies)

    @property
    def queued(self) -> int:
        """Requests waiting for a slot."""
        return self._queued

    def wait_s(self, rank: str) -> float:
        """Return the wait in seconds predicted for a request of `rank` arriving now."""
        if rank not in self._order.by_rank:
            return 0.0
        return self._order.wait_s(rank, self.limit)

    def next_free_slot_s(self) -> float:
        """Return the estimated time in seconds until a slot is free, 0 if one is."""
        if self.in_flight < self.limit:
            return 0.0
        busy = [s for s in self._order.by_rank.values() if s.running]
        running = sum(state.running for state in busy)
        total_s = sum(state.running * state.service.mean_s for state in busy)
        return total_s / running / (self.in_flight + 1) if running else 0.0

    def configure(self, slots: int, policies: Iterable[RankPolicy]) -> None:
        """Apply the slots and ranks of a new table.

        Requests that wait in a removed rank keep their position. If the table has no
        rank of the service any more, `advance` refuses them.
        """
        self.slots = self.limit = slots
        self._order.configure(policies)
        by_rank = self._order.by_rank
        self._waiting_by_rank = {
            rank: self._waiting_by_rank.get(rank, RankWaiting()) for rank in by_rank
        }

    def resolve(self, rank: str) -> str:
        """Return the rank under which a request is served."""
        return self._order.resolve(rank)

    def submit(self, ticket: Ticket) -> Decision:
        """Grant a slot, queue the request or refuse it."""
        now_s = self._clock.monotonic()
        if ticket.rank not in self._order.by_rank or not self._order.current_ranks:
            return Refused(ticket, Reason.NO_UPSTREAM)
        self._order.record_arrival(ticket.rank, now_s, self.limit)
        if now_s >= ticket.deadline_s:
            return Refused(ticket, Reason.DEADLINE)
        if self._has_room(ticket) and not self._ready_ranks():
            self._grant(ticket, now_s)
            return Granted(ticket)
        if not ticket.may_wait:
            return Refused(ticket, Reason.NO_FREE_SLOT)
        if self._too_late_if_queued(ticket, now_s) and not self._displace(
            ticket, now_s
        ):
            return Refused(ticket, Reason.OVERLOAD)
        self._enqueue(ticket, now_s)
        return Queued(ticket)

    def _displace(self, ticket: Ticket, now_s: float) -> bool:
        """Refuse a late request of the same rank instead of one that is not late.

        The next `advance` returns the refusal.
        """
        self._demote_late(now_s)
        waiting = self._waiting_by_rank[ticket.rank]
        displaced = waiting.oldest_late()
        if displaced is None or self._is_late(ticket, now_s):
            return False
        self._remove(displaced)
        self._displaced.append(Refused(displaced, Reason.OVERLOAD))
        return True

    def release(self, ticket: Ticket | None = None) -> list[Decision]:
        """Release one slot; return the grants and refusals that follow.

        Parameters
        ----------
        ticket : Ticket, optional
            Request that occupied the slot; its service time is recorded.
        """
        self.in_flight -= 1
        granted_s = self._granted_s_by_ticket.pop(ticket, None)
        state = None if ticket is None else self._order.by_rank.get(ticket.rank)
        if granted_s is not None and state is not None:
            now_s = self._clock.monotonic()
            state.running = max(0, state.running - 1)
            state.service.observe(now_s - granted_s, now_s)
        if ticket is not None and ticket is self._running_alone:
            self._running_alone = None
        return self.advance()

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting request; return False if it no longer waits."""
        if not self._is_waiting(ticket):
            return False
        self._remove(ticket)
        return True

    def evict(self, reason: Reason) -> list[Decision]:
        """Refuse every waiting request, so that it can be sent to another upstream."""
        waiting = [t for queue in self._waiting_by_rank.values() for t in queue]
        for ticket in waiting:
            self._remove(ticket)
        return [Refused(ticket, reason) for ticket in waiting]

    def advance(self) -> list[Decision]:
        """Refuse requests past their deadline and fill free slots by rank."""
        now_s = self._clock.monotonic()
        decisions: list[Decision] = list(self._displaced)
        self._displaced.clear()
        if not self._order.current_ranks:
            decisions += self.evict(Reason.NO_UPSTREAM)
        decisions += self._expire(now_s)
        self._order.refresh(now_s, self.limit)
        self._demote_late(now_s)
        decisions += self._refuse_expected_misses(now_s)
        while self.in_flight < self.limit and self._running_alone is None:
            ranks = self._ready_ranks()
            if not ranks:
                break
            ticket = next(iter(self._waiting_by_rank[self._order.choose(ranks)]))
            if ticket.alone and self.in_flight:
                break
            self._remove(ticket)
            if self._too_late_if_run(ticket, now_s):
                decisions.append(Refused(ticket, Reason.DEADLINE))
                continue
            self._grant(ticket, now_s)
            decisions.append(Granted(ticket))
        return decisions

    def _has_room(self, ticket: Ticket) -> bool:
        if self.in_flight >= self.limit or self._running_alone is not None:
            return False
        if ticket.alone and self.in_flight:
            return False
        return self._below_cap(ticket.rank)

    def _below_cap(self, rank: str) -> bool:
        state = self._order.by_rank[rank]
        return not state.policy.slots or state.running < state.policy.slots

    def _ready_ranks(self) -> list[str]:
        if not self._queued:
            return []
        return [
            rank
            for rank in self._order.by_rank
            if self._waiting_by_rank[rank] and self._below_cap(rank)
        ]

    def _enqueue(self, ticket: Ticket, now_s: float) -> None:
        waiting = self._waiting_by_rank[ticket.rank]
        waiting.add(ticket, self._is_late(ticket, now_s))
        state = self._order.by_rank[ticket.rank]
        state.waiting += 1
        state.late = waiting.late
        self._queued += 1
        deadline = (ticket.deadline_s, next(self._sequence), ticket)
        heapq.heappush(self._deadlines, deadline)

    def _remove(self, ticket: Ticket) -> None:
        waiting = self._waiting_by_rank[ticket.rank]
        waiting.remove(ticket)
        self._queued -= 1
        state = self._order.by_rank.get(ticket.rank)
        if state is not None:
            state.waiting -= 1
            state.late = waiting.late
        if len(self._deadlines) > 2 * self._queued + STALE_DEADLINE_LIMIT:
            self._deadlines = [
                item for item in self._deadlines if self._is_waiting(item[2])
            ]
            heapq.heapify(self._deadlines)

    def _is_waiting(self, ticket: Ticket) -> bool:
        return ticket in self._waiting_by_rank.get(ticket.rank, ())

    def _demote_late(self, now_s: float) -> None:
        """Let requests whose answer would be late give way within their ranks."""
        if not self._queued:
            return
        for rank, state in self._order.by_rank.items():
            waiting = self._waiting_by_rank[rank]
            waiting.demote_late(now_s + state.service.upper_estimate_s(now_s))
            state.late = waiting.late

    def _refuse_expected_misses(self, now_s: float) -> list[Decision]:
        """Refuse late requests that are not expected to start in time.

        Their entries learn that they have not run while there is time to say so.
        """
        refused: list[Decision] = []
        for rank, state in self._order.by_rank.items():
            if state.late:
                slots = max(self.limit, 1) * self._late_slot_fraction(state)
                misses = self._waiting_by_rank[rank].expected_misses(
                    now_s, state.service.upper_estimate_s(now_s), state.cost_s / slots
                )
                for ticket in misses:
                    self._remove(ticket)
                    refused.append(Refused(ticket, Reason.OVERLOAD))
        return refused

    def _late_slot_fraction(self, state: RankState) -> float:
        """Return the fraction of the slots that late requests of a rank may expect.

        Where an upstream is slower than the target, all requests are late and give way
        to none.
        """
        if state.waiting > state.late:
            return LATE_SLOT_FRACTION
        rank_fraction = self._order.slot_fraction(state.policy.rank)
        return max(rank_fraction, LATE_SLOT_FRACTION)

    def _is_late(self, ticket: Ticket, now_s: float) -> bool:
        service = self._order.by_rank[ticket.rank].service
        return now_s + service.upper_estimate_s(now_s) > ticket.target_s

    def _grant(self, ticket: Ticket, now_s: float) -> None:
        self.in_flight += 1
        self._order.by_rank[ticket.rank].running += 1
        self._order.record_grant(ticket.rank)
        self._granted_s_by_ticket[ticket] = now_s
        if ticket.alone:
            self._running_alone = ticket

    def _too_late_if_queued(self, ticket: Ticket, now_s: float) -> bool:
        state = self._order.by_rank[ticket.rank]
        if state.waiting >= max(self.slots, 1) * QUEUE_LIMIT_PER_SLOT:
            return True
        wait_s = self._order.backlog_s(ticket.rank, self.limit)
        return (
            now_s + wait_s + state.service.upper_estimate_s(now_s) > ticket.deadline_s
        )

    def _too_late_if_run(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether the answer would be late while others could use the slot."""
        if not self.in_flight:
            return False
        service = self._order.by_rank[ticket.rank].service
        return now_s + service.upper_estimate_s(now_s) > ticket.deadline_s

    def _expire(self, now_s: float) -> list[Decision]:
        expired: list[Decision] = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            ticket = heapq.heappop(self._deadlines)[2]
            if self._is_waiting(ticket):
                self._remove(ticket)
                expired.append(Refused(ticket, Reason.DEADLINE))
        return expired
