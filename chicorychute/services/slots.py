"""Slots of one local upstream: who may run, who runs, and what is still held."""

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

REASON_BY_RULING = {
    QuarantineDecision.REFUSED: Reason.QUARANTINED,
    QuarantineDecision.ELSEWHERE: Reason.OVERLOAD,
}


@attrs.frozen
class _RunningRequest:
    call: UpstreamCall
    number: int
    deadline_s: float


class UpstreamSlots:
    """Decides with the queue, the limits and the quarantine; not thread-safe.

    Parameters
    ----------
    quarantine : Quarantine
        Shared by the upstreams of the daemon.
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
        """Requests that the table lets the upstream run at a time."""
        return self._queue.slots

    @property
    def weight(self) -> float:
        """Part of the slots that the limit leaves in use."""
        return self._queue.limit / max(self._queue.slots, 1)

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
        return self._queue.in_flight

    @property
    def queued(self) -> int:
        """Requests waiting for a slot."""
        return self._queue.queued

    @property
    def busy(self) -> bool:
        """Whether a request runs or waits here; held slots keep nobody waiting."""
        return self.in_flight - len(self._abandoned) + self.queued > 0

    def configure(self, rows: Iterable[Row], reported_slots: int = 0) -> None:
        """Take the cells of a new table.

        Parameters
        ----------
        reported_slots : int
            Slots that the upstream itself told, in place of the cells; 0 for none.
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
        """Return the wait predicted for each rank."""
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
    ) -> Ticket:
        """Return the ticket of a request, alone if it is suspected of a crash."""
        alone = self._quarantine.decide(fingerprint) is QuarantineDecision.ALONE
        rank = self._queue.resolve(rank)
        return Ticket(rank, deadline_s, team, alone, fingerprint, may_wait)

    def wait_s(self, rank: str) -> float:
        """Return the wait predicted for a request of a rank that came now.

        With every slot taken, it is no less than the time until one is returned.
        """
        return self._queue.wait_s(rank) + self._queue.next_free_slot_s()

    def submit(self, ticket: Ticket) -> Decision:
        """Grant a slot, queue the request or refuse it."""
        ruling = self._quarantine.decide(ticket.fingerprint)
        if ruling in REASON_BY_RULING:
            return Refused(ticket, REASON_BY_RULING[ruling])
        rate = self._rate_by_rank.get(ticket.rank, 0.0)
        if not self._rates.try_consume(ticket.rank, ticket.team, rate):
            return Refused(ticket, Reason.RATE)
        return self._queue.submit(ticket)

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting request; returns False if it no longer waits."""
        return self._queue.cancel(ticket)

    def advance(self) -> list[Decision]:
        """Return what follows from the time: late work and freed slots."""
        now_s = self._clock.monotonic()
        for run in self._running_by_ticket.values():
            if now_s >= run.deadline_s and not run.call.cancelled:
                run.call.cancel()
        decisions: list[Decision] = []
        for ticket in self._abandoned.pop_ended():
            decisions += self._queue.release(ticket)
        return decisions + self._queue.advance()

    def evict(self) -> list[Decision]:
        """Refuse what waits: the upstream began to fail what it is sent."""
        return self._queue.evict(Reason.UPSTREAM_DOUBTED)

    def start(self, ticket: Ticket, call: UpstreamCall) -> Reason | None:
        """Note that a granted request is about to be sent.

        Returns
        -------
        Reason or None
            Why it may not be sent any more; `release_unsent` must then return its slot.
        """
        if self._clock.monotonic() >= ticket.deadline_s:
            return Reason.DEADLINE
        if call.cancelled:
            return Reason.CANCELLED
        ruling = self._quarantine.decide(ticket.fingerprint)
        if ruling is QuarantineDecision.ALONE and not ticket.alone:
            return Reason.OVERLOAD  # became a suspect while it waited
        if ruling in REASON_BY_RULING:
            return REASON_BY_RULING[ruling]
        number = self._quarantine.record_start(self._upstream, ticket.fingerprint)
        self._running_by_ticket[ticket] = _RunningRequest(
            call, number, ticket.deadline_s
        )
        return None

    def release_unsent(self, ticket: Ticket) -> list[Decision]:
        """Return the slot of a granted request that was not sent."""
        return self._queue.release(ticket)

    def record_crash(self, ticket: Ticket) -> tuple:
        """Note that the upstream is gone; returns the notices for every peer."""
        self._limit.reset_to_min()
        self._queue.limit = self._limit.slots
        number = self._running_by_ticket[ticket].number
        return self._quarantine.record_crash(self._upstream, number)

    def reset_limit(self) -> None:
        """Begin anew for a new start of the upstream."""
        self._limit = AdaptiveLimit(0, self._clock)

    def record_connection_refused(self) -> None:
        """Note that the upstream takes no connections."""
        self._limit.reset_to_min()

    def record_answer(self, ticket: Ticket, service_s: float) -> None:
        """Note a good answer."""
        self._limit.record_answer(ticket.rank, service_s)

    def record_shed(self) -> None:
        """Note that the upstream turned a request away."""
        self._limit.record_shed()

    def finish(self, ticket: Ticket, answered: bool) -> list[Decision]:
        """Note the end of a sent request; its slot is held while it may still run."""
        run = self._running_by_ticket.pop(ticket)
        run.call.detach()
        self._quarantine.record_end(self._upstream, run.number, answered)
        self._queue.limit = self._limit.slots
        connection = run.call.held
        if connection is not None:
            self._abandoned.add(ticket, connection)
            return self.advance()
        return self._queue.release(ticket)


def _policy(row: Row, slots: int) -> RankPolicy:
    cap = row.slots if row.slots < slots else 0
    return RankPolicy(row.rank, row.priority, row.share, cap)
