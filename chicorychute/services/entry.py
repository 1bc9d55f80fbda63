"""Entry of a request: chooses a gate, sends the request and retries if allowed."""

import contextlib
import queue
import random
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

import attrs

from chicorychute.admission.queue import Decision, Granted
from chicorychute.admission.queue import Refused as QueueRefused
from chicorychute.core.clock import Clock
from chicorychute.core.messages import Cancel, Forward, MemberRecord, PeerRequest, Relay
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.orders.homes import NoHome, RelayTo, find_home
from chicorychute.orders.token import OrderKey
from chicorychute.pipeline.values import (
    Answer,
    AttemptRecord,
    ByteCountingBody,
    Refused,
    Reply,
    Request,
)
from chicorychute.routing.attempts import (
    Answered,
    AttemptEnd,
    Attempts,
    Stop,
    Unanswered,
)
from chicorychute.routing.budget import (
    CrossRegionBudget,
    RetryBudget,
    burst_of_one,
)
from chicorychute.routing.candidates import (
    Candidate,
    Distance,
    distance_between,
    eligible,
)
from chicorychute.routing.choice import Choice, NoChoice
from chicorychute.routing.hosts import may_try_another_host, nearest_hosts
from chicorychute.routing.placement import GateReport, Placement, SendTo
from chicorychute.services.bodies import buffer_short_answer
from chicorychute.services.exchanges import (
    CHUNK_BYTES,
    Exchange,
    Exchanges,
    RecallInfo,
    send_remaining_body,
)
from chicorychute.services.fleet import FleetService
from chicorychute.services.gate import GateService
from chicorychute.table.rows import Repeat, Row
from chicorychute.transport.calls import UpstreamCall
from chicorychute.transport.links import LinkError, LinkHub

# Cost of a certain failure in the choice of a gate, in target times of the row. It is
# lower while the request may be sent once more, as its failure need not be final.
FINAL_FAILURE_COST_TARGETS = 4.0
REPEATED_FAILURE_COST_TARGETS = 1.0
# A gate that refuses for these reports its wait; the request may still queue there.
WAIT_REPORTED_REASONS = (Reason.NO_FREE_SLOT, Reason.UPSTREAM_AT_RISK)
# Size on a link of the heads of a request and its answer together.
ESTIMATED_HEADS_BYTES = 500


