"""Entry of a request: chooses a gate, sends, and tries another where it may."""

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
from chicorychute.core.messages import Cancel, Forward, MemberRecord, Relay, Work
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.orders.homes import NoHome, RelayTo, find_home
from chicorychute.orders.token import OrderKey
from chicorychute.pipeline.values import Answer, CountedBody, Refused, Reply, Request
from chicorychute.routing.attempts import (
    Answered,
    AttemptEnd,
    Attempts,
    Ended,
    Stop,
)
from chicorychute.routing.budget import RegionBudget, RetryBudget
from chicorychute.routing.candidates import (
    Candidate,
    Distance,
    distance_between,
    eligible,
)
from chicorychute.routing.choice import Choice, NoChoice, choose
from chicorychute.routing.hosts import may_try_another, nearest_hosts
from chicorychute.services.exchanges import (
    CHUNK_BYTES,
    Exchange,
    Exchanges,
    send_body_rest,
)
from chicorychute.services.fleet import FleetService
from chicorychute.services.gate import GateService
from chicorychute.table.rows import Repeat, Row
from chicorychute.transport.calls import UpstreamCall
from chicorychute.transport.links import LinkError, LinkHub

HEAD_BYTES = 500  # head of a request and of its answer on a link


class EntryService:
    """Last handler of the pipeline: routes, sends and retries.

    Parameters
    ----------
    hub : callable
        Returns the hub of peer links, which is built after the entry.
    """

    def __init__(
        self,
        gate: GateService,
        fleet: FleetService,
        exchanges: Exchanges,
        hub: Callable[[], LinkHub],
        clock: Clock,
        rng: random.Random,
    ):
        self._gate = gate
        self._fleet = fleet
        self._exchanges = exchanges
        self._hub = hub
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._region_budget_by_service: dict[str, RegionBudget] = {}
        # Upstreams by rank: what waits behind a request is no load to it.
        self._outstanding_by_rank: defaultdict[str, Counter[str]] = defaultdict(Counter)

    def handle(self, request: Request) -> Reply:
        """Send a request to gates until one answers or none may be tried."""
        known = self._fleet.candidates(request.row.service)
        if known or request.routing:
            return self._try_gates(request, known)
        return self._try_hosts(request)

    def _try_hosts(self, request: Request) -> Reply:
        """Have a host of the service choose the gate."""
        hosts = self._fleet.hosts(request.row.service)
        reply: Reply = Refused(Outcome.NOT_RUN, Reason.NO_UPSTREAM)
        for host in nearest_hosts(self._fleet.own(), hosts, self._rng):
            unreachable = Refused(Outcome.NOT_RUN, Reason.PEER_LOST)
            reply = self._relay_to(request, host, unreachable, routing=True)
            end = _end_of(reply)
            if isinstance(end, Answered) or not may_try_another(end):
                return reply
        return reply

    def _try_gates(self, request: Request, known: Iterable[Candidate]) -> Reply:
        row = request.row
        budget = self._budget(row)
        attempts = Attempts(row.repeat, budget, request.deadline_s, request.attempt)
        tried: frozenset[str] = frozenset()
        reply: Reply = Refused(Outcome.NOT_RUN, Reason.NO_UPSTREAM)
        while True:
            choice = self._choose(request, known, tried)
            if isinstance(choice, NoChoice):
                return reply if tried else Refused(Outcome.NOT_RUN, choice.reason)
            if not self._may_start(attempts, choice):
                return reply if tried else Refused(Outcome.NOT_RUN, Reason.DEADLINE)
            _discard(reply)
            request.attempt = attempts.sent
            reply = self._send(request, choice.candidate)
            tried |= {choice.candidate.digest.upstream}
            action = attempts.on_end(_end_of(reply), self._clock.monotonic())
            if isinstance(reply, Refused):
                reply = attrs.evolve(reply, outcome=attempts.outcome)
            if isinstance(action, Stop) or request.scope.cancelled:
                return reply
            known = self._fleet.candidates(row.service)

    def relay(self, request: Request, key: OrderKey) -> Reply:
        """Pass an order on to its home."""
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
        routing: bool = False,
    ) -> Reply:
        reply = self._exchange(
            (record.host, record.peer_port),
            request,
            lambda id, work, body, more: Relay(
                id, self._clock.monotonic(), work, body, more, routing
            ),
            "",
            unreachable,
        )
        if distance_between(self._fleet.own(), record) == Distance.BEYOND:
            return self._count_bytes(request, reply)
        return reply

    def _budget(self, row: Row) -> RetryBudget:
        with self._lock:
            budget = self._budget_by_service.setdefault(row.service, RetryBudget())
            budget.deposit(row.retry_share)
        return budget

    def _may_start(self, attempts: Attempts, choice: Choice) -> bool:
        with self._lock:
            now_s = self._clock.monotonic()
            return attempts.may_start(now_s, choice.predicted_ms / 1000)

    def _choose(
        self, request: Request, known: Iterable[Candidate], tried: frozenset[str]
    ) -> Choice | NoChoice:
        row = request.row
        # An order is no request to try a doubtful upstream with.
        draw = self._rng.random() if row.repeat is Repeat.IDEMPOTENT else 1.0
        candidates = eligible(known, row.floor, draw)
        remaining_s = request.deadline_s - self._clock.monotonic()
        with self._lock:
            beyond_allowed = self._region_budget(row.service).allows(
                row.cross_region_kbps
            )
        return choose(
            candidates,
            self._outstanding_by_rank[row.rank],
            tried,
            self._rng,
            remaining_s * 1000,
            beyond_allowed,
            row.rank,
        )

    def _region_budget(self, service: str) -> RegionBudget:
        budget = self._region_budget_by_service.get(service)
        if budget is None:
            budget = RegionBudget(self._clock)
            self._region_budget_by_service[service] = budget
        return budget

    def _send(self, request: Request, candidate: Candidate) -> Reply:
        upstream = candidate.digest.upstream
        with self._lock:
            outstanding = self._outstanding_by_rank[request.row.rank]
            outstanding[upstream] += 1
        try:
            if candidate.distance == Distance.LOCAL:
                return self._run_here(request, upstream)
            reply = self._forward(request, candidate)
            if candidate.distance == Distance.BEYOND:
                return self._count_bytes(request, reply)
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
        return self._exchange(
            (record.host, record.peer_port),
            request,
            lambda id, work, body, more: Forward(
                id, self._clock.monotonic(), upstream, work, body, more
            ),
            upstream,
            unreachable,
        )

    def _count_bytes(self, request: Request, reply: Reply) -> Reply:
        """Charge a request and its answer to the budget beyond the region."""
        service = request.row.service

        def spend(size: int) -> None:
            with self._lock:
                self._region_budget(service).spend(size)

        spend(HEAD_BYTES + len(request.body))
        if isinstance(reply, Refused):
            return reply
        return attrs.evolve(reply, chunks=CountedBody(reply.chunks, spend))

    def _run_here(self, request: Request, upstream: str) -> Reply:
        decisions: queue.SimpleQueue[Decision] = queue.SimpleQueue()
        work = self._work(request)
        call = UpstreamCall()
        ticket = self._gate.ticket(upstream, work, request.body, request.deadline_s)
        self._gate.submit(upstream, ticket, decisions.put)
        if request.row.repeat is Repeat.IDEMPOTENT:
            request.scope.bind(lambda: self._gate.cancel(upstream, ticket, call))
        match decisions.get():
            case Granted():
                return self._gate.run(upstream, ticket, work, request.body, call)
            case QueueRefused(_, reason):
                return Refused(Outcome.NOT_RUN, reason)

    def _exchange(
        self,
        address: tuple[str, int],
        request: Request,
        make: Callable[[int, Work, bytes, bool], Forward | Relay],
        upstream: str,
        unreachable: Refused,
    ) -> Reply:
        try:
            link = self._hub().link_to(address)
        except LinkError:
            return unreachable
        if self._clock.monotonic() >= request.deadline_s:
            return attrs.evolve(unreachable, reason=Reason.DEADLINE)
        exchange = self._exchanges.open(link)
        body = request.body
        more = len(body) > CHUNK_BYTES
        call = make(exchange.id, self._work(request), body[:CHUNK_BYTES], more)
        try:
            link.send(call)
            if more:
                send_body_rest(link, exchange.id, body)
        except LinkError as error:
            self._exchanges.close(exchange)
            return Refused(Outcome.UNKNOWN, Reason.PEER_LOST, str(error))
        if request.row.repeat is Repeat.IDEMPOTENT:
            request.scope.bind(lambda: _cancel(exchange))
        return self._exchanges.wait(exchange, request.deadline_s, upstream)

    def _work(self, request: Request) -> Work:
        return Work(
            request.method,
            request.target,
            request.headers,
            request.row.service,
            request.row.rank,
            request.team,
            request.key,
            request.traceparent,
            request.attempt,
            (request.deadline_s - self._clock.monotonic()) * 1000,
        )


def _cancel(exchange: Exchange) -> None:
    with contextlib.suppress(LinkError):
        exchange.link.send(Cancel(exchange.id))


def _discard(reply: Reply) -> None:
    if isinstance(reply, Answer):
        reply.chunks.close()


def _end_of(reply: Reply) -> AttemptEnd:
    match reply:
        case Answer(status):
            return Answered(status)
        case Refused(outcome, reason):
            return Ended(outcome, reason)
