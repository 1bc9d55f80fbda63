"""Gate of the upstreams beside the daemon: the only way to them."""

import threading
from collections.abc import Callable, Iterable, Iterator

import attrs

from chicorychute.admission.queue import (
    Decision,
    Queued,
    RankPolicy,
    Ticket,
    UpstreamQueue,
)
from chicorychute.admission.queue import (
    Refused as QueueRefused,
)
from chicorychute.conf.settings import UpstreamSettings
from chicorychute.core.clock import Clock
from chicorychute.core.messages import UpstreamDigest, Work
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.health.evidence import BYTES_UNKNOWN, Observation, Result
from chicorychute.health.judge import Attempt, UpstreamJudge
from chicorychute.health.probe import PROBE_RANK, PROBE_TIMEOUT_S, probe_work
from chicorychute.pipeline.values import Answer, AnswerBroken, Refused, Reply
from chicorychute.services.recorder import NoRecorder
from chicorychute.services.workers import WorkerPool
from chicorychute.table.rows import Row, Table
from chicorychute.telemetry.tracing import Tracing
from chicorychute.transport.upstream import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamFailure,
)

POOL_THREADS = 256
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
BODY_STATUSES = frozenset((200, 201, 203, 206))  # answers that should have a body

Starter = Callable[[Decision], None]


@attrs.define
class _Upstream:
    settings: UpstreamSettings
    queue: UpstreamQueue
    judge: UpstreamJudge
    client: UpstreamClient


class GateService:
    """Runs requests at the local upstreams, by rank and within their slots.

    Parameters
    ----------
    peer_digests : callable
        Returns the digests of a service's upstreams elsewhere.
    """

    def __init__(
        self,
        upstreams: Iterable[UpstreamSettings],
        clock: Clock,
        tracing: Tracing,
        peer_digests: Callable[[str], list[UpstreamDigest]],
        recorder: NoRecorder | None = None,
    ):
        self._clock = clock
        self._tracing = tracing
        self._peer_digests = peer_digests
        self._recorder = recorder or NoRecorder()
        self._lock = threading.Lock()
        self._starter_by_ticket: dict[Ticket, Starter] = {}
        self._pool = WorkerPool("gate", POOL_THREADS)
        self._upstream_by_id = {
            settings.id: _Upstream(
                settings,
                UpstreamQueue(0, (), clock),
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
                upstream.queue.configure(
                    max((row.slots for row in rows), default=0), _policies(rows)
                )
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
                    upstream.queue.slots,
                    upstream.queue.in_flight,
                    upstream.queue.queued,
                    upstream.judge.latency_s * 1000,
                    upstream.judge.failure_share,
                    upstream.judge.weight,
                    upstream.judge.suspicion,
                    upstream.judge.rank_digests(),
                )
                for upstream in self._upstream_by_id.values()
            )

    def reason_of(self, upstream_id: str) -> str:
        """Return why an upstream was ejected, empty if it was not."""
        return self._upstream_by_id[upstream_id].judge.reason

    def idle(self) -> bool:
        """Return whether no request runs or waits."""
        with self._lock:
            return all(
                u.queue.in_flight + u.queue.queued == 0
                for u in self._upstream_by_id.values()
            )

    def tick(self) -> None:
        """Drop requests past their deadline, and judge those that run long."""
        for upstream in self._upstream_by_id.values():
            with self._lock:
                upstream.judge.tick()
                verdict = upstream.judge.verdict()
                decisions = upstream.queue.advance()
            id = upstream.settings.id
            self._recorder.verdict(id, verdict, upstream.judge.reason)
            self._deliver(id, decisions)

    def submit(self, upstream_id: str, ticket: Ticket, starter: Starter) -> None:
        """Ask for a slot; `starter` is called once with the decision, maybe later."""
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            starter(QueueRefused(ticket, Reason.NO_UPSTREAM))
            return
        self._recorder.arrived(upstream_id, ticket.rank, ticket.deadline_s)
        with self._lock:
            decision = upstream.queue.submit(ticket)
            if isinstance(decision, Queued):
                self._starter_by_ticket[ticket] = starter
                return
        self._record_refusal(upstream_id, decision)
        starter(decision)

    def cancel(self, upstream_id: str, ticket: Ticket) -> bool:
        """Withdraw a waiting request; returns False if it no longer waits."""
        with self._lock:
            cancelled = self._upstream_by_id[upstream_id].queue.cancel(ticket)
            if cancelled:
                del self._starter_by_ticket[ticket]
        if cancelled:
            self._recorder.refused(upstream_id, ticket.rank, ticket.deadline_s)
        return cancelled

    def in_pool(self, run: Callable[[], None]) -> None:
        """Run a granted request on a thread of the gate."""
        self._pool.submit(run)

    def run(
        self, upstream_id: str, work: Work, body: bytes, deadline_s: float
    ) -> Reply:
        """Send a granted request to its upstream and release its slot at the end."""
        upstream = self._upstream_by_id[upstream_id]
        started_s = self._clock.monotonic()
        timeout_s = deadline_s - started_s
        with self._lock:
            attempt = upstream.judge.begin(work.rank)
        if timeout_s <= 0:
            unused = Observation(work.rank, Result.CANCELLED, 0.0)
            self._finish(upstream, attempt, unused, deadline_s)
            return Refused(Outcome.NOT_RUN, Reason.DEADLINE)
        with self._tracing.span("upstream", work.traceparent) as traceparent:
            work = attrs.evolve(work, traceparent=traceparent)
            try:
                answer = upstream.client.send(work, body, timeout_s)
            except UpstreamFailure as failure:
                latency_s = self._clock.monotonic() - started_s
                result = _result_of_failure(failure)
                observation = Observation(work.rank, result, latency_s)
                self._finish(upstream, attempt, observation, deadline_s)
                return Refused(failure.outcome, failure.reason, failure.detail)
        with self._lock:
            upstream.judge.answered(attempt)
        may_be_empty = work.method == "HEAD" or answer.status not in BODY_STATUSES
        body = _AnswerBody(
            answer,
            self._clock,
            self._clock.monotonic() - started_s,
            lambda result, latency_s, size: self._finish(
                upstream,
                attempt,
                Observation(
                    work.rank,
                    result,
                    latency_s,
                    BYTES_UNKNOWN if may_be_empty else size,
                ),
                deadline_s,
            ),
        )
        return Answer(answer.status, answer.headers, answer.length, body, upstream_id)

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
            result = _result_of(answer.status)
        except UpstreamFailure:
            pass
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
        attempt: Attempt,
        observation: Observation,
        deadline_s: float,
    ) -> None:
        with self._lock:
            upstream.judge.observe(observation, attempt)
            decisions = upstream.queue.release()
        self._recorder.ended(upstream.settings.id, deadline_s, observation)
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


