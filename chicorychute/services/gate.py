"""Gate of the local upstreams: every request reaches them through it."""

import threading
from collections.abc import Callable, Iterable

import attrs
import structlog

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
    PeerRequest,
    QuarantineNotice,
    UpstreamDigest,
    Verdict,
)
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.core.workers import WorkerPool
from chicorychute.health.evidence import BYTES_UNKNOWN, Observation, Result
from chicorychute.health.gray import (
    QUICK_FAILURE_FRACTION,
    RISK_THRESHOLD,
    GrayEstimate,
)
from chicorychute.health.judge import Attempt, UpstreamJudge
from chicorychute.health.probe import PROBE_RANK, PROBE_TIMEOUT_S, health_probe_request
from chicorychute.pipeline.values import Answer, Refused, Reply
from chicorychute.services.bodies import (
    UpstreamBody,
    failure_of,
    result_of_failure,
    result_of_status,
)
from chicorychute.services.endpoints import EndpointChange, UpstreamEndpoint, address_of
from chicorychute.services.recorder import NoRecorder
from chicorychute.services.slots import UpstreamSlots
from chicorychute.sources.base import ListedUpstream
from chicorychute.table.rows import Table
from chicorychute.telemetry.tracing import Tracing
from chicorychute.transport.calls import UpstreamCall, is_listening, tracked
from chicorychute.transport.dialect import Dialect
from chicorychute.transport.upstream import UpstreamClient
from chicorychute.transport.upstream_end import UpstreamFailure

POOL_THREADS = 256
# An answer with one of these statuses should have a body.
BODY_STATUSES = frozenset((200, 201, 203, 206))

DecisionCallback = Callable[[Decision], None]

logger = structlog.get_logger()


@attrs.define
class _Upstream:
    settings: UpstreamSettings
    slots: UpstreamSlots
    judge: UpstreamJudge
    client: UpstreamClient
    probe: str
    endpoint: UpstreamEndpoint
    gray: GrayEstimate
    detect_episodes: bool
    logged_verdict: Verdict = Verdict.COLD
    crash_lock: threading.Lock = attrs.field(factory=threading.Lock)

    def is_at_risk(self) -> bool:
        """Return whether requests that can run at another upstream should go there."""
        return self.risk() > RISK_THRESHOLD

    def refuses_at_risk(self, ticket: Ticket) -> bool:
        """Return whether a request that can run elsewhere should not run here."""
        is_trial = self.detect_episodes and self.gray.is_unproven()
        return self.is_at_risk() or (is_trial and not ticket.repeatable)

    def risk(self) -> float:
        """Return the probability of a failure, 0 where episodes are not detected."""
        return self.gray.risk() if self.detect_episodes else 0.0

    @property
    def service(self) -> str:
        return self.settings.service


