"""Gate of the upstreams beside the daemon: the only way to them."""

import statistics
import threading
from collections.abc import Callable, Iterable, Iterator

import attrs

from chicorychute.admission.quarantine import Quarantine, fingerprint
from chicorychute.admission.queue import (
    Decision,
    Queued,
    Ticket,
)
from chicorychute.admission.queue import (
    Refused as QueueRefused,
)
from chicorychute.conf.settings import UpstreamSettings
from chicorychute.core.clock import Clock
from chicorychute.core.messages import (
    QuarantineNotice,
    UpstreamDigest,
    Verdict,
    Work,
)
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.health.judge import Observation, Result, UpstreamJudge
from chicorychute.pipeline.values import Answer, AnswerBroken, Refused, Reply
from chicorychute.services.slots import UpstreamSlots
from chicorychute.services.workers import WorkerPool
from chicorychute.table.rows import Table
from chicorychute.telemetry.tracing import Tracing
from chicorychute.transport.calls import UpstreamCall, is_listening, tracked
from chicorychute.transport.upstream import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamFailure,
)

POOL_THREADS = 256
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503

Starter = Callable[[Decision], None]


@attrs.define
class _Upstream:
    settings: UpstreamSettings
    slots: UpstreamSlots
    judge: UpstreamJudge
    client: UpstreamClient
    telling: threading.Lock = attrs.field(factory=threading.Lock)


class GateService:
    """Runs requests at the local upstreams, by rank and within their slots.

    Parameters
    ----------
    peer_digests : callable
        Returns the digests of a service's upstreams elsewhere.
    quarantine : Quarantine
        Requests that crashed upstreams.
    tell : callable
        Sends notices of crashes to every peer.
    """

    def __init__(
        self,
        upstreams: Iterable[UpstreamSettings],
        clock: Clock,
        tracing: Tracing,
        peer_digests: Callable[[str], list[UpstreamDigest]],
        quarantine: Quarantine,
        tell: Callable[[tuple[QuarantineNotice, ...]], None],
    ):
        self._clock = clock
        self._tracing = tracing
        self._peer_digests = peer_digests
        self._quarantine = quarantine
        self._tell = tell
        self._lock = threading.Lock()
        self._starter_by_ticket: dict[Ticket, Starter] = {}
        self._pool = WorkerPool("gate", POOL_THREADS)
        self._upstream_by_id = {
            settings.id: _Upstream(
                settings,
                UpstreamSlots(settings.id, clock, quarantine),
                UpstreamJudge(clock),
                UpstreamClient(settings.url, POOL_THREADS),
            )
            for settings in upstreams
        }

    def apply(self, table: Table) -> None:
        """Take the cells of a new table."""
        with self._lock:
            for upstream in self._upstream_by_id.values():
                rows = table.by_service.get(upstream.settings.service, ())
                upstream.slots.configure(rows)
                upstream.judge.sensitivity = max(
                    (row.sensitivity for row in rows), default=1.0
                )

    def digests(self) -> tuple[UpstreamDigest, ...]:
        """Return load and health of every local upstream."""
        with self._lock:
            return tuple(
                UpstreamDigest(
                    upstream.settings.id,
                    upstream.settings.service,
                    upstream.judge.verdict(),
                    upstream.slots.slots,
                    upstream.slots.in_flight,
                    upstream.slots.queued,
                    upstream.judge.latency_s * 1000,
                    upstream.judge.failure_share,
                    upstream.slots.weight,
                    waits=upstream.slots.waits(),
                )
                for upstream in self._upstream_by_id.values()
            )

    def reason_of(self, upstream_id: str) -> str:
        """Return why an upstream was ejected, empty if it was not."""
        return self._upstream_by_id[upstream_id].judge.reason

    def idle(self) -> bool:
        """Return whether no request runs or waits."""
        with self._lock:
            return not any(u.slots.busy for u in self._upstream_by_id.values())

    def tick(self) -> None:
        """Drop and cancel requests past their deadline."""
        for upstream in self._upstream_by_id.values():
            with self._lock:
                decisions = upstream.slots.advance()
            self._deliver(decisions)

    def ticket(
        self, upstream_id: str, work: Work, body: bytes, deadline_s: float
    ) -> Ticket:
        """Return the ticket with which a request asks for a slot."""
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            return Ticket(work.rank, deadline_s, work.team)
        mark = fingerprint(work.service, work.method, work.target, body)
        with self._lock:
            return upstream.slots.ticket(work.rank, deadline_s, work.team, mark)

    def submit(self, upstream_id: str, ticket: Ticket, starter: Starter) -> None:
        """Ask for a slot; `starter` is called once with the decision, maybe later."""
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            starter(QueueRefused(ticket, Reason.NO_UPSTREAM))
            return
        with self._lock:
            decision = upstream.slots.submit(ticket)
            if isinstance(decision, Queued):
                self._starter_by_ticket[ticket] = starter
                return
        starter(decision)

    def cancel(self, upstream_id: str, ticket: Ticket, call: UpstreamCall) -> None:
        """Withdraw a request: it is refused if it waits, else its send is cut."""
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            return
        with self._lock:
            waited = upstream.slots.cancel(ticket)
            starter = self._starter_by_ticket.pop(ticket) if waited else None
        if starter is None:
            call.cancel()
        else:
            starter(QueueRefused(ticket, Reason.CANCELLED))

    def on_notice(self, notice: QuarantineNotice) -> None:
        """Take a crash seen at a peer."""
        with self._lock:
            self._quarantine.on_notice(notice)

    def notices(self) -> tuple[QuarantineNotice, ...]:
        """Return every crash that still counts."""
        with self._lock:
            return self._quarantine.notices()

    def in_pool(self, run: Callable[[], None]) -> None:
        """Run a granted request on a thread of the gate."""
        self._pool.submit(run)

    def run(
        self,
        upstream_id: str,
        ticket: Ticket,
        work: Work,
        body: bytes,
        call: UpstreamCall,
    ) -> Reply:
        """Send a granted request to its upstream and release its slot at the end."""
        upstream = self._upstream_by_id[upstream_id]
        with self._lock:
            refusal = upstream.slots.start(ticket, call)
            decisions = [] if refusal is None else upstream.slots.drop(ticket)
        if refusal is not None:
            self._deliver(decisions)
            return Refused(Outcome.NOT_RUN, refusal)
        started_s = self._clock.monotonic()
        with self._tracing.span("upstream", work.traceparent) as traceparent:
            work = attrs.evolve(work, traceparent=traceparent)
            try:
                with tracked(call):
                    answer = upstream.client.send(
                        work, body, ticket.deadline_s - started_s
                    )
            except UpstreamFailure as failure:
                self._note_failure(upstream, ticket, call, failure)
                result = Result.CANCELLED if call.cancelled else Result.FAILED
                self._finish(upstream, ticket, result, started_s)
                return _refusal_of(failure, call)
        head_s = self._clock.monotonic() - started_s
        body = _AnswerBody(
            answer,
            lambda result: self._finish(upstream, ticket, result, started_s, head_s),
        )
        return Answer(answer.status, answer.headers, answer.length, body, upstream_id)

    def _note_failure(
        self,
        upstream: _Upstream,
        ticket: Ticket,
        call: UpstreamCall,
        failure: UpstreamFailure,
    ) -> None:
        """Tell the fleet of a crash before its caller can send the request again."""
        if failure.reason is Reason.UPSTREAM_REFUSED:
            with self._lock:
                upstream.slots.refused()
            return
        lost = failure.reason is Reason.UPSTREAM_LOST and not call.cancelled
        if not lost or is_listening(upstream.settings.url):
            return
        # Every request of one crash waits until the first has told the fleet.
        with upstream.telling:
            with self._lock:
                notices = upstream.slots.crashed(ticket)
            if notices:
                self._tell(notices)

    def _finish(
        self,
        upstream: _Upstream,
        ticket: Ticket,
        result: Result,
        started_s: float,
        head_s: float | None = None,
    ) -> None:
        latency_s = self._clock.monotonic() - started_s
        peers = self._peer_digests(upstream.settings.service)
        peer_latency_s = _median_latency_s(peers)
        with self._lock:
            observation = Observation(ticket.rank, result, latency_s)
            upstream.judge.observe(observation, peer_latency_s)
            match result:
                case Result.OK:
                    upstream.slots.answered(ticket, head_s)
                case Result.SHED:
                    upstream.slots.shed()
            decisions = upstream.slots.finish(ticket, answered=head_s is not None)
        self._deliver(decisions)

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            with self._lock:
                starter = self._starter_by_ticket.pop(decision.ticket)
            starter(decision)