class EntryService:
    """Last handler of the pipeline: routes, sends and retries.

    Parameters
    ----------
    hub : callable
        Returns the hub of peer links, which is built after the entry.
    fleet_retry_burst : float
        Retries that all daemons together may save up for a service, 0 for no limit.
    """

    def __init__(
        self,
        gate: GateService,
        fleet: FleetService,
        exchanges: Exchanges,
        hub: Callable[[], LinkHub],
        clock: Clock,
        rng: random.Random,
        fleet_retry_burst: float = 0.0,
    ):
        self._fleet_retry_burst = fleet_retry_burst
        self._gate = gate
        self._fleet = fleet
        self._exchanges = exchanges
        self._hub = hub
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._retry_budget_by_service: dict[str, RetryBudget] = {}
        self._cross_region_budget_by_service: dict[str, CrossRegionBudget] = {}
        # Requests in flight per upstream, counted by rank: a request is not delayed
        # by those of other ranks that wait behind it.
        self._outstanding_by_rank: defaultdict[str, Counter[str]] = defaultdict(Counter)

    def handle(self, request: Request) -> Reply:
        """Send a request to gates until one answers or none may be tried."""
        candidates = self._fleet.candidates(request.row.service)
        if candidates or request.relayed_for_routing:
            return self._try_gates(request, candidates)
        return self._try_hosts(request)

    def _try_hosts(self, request: Request) -> Reply:
        """Relay a request to a host of the service, which chooses the gate."""
        hosts = self._fleet.hosts(request.row.service)
        reply: Reply = Refused(Outcome.NOT_RUN, Reason.NO_UPSTREAM)
        for host in nearest_hosts(self._fleet.own(), hosts, self._rng):
            unreachable = Refused(Outcome.NOT_RUN, Reason.PEER_LOST)
            reply = self._relay_to(request, host, unreachable, route_only=True)
            end = _attempt_end_of(reply)
            if isinstance(end, Answered) or not may_try_another_host(end):
                return reply
        return reply

    def _try_gates(self, request: Request, candidates: Iterable[Candidate]) -> Reply:
        row = request.row
        budget = self._retry_budget(row)
        attempts = Attempts(
            row.repeat, budget, request.deadline_s, request.attempt, row.attempts
        )
        outstanding_by_upstream = self._outstanding_by_rank[row.rank]
        placement = Placement(
            row.rank, row.target_ms, outstanding_by_upstream, self._rng
        )
        reply: Reply = Refused(Outcome.NOT_RUN, Reason.DEADLINE)
        while True:
            failure_cost_ms = row.target_ms * (
                FINAL_FAILURE_COST_TARGETS
                if attempts.is_next_final()
                else REPEATED_FAILURE_COST_TARGETS
            )
            send_to = self._next_gate(request, candidates, placement, failure_cost_ms)
            if isinstance(send_to, NoChoice):
                refused = Refused(Outcome.NOT_RUN, send_to.reason)
                reply = reply if placement.has_asked else refused
                request.stopped_by = "no further gate"
                return self._final_reply(reply, attempts, placement)
            if not self._may_start(attempts, send_to.choice):
                request.stopped_by = "time or retry budget"
                return self._final_reply(reply, attempts, placement)
            request.attempt = attempts.sent
            request.may_wait = send_to.may_wait
            candidate = send_to.choice.candidate
            sent_s = self._clock.monotonic()
            attempt_reply = buffer_short_answer(self._send(request, candidate))
            elapsed_s = self._clock.monotonic() - sent_s
            request.attempt_records.append(
                _attempt_record_of(send_to, elapsed_s, attempt_reply)
            )
            _record_attempt_end(placement, candidate.digest.upstream, attempt_reply)
            action = attempts.on_end(
                _attempt_end_of(attempt_reply), self._clock.monotonic()
            )
            reply = _preferred_reply(reply, attempt_reply)
            if isinstance(action, Stop) or request.scope.cancelled:
                request.stopped_by = "the last end"
                return self._final_reply(reply, attempts, placement)
            candidates = self._fleet.candidates(row.service)

    def _final_reply(
        self, reply: Reply, attempts: Attempts, placement: Placement
    ) -> Reply:
        """Return the reply; a refusal states what holds for all attempts."""
        if isinstance(reply, Answer):
            return reply
        return attrs.evolve(
            reply, outcome=attempts.outcome, retry_s=placement.min_wait_s()
        )

    def relay(self, request: Request, key: OrderKey) -> Reply:
        """Relay an order to its home."""
        record = self._fleet.record_of(key.home.instance)
        match find_home(key, record, request.relayed):
            case NoHome(reason):
                return Refused(Outcome.UNKNOWN, reason)
            case RelayTo(record):
                # An earlier send of the same order may have reached the home.
                lost = Refused(Outcome.UNKNOWN, Reason.HOME_UNREACHABLE)
                return self._relay_to(request, record, lost)

    def _relay_to(
        self,
        request: Request,
        record: MemberRecord,
        unreachable: Refused,
        route_only: bool = False,
    ) -> Reply:
        reply = self._call_peer(
            (record.host, record.peer_port),
            request,
            lambda id, peer_request, body, has_more: Relay(
                id, self._clock.monotonic(), peer_request, body, has_more, route_only
            ),
            "",
            unreachable,
        )
        if distance_between(self._fleet.own(), record) == Distance.OTHER_REGION:
            return self._charge_cross_region(request, reply)
        return reply

    def _retry_budget(self, row: Row) -> RetryBudget:
        with self._lock:
            burst = burst_of_one(
                row.retry_burst, self._fleet_retry_burst, self._fleet.size()
            )
            budget = self._retry_budget_by_service.get(row.service)
            if budget is None:
                budget = RetryBudget(burst)
                self._retry_budget_by_service[row.service] = budget
            budget.deposit(row.retry_share, burst)
        return budget

    def _may_start(self, attempts: Attempts, choice: Choice) -> bool:
        with self._lock:
            now_s = self._clock.monotonic()
            return attempts.try_start(now_s, choice.predicted_ms / 1000)

    def _next_gate(
        self,
        request: Request,
        candidates: Iterable[Candidate],
        placement: Placement,
        failure_cost_ms: float,
    ) -> SendTo | NoChoice:
        row = request.row
        # Orders do not probe an ejected upstream for its return: 1.0 sends none.
        draw = self._rng.random() if row.repeat is Repeat.IDEMPOTENT else 1.0
        eligible_candidates = eligible(candidates, row.floor, draw)
        remaining_s = request.deadline_s - self._clock.monotonic()
        with self._lock:
            cross_region_allowed = self._cross_region_budget(row.service).allows(
                row.cross_region_kbps
            )
        return placement.choose_next(
            eligible_candidates,
            remaining_s * 1000,
            cross_region_allowed,
            failure_cost_ms,
        )

    def _cross_region_budget(self, service: str) -> CrossRegionBudget:
        budget = self._cross_region_budget_by_service.get(service)
        if budget is None:
            budget = CrossRegionBudget(self._clock)
            self._cross_region_budget_by_service[service] = budget
        return budget

    def _send(self, request: Request, candidate: Candidate) -> Reply:
        upstream = candidate.digest.upstream
        with self._lock:
            outstanding = self._outstanding_by_rank[request.row.rank]
            outstanding[upstream] += 1
        try:
            if candidate.distance == Distance.LOCAL:
                return self._run_locally(request, upstream)
            reply = self._forward(request, candidate)
            if candidate.distance == Distance.OTHER_REGION:
                return self._charge_cross_region(request, reply)
            return reply
        finally:
            with self._lock:
                outstanding[upstream] -= 1
                if not outstanding[upstream]:
                    del outstanding[upstream]

    def _forward(self, request: Request, candidate: Candidate) -> Reply:
        upstream = candidate.digest.upstream
        unreachable = Refused(Outcome.NOT_RUN, Reason.PEER_LOST)
        record = self._fleet.record_of(candidate.instance)
        if record is None:
            return unreachable
        return self._call_peer(
            (record.host, record.peer_port),
            request,
            lambda id, peer_request, body, has_more: Forward(
                id, self._clock.monotonic(), upstream, peer_request, body, has_more
            ),
            upstream,
            unreachable,
            recallable=True,
        )

    def _charge_cross_region(self, request: Request, reply: Reply) -> Reply:
        """Charge a request and its answer to the cross-region budget."""
        service = request.row.service

        def spend(size: int) -> None:
            with self._lock:
                self._cross_region_budget(service).spend(size)

        spend(ESTIMATED_HEADS_BYTES + len(request.body))
        if isinstance(reply, Refused):
            return reply
        return attrs.evolve(reply, chunks=ByteCountingBody(reply.chunks, spend))

    def _run_locally(self, request: Request, upstream: str) -> Reply:
        decisions: queue.SimpleQueue[Decision] = queue.SimpleQueue()
        peer_request = self._make_peer_request(request)
        call = UpstreamCall()
        ticket = self._gate.ticket(
            upstream, peer_request, request.body, request.deadline_s
        )
        self._gate.submit(upstream, ticket, decisions.put)
        if request.row.repeat is not Repeat.ONCE:
            # A request that may not be repeated runs to its end once it was sent.
            repeatable = request.row.repeat is Repeat.IDEMPOTENT
            call_to_cancel = call if repeatable else UpstreamCall()
            request.scope.bind(
                lambda: self._gate.cancel(upstream, ticket, call_to_cancel)
            )
        match decisions.get():
            case Granted():
                return self._gate.run(
                    upstream, ticket, peer_request, request.body, call
                )
            case QueueRefused() as refused:
                return self._gate.refusal_of(upstream, refused, request.id)

    def _call_peer(
        self,
        address: tuple[str, int],
        request: Request,
        build_message: Callable[[int, PeerRequest, bytes, bool], Forward | Relay],
        upstream: str,
        unreachable: Refused,
        recallable: bool = False,
    ) -> Reply:
        try:
            remaining_s = request.deadline_s - self._clock.monotonic()
            link = self._hub().link_to(address, remaining_s)
        except LinkError:
            return unreachable
        if self._clock.monotonic() >= request.deadline_s:
            return attrs.evolve(unreachable, reason=Reason.DEADLINE)
        repeatable = request.row.repeat is Repeat.IDEMPOTENT
        recall_info = RecallInfo(request.deadline_s, repeatable, request.id)
        exchange = self._exchanges.open(link, recall_info if recallable else None)
        body = request.body
        has_more = len(body) > CHUNK_BYTES
        message = build_message(
            exchange.id, self._make_peer_request(request), body[:CHUNK_BYTES], has_more
        )
        try:
            link.send(message)
            if has_more:
                send_remaining_body(link, exchange.id, body)
        except LinkError as error:
            # Some of the request may have been sent. One that must not run twice
            # stays open, and is recalled instead.
            if repeatable or not recallable:
                self._exchanges.close(exchange)
                return Refused(Outcome.UNKNOWN, Reason.PEER_LOST, str(error))
        if request.row.repeat is not Repeat.ONCE:
            request.scope.bind(lambda: _send_cancel(exchange))
        return self._exchanges.wait(exchange, request.deadline_s, upstream)

    def _make_peer_request(self, request: Request) -> PeerRequest:
        now_s = self._clock.monotonic()
        target_s = request.received_s + request.row.target_ms / 1000
        return PeerRequest(
            request.method,
            request.target,
            request.headers,
            request.row.service,
            request.row.rank,
            request.team,
            request.key,
            request.traceparent,
            request.attempt,
            (request.deadline_s - now_s) * 1000,
            request.id,
            request.row.repeat is Repeat.IDEMPOTENT,
            request.may_wait,
            (target_s - now_s) * 1000,
        )


