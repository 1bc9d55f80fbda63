"""Slots of one local upstream: admitted, running and abandoned requests."""

import math
from collections.abc import Iterable

import attrs

from chicorychute.admission.limit import AdaptiveLimit
from chicorychute.admission.quarantine import Quarantine, QuarantineDecision
from chicorychute.admission.queue import (
    Decision,
    RankPolicy,
    Refused,
    Ticket,
    UpstreamQueue,
)
from chicorychute.admission.rate import TeamRates
from chicorychute.core.clock import Clock
from chicorychute.core.messages import RankWait
from chicorychute.core.outcomes import Reason
from chicorychute.services.abandoned import AbandonedRequests
from chicorychute.table.rows import Row
from chicorychute.transport.calls import UpstreamCall

REASON_BY_DECISION = {
    QuarantineDecision.REFUSED: Reason.QUARANTINED,
    QuarantineDecision.ELSEWHERE: Reason.OVERLOAD,
}


@attrs.frozen
class _RunningRequest:
    call: UpstreamCall
    number: int
    deadline_s: float


class UpstreamSlots:
    """Admits requests by queue, limits and quarantine; not thread-safe.

    Parameters
    ----------
    quarantine : Quarantine
        Shared by all upstreams of the daemon.
    """

    def __init__(self, upstream: str, clock: Clock, quarantine: Quarantine):
        self._upstream = upstream
        self._clock = clock
        self._quarantine = quarantine
        self._queue = UpstreamQueue(0, (), clock)
        self._limit = AdaptiveLimit(0, clock)
        self._rates = TeamRates(clock)
        self._abandoned = AbandonedRequests(upstream, clock)
        self._rate_by_rank: dict[str, float] = {}
        self._running_by_ticket: dict[Ticket, _RunningRequest] = {}

    @property
    def slots(self) -> int:
        """Configured number of requests that the upstream may run at a time."""
        return self._queue.slots

    @property
    def weight(self) -> float:
        """Fraction of the slots that the adaptive limit leaves in use."""
        return self._queue.limit / max(self._queue.slots, 1)

    @property
    def in_flight(self) -> int:
        """Number of requests that occupy a slot."""
        return self._queue.in_flight

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queue.queued

    @property
    def busy(self) -> bool:
        """Whether a request runs or waits; nobody waits for an abandoned one."""
        return self.in_flight - len(self._abandoned) + self.queued > 0

    def configure(self, rows: Iterable[Row], reported_slots: int = 0) -> None:
        """Apply the rows of a new table.

        Parameters
        ----------
        reported_slots : int
            Slots that the upstream itself reported, which override those of the rows;
            0 if it reported none.
        """
        rows = tuple(rows)
        slots = max((row.slots for row in rows), default=0)
        if rows and reported_slots:
            rows = tuple(attrs.evolve(row, slots=reported_slots) for row in rows)
            slots = reported_slots
        self._rate_by_rank = {row.rank: row.team_rate for row in rows}
        self._limit.slots_reported = reported_slots > 0
        self._limit.configure(slots)
        self._queue.configure(slots, [_policy(row, slots) for row in rows])
        self._queue.limit = self._limit.slots

    def waits(self) -> tuple[RankWait, ...]:
        """Return the predicted wait of each rank, in milliseconds."""
        return tuple(
            RankWait(rank, round(self._queue.wait_s(rank) * 1000, 1))
            for rank in self._rate_by_rank
        )

    def ticket(
        self,
        rank: str,
        deadline_s: float,
        team: str,
        fingerprint: str,
        may_wait: bool = True,
        repeatable: bool = True,
        target_s: float = math.inf,
    ) -> Ticket:
        """Return the ticket of a request.

        A request that is suspected of a crash gets a ticket to run alone.
        """
        alone = self._quarantine.decide(fingerprint) is QuarantineDecision.ALONE
        rank = self._queue.resolve(rank)
        return Ticket(
            rank,
            deadline_s,
            team,
            alone,
            fingerprint,
            may_wait,
            repeatable,
            target_s,
        )

    def wait_s(self, rank: str) -> float:
        """Return the predicted wait of a request that arrives now, in seconds.

        With every slot occupied, it is no less than the time until one is released.
        """
        return self._queue.wait_s(rank) + self._queue.next_free_slot_s()

    def submit(self, ticket: Ticket) -> Decision:
        """Grant a slot, queue the request or refuse it."""
        decision = self._quarantine.decide(ticket.fingerprint)
        if decision in REASON_BY_DECISION:
            return Refused(ticket, REASON_BY_DECISION[decision])
        rate = self._rate_by_rank.get(ticket.rank, 0.0)
        if not self._rates.try_consume(ticket.rank, ticket.team, rate):
            return Refused(ticket, Reason.RATE)
        return self._queue.submit(ticket)

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting request; returns False if it no longer waits."""
        return self._queue.cancel(ticket)

    def advance(self) -> list[Decision]:
        """Cancel requests that run past their deadline, and assign slots that are free.

        Returns
        -------
        list of Decision
            Decisions on queued requests that are granted or refused by now.
        """
        now_s = self._clock.monotonic()
        for run in self._running_by_ticket.values():
            if now_s >= run.deadline_s and not run.call.cancelled:
                run.call.cancel()
        decisions: list[Decision] = []
        for ticket in self._abandoned.pop_ended():
            decisions += self._queue.release(ticket)
        return decisions + self._queue.advance()

    def evict(self) -> list[Decision]:
        """Refuse all queued requests, since the upstream fails what it is sent."""
        return self._queue.evict(Reason.UPSTREAM_AT_RISK)

    def start(self, ticket: Ticket, call: UpstreamCall) -> Reason | None:
        """Register a granted request that is about to be sent.

        Returns
        -------
        Reason or None
            Why it may no longer be sent; the caller must then call `release_unsent`.
        """
        if self._clock.monotonic() >= ticket.deadline_s:
            return Reason.DEADLINE
        if call.cancelled:
            return Reason.CANCELLED
        decision = self._quarantine.decide(ticket.fingerprint)
        if decision is QuarantineDecision.ALONE and not ticket.alone:
            return Reason.OVERLOAD  # It became a suspect while it was queued.
        if decision in REASON_BY_DECISION:
            return REASON_BY_DECISION[decision]
        number = self._quarantine.record_start(self._upstream, ticket.fingerprint)
        self._running_by_ticket[ticket] = _RunningRequest(
            call, number, ticket.deadline_s
        )
        return None

    def release_unsent(self, ticket: Ticket) -> list[Decision]:
        """Release the slot of a granted request that was not sent."""
        return self._queue.release(ticket)

    def record_crash(self, ticket: Ticket) -> tuple:
        """Record a crash of the upstream; returns the notices to send to every peer."""
        self._limit.reset_to_min()
        self._queue.limit = self._limit.slots
        number = self._running_by_ticket[ticket].number
        return self._quarantine.record_crash(self._upstream, number)

    def reset_limit(self) -> None:
        """Reset the adaptive limit for a new incarnation of the upstream."""
        self._limit = AdaptiveLimit(0, self._clock)

    def record_connection_refused(self) -> None:
        """Record that the upstream accepts no connections."""
        self._limit.reset_to_min()

    def record_answer(self, ticket: Ticket, service_s: float) -> None:
        """Record a good answer and its service time in seconds."""
        self._limit.record_answer(ticket.rank, service_s)

    def record_shed(self) -> None:
        """Record that the upstream rejected a request because it is busy."""
        self._limit.record_shed()

    def finish(self, ticket: Ticket, answered: bool) -> list[Decision]:
        """Record the end of a sent request.

        Its slot stays occupied while the upstream may still run the request.
        """
        run = self._running_by_ticket.pop(ticket)
        run.call.detach()
        self._quarantine.record_end(self._upstream, run.number, answered)
        self._queue.limit = self._limit.slots
        connection = run.call.abandoned_connection
        if connection is not None:
            self._abandoned.add(ticket, connection)
            return self.advance()
        return self._queue.release(ticket)


def _policy(row: Row, slots: int) -> RankPolicy:
    cap = row.slots if row.slots < slots else 0
    return RankPolicy(row.rank, row.priority, row.share, cap)
