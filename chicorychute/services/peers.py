"""Serves the requests that peers send over their links."""

import threading
from collections.abc import Callable, Iterable, Iterator

import attrs

from chicorychute.admission.queue import (
    Decision,
    Granted,
    Ticket,
)
from chicorychute.admission.queue import (
    Refused as QueueRefused,
)
from chicorychute.core.clock import Clock
from chicorychute.core.messages import (
    AnswerChunk,
    AnswerHead,
    BodyChunk,
    Cancel,
    Forward,
    Refusal,
    Relay,
)
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Answer, AnswerBroken, Refused, Reply, Request
from chicorychute.services.exchanges import CHUNK_BYTES
from chicorychute.services.gate import GateService
from chicorychute.transport.links import Link, LinkError

Call = Forward | Relay


@attrs.define
class _Incoming:
    call: Call
    deadline_s: float
    body: bytearray


class PeerService:
    """Runs forwarded and relayed requests and streams their answers back.

    Parameters
    ----------
    handle : callable
        Handles a relayed request as if a caller had sent it here.
    """

    def __init__(
        self, gate: GateService, clock: Clock, handle: Callable[[Request], Reply]
    ):
        self._gate = gate
        self._clock = clock
        self._handle = handle
        self._lock = threading.Lock()
        self._incoming_by_id: dict[tuple[Link, int], _Incoming] = {}
        self._ticket_by_id: dict[tuple[Link, int], tuple[str, Ticket]] = {}

    def on_call(self, link: Link, call: Call) -> None:
        """Start a request, or keep it until its body is whole."""
        now_s = self._clock.monotonic()
        delay_s = link.clock.delay_s(call.sent_s, now_s)
        deadline_s = now_s - delay_s + call.work.remaining_ms / 1000
        incoming = _Incoming(call, deadline_s, bytearray(call.body))
        if call.more:
            with self._lock:
                self._incoming_by_id[link, call.id] = incoming
            return
        self._start(link, incoming)

    def on_body(self, link: Link, chunk: BodyChunk) -> None:
        """Add a chunk; the last one starts the request."""
        with self._lock:
            incoming = self._incoming_by_id.get((link, chunk.id))
            if incoming is None:
                return
            incoming.body += chunk.data
            if chunk.last:
                del self._incoming_by_id[link, chunk.id]
        if chunk.last:
            self._start(link, incoming)

    def on_cancel(self, link: Link, cancel: Cancel) -> None:
        """Withdraw a request that still waits for a slot."""
        with self._lock:
            self._incoming_by_id.pop((link, cancel.id), None)
            waiting = self._ticket_by_id.pop((link, cancel.id), None)
        if waiting is not None and self._gate.cancel(*waiting):
            _send(link, Refusal(cancel.id, Outcome.NOT_RUN, Reason.CANCELLED, ""))

    def on_closed(self, link: Link) -> None:
        """Withdraw every waiting request of a lost link."""
        with self._lock:
            ids = [id for owner, id in self._ticket_by_id if owner is link]
            for key in [k for k in self._incoming_by_id if k[0] is link]:
                del self._incoming_by_id[key]
        for id in ids:
            self.on_cancel(link, Cancel(id))

    def _start(self, link: Link, incoming: _Incoming) -> None:
        match incoming.call:
            case Forward():
                self._submit(link, incoming)
            case Relay():
                self._gate.in_pool(lambda: self._relay(link, incoming))

    def _submit(self, link: Link, incoming: _Incoming) -> None:
        call = incoming.call

        def start(decision: Decision) -> None:
            with self._lock:
                self._ticket_by_id.pop((link, call.id), None)
            match decision:
                case Granted():
                    self._gate.in_pool(lambda: self._run(link, incoming))
                case QueueRefused(_, reason):
                    _send(link, Refusal(call.id, Outcome.NOT_RUN, reason, ""))

        ticket = Ticket(call.work.rank, incoming.deadline_s)
        with self._lock:
            self._ticket_by_id[link, call.id] = (call.upstream, ticket)
        self._gate.submit(call.upstream, ticket, start)

    def _run(self, link: Link, incoming: _Incoming) -> None:
        call = incoming.call
        body = bytes(incoming.body)
        reply = self._gate.run(call.upstream, call.work, body, incoming.deadline_s)
        send_reply(link, call.id, reply)

    def _relay(self, link: Link, incoming: _Incoming) -> None:
        call = incoming.call
        work = call.work
        now_s = self._clock.monotonic()
        request = Request(
            work.method,
            work.target,
            work.headers,
            bytes(incoming.body),
            work.team,
            work.key,
            work.traceparent,
            now_s,
            asked_ms=(incoming.deadline_s - now_s) * 1000,
            attempt=work.attempt,
            relayed=True,
        )
        send_reply(link, call.id, self._handle(request))


def _send(link: Link, message: object) -> None:
    try:
        link.send(message)
    except LinkError:
        return


def send_reply(link: Link, id: int, reply: Reply) -> None:
    """Send a whole reply; a lost link ends it, the peer knows it as unknown."""
    if isinstance(reply, Refused):
        _send(link, Refusal(id, reply.outcome, reply.reason, reply.detail))
        return
    try:
        _send_answer(link, id, reply)
    except LinkError:
        reply.chunks.close()
    except AnswerBroken as error:
        _send(link, Refusal(id, Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error)))


def _send_answer(link: Link, id: int, reply: Answer) -> None:
    chunks = _lookahead(reply.chunks)
    first, last = next(chunks, (b"", True))
    link.windows.open(id)
    try:
        link.send(
            AnswerHead(id, reply.status, reply.headers, reply.length, first, last, 0, 0)
        )
        for data, last in chunks:
            link.windows.take(id)
            link.send(AnswerChunk(id, data, last))
    finally:
        link.windows.end(id)


def _lookahead(chunks: Iterable[bytes]) -> Iterator[tuple[bytes, bool]]:
    """Yield pieces of at most CHUNK_BYTES, each with whether it is the last."""
    held = None
    for chunk in chunks:
        for start in range(0, len(chunk), CHUNK_BYTES):
            if held is not None:
                yield held, False
            held = chunk[start : start + CHUNK_BYTES]
    yield (held or b""), True
