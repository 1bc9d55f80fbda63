"""Filters that run an order at its home, at most once."""

import hashlib
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs
import structlog
from result import Err, Ok

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.orders.ledger import (
    RUNNING_LIMIT,
    AnswerNotKept,
    Deny,
    Dispatch,
    OrderDecision,
    OrderLedger,
    OutcomeUnknown,
    ReplayAnswer,
    StoredAnswer,
    Wait,
)
from chicorychute.orders.token import OrderKey, may_name_order, parse_key
from chicorychute.pipeline.values import (
    Answer,
    AnswerBroken,
    BufferedBody,
    Handler,
    Refused,
    Reply,
    Request,
)
from chicorychute.table.rows import Repeat

COLLECTED_ANSWER_LIMIT_BYTES = 16 << 20

OUTCOME_BY_REASON = {
    Reason.HOME_LOST: Outcome.UNKNOWN,
    Reason.KEY_EXPIRED: Outcome.UNKNOWN,
}
RAN_WITHOUT_ANSWER = Refused(Outcome.RAN, Reason.ANSWER_NOT_KEPT)

logger = structlog.get_logger()


class _RunningOrder:
    """Order that is running; `end` is set by the time `done` is."""

    def __init__(self) -> None:
        self.done = threading.Event()
        self.end: StoredAnswer | Refused | None = None


class OrderHome:
    """Runs the orders of this home and relays all others to theirs.

    An order runs on a thread of its own, up to the deadline of its row. A caller
    waits for its end only until the caller's own deadline, and may ask again with
    the same key.

    Parameters
    ----------
    relay : callable
        Relays a request to the home named in the given key.
    """

    def __init__(
        self,
        ledger: OrderLedger,
        relay: Callable[[Request, OrderKey], Reply],
        clock: Clock,
    ):
        self._ledger = ledger
        self._relay = relay
        self._clock = clock
        self._lock = threading.Lock()
        self._running_by_key: dict[OrderKey, _RunningOrder] = {}
        # The ledger denies orders over the limit, so none queues here.
        self._pool = ThreadPoolExecutor(RUNNING_LIMIT, thread_name_prefix="order")

    def new_token(self) -> str:
        """Return a token for new orders, empty once the home is leaving."""
        with self._lock:
            token = self._ledger.mint()
        return "" if token is None else str(token)

    def leave(self) -> None:
        """Accept no new orders; known ones are answered as before."""
        with self._lock:
            self._ledger.leave()

    def idle(self) -> bool:
        """Return whether no order runs."""
        with self._lock:
            return not self._running_by_key

    def confirm_not_run(self, handler: Handler) -> Handler:
        """Report a keyed request as not run only if its home confirms it.

        A filter may refuse a send before the home has decided on its key, while
        an earlier send of the same order ran or is still in transit.
        """

        def run(request: Request) -> Reply:
            reply = handler(request)
            if not isinstance(reply, Refused) or reply.outcome is not Outcome.NOT_RUN:
                return reply
            if request.home_decided or not self._may_be_order(request):
                return reply
            return (
                reply
                if self._close_key(request.key)
                else attrs.evolve(reply, outcome=Outcome.UNKNOWN)
            )

        return run

    def handle_orders(self, handler: Handler) -> Handler:
        """Run or relay orders, which name their home, and pass all else through."""

        def run(request: Request) -> Reply:
            if request.relayed_for_routing or request.row.repeat is not Repeat.ONCE:
                return handler(request)
            request.home_decided = True
            match parse_key(request.key):
                case Err(reason):
                    outcome = OUTCOME_BY_REASON.get(reason, Outcome.NOT_RUN)
                    return Refused(outcome, reason, "the key is malformed")
                case Ok(key) if not self._ledger.owns(key):
                    return self._relay(request, key)
                case Ok(key):
                    return self._begin(key, request, handler)

        return run

    def _may_be_order(self, request: Request) -> bool:
        if request.row is not None and request.row.repeat is not Repeat.ONCE:
            return False
        return may_name_order(request.key)

    def _close_key(self, text: str) -> bool:
        """Close a key; returns whether its order provably never ran and never will."""
        match parse_key(text):
            case Ok(key):
                with self._lock:
                    return self._ledger.close(key)
        return False

    def _begin(self, key: OrderKey, request: Request, handler: Handler) -> Reply:
        fingerprint = _fingerprint(request)
        with self._lock:
            decision = self._ledger.begin(key, fingerprint)
            if isinstance(decision, Dispatch):
                self._running_by_key[key] = _RunningOrder()
            running = self._running_by_key.get(key)
        if isinstance(decision, Dispatch):
            self._start(key, running, request, handler)
        return self._reply_to_decision(decision, running, request)

    def _reply_to_decision(
        self, decision: OrderDecision, running: _RunningOrder | None, request: Request
    ) -> Reply:
        match decision:
            case Dispatch() | Wait():
                return self._wait(running, request.deadline_s)
            case ReplayAnswer(answer):
                return _stored_reply(answer)
            case AnswerNotKept():
                return RAN_WITHOUT_ANSWER
            case OutcomeUnknown():
                return Refused(Outcome.UNKNOWN, Reason.UPSTREAM_LOST)
            case Deny(reason):
                outcome = OUTCOME_BY_REASON.get(reason, Outcome.NOT_RUN)
                return Refused(outcome, reason)

    def _wait(self, running: _RunningOrder, deadline_s: float) -> Reply:
        running.done.wait(max(0.0, deadline_s - self._clock.monotonic()))
        match running.end:
            case None:
                detail = "the order still runs"
                return Refused(Outcome.UNKNOWN, Reason.ALREADY_RUNNING, detail)
            case StoredAnswer():
                return _stored_reply(running.end)
            case Refused():
                return running.end

    def _start(
        self, key: OrderKey, running: _RunningOrder, request: Request, handler: Handler
    ) -> None:
        detached = _detached_request(request)
        try:
            self._pool.submit(self._run, key, running, detached, handler)
        except RuntimeError as error:
            logger.warning("order: no thread could be started", error=str(error))
            self._record_end(key, running, Refused(Outcome.NOT_RUN, Reason.OVERLOAD))

    def _run(
        self, key: OrderKey, running: _RunningOrder, request: Request, handler: Handler
    ) -> None:
        try:
            end = _collect(handler(request))
        except Exception:
            logger.exception(
                "order: handler raised an unexpected exception, outcome unknown"
            )
            end = Refused(Outcome.UNKNOWN, Reason.UPSTREAM_LOST)
        self._record_end(key, running, end)

    def _record_end(
        self, key: OrderKey, running: _RunningOrder, end: StoredAnswer | Refused
    ) -> None:
        with self._lock:
            match end:
                case StoredAnswer():
                    self._ledger.record_ran(key, end)
                case Refused(Outcome.NOT_RUN):
                    self._ledger.record_not_run(key)
                case Refused(Outcome.RAN):
                    self._ledger.record_ran_without_answer(key)
                case _:
                    self._ledger.record_unknown(key)
            del self._running_by_key[key]
        running.end = end
        running.done.set()


