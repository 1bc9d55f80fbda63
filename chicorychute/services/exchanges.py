"""Requests that wait for a peer's answer."""

import contextlib
import itertools
import queue
import threading
from collections.abc import Iterator

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import (
    AnswerChunk,
    AnswerCredit,
    AnswerHead,
    BodyChunk,
    Cancel,
    Refusal,
)
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Answer, AnswerBroken, Refused, Reply
from chicorychute.routing.recall import Recalls
from chicorychute.transport.links import Link, LinkError

CHUNK_BYTES = 64 << 10
CREDIT_CHUNKS = 8  # half of a sender's window, so that it seldom waits

LOST_DETAIL = "the link was lost before the whole answer came"

AnswerPart = AnswerHead | AnswerChunk | Refusal


def send_body_rest(link: Link, id: int, body: bytes) -> None:
    """Send the chunks of `body` after the first.

    Raises
    ------
    LinkError
        If the link is lost.
    """
    for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
        data = body[start : start + CHUNK_BYTES]
        link.send(BodyChunk(id, data, start + CHUNK_BYTES >= len(body)))


@attrs.frozen
class GateSend:
    """What it takes to recall a request that was sent to a gate.

    Attributes
    ----------
    request : str
        Id of the caller's request.
    """

    deadline_s: float
    repeatable: bool
    request: str


class Exchange:
    """One request sent to a peer and the parts of its answer.

    Attributes
    ----------
    send : GateSend, optional
        Absent where the peer does not know the request by this send alone.
    recalls : Recalls, optional
        Present with `send`.
    """

    def __init__(self, id: int, link: Link, sent_s: float, send: GateSend | None):
        self.id = id
        self.link = link
        self.send = send
        self.recalls = None if send is None else Recalls(sent_s, send.repeatable)
        self.has_answer = False
        self.parts: queue.SimpleQueue[AnswerPart] = queue.SimpleQueue()

    def put(self, part: AnswerPart) -> None:
        """Take a part of the answer."""
        self.has_answer = True
        self.parts.put(part)


class Exchanges:
    """Open exchanges by id; answers of any other id are dropped."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._ids = itertools.count(1)
        self._lock = threading.Lock()
        self._exchange_by_id: dict[int, Exchange] = {}

    def open(self, link: Link, send: GateSend | None = None) -> Exchange:
        """Register a new exchange on `link`."""
        exchange = Exchange(next(self._ids), link, self._clock.monotonic(), send)
        with self._lock:
            self._exchange_by_id[exchange.id] = exchange
        return exchange

    def close(self, exchange: Exchange) -> None:
        """Forget an exchange."""
        with self._lock:
            self._exchange_by_id.pop(exchange.id, None)

    def cancel(self, exchange: Exchange) -> None:
        """Forget an exchange and tell the peer that its answer is not wanted."""
        self.close(exchange)
        with contextlib.suppress(LinkError):
            exchange.link.send(Cancel(exchange.id))

    def waiting(self) -> list[Exchange]:
        """Return every exchange that can be recalled and has no answer yet."""
        with self._lock:
            exchanges = list(self._exchange_by_id.values())
        return [e for e in exchanges if e.send is not None and not e.has_answer]

    def on_part(self, link: Link, part: AnswerPart) -> None:
        """Hand a part to its exchange, if it came on the exchange's link."""
        exchange = self._exchange_by_id.get(part.id)
        if exchange is not None and exchange.link is link:
            exchange.put(part)

    def on_noted(self, id: int) -> None:
        """Note that the gate of a recalled request runs it."""
        exchange = self._exchange_by_id.get(id)
        if exchange is not None and exchange.recalls is not None:
            exchange.recalls.record_running(self._clock.monotonic())

    def on_recalled(self, end: AnswerHead | Refusal) -> None:
        """Hand the end of a recalled request to its exchange."""
        exchange = self._exchange_by_id.get(end.id)
        if exchange is None or exchange.send is None or exchange.has_answer:
            return
        withdrawn = isinstance(end, Refusal) and end.reason is Reason.CANCELLED
        if withdrawn:
            # The gate withdrew it with the link; the caller did not.
            end = attrs.evolve(end, reason=Reason.PEER_LOST)
        exchange.put(end)

    def give_up(self, exchange: Exchange) -> None:
        """End an exchange as unknown."""
        exchange.put(
            Refusal(exchange.id, Outcome.UNKNOWN, Reason.PEER_LOST, LOST_DETAIL)
        )

    def on_closed(self, link: Link) -> None:
        """End every exchange on a lost link as unknown.

        One that may not be repeated is left open: its gate lets it run to its end,
        which can be recalled.
        """
        with self._lock:
            lost = [e for e in self._exchange_by_id.values() if e.link is link]
        for exchange in lost:
            left_to_end = exchange.send is not None and not exchange.send.repeatable
            if exchange.has_answer or not left_to_end:
                self.give_up(exchange)

    def wait(self, exchange: Exchange, deadline_s: float, upstream: str) -> Reply:
        """Return the answer, whose chunks wait until `deadline_s` too."""
        try:
            part = self.next_part(exchange, deadline_s)
        except queue.Empty:
            self.cancel(exchange)
            return Refused(Outcome.UNKNOWN, Reason.DEADLINE, "no answer in time")
        match part:
            case Refusal(_, outcome, reason, detail, wait_ms, risk):
                self.close(exchange)
                return Refused(outcome, reason, detail, wait_ms / 1000, risk)
            case AnswerHead(_, status, headers, length):
                chunks = _RemoteBody(self, exchange, part, deadline_s)
                return Answer(status, headers, length, chunks, upstream)
        self.close(exchange)
        return Refused(Outcome.UNKNOWN, Reason.PEER_LOST, "answer out of order")

    def next_part(self, exchange: Exchange, deadline_s: float) -> AnswerPart:
        """Return the next part of an answer.

        Raises
        ------
        queue.Empty
            If none comes before `deadline_s`.
        """
        left_s = max(0.0, deadline_s - self._clock.monotonic())
        return exchange.parts.get(timeout=left_s)


class _RemoteBody:
    """Body whose chunks a peer sends; `close` tells the peer to stop."""

    def __init__(
        self,
        exchanges: Exchanges,
        exchange: Exchange,
        head: AnswerHead,
        deadline_s: float,
    ):
        self._exchanges = exchanges
        self._exchange = exchange
        self._deadline_s = deadline_s
        self._first = head.body
        self._taken = 0
        self._last = head.last

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._first:
            data, self._first = self._first, b""
            return data
        if self._last:
            self._exchanges.close(self._exchange)
            raise StopIteration
        try:
            part = self._exchanges.next_part(self._exchange, self._deadline_s)
        except queue.Empty as error:
            self.close()
            raise AnswerBroken("the answer stopped before its end") from error
        if not isinstance(part, AnswerChunk):
            self._exchanges.close(self._exchange)
            raise AnswerBroken("the upstream was lost in mid answer")
        self._last = part.last
        self._give_credit()
        return part.data

    def _give_credit(self) -> None:
        self._taken += 1
        if self._taken < CREDIT_CHUNKS or self._last:
            return
        self._taken = 0
        with contextlib.suppress(LinkError):
            self._exchange.link.send(AnswerCredit(self._exchange.id, CREDIT_CHUNKS))

    def close(self) -> None:
        """Give the rest up."""
        if self._last:
            self._exchanges.close(self._exchange)
            return
        self._last = True
        self._exchanges.cancel(self._exchange)
