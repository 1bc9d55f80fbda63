"""Entry of a request: chooses a gate, sends, and tries another where it may."""

import contextlib
import queue
import random
import threading
from collections import Counter
from collections.abc import Callable

from chicorychute.admission.queue import Decision, Granted
from chicorychute.admission.queue import Refused as QueueRefused
from chicorychute.core.clock import Clock
from chicorychute.core.messages import Cancel, Forward, Relay, Work
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.orders.token import OrderKey
from chicorychute.pipeline.values import Answer, Refused, Reply, Request
from chicorychute.routing.budget import RetryBudget
from chicorychute.routing.candidates import Candidate, Distance, eligible
from chicorychute.routing.choice import choose
from chicorychute.services.exchanges import (
    CHUNK_BYTES,
    Exchange,
    Exchanges,
    send_body_rest,
)
from chicorychute.services.fleet import FleetService
from chicorychute.services.gate import GateService
from chicorychute.table.rows import Repeat
from chicorychute.transport.calls import UpstreamCall
from chicorychute.transport.links import LinkError, LinkHub

MAX_ATTEMPTS = 3
FINAL_REASONS = frozenset(
    {Reason.DEADLINE, Reason.RATE, Reason.QUARANTINED, Reason.CANCELLED}
)
SERVER_ERROR = 500


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
        self._outstanding_by_upstream: Counter[str] = Counter()

    def handle(self, request: Request) -> Reply:
        """Send a request to gates until one answers or none may be tried."""
        row = request.row
        budget = self._budget(row.service)
        budget.deposit(row.retry_share)
        tried: frozenset[str] = frozenset()
        reply: Reply = Refused(Outcome.NOT_RUN, Reason.NO_UPSTREAM)
        for _ in range(MAX_ATTEMPTS):
            candidate = self._choose(request, tried)
            if candidate is None:
                return reply
            if tried and not budget.withdraw():
                return reply
            _discard(reply)
            request.attempt += 1
            reply = self._send(request, candidate)
            tried |= {candidate.digest.upstream}
            if request.scope.cancelled or not _may_retry(reply, row.repeat):
                return reply
            if self._clock.monotonic() >= request.deadline_s:
                return reply
        return reply

    def relay(self, request: Request, key: OrderKey) -> Reply:
        """Pass an order on to its home."""
        record = self._fleet.record_of(key.home.instance)
        lost = Refused(Outcome.UNKNOWN, Reason.HOME_LOST)
        if request.relayed or record is None:
            return lost
        if record.incarnation != key.home.incarnation:
            return lost
        address = (record.host, record.peer_port)
        return self._exchange(
            address,
            request,
            lambda id, work, body, more: Relay(
                id, self._clock.monotonic(), work, body, more
            ),
            "",
            lost,
        )

    def _budget(self, service: str) -> RetryBudget:
        with self._lock:
            return self._budget_by_service.setdefault(service, RetryBudget())

    def _choose(self, request: Request, tried: frozenset[str]) -> Candidate | None:
        row = request.row
        # An order is no request to try a doubtful upstream with.
        draw = self._rng.random() if row.repeat is Repeat.IDEMPOTENT else 1.0
        known = self._fleet.candidates(row.service)
        candidates = eligible(known, row.floor, draw)
        choice = choose(candidates, self._outstanding_by_upstream, tried, self._rng)
        return None if choice is None else choice.candidate

    def _send(self, request: Request, candidate: Candidate) -> Reply:
        upstream = candidate.digest.upstream
        with self._lock:
            self._outstanding_by_upstream[upstream] += 1
        try:
            if candidate.distance == Distance.LOCAL:
                return self._run_here(request, upstream)
            record = self._fleet.record_of(candidate.instance)
            return self._exchange(
                (record.host, record.peer_port),
                request,
                lambda id, work, body, more: Forward(
                    id, self._clock.monotonic(), upstream, work, body, more
                ),
                upstream,
                Refused(Outcome.NOT_RUN, Reason.PEER_LOST),
            )
        finally:
            with self._lock:
                self._outstanding_by_upstream[upstream] -= 1

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


def _may_retry(reply: Reply, repeat: Repeat) -> bool:
    match reply:
        case Answer(status):
            return repeat is Repeat.IDEMPOTENT and status >= SERVER_ERROR
        case Refused(Outcome.NOT_RUN, reason):
            return reason not in FINAL_REASONS
        case _:
            return repeat is Repeat.IDEMPOTENT