def _send_cancel(exchange: Exchange) -> None:
    with contextlib.suppress(LinkError):
        exchange.link.send(Cancel(exchange.id))


def _record_attempt_end(placement: Placement, upstream: str, reply: Reply) -> None:
    """Record at the placement how an attempt at an upstream ended."""
    has_reported_wait = (
        isinstance(reply, Refused) and reply.reason in WAIT_REPORTED_REASONS
    )
    if has_reported_wait:
        placement.add_report(upstream, GateReport(reply.retry_s * 1000, reply.risk))
    else:
        placement.exclude(upstream)


def _attempt_record_of(
    send_to: SendTo, elapsed_s: float, attempt_reply: Reply
) -> AttemptRecord:
    digest = send_to.choice.candidate.digest
    text = (
        str(attempt_reply.status)
        if isinstance(attempt_reply, Answer)
        else f"{attempt_reply.reason.value}, {attempt_reply.outcome.value}"
    )
    return AttemptRecord(
        digest.upstream,
        send_to.choice.predicted_ms,
        digest.risk,
        send_to.may_wait,
        elapsed_s,
        text,
    )


def _preferred_reply(current: Reply, newest: Reply) -> Reply:
    """Return the reply to keep: an upstream's answer is preferred to a refusal."""
    match current, newest:
        case Answer(), Refused():
            return current
        case Answer(), Answer():
            current.chunks.close()
    return newest


def _attempt_end_of(reply: Reply) -> AttemptEnd:
    match reply:
        case Answer(status):
            return Answered(status)
        case Refused(outcome, reason):
            return Unanswered(outcome, reason)
