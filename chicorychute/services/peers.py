"""Serves the requests that peers send over their links."""

import threading
from collections.abc import Callable, Iterable, Iterator

import attrs
import structlog

from chicorychute.admission.queue import (
    Decision,
    Granted,
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
    Recall,
    RecalledAnswer,
    RecalledRefusal,
    RecallNoted,
    Refusal,
    Relay,
    Work,
)
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.core.workers import WorkerPool
from chicorychute.pipeline.cancel import CancelScope
from chicorychute.pipeline.values import (
    Answer,
    AnswerBroken,
    Refused,
    Reply,
    Request,
    WholeBody,
)
from chicorychute.routing.recall import (
    RecallDecision,
    RecallRegistry,
    RequestEnd,
    SendKey,
)
from chicorychute.services.bodies import settle
from chicorychute.services.exchanges import CHUNK_BYTES
from chicorychute.services.gate import GateService
from chicorychute.services.seats import FULL_DETAIL, ServerSeats
from chicorychute.table.rows import Table
from chicorychute.transport.calls import UpstreamCall
from chicorychute.transport.links import Link, LinkError

RELAY_THREADS = 256
NOT_KEPT_DETAIL = "the answer was lost on its way and is no longer kept"
NEVER_CAME_DETAIL = "the request never came to the gate, and is refused if it does"

Call = Forward | Relay

logger = structlog.get_logger()


@attrs.define(eq=False)
class _Incoming:
    call: Call
    key: SendKey
    deadline_s: float
    body: bytearray
    started: bool = False
    scope: CancelScope = attrs.field(factory=CancelScope)


class PeerService:
    """Runs forwarded and relayed requests and streams their answers back.

    Parameters
    ----------
    handle : callable
        Handles a relayed request as if a caller had sent it here.
    table : callable
        Returns the table in force.
    incarnation : int
        Of this process, which knows nothing of what an earlier one was sent.
    """

    def __init__(
        self,
        gate: GateService,
        clock: Clock,
        handle: Callable[[Request], Reply],
        table: Callable[[], Table | None],
        incarnation: int = 0,
    ):
        self._incarnation = incarnation
        self._book = RecallRegistry(clock)
        self._gate = gate
        self._clock = clock
        self._handle = handle
        self._lock = threading.Lock()
        self._table = table
        self._incoming_by_id: dict[tuple[Link, int], _Incoming] = {}
        self._relays = WorkerPool("relay", RELAY_THREADS)
        self._seats = ServerSeats(RELAY_THREADS)

    def on_call(self, link: Link, call: Call) -> None:
        """Start a request, or keep it until its body is whole."""
        now_s = self._clock.monotonic()
        delay_s = link.clock.delay_s(call.sent_s, now_s)
        deadline_s = now_s - delay_s + call.work.remaining_ms / 1000
        key = SendKey(link.peer.instance, link.peer.incarnation, call.id)
        incoming = _Incoming(call, key, deadline_s, bytearray(call.body), not call.more)
        with self._lock:
            if isinstance(call, Forward) and not self._book.register(key):
                logger.info("request: revoked before it came", id=call.work.id)
                return
            self._incoming_by_id[link, call.id] = incoming
        if incoming.started:
            self._start(link, incoming)

    def on_body(self, link: Link, chunk: BodyChunk) -> None:
        """Add a chunk; the last one starts the request."""
        with self._lock:
            incoming = self._incoming_by_id.get((link, chunk.id))
            if incoming is None or incoming.started:
                return
            incoming.body += chunk.data
            incoming.started = chunk.last
        if chunk.last:
            self._start(link, incoming)

    def on_cancel(self, link: Link, cancel: Cancel) -> None:
        """Withdraw a request: refuse it if it waits, else cut it at its upstream."""
        with self._lock:
            incoming = self._incoming_by_id.get((link, cancel.id))
            if incoming is None:
                return
            if not incoming.started:
                del self._incoming_by_id[link, cancel.id]
                self._book.record_end(incoming.key, _never_came(cancel.id))
        incoming.scope.cancel()

    def on_recall(self, link: Link, recall: Recall) -> None:
        """Tell the end of a request, or see to it that it never runs."""
        key = SendKey(recall.entry, recall.entry_incarnation, recall.id)
        if recall.gate_incarnation != self._incarnation:
            ruling, end = RecallDecision.FORGOTTEN, None
        else:
            with self._lock:
                ruling, end = self._book.recall(key, recall.left_ms / 1000, link)
        logger.info(
            "request: recalled here",
            id=recall.request,
            entry=recall.entry,
            ruling=ruling.value,
        )
        match ruling:
            case RecallDecision.RUNNING:
                _send(link, RecallNoted(key.instance, key.incarnation, key.id))
                return
            case RecallDecision.REVOKED:
                end = _never_came(key.id)
            case RecallDecision.FORGOTTEN:
                end = _not_kept(key.id)
        _send(link, _recalled(key, end))

    def on_closed(self, link: Link) -> None:
        """Withdraw every request of a lost link."""
        with self._lock:
            ids = [id for owner, id in self._incoming_by_id if owner is link]
        for id in ids:
            self.on_cancel(link, Cancel(id))

    def apply(self, table: Table) -> None:
        """Take the priorities of a new table."""
        self._seats.apply(table)

    def _start(self, link: Link, incoming: _Incoming) -> None:
        match incoming.call:
            case Forward():
                self._submit(link, incoming)
            case Relay():
                self._submit_relay(link, incoming)

    def _submit(self, link: Link, incoming: _Incoming) -> None:
        call = incoming.call
        body = bytes(incoming.body)
        upstream_call = UpstreamCall()
        ticket = self._gate.ticket(call.upstream, call.work, body, incoming.deadline_s)

        def run() -> None:
            reply = self._gate.run(
                call.upstream, ticket, call.work, body, upstream_call
            )
            self._finish(link, incoming, reply)

        def start(decision: Decision) -> None:
            match decision:
                case Granted():
                    self._gate.in_pool(run)
                case QueueRefused():
                    refused = self._gate.refused(call.upstream, decision, call.work.id)
                    self._finish(link, incoming, refused)

        self._gate.submit(call.upstream, ticket, start)
        # An order that was sent is left to end: to cut it makes its end unknown.
        left_to_end = call.work.key or not call.work.repeatable
        cut = UpstreamCall() if left_to_end else upstream_call
        incoming.scope.bind(lambda: self._gate.cancel(call.upstream, ticket, cut))

    def _submit_relay(self, link: Link, incoming: _Incoming) -> None:
        work = incoming.call.work
        table = self._table()
        row = None if table is None else table.by_rank.get((work.service, work.rank))
        priority = 0 if row is None else row.priority
        if not self._seats.enter(priority):
            refused = Refused(Outcome.NOT_RUN, Reason.OVERLOAD, FULL_DETAIL)
            self._finish(link, incoming, refused)
            return

        def run() -> None:
            try:
                self._relay(link, incoming)
            finally:
                self._seats.leave(priority)

        self._relays.submit(run)

    def _finish(self, link: Link, incoming: _Incoming, reply: Reply) -> None:
        id = incoming.call.id
        end = None
        try:
            end = send_reply(link, id, settle(reply))
        finally:
            with self._lock:
                self._incoming_by_id.pop((link, id), None)
                askers = self._book.record_end(incoming.key, end)
        told = _not_kept(id) if end is None else end
        for asker in askers:
            _send(asker, _recalled(incoming.key, told))

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
            ruled=call.routing,
            routing=call.routing,
            scope=incoming.scope,
            id=work.id,
            host=_host_of(work),
        )
        self._finish(link, incoming, self._handle(request))


