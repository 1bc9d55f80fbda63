"""Gate of the upstreams beside the daemon: the only way to them."""

import statistics
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
from chicorychute.core.messages import UpstreamDigest, Verdict, Work
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.health.judge import Observation, Result, UpstreamJudge
from chicorychute.pipeline.values import Answer, AnswerBroken, Refused, Reply
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
    ):
        self._clock = clock
        self._tracing = tracing
        self._peer_digests = peer_digests
        self._lock = threading.Lock()
        self._starter_by_ticket: dict[Ticket, Starter] = {}
        self._pool = WorkerPool("gate", POOL_THREADS)
        self._upstream_by_id = {
            settings.id: _Upstream(
                settings,
                UpstreamQueue(0, (), clock),
                UpstreamJudge(clock),
                UpstreamClient(settings.url, POOL_THREADS, clock),
            )
            for settings in upstreams
        }

    def apply(self, table: Table) -> None:
        """Take the cells of a new table."""
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
                    1.0,
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
        """Drop requests past their deadline."""
        for upstream in self._upstream_by_id.values():
            with self._lock:
                decisions = upstream.queue.advance()
            self._deliver(decisions)

    def submit(self, upstream_id: str, ticket: Ticket, starter: Starter) -> None:
        """Ask for a slot; `starter` is called once with the decision, maybe later."""
        upstream = self._upstream_by_id.get(upstream_id)
        if upstream is None:
            starter(QueueRefused(ticket, Reason.NO_UPSTREAM))
            return
        with self._lock:
            decision = upstream.queue.submit(ticket)
            if isinstance(decision, Queued):
                self._starter_by_ticket[ticket] = starter
                return
        starter(decision)

    def cancel(self, upstream_id: str, ticket: Ticket) -> bool:
        """Withdraw a waiting request; returns False if it no longer waits."""
        with self._lock:
            cancelled = self._upstream_by_id[upstream_id].queue.cancel(ticket)
            if cancelled:
                del self._starter_by_ticket[ticket]
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
        if timeout_s <= 0:
            self._finish(upstream, work.rank, Result.CANCELLED, started_s)
            return Refused(Outcome.NOT_RUN, Reason.DEADLINE)
        with self._tracing.span("upstream", work.traceparent) as traceparent:
            work = attrs.evolve(work, traceparent=traceparent)
            try:
                answer = upstream.client.send(work, body, timeout_s)
            except UpstreamFailure as failure:
                self._finish(upstream, work.rank, Result.FAILED, started_s)
                return Refused(failure.outcome, failure.reason, failure.detail)
        body = _AnswerBody(
            answer,
            lambda result: self._finish(upstream, work.rank, result, started_s),
        )
        return Answer(answer.status, answer.headers, answer.length, body, upstream_id)

    def _finish(
        self, upstream: _Upstream, rank: str, result: Result, started_s: float
    ) -> None:
        latency_s = self._clock.monotonic() - started_s
        peers = self._peer_digests(upstream.settings.service)
        peer_latency_s = _median_latency_s(peers)
        with self._lock:
            upstream.judge.observe(Observation(rank, result, latency_s), peer_latency_s)
            decisions = upstream.queue.release()
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


def _policies(rows: Iterable[Row]) -> tuple[RankPolicy, ...]:
    return tuple(RankPolicy(row.rank, row.priority, row.share) for row in rows)


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
