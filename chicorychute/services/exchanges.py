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
CREDIT_CHUNKS = 8  # half of a sender's window, so that the sender seldom waits

LINK_LOST_DETAIL = "the link was lost before the whole answer came"

AnswerMessage = AnswerHead | AnswerChunk | Refusal


def send_remaining_body(link: Link, id: int, body: bytes) -> None:
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
class RecallInfo:
    """Data needed to recall a request that was sent to a gate.

    Attributes
    ----------
    deadline_s : float
        Clock reading at the deadline of the request.
    repeatable : bool
        Whether the request may run more than once.
    request_id : str
        Id of the caller's request.
    """

    deadline_s: float
    repeatable: bool
    request_id: str


class Exchange:
    """One request sent to a peer, and the messages of its answer.

    Attributes
    ----------
    recall_info : RecallInfo, optional
        Absent if the request can't be recalled, as the peer does not identify it by
        this send alone.
    recalls : Recalls, optional
        Present together with `recall_info`.
    """

    def __init__(
        self, id: int, link: Link, sent_s: float, recall_info: RecallInfo | None
    ):
        self.id = id
        self.link = link
        self.recall_info = recall_info
        self.recalls = (
            None if recall_info is None else Recalls(sent_s, recall_info.repeatable)
        )
        self.has_answer = False
        self.messages: queue.SimpleQueue[AnswerMessage] = queue.SimpleQueue()

    def enqueue(self, message: AnswerMessage) -> None:
        """Enqueue a message of the answer."""
        self.has_answer = True
        self.messages.put(message)


class Exchanges:
    """Open exchanges by id; answers with any other id are dropped."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._ids = itertools.count(1)
        self._lock = threading.Lock()
        self._exchange_by_id: dict[int, Exchange] = {}

    def open(self, link: Link, recall_info: RecallInfo | None = None) -> Exchange:
        """Register a new exchange on `link`."""
        exchange = Exchange(next(self._ids), link, self._clock.monotonic(), recall_info)
        with self._lock:
            self._exchange_by_id[exchange.id] = exchange
        return exchange

    def close(self, exchange: Exchange) -> None:
        """Remove an exchange; later messages of its answer are dropped."""
        with self._lock:
            self._exchange_by_id.pop(exchange.id, None)

    def cancel(self, exchange: Exchange) -> None:
        """Remove an exchange and notify the peer that its answer is not wanted."""
        self.close(exchange)
        with contextlib.suppress(LinkError):
            exchange.link.send(Cancel(exchange.id))

    def awaiting_answer(self) -> list[Exchange]:
        """Return every exchange that can be recalled and has no answer yet."""
        with self._lock:
            exchanges = list(self._exchange_by_id.values())
        return [e for e in exchanges if e.recall_info is not None and not e.has_answer]

    def on_answer_message(self, link: Link, message: AnswerMessage) -> None:
        """Enqueue a message at its exchange, if it came on the exchange's link."""
        exchange = self._exchange_by_id.get(message.id)
        if exchange is not None and exchange.link is link:
            exchange.enqueue(message)

    def on_recall_noted(self, id: int) -> None:
        """Record that the gate of a recalled request is running it."""
        exchange = self._exchange_by_id.get(id)
        if exchange is not None and exchange.recalls is not None:
            exchange.recalls.record_running(self._clock.monotonic())

    def on_recalled_end(self, end: AnswerHead | Refusal) -> None:
        """Enqueue the end of a recalled request at its exchange."""
        exchange = self._exchange_by_id.get(end.id)
        if exchange is None or exchange.recall_info is None or exchange.has_answer:
            return
        withdrawn = isinstance(end, Refusal) and end.reason is Reason.CANCELLED
        if withdrawn:
            # The gate cancelled it when the link was lost; the caller did not.
            end = attrs.evolve(end, reason=Reason.PEER_LOST)
        exchange.enqueue(end)

    def end_as_unknown(self, exchange: Exchange) -> None:
        """End an exchange with an unknown outcome."""
        exchange.enqueue(
            Refusal(exchange.id, Outcome.UNKNOWN, Reason.PEER_LOST, LINK_LOST_DETAIL)
        )

    def on_closed(self, link: Link) -> None:
        """End every exchange on a lost link with an unknown outcome.

        An exchange that can be recalled but not repeated stays open, unless its
        answer has begun: its gate lets the request run to its end.
        """
        with self._lock:
            affected = [e for e in self._exchange_by_id.values() if e.link is link]
        for exchange in affected:
            runs_to_end = (
                exchange.recall_info is not None and not exchange.recall_info.repeatable
            )
            if exchange.has_answer or not runs_to_end:
                self.end_as_unknown(exchange)

    def wait(self, exchange: Exchange, deadline_s: float, upstream: str) -> Reply:
        """Return the answer; reads of its body also end at `deadline_s`."""
        try:
            message = self.next_message(exchange, deadline_s)
        except queue.Empty:
            self.cancel(exchange)
            return Refused(Outcome.UNKNOWN, Reason.DEADLINE, "no answer in time")
        match message:
            case Refusal(_, outcome, reason, detail, wait_ms, risk):
                self.close(exchange)
                return Refused(outcome, reason, detail, wait_ms / 1000, risk)
            case AnswerHead(_, status, headers, length):
                chunks = _RemoteBody(self, exchange, message, deadline_s)
                return Answer(status, headers, length, chunks, upstream)
        self.close(exchange)
        return Refused(Outcome.UNKNOWN, Reason.PEER_LOST, "answer out of order")

    def next_message(self, exchange: Exchange, deadline_s: float) -> AnswerMessage:
        """Return the next message of an answer.

        Raises
        ------
        queue.Empty
            If none comes before `deadline_s`.
        """
        remaining_s = max(0.0, deadline_s - self._clock.monotonic())
        return exchange.messages.get(timeout=remaining_s)


class _RemoteBody:
    """Body whose chunks a peer sends; `close` notifies the peer to stop."""

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
        self._first_chunk = head.body
        self._uncredited_chunks = 0
        self._is_complete = head.last

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._first_chunk:
            data, self._first_chunk = self._first_chunk, b""
            return data
        if self._is_complete:
            self._exchanges.close(self._exchange)
            raise StopIteration
        try:
            message = self._exchanges.next_message(self._exchange, self._deadline_s)
        except queue.Empty as error:
            self.close()
            raise AnswerBroken("the answer stopped before its end") from error
        if not isinstance(message, AnswerChunk):
            self._exchanges.close(self._exchange)
            raise AnswerBroken("the upstream was lost in mid answer")
        self._is_complete = message.last
        self._send_credit()
        return message.data

    def _send_credit(self) -> None:
        self._uncredited_chunks += 1
        if self._uncredited_chunks < CREDIT_CHUNKS or self._is_complete:
            return
        self._uncredited_chunks = 0
        with contextlib.suppress(LinkError):
            self._exchange.link.send(AnswerCredit(self._exchange.id, CREDIT_CHUNKS))

    def close(self) -> None:
        """Discard the rest."""
        if self._is_complete:
            self._exchanges.close(self._exchange)
            return
        self._is_complete = True
        self._exchanges.cancel(self._exchange)
