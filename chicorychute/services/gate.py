"""Gate of the upstreams beside the daemon: the only way to them."""

import threading
from collections.abc import Callable, Iterable

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
from chicorychute.core.messages import QuarantineNotice, UpstreamDigest, Work
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.health.evidence import BYTES_UNKNOWN, Observation, Result
from chicorychute.health.judge import Attempt, UpstreamJudge
from chicorychute.health.probe import PROBE_RANK, PROBE_TIMEOUT_S, probe_work
from chicorychute.pipeline.values import Answer, Refused, Reply
from chicorychute.services.bodies import (
    AnswerBody,
    failure_of,
    result_of,
    result_of_failure,
)
from chicorychute.services.recorder import NoRecorder
from chicorychute.services.slots import UpstreamSlots
from chicorychute.services.workers import WorkerPool
from chicorychute.table.rows import Table
from chicorychute.telemetry.tracing import Tracing
from chicorychute.transport.calls import UpstreamCall, is_listening, tracked
from chicorychute.transport.upstream import UpstreamClient, UpstreamFailure

POOL_THREADS = 256
BODY_STATUSES = frozenset((200, 201, 203, 206))  # answers that should have a body

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
        recorder: NoRecorder | None = None,
    ):
        self._clock = clock
        self._tracing = tracing
        self._peer_digests = peer_digests
        self._quarantine = quarantine
        self._tell = tell
        self._recorder = recorder or NoRecorder()
        self._lock = threading.Lock()
        self._starter_by_ticket: dict[Ticket, Starter] = {}
        self._pool = WorkerPool("gate", POOL_THREADS)
        self._upstream_by_id = {
            settings.id: _Upstream(
                settings,
                UpstreamSlots(settings.id, clock, quarantine),
                UpstreamJudge(clock, cold=True),
                UpstreamClient(settings.url, POOL_THREADS, clock),
            )
            for settings in upstreams
        }

    def apply(self, table: Table) -> None:
        """Take the cells of a new table."""
        self._recorder.table(table.text)
        with self._lock:
            for upstream in self._upstream_by_id.values():
                rows = table.by_service.get(upstream.settings.service, ())
                upstream.slots.configure(rows)
                upstream.judge.sensitivity = max(
                    (row.sensitivity for row in rows), default=1.0
                )

    def digests(self) -> tuple[UpstreamDigest, ...]:
        """Return load and health of every local upstream."""
        self._compare_with_peers()
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
                    min(upstream.judge.weight, upstream.slots.weight),
                    upstream.judge.suspicion,
                    upstream.judge.rank_digests(),
                    upstream.slots.waits(),
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
        """Drop and cancel late requests, and judge those that run long."""
        for upstream in self._upstream_by_id.values():
            with self._lock:
                upstream.judge.tick()
                verdict = upstream.judge.verdict()
                decisions = upstream.slots.advance()
            id = upstream.settings.id
            self._recorder.verdict(id, verdict, upstream.judge.reason)
            self._deliver(id, decisions)

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
        self._recorder.arrived(upstream_id, ticket.rank, ticket.deadline_s)
        with self._lock:
            decision = upstream.slots.submit(ticket)
            if isinstance(decision, Queued):
                self._starter_by_ticket[ticket] = starter
                return
        self._record_refusal(upstream_id, decision)
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
            refused = QueueRefused(ticket, Reason.CANCELLED)
            self._record_refusal(upstream_id, refused)
            starter(refused)

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
        refusal = self._start(upstream, ticket, call)
        if refusal is not None:
            return Refused(Outcome.NOT_RUN, refusal)
        started_s = self._clock.monotonic()
        with self._lock:
            attempt = upstream.judge.begin(work.rank)
        with self._tracing.span("upstream", work.traceparent) as traceparent:
            work = attrs.evolve(work, traceparent=traceparent)
            try:
                with tracked(call):
                    answer = upstream.client.send(
                        work, body, ticket.deadline_s - started_s
                    )
            except Exception as error:
                failure = failure_of(error)
                latency_s = self._clock.monotonic() - started_s
                self._note_failure(upstream, ticket, call, failure)
                result = result_of_failure(failure, call)
                observation = Observation(work.rank, result, latency_s)
                self._finish(upstream, ticket, attempt, observation)
                return _refusal_of(failure, call)
        with self._lock:
            upstream.judge.answered(attempt)
        head_s = self._clock.monotonic() - started_s
        may_be_empty = work.method == "HEAD" or answer.status not in BODY_STATUSES

        def finish(result: Result, latency_s: float, size: int) -> None:
            seen = BYTES_UNKNOWN if may_be_empty else size
            observation = Observation(work.rank, result, latency_s, seen)
            self._finish(upstream, ticket, attempt, observation, head_s)

        chunks = AnswerBody(answer, call, self._clock, head_s, finish)
        return Answer(answer.status, answer.headers, answer.length, chunks, upstream_id)

    def _start(
        self, upstream: _Upstream, ticket: Ticket, call: UpstreamCall
    ) -> Reason | None:
        """Return why a granted request may not be sent any more, if so."""
        with self._lock:
            refusal = upstream.slots.start(ticket, call)
            decisions = [] if refusal is None else upstream.slots.drop(ticket)
        if refusal is not None:
            id = upstream.settings.id
            self._recorder.refused(id, ticket.rank, ticket.deadline_s)
            self._deliver(id, decisions)
        return refusal

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

    def probe(self) -> None:
        """Ask each upstream whose health no request shows for its probe path."""
        for upstream in self._upstream_by_id.values():
            if not upstream.settings.probe:
                continue
            with self._lock:
                if not upstream.judge.probe_due():
                    continue
                attempt = upstream.judge.begin(PROBE_RANK)
            self.in_pool(lambda u=upstream, a=attempt: self._run_probe(u, a))

    def _run_probe(self, upstream: _Upstream, attempt: Attempt) -> None:
        result = Result.FAILED
        try:
            work = probe_work(upstream.settings.service, upstream.settings.probe)
            answer = upstream.client.send(work, b"", PROBE_TIMEOUT_S)
            for _ in answer.chunks:
                pass
            result = result_of(answer.status)
        except Exception as error:
            failure_of(error)
        latency_s = self._clock.monotonic() - attempt.started_s
        with self._lock:
            upstream.judge.observe(Observation(PROBE_RANK, result, latency_s), attempt)

    def _compare_with_peers(self) -> None:
        for upstream in self._upstream_by_id.values():
            service = upstream.settings.service
            peers = self._peer_digests(service)
            with self._lock:
                upstream.judge.take_peers(peers)
            self._recorder.peers(service, peers)

    def _finish(
        self,
        upstream: _Upstream,
        ticket: Ticket,
        attempt: Attempt,
        observation: Observation,
        head_s: float | None = None,
    ) -> None:
        with self._lock:
            upstream.judge.observe(observation, attempt)
            match observation.result:
                case Result.OK:
                    upstream.slots.answered(ticket, head_s)
                case Result.SHED:
                    upstream.slots.shed()
            decisions = upstream.slots.finish(ticket, answered=head_s is not None)
        self._recorder.ended(upstream.settings.id, ticket.deadline_s, observation)
        self._deliver(upstream.settings.id, decisions)

    def _record_refusal(self, upstream_id: str, decision: Decision) -> None:
        if isinstance(decision, QueueRefused):
            ticket = decision.ticket
            self._recorder.refused(upstream_id, ticket.rank, ticket.deadline_s)

    def _deliver(self, upstream_id: str, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._record_refusal(upstream_id, decision)
            with self._lock:
                starter = self._starter_by_ticket.pop(decision.ticket)
            starter(decision)


def _refusal_of(failure: UpstreamFailure, call: UpstreamCall) -> Refused:
    if call.cancelled and failure.outcome is Outcome.UNKNOWN:
        return Refused(Outcome.UNKNOWN, Reason.CANCELLED, failure.detail)
    return Refused(failure.outcome, failure.reason, failure.detail)
