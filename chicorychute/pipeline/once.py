"""Filter that runs an order at its home, at most once."""

import hashlib
import threading
from collections.abc import Callable

from result import Err

from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.orders.ledger import (
    Deny,
    Dispatch,
    Lost,
    OrderLedger,
    Repeat,
    Ruling,
    StoredAnswer,
    Wait,
)
from chicorychute.orders.token import OrderKey, parse_key
from chicorychute.pipeline.values import (
    Answer,
    AnswerBroken,
    Handler,
    Refused,
    Reply,
    Request,
    WholeBody,
)
from chicorychute.table.rows import Repeat as RepeatPolicy

DENIED_OUTCOMES = {
    Reason.HOME_LOST: Outcome.UNKNOWN,
    Reason.KEY_EXPIRED: Outcome.UNKNOWN,
}


class OrderHome:
    """Runs orders of this home and passes the others on to theirs.

    Parameters
    ----------
    relay : callable
        Takes a request and its key to the home named in the key.
    """

    def __init__(
        self, ledger: OrderLedger, relay: Callable[[Request, OrderKey], Reply]
    ):
        self._ledger = ledger
        self._relay = relay
        self._lock = threading.Lock()

    def home(self) -> str:
        """Return a token for new orders."""
        return str(self._ledger.mint())

    def filter(self, handler: Handler) -> Handler:
        """Let idempotent requests through and rule on the others."""

        def run(request: Request) -> Reply:
            if request.row.repeat is RepeatPolicy.IDEMPOTENT:
                return handler(request)
            parsed = parse_key(request.key)
            if isinstance(parsed, Err):
                return Refused(Outcome.NOT_RUN, parsed.err_value)
            key = parsed.ok_value
            with self._lock:
                if not self._ledger.owns(key):
                    ruling = None
                else:
                    ruling = self._ledger.begin(key, _fingerprint(request))
            if ruling is None:
                return self._relay(request, key)
            return self._follow(ruling, key, request, handler)

        return run

    def _follow(
        self, ruling: Ruling, key: OrderKey, request: Request, handler: Handler
    ) -> Reply:
        match ruling:
            case Dispatch():
                return self._dispatch(key, request, handler)
            case Repeat(answer):
                return _replay(answer)
            case Wait():
                return Refused(Outcome.UNKNOWN, Reason.ALREADY_RUNNING)
            case Lost():
                return Refused(Outcome.UNKNOWN, Reason.UPSTREAM_LOST)
            case Deny(reason):
                outcome = DENIED_OUTCOMES.get(reason, Outcome.NOT_RUN)
                return Refused(outcome, reason)

    def _dispatch(self, key: OrderKey, request: Request, handler: Handler) -> Reply:
        reply = handler(request)
        if isinstance(reply, Refused):
            with self._lock:
                if reply.outcome is Outcome.NOT_RUN:
                    self._ledger.not_run(key)
                else:
                    self._ledger.lost(key)
            return reply
        try:
            body = b"".join(reply.chunks)
        except AnswerBroken as error:
            with self._lock:
                self._ledger.lost(key)
            return Refused(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error))
        answer = StoredAnswer(reply.status, reply.headers, body)
        with self._lock:
            self._ledger.ran(key, answer)
        return _replay(answer)


def _replay(answer: StoredAnswer) -> Answer:
    return Answer(
        answer.status, answer.headers, len(answer.body), WholeBody(answer.body)
    )


def _fingerprint(request: Request) -> str:
    digest = hashlib.sha256(f"{request.method} {request.target}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()