class _AnswerBody:
    """Body of an answer; reports its result once, at its end or on `close`."""

    def __init__(self, answer: UpstreamAnswer, finish: Callable[[Result], None]):
        self._answer = answer
        self._finish = finish
        self._finished = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._answer.chunks)
        except StopIteration:
            self._end(_result_of(self._answer.status))
            raise
        except UpstreamFailure as failure:
            self._end(Result.FAILED)
            raise AnswerBroken(failure.detail) from failure

    def close(self) -> None:
        """Give the rest up; the connection to the upstream is closed."""
        if not self._finished:
            self._answer.close()
            self._end(Result.CANCELLED)

    def _end(self, result: Result) -> None:
        if not self._finished:
            self._finished = True
            self._finish(result)


def _refusal_of(failure: UpstreamFailure, call: UpstreamCall) -> Refused:
    if call.cancelled and failure.outcome is Outcome.UNKNOWN:
        return Refused(Outcome.UNKNOWN, Reason.CANCELLED, failure.detail)
    return Refused(failure.outcome, failure.reason, failure.detail)


def _result_of(status: int) -> Result:
    if status == SERVICE_UNAVAILABLE:
        return Result.SHED
    return Result.FAILED if status >= SERVER_ERROR else Result.OK


def _median_latency_s(digests: list[UpstreamDigest]) -> float:
    known = [
        digest.latency_ms / 1000
        for digest in digests
        if digest.latency_ms > 0 and digest.verdict is Verdict.HEALTHY
    ]
    return statistics.median(known) if known else 0.0