def _detached_request(request: Request) -> Request:
    """Return a copy that the home runs, whatever the caller's request does."""
    limit_s = request.row.deadline_ms / 1000
    return Request(
        request.method,
        request.target,
        request.headers,
        request.body,
        request.team,
        request.key,
        request.traceparent,
        request.received_s,
        deadline_s=request.received_s + limit_s,
        row=request.row,
        attempt=request.attempt,
        relayed=request.relayed,
        home_decided=True,
    )


def _collect(reply: Reply) -> StoredAnswer | Refused:
    if isinstance(reply, Refused):
        return reply
    body = bytearray()
    try:
        for chunk in reply.chunks:
            body += chunk
            if len(body) > COLLECTED_ANSWER_LIMIT_BYTES:
                reply.chunks.close()
                return RAN_WITHOUT_ANSWER
    except AnswerBroken as error:
        return Refused(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error))
    return StoredAnswer(reply.status, reply.headers, bytes(body), reply.upstream)


def _stored_reply(answer: StoredAnswer) -> Answer:
    body = BufferedBody(answer.body)
    length = len(answer.body)
    return Answer(answer.status, answer.headers, length, body, answer.upstream)


def _fingerprint(request: Request) -> str:
    """Return a digest of the order, without the headers that a resend may change."""
    content_type = next(
        (v for n, v in request.headers if n.lower() == "content-type"), ""
    )
    digest = hashlib.sha256()
    for field in (request.method, request.target, request.team, content_type):
        digest.update(f"{len(field)}:{field}".encode())
    digest.update(request.body)
    return digest.hexdigest()