class _AnswerBody:
    """Body of an answer; reports its result once, at its end or on `close`.

    The latency reported is the time spent waiting for the upstream; the time that
    the reader of the body takes is not the upstream's.
    """

    def __init__(
        self,
        answer: UpstreamAnswer,
        clock: Clock,
        head_s: float,
        finish: Callable[[Result, float, int], None],
    ):
        self._answer = answer
        self._clock = clock
        self._waited_s = head_s
        self._size = 0
        self._finish = finish
        self._finished = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        asked_s = self._clock.monotonic()
        try:
            chunk = next(self._answer.chunks)
        except StopIteration:
            self._waited_s += self._clock.monotonic() - asked_s
            self._end(_result_of(self._answer.status))
            raise
        except UpstreamFailure as failure:
            self._waited_s += self._clock.monotonic() - asked_s
            self._end(_result_of_failure(failure))
            raise AnswerBroken(failure.detail) from failure
        self._waited_s += self._clock.monotonic() - asked_s
        self._size += len(chunk)
        return chunk

    def close(self) -> None:
        """Give the rest up; the connection to the upstream is closed."""
        if not self._finished:
            self._answer.close()
            self._end(Result.CANCELLED)

    def _end(self, result: Result) -> None:
        if not self._finished:
            self._finished = True
            self._finish(result, self._waited_s, self._size)


def _policies(rows: Iterable[Row]) -> tuple[RankPolicy, ...]:
    return tuple(RankPolicy(row.rank, row.priority, row.share) for row in rows)


def _result_of(status: int) -> Result:
    if status == SERVICE_UNAVAILABLE:
        return Result.SHED
    return Result.FAILED if status >= SERVER_ERROR else Result.OK


def _result_of_failure(failure: UpstreamFailure) -> Result:
    """Return TIMED_OUT where the request's own deadline ended it."""
    timed_out = failure.reason is Reason.DEADLINE
    return Result.TIMED_OUT if timed_out else Result.FAILED
