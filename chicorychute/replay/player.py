"""Replays a trace through the current queue, judge and floor on a virtual clock."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs
from result import Err

from chicorychute.admission.queue import (
    Decision,
    Granted,
    RankPolicy,
    Refused,
    Ticket,
    UpstreamQueue,
)
from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.health.evidence import BYTES_UNKNOWN, Observation, Result
from chicorychute.health.judge import Attempt, UpstreamJudge
from chicorychute.replay.exceptions import TraceError
from chicorychute.replay.measures import (
    SECONDS_PER_HOUR,
    Detection,
    FalseEjection,
    Measures,
    ServiceLevel,
)
from chicorychute.replay.orders import MIXTURE, ServiceOrder
from chicorychute.replay.trace import (
    EndEvent,
    FloodEvent,
    PeersEvent,
    RequestEvent,
    SickEvent,
    StartEvent,
    TableEvent,
    TracedEvent,
    VerdictEvent,
)
from chicorychute.routing.budget import RetryBudget
from chicorychute.routing.candidates import Candidate, Distance, eligible
from chicorychute.routing.choice import NoChoice, choose
from chicorychute.table.parse import parse_table
from chicorychute.table.rows import Repeat, Row, Table

TICK_INTERVAL_S = 0.05
GOSSIP_INTERVAL_S = 0.5
SETTLE_S = 1.0  # Time after the last event for requests to end.
DEFAULT_SERVICE_MS = 20.0  # For a request that never ran when it was recorded.
SEED = 1
RETRYABLE_RESULTS = frozenset((Result.FAILED, Result.SHED))


@attrs.frozen
class Decisions:
    """Code that makes the decisions of a replay, by default the code in force.

    Attributes
    ----------
    order : ServiceOrder
        Service order of the queues.
    make_judge : callable
        Returns the judge of one upstream; takes a clock and whether it starts cold.
    eligible : callable
        Returns the upstreams that a request may be sent to.
    retries : bool
        Whether a failed request is retried once if its row and the budget allow it.
    """

    order: ServiceOrder = MIXTURE
    make_judge: Callable[..., UpstreamJudge] = UpstreamJudge
    eligible: Callable[..., list[Candidate]] = eligible
    retries: bool = True


DECISIONS_IN_FORCE = Decisions()


@attrs.define(eq=False)
class _Upstream:
    id: str
    service: str
    queue: UpstreamQueue
    judge: UpstreamJudge
    verdict: Verdict = Verdict.HEALTHY
    sick: bool = False


@attrs.frozen(eq=False)
class _Request:
    traced: TracedEvent
    event: RequestEvent
    rerouted: bool
    row: Row
    during_flood: bool
    failed_upstream_id: str = ""

    def result(self) -> Result:
        """Return the result at the upstream that runs the request."""
        was_recorded = not self.rerouted and self.event.service_ms >= 0
        return self.event.result if was_recorded else Result.OK

    def size(self) -> int:
        """Return the size of the answer in bytes, unknown after rerouting."""
        return BYTES_UNKNOWN if self.rerouted else self.event.bytes

    def service_s(self) -> float:
        """Return the service time at the upstream that runs the request."""
        recorded_ms = self.event.service_ms
        if self.rerouted and self.event.healthy_ms >= 0:
            recorded_ms = self.event.healthy_ms
        return (recorded_ms if recorded_ms >= 0 else DEFAULT_SERVICE_MS) / 1000


class Player:
    """One replay; the same events always give the same measures.

    Parameters
    ----------
    events : list of TracedEvent
        Events from `read_trace`.
    decisions : Decisions
        Code that decides; benchmarks pass baselines.
    """

    def __init__(
        self, events: list[TracedEvent], decisions: Decisions = DECISIONS_IN_FORCE
    ):
        self._decisions = decisions
        self._events = sorted(events, key=lambda traced: (traced.at_s, traced.line))
        self._clock = ManualClock()
        self._rng = random.Random(SEED)
        self._scheduled: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = itertools.count()
        self._upstream_by_id: dict[str, _Upstream] = {}
        self._remote_digests_by_service: dict[str, tuple[UpstreamDigest, ...]] = {}
        self._gossiped_by_service: dict[str, list[UpstreamDigest]] = {}
        self._request_by_ticket: dict[Ticket, tuple[_Upstream, _Request]] = {}
        self._table: Table | None = None
        self._has_all_upstreams = False
        self._flooding_ranks: set[str] = set()
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._current_line = 1
        self._measures = Measures()

    def play(self) -> Measures:
        """Replay all events and return the measures.

        Raises
        ------
        TraceError
            If an event names an upstream or a row that the trace does not define,
            or a table is invalid.
        """
        for traced in self._events:
            self._schedule(traced.at_s, self._apply_event, traced)
        end_s = self._events[-1].at_s + SETTLE_S
        self._schedule(TICK_INTERVAL_S, self._tick)
        self._schedule(GOSSIP_INTERVAL_S, self._gossip)
        while self._scheduled and self._scheduled[0][0] <= end_s:
            at_s, _, action, arguments = heapq.heappop(self._scheduled)
            self._clock.advance(max(at_s - self._clock.monotonic(), 0.0))
            action(*arguments)
        self._finish(end_s)
        return self._measures

    def _schedule(self, at_s: float, action: Callable, *arguments) -> None:
        heapq.heappush(self._scheduled, (at_s, next(self._sequence), action, arguments))

    def _finish(self, end_s: float) -> None:
        for upstream, request in self._request_by_ticket.values():
            self._count_request(upstream, request, met_target=False)
        hours = end_s * len(self._upstream_by_id) / SECONDS_PER_HOUR
        self._measures.instance_hours = hours

    def _apply_event(self, traced: TracedEvent) -> None:
        self._current_line = traced.line
        match traced.event:
            case StartEvent(services, whole):
                self._has_all_upstreams = whole
                for name, service in services:
                    self._upstream_by_id[name] = _Upstream(
                        name,
                        service,
                        self._make_queue(),
                        self._decisions.make_judge(self._clock),
                    )
            case TableEvent(text):
                self._apply_table(traced.line, text)
            case RequestEvent() as event:
                self._arrive(traced, event)
            case PeersEvent(service, digests):
                self._remote_digests_by_service[service] = digests
            case SickEvent(name, sick):
                self._set_sick(self._find_upstream(traced.line, name), sick)
            case FloodEvent(rank, flooding):
                update = (
                    self._flooding_ranks.add
                    if flooding
                    else self._flooding_ranks.discard
                )
                update(rank)
            case VerdictEvent(name, Verdict.COLD, _):
                self._start_cold(self._find_upstream(traced.line, name))
            case VerdictEvent() | EndEvent():
                pass

    def _make_queue(self) -> UpstreamQueue:
        order = self._decisions.order
        return order.make_queue(0, (), self._clock, order.make_rank_order())

    def _apply_table(self, line: int, text: str) -> None:
        parsed = parse_table(1, text)
        if isinstance(parsed, Err):
            problem = f"invalid table ({parsed.err_value[0]})"
            raise TraceError(line, problem, "correct the table in this line")
        self._table = parsed.ok_value
        for upstream in self._upstream_by_id.values():
            rows = self._table.by_service.get(upstream.service, ())
            policies = tuple(RankPolicy(r.rank, r.priority, r.share) for r in rows)
            slots = max((row.slots for row in rows), default=0)
            upstream.queue.configure(
                slots, self._decisions.order.adapt_policies(policies)
            )
            upstream.judge.sensitivity = max(
                (row.sensitivity for row in rows), default=1.0
            )

    def _start_cold(self, upstream: _Upstream) -> None:
        """Apply a recorded cold start, which no decision of the replay can cause."""
        sensitivity = upstream.judge.sensitivity
        upstream.judge = self._decisions.make_judge(self._clock, cold=True)
        upstream.judge.sensitivity = sensitivity
        upstream.verdict = upstream.judge.verdict()

    def _set_sick(self, upstream: _Upstream, sick: bool) -> None:
        upstream.sick = sick
        if not sick:
            return
        now_s = self._clock.monotonic()
        is_out = upstream.verdict is Verdict.SICK
        delay_s = 0.0 if is_out else None
        self._measures.detections.append(Detection(upstream.id, now_s, delay_s))

    def _find_upstream(self, line: int, name: str) -> _Upstream:
        upstream = self._upstream_by_id.get(name)
        if upstream is None:
            problem = f"unknown upstream {name!r}"
            raise TraceError(line, problem, "add it to the services in the first line")
        return upstream

    def _find_row(self, traced: TracedEvent, service: str, rank: str) -> Row:
        row = self._table.by_rank.get((service, rank)) if self._table else None
        if row is None:
            problem = f"no table in force with a row for service {service}, rank {rank}"
            raise TraceError(
                traced.line, problem, "add a table event with this row before it"
            )
        return row

    def _arrive(self, traced: TracedEvent, event: RequestEvent) -> None:
        preferred = self._find_upstream(traced.line, event.upstream)
        row = self._find_row(traced, preferred.service, event.rank)
        budget = self._budget_by_service.setdefault(preferred.service, RetryBudget())
        budget.deposit(row.retry_share)
        request = _Request(traced, event, False, row, bool(self._flooding_ranks))
        self._send(preferred, request)

    def _send(self, preferred: _Upstream, request: _Request) -> None:
        upstream = self._route(preferred, request)
        if upstream is None:
            self._count_request(preferred, request, met_target=False)
            return
        request = attrs.evolve(request, rerouted=upstream is not preferred)
        deadline_s = request.traced.at_s + request.event.deadline_ms / 1000
        rank = self._decisions.order.rank_of(request.event.rank)
        ticket = Ticket(rank, deadline_s)
        self._request_by_ticket[ticket] = (upstream, request)
        self._apply_decisions([upstream.queue.submit(ticket)])

    def _route(self, preferred: _Upstream, request: _Request) -> _Upstream | None:
        """Return the preferred upstream, or another if it failed or is not eligible."""
        if not self._has_all_upstreams:
            return preferred
        row = request.row
        draw = self._rng.random() if row.repeat is Repeat.IDEMPOTENT else 1.0
        candidates = [
            Candidate(digest.upstream, digest, Distance.SAME_ZONE)
            for digest in self._gossiped_digests(preferred.service)
        ]
        tried_ids = frozenset((request.failed_upstream_id,))
        eligible_candidates = self._decisions.eligible(candidates, row.floor, draw)
        untried_ids = [
            c.digest.upstream
            for c in eligible_candidates
            if c.digest.upstream not in tried_ids
        ]
        if preferred.id in untried_ids:
            return preferred
        choice = choose(eligible_candidates, {}, tried_ids, self._rng)
        if isinstance(choice, NoChoice):
            return None
        return self._upstream_by_id[choice.candidate.digest.upstream]

    def _may_retry(self, request: _Request, result: Result) -> bool:
        if (
            request.failed_upstream_id
            or not self._has_all_upstreams
            or result not in RETRYABLE_RESULTS
        ):
            return False
        if not self._decisions.retries:
            return False
        if request.row.repeat is not Repeat.IDEMPOTENT:
            return False
        return self._budget_by_service[request.row.service].withdraw()

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case Granted(ticket):
                    self._start_request(ticket)
                case Refused(ticket, _):
                    upstream, request = self._request_by_ticket.pop(ticket)
                    self._count_request(upstream, request, met_target=False)

    def _start_request(self, ticket: Ticket) -> None:
        upstream, request = self._request_by_ticket[ticket]
        remaining_s = ticket.deadline_s - self._clock.monotonic()
        latency_s = request.service_s()
        result = request.result()
        if latency_s > remaining_s:
            result, latency_s = Result.TIMED_OUT, remaining_s
        rank = request.event.rank
        attempt = upstream.judge.begin(rank)
        observation = Observation(rank, result, latency_s, request.size())
        end_s = self._clock.monotonic() + latency_s
        self._schedule(end_s, self._finish_request, ticket, observation, attempt)

    def _finish_request(
        self, ticket: Ticket, observation: Observation, attempt: Attempt
    ) -> None:
        upstream, request = self._request_by_ticket.pop(ticket)
        upstream.judge.observe(observation, attempt)
        self._record_verdict(upstream)
        if self._may_retry(request, observation.result):
            self._send(upstream, attrs.evolve(request, failed_upstream_id=upstream.id))
            self._apply_decisions(upstream.queue.release(ticket))
            return
        elapsed_s = self._clock.monotonic() - request.traced.at_s
        answered = observation.result is Result.OK and observation.bytes != 0
        met_target = answered and elapsed_s * 1000 <= request.row.target_ms
        self._count_request(upstream, request, met_target)
        self._apply_decisions(upstream.queue.release(ticket))

    def _count_request(
        self, upstream: _Upstream, request: _Request, met_target: bool
    ) -> None:
        rank = request.event.rank
        levels = [self._measures.level_by_rank]
        if request.during_flood:
            levels.append(self._measures.flood_level_by_rank)
        for level_by_rank in levels:
            level = level_by_rank.setdefault(rank, ServiceLevel())
            level.add(request.traced.line, met_target)

    def _tick(self) -> None:
        self._schedule(self._clock.monotonic() + TICK_INTERVAL_S, self._tick)
        for upstream in self._upstream_by_id.values():
            upstream.judge.tick()
            self._record_verdict(upstream)
            self._apply_decisions(upstream.queue.advance())

    def _gossip(self) -> None:
        self._schedule(self._clock.monotonic() + GOSSIP_INTERVAL_S, self._gossip)
        services = {upstream.service for upstream in self._upstream_by_id.values()}
        for service in sorted(services):
            local_digests = self._gossiped_by_service[service] = self._digests(service)
            remote_digests = self._remote_digests_by_service.get(service, ())
            for digest in local_digests:
                others = [d for d in local_digests if d.upstream != digest.upstream]
                judge = self._upstream_by_id[digest.upstream].judge
                judge.update_peers([*others, *remote_digests])

    def _gossiped_digests(self, service: str) -> list[UpstreamDigest]:
        """Return the digests of the last gossip round."""
        if service not in self._gossiped_by_service:
            self._gossiped_by_service[service] = self._digests(service)
        return self._gossiped_by_service[service]

    def _digests(self, service: str) -> list[UpstreamDigest]:
        return [
            UpstreamDigest(
                upstream.id,
                service,
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
            if upstream.service == service
        ]

    def _record_verdict(self, upstream: _Upstream) -> None:
        previous, upstream.verdict = upstream.verdict, upstream.judge.verdict()
        if upstream.verdict is not Verdict.SICK or previous is Verdict.SICK:
            return
        now_s = self._clock.monotonic()
        if not upstream.sick:
            self._measures.false_ejections.append(
                FalseEjection(
                    upstream.id, now_s, self._current_line, upstream.judge.reason
                )
            )
            return
        for index, detection in enumerate(self._measures.detections):
            if detection.upstream == upstream.id and detection.delay_s is None:
                delay_s = now_s - detection.sick_at_s
                self._measures.detections[index] = attrs.evolve(
                    detection, delay_s=delay_s
                )