class GateService:
    """Runs requests at the local upstreams by rank, within their slots.

    Parameters
    ----------
    peer_digests : callable
        Returns the digests of a service's upstreams on other instances.
    quarantine : Quarantine
        Tracks the requests that crashed upstreams.
    send_notices : callable
        Sends quarantine notices of a crash to every peer.
    dialect : Dialect, optional
        Names the headers of requests to upstreams and of their answers.
    requires_listing : bool
        Whether an upstream takes work only while the platform's list has it.
    detect_episodes : bool
        Whether an upstream is at risk for some seconds after a single failure, so
        that requests avoid it.
    on_at_risk : callable, optional
        Called when an upstream becomes at risk; peers should be notified before they
        send their next requests.
    """

    def __init__(
        self,
        upstreams: Iterable[UpstreamSettings],
        clock: Clock,
        tracing: Tracing,
        peer_digests: Callable[[str], list[UpstreamDigest]],
        quarantine: Quarantine,
        send_notices: Callable[[tuple[QuarantineNotice, ...]], None],
        recorder: NoRecorder | None = None,
        dialect: Dialect | None = None,
        requires_listing: bool = False,
        detect_episodes: bool = False,
        on_at_risk: Callable[[], None] = lambda: None,
    ):
        self._on_at_risk = on_at_risk
        self._dialect = Dialect() if dialect is None else dialect
        self._clock = clock
        self._tracing = tracing
        self._peer_digests = peer_digests
        self._quarantine = quarantine
        self._send_notices = send_notices
        self._recorder = recorder or NoRecorder()
        self._lock = threading.Lock()
        self._table: Table | None = None
        self._callback_by_ticket: dict[Ticket, DecisionCallback] = {}
        self._pool = WorkerPool("gate", POOL_THREADS)
        self._upstream_by_id = {
            settings.id: _Upstream(
                settings,
                UpstreamSlots(settings.id, clock, quarantine),
                UpstreamJudge(clock, cold=True),
                UpstreamClient(settings.url, POOL_THREADS, clock, self._dialect),
                settings.probe,
                UpstreamEndpoint(address_of(settings.url), requires_listing),
                GrayEstimate(clock),
                detect_episodes,
            )
            for settings in upstreams
        }

    def apply(self, table: Table) -> None:
        """Put a new table into force."""
        self._recorder.record_table(table.text)
        with self._lock:
            self._table = table
            for upstream in self._upstream_by_id.values():
                self._configure(upstream)

    def _configure(self, upstream: _Upstream) -> None:
        """Configure an upstream from the rows of its service."""
        if self._table is None:
            return
        rows = self._table.by_service.get(upstream.service, ())
        upstream.slots.configure(rows, upstream.endpoint.slots)
        upstream.judge.sensitivity = max((row.sensitivity for row in rows), default=1.0)
        probe = next((row.probe for row in rows if row.probe), "")
        upstream.probe = probe or upstream.settings.probe

    def apply_settings(self, upstreams: Iterable[UpstreamSettings]) -> None:
        """Apply changed services and probe paths; addresses stay as they are."""
        for settings in upstreams:
            upstream = self._upstream_by_id.get(settings.id)
            if upstream is None:
                continue
            with self._lock:
                url = upstream.settings.url
                upstream.settings = attrs.evolve(settings, url=url)
                self._configure(upstream)

    def apply_list(self, listed: Iterable[ListedUpstream], complete: bool) -> bool:
        """Apply the platform's list to the local upstreams.

        Parameters
        ----------
        complete : bool
            Whether an upstream that the list lacks is gone. Entries that lapsed in an
            outage of the platform are listed again shortly after it.

        Returns
        -------
        bool
            Whether an upstream was replaced, reports another number of slots, or
            started or stopped taking work.
        """
        listed = tuple(listed)
        changed = False
        for upstream in self._upstream_by_id.values():
            with self._lock:
                change = upstream.endpoint.update(listed, upstream.service, complete)
                if change is EndpointChange.REPLACED:
                    upstream.slots.reset_limit()
                    upstream.judge = UpstreamJudge(self._clock, cold=True)
                    upstream.gray.reset()
                if change is not EndpointChange.NONE:
                    self._configure(upstream)
            if change is not EndpointChange.NONE:
                changed = True
                self._log_endpoint(upstream, change)
        return changed

    def _log_endpoint(self, upstream: _Upstream, change: EndpointChange) -> None:
        endpoint = upstream.endpoint
        logger.info(
            "gate: the platform's list changed an upstream",
            upstream=upstream.settings.id,
            change=change.value,
            incarnation=endpoint.incarnation,
            service=upstream.service,
            slots=endpoint.slots,
            takes_work=endpoint.takes_work,
        )

    def digests(self) -> tuple[UpstreamDigest, ...]:
        """Return load and health of every local upstream that takes work."""
        self._compare_with_peers()
        with self._lock:
            return tuple(
                UpstreamDigest(
                    upstream.settings.id,
                    upstream.service,
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
                    upstream.risk(),
                )
                for upstream in self._upstream_by_id.values()
                if upstream.endpoint.takes_work
            )

    def service_of(self, upstream_id: str) -> str:
        """Return the current service of an upstream."""
        return self._upstream_by_id[upstream_id].service

    def reason_of(self, upstream_id: str) -> str:
        """Return the reason of an upstream's ejection, empty if it is not ejected."""
        return self._upstream_by_id[upstream_id].judge.reason

    def idle(self) -> bool:
        """Return whether no request runs or waits."""
        with self._lock:
            return not any(u.slots.busy for u in self._upstream_by_id.values())

    def tick(self) -> None:
        """Refuse or cancel late requests, and judge those that run long."""
        for upstream in self._upstream_by_id.values():
            with self._lock:
                upstream.judge.tick()
                verdict = upstream.judge.verdict()
                decisions = upstream.slots.advance()
            id = upstream.settings.id
            self._recorder.record_verdict(id, verdict, upstream.judge.reason)
            if verdict is not upstream.logged_verdict:
                self._log_verdict(upstream, verdict)
            self._deliver(id, decisions)

    def _log_verdict(self, upstream: _Upstream, verdict: Verdict) -> None:
        upstream.logged_verdict = verdict
        logger.info(
            "health: the verdict on an upstream changed",
            upstream=upstream.settings.id,
            verdict=verdict.value,
            reason=upstream.judge.reason,
            failure_share=round(upstream.judge.failure_share, 2),
            latency_ms=round(upstream.judge.latency_s * 1000, 1),
            risk=round(upstream.risk(), 2),
        )

    def ticket(
        self,
        upstream_id: str,
        peer_request: PeerRequest,
        body: bytes,
        deadline_s: float,
    ) -> Ticket:
        """Return the ticket with which a request applies for a slot."""
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            return Ticket(peer_request.rank, deadline_s, peer_request.team)
        request_fingerprint = fingerprint(
            peer_request.service, peer_request.method, peer_request.target, body
        )
        beyond_target_ms = peer_request.remaining_ms - peer_request.target_ms
        with self._lock:
            return upstream.slots.ticket(
                peer_request.rank,
                deadline_s,
                peer_request.team,
                request_fingerprint,
                peer_request.may_wait,
                peer_request.repeatable,
                deadline_s - beyond_target_ms / 1000,
            )

    def submit(
        self, upstream_id: str, ticket: Ticket, callback: DecisionCallback
    ) -> None:
        """Apply for a slot.

        `callback` is called once with the decision: before this returns, or later
        and maybe from another thread if the request is queued.
        """
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None or not upstream.endpoint.takes_work:
            callback(QueueRefused(ticket, Reason.NO_UPSTREAM))
            return
        self._recorder.record_arrival(upstream_id, ticket.rank, ticket.deadline_s)
        with self._lock:
            if not ticket.may_wait and upstream.refuses_at_risk(ticket):
                decision = QueueRefused(ticket, Reason.UPSTREAM_AT_RISK)
            else:
                decision = upstream.slots.submit(ticket)
            if isinstance(decision, Queued):
                self._callback_by_ticket[ticket] = callback
                return
        self._record_refusal(upstream_id, decision)
        callback(decision)

    def refusal_of(
        self, upstream_id: str, decision: QueueRefused, request_id: str
    ) -> Refused:
        """Return a refusal with the predicted wait and the risk at the upstream."""
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            return Refused(Outcome.NOT_RUN, decision.reason)
        with self._lock:
            wait_s = upstream.slots.wait_s(decision.ticket.rank)
            risk = upstream.risk()
            load = (upstream.slots.in_flight, upstream.slots.queued)
        logger.info(
            "request: not taken",
            id=request_id,
            upstream=upstream_id,
            reason=decision.reason.value,
            in_flight=load[0],
            queued=load[1],
            wait_ms=round(wait_s * 1000, 1),
            risk=round(risk, 2),
        )
        return Refused(
            Outcome.NOT_RUN, decision.reason, retry_s=round(wait_s, 4), risk=risk
        )

    def cancel(self, upstream_id: str, ticket: Ticket, call: UpstreamCall) -> None:
        """Cancel a request: refuse it if it is queued, else abort its upstream call."""
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            return
        with self._lock:
            waited = upstream.slots.cancel(ticket)
            callback = self._callback_by_ticket.pop(ticket) if waited else None
        if callback is None:
            call.cancel()
        else:
            refused = QueueRefused(ticket, Reason.CANCELLED)
            self._record_refusal(upstream_id, refused)
            callback(refused)

    def on_notice(self, notice: QuarantineNotice) -> None:
        """Record a crash that a peer saw."""
        with self._lock:
            self._quarantine.on_notice(notice)

    def notices(self) -> tuple[QuarantineNotice, ...]:
        """Return a notice for every crash that has not expired."""
        with self._lock:
            return self._quarantine.notices()

    def run_in_pool(self, run: Callable[[], None]) -> None:
        """Run a function on a thread of the gate's pool."""
        self._pool.submit(run)

    def run(
        self,
        upstream_id: str,
        ticket: Ticket,
        peer_request: PeerRequest,
        body: bytes,
        call: UpstreamCall,
    ) -> Reply:
        """Send a granted request to its upstream; its slot is released at the end."""
        upstream = self._upstream_by_id[upstream_id]
        refusal = self._start(upstream, ticket, call, peer_request)
        if refusal is not None:
            return Refused(Outcome.NOT_RUN, refusal)
        started_s = self._clock.monotonic()
        incarnation = upstream.endpoint.incarnation
        with self._lock:
            attempt = upstream.judge.begin(peer_request.rank)
        with self._tracing.span("upstream", peer_request.traceparent) as traceparent:
            if traceparent != peer_request.traceparent:
                peer_request = attrs.evolve(peer_request, traceparent=traceparent)
            try:
                with tracked(call):
                    answer = upstream.client.send(
                        peer_request,
                        body,
                        ticket.deadline_s - started_s,
                        incarnation,
                    )
            except Exception as error:
                failure = failure_of(error)
                latency_s = self._clock.monotonic() - started_s
                self._record_failure(upstream, ticket, call, failure, incarnation)
                result = result_of_failure(failure, call)
                observation = Observation(peer_request.rank, result, latency_s)
                self._finish(upstream, ticket, attempt, observation)
                end = f"{failure.reason.value}, {failure.outcome.value}"
                self._log_run(upstream, peer_request, latency_s, end, failure.detail)
                return _refusal_of(failure, call)
        with self._lock:
            upstream.judge.record_answer_start(attempt)
        head_s = self._clock.monotonic() - started_s
        may_be_empty = (
            peer_request.method == "HEAD" or answer.status not in BODY_STATUSES
        )

        def finish(result: Result, latency_s: float, size: int) -> None:
            body_bytes = BYTES_UNKNOWN if may_be_empty else size
            observation = Observation(peer_request.rank, result, latency_s, body_bytes)
            self._finish(upstream, ticket, attempt, observation, head_s)

        self._log_run(upstream, peer_request, head_s, str(answer.status))
        chunks = UpstreamBody(answer, call, self._clock, head_s, finish)
        return Answer(answer.status, answer.headers, answer.length, chunks, upstream_id)

    def _log_run(
        self,
        upstream: _Upstream,
        peer_request: PeerRequest,
        ran_s: float,
        end: str,
        detail: str = "",
    ) -> None:
        logger.info(
            "request: ran",
            id=peer_request.id,
            upstream=upstream.settings.id,
            incarnation=upstream.endpoint.incarnation,
            end=end,
            detail=detail,
            left_ms=round(peer_request.remaining_ms, 1),
            ms=round(ran_s * 1000, 1),
            in_flight=upstream.slots.in_flight,
            queued=upstream.slots.queued,
            risk=round(upstream.risk(), 2),
        )

    def _start(
        self,
        upstream: _Upstream,
        ticket: Ticket,
        call: UpstreamCall,
        peer_request: PeerRequest,
    ) -> Reason | None:
        """Register a granted request as running.

        Returns
        -------
        Reason or None
            Why the request may no longer be sent; its slot is then released.
        """
        with self._lock:
            if (
                not upstream.endpoint.takes_work
                or upstream.service != peer_request.service
            ):
                refusal = Reason.NO_UPSTREAM
            else:
                refusal = upstream.slots.start(ticket, call)
            decisions = [] if refusal is None else upstream.slots.release_unsent(ticket)
        if refusal is not None:
            id = upstream.settings.id
            self._recorder.record_refusal(id, ticket.rank, ticket.deadline_s)
            self._deliver(id, decisions)
        return refusal

    def _record_failure(
        self,
        upstream: _Upstream,
        ticket: Ticket,
        call: UpstreamCall,
        failure: UpstreamFailure,
        incarnation: str,
    ) -> None:
        """Record a failed call at the slots or endpoint of its upstream.

        Peers are notified of a crash before the caller can send the request again.
        """
        match failure.reason:
            case Reason.UPSTREAM_REFUSED:
                with self._lock:
                    upstream.slots.record_connection_refused()
                return
            case Reason.UPSTREAM_BUSY:
                with self._lock:
                    upstream.slots.record_shed()
                return
            case Reason.UPSTREAM_REPLACED:
                with self._lock:
                    upstream.endpoint.mark_replaced(incarnation)
                return
        lost = failure.reason is Reason.UPSTREAM_LOST and not call.cancelled
        if not lost or is_listening(upstream.settings.url):
            return
        # Every request of one crash waits here until the first has notified the peers.
        with upstream.crash_lock:
            with self._lock:
                notices = upstream.slots.record_crash(ticket)
            if notices:
                self._send_notices(notices)

    def probe(self) -> None:
        """Probe each upstream whose health no recent request shows."""
        for upstream in self._upstream_by_id.values():
            if not (upstream.probe and upstream.endpoint.takes_work):
                continue
            with self._lock:
                if not upstream.judge.probe_due():
                    continue
                attempt = upstream.judge.begin(PROBE_RANK)
            self.run_in_pool(lambda u=upstream, a=attempt: self._run_probe(u, a))

    def _run_probe(self, upstream: _Upstream, attempt: Attempt) -> None:
        result = Result.FAILED
        try:
            peer_request = health_probe_request(upstream.service, upstream.probe)
            answer = upstream.client.send(peer_request, b"", PROBE_TIMEOUT_S)
            for _ in answer.chunks:
                pass
            result = result_of_status(answer.status)
        except Exception as error:
            failure_of(error)
        latency_s = self._clock.monotonic() - attempt.started_s
        with self._lock:
            upstream.judge.observe(Observation(PROBE_RANK, result, latency_s), attempt)

    def _compare_with_peers(self) -> None:
        for upstream in self._upstream_by_id.values():
            service = upstream.service
            peers = self._peer_digests(service)
            with self._lock:
                upstream.judge.update_peers(peers)
            self._recorder.record_peers(service, peers)

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
            was_at_risk = upstream.is_at_risk()
            evicted: list[Decision] = []
            match observation.result:
                case Result.OK:
                    upstream.gray.observe(failed=False)
                    upstream.slots.record_answer(ticket, head_s)
                case Result.FAILED | Result.EMPTY:
                    typical_s = upstream.judge.latency_s
                    if (
                        typical_s
                        and observation.latency_s > QUICK_FAILURE_FRACTION * typical_s
                    ):
                        upstream.gray.observe_late_failure()
                    else:
                        upstream.gray.observe(failed=True)
                    # Failures are quick: the freed slots would soon send all that is
                    # queued to the failing upstream.
                    if upstream.is_at_risk():
                        evicted = upstream.slots.evict()
                case Result.TIMED_OUT:
                    upstream.gray.observe_overdue()
                case Result.SHED:
                    upstream.slots.record_shed()
            finished = upstream.slots.finish(ticket, answered=head_s is not None)
            decisions = evicted + finished
            becomes_at_risk = upstream.is_at_risk() and not was_at_risk
        if becomes_at_risk:
            self._on_at_risk()
        self._recorder.record_end(upstream.settings.id, ticket.deadline_s, observation)
        self._deliver(upstream.settings.id, decisions)

    def _record_refusal(self, upstream_id: str, decision: Decision) -> None:
        if isinstance(decision, QueueRefused):
            ticket = decision.ticket
            self._recorder.record_refusal(upstream_id, ticket.rank, ticket.deadline_s)

    def _deliver(self, upstream_id: str, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._record_refusal(upstream_id, decision)
            with self._lock:
                callback = self._callback_by_ticket.pop(decision.ticket)
            callback(decision)


def _refusal_of(failure: UpstreamFailure, call: UpstreamCall) -> Refused:
    if call.cancelled and failure.outcome is Outcome.UNKNOWN:
        return Refused(Outcome.UNKNOWN, Reason.CANCELLED, failure.detail)
    return Refused(failure.outcome, failure.reason, failure.detail)