def _host_of(work: Work) -> str:
    return next((value for name, value in work.headers if name == "host"), "")


def _send(link: Link, message: object) -> None:
    try:
        link.send(message)
    except LinkError:
        return


def _never_came(id: int) -> Refusal:
    return Refusal(id, Outcome.NOT_RUN, Reason.PEER_LOST, NEVER_CAME_DETAIL)


def _not_kept(id: int) -> Refusal:
    return Refusal(id, Outcome.UNKNOWN, Reason.PEER_LOST, NOT_KEPT_DETAIL)


def _recalled(key: SendKey, end: RequestEnd) -> RecalledAnswer | RecalledRefusal:
    make = RecalledRefusal if isinstance(end, Refusal) else RecalledAnswer
    return make(key.instance, key.incarnation, end)


def _end_of(id: int, reply: Reply) -> RequestEnd | None:
    """Return the one message that tells a reply, None if it takes several."""
    if isinstance(reply, Refused):
        wait_ms = reply.retry_s * 1000
        return Refusal(
            id, reply.outcome, reply.reason, reply.detail, wait_ms, reply.risk
        )
    if not isinstance(reply.chunks, WholeBody) or reply.length > CHUNK_BYTES:
        return None
    body = b"".join(reply.chunks)
    return AnswerHead(id, reply.status, reply.headers, reply.length, body, True, 0, 0)


def send_reply(link: Link, id: int, reply: Reply) -> RequestEnd | None:
    """Send a whole reply; a lost link ends it, the peer knows it as unknown.

    Returns
    -------
    AnswerHead, Refusal or None
        The one message that told it, None where it took several.
    """
    end = _end_of(id, reply)
    if end is not None:
        _send(link, end)
        return end
    try:
        _send_answer(link, id, reply)
    except LinkError:
        reply.chunks.close()
    except AnswerBroken as error:
        _send(link, Refusal(id, Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error)))
    return None


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
