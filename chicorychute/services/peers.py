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
    PeerRequest,
    Recall,
    RecalledAnswer,
    RecalledRefusal,
    RecallNoted,
    Refusal,
    Relay,
)
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.core.workers import WorkerPool
from chicorychute.pipeline.cancel import CancelScope
from chicorychute.pipeline.values import (
    Answer,
    AnswerBroken,
    BufferedBody,
    Refused,
    Reply,
    Request,
)
from chicorychute.routing.recall import (
    RecallDecision,
    RecallRegistry,
    RequestEnd,
    SendKey,
)
from chicorychute.services.bodies import buffer_short_answer
from chicorychute.services.exchanges import CHUNK_BYTES
from chicorychute.services.gate import GateService
from chicorychute.services.permits import FULL_DETAIL, ServerPermits
from chicorychute.table.rows import Table
from chicorychute.transport.calls import UpstreamCall
from chicorychute.transport.links import Link, LinkError

RELAY_THREADS = 256
ANSWER_LOST_DETAIL = "the answer was lost on its way and is no longer kept"
NEVER_ARRIVED_DETAIL = "the request never came to the gate, and is refused if it does"

RequestMessage = Forward | Relay

logger = structlog.get_logger()


@attrs.define(eq=False)
class _Incoming:
    request_message: RequestMessage
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
    get_table : callable
        Returns the table in force.
    incarnation : int
        Incarnation of this process, which does not know the requests that were sent
        to an earlier one.
    """

    def __init__(
        self,
        gate: GateService,
        clock: Clock,
        handle: Callable[[Request], Reply],
        get_table: Callable[[], Table | None],
        incarnation: int = 0,
    ):
        self._incarnation = incarnation
        self._recall_registry = RecallRegistry(clock)
        self._gate = gate
        self._clock = clock
        self._handle = handle
        self._lock = threading.Lock()
        self._get_table = get_table
        self._incoming_by_id: dict[tuple[Link, int], _Incoming] = {}
        self._relays = WorkerPool("relay", RELAY_THREADS)
        self._relay_permits = ServerPermits(RELAY_THREADS)

    def on_peer_request(self, link: Link, request_message: RequestMessage) -> None:
        """Start a request, or keep it until its body is complete."""
        now_s = self._clock.monotonic()
        delay_s = link.delay_estimator.delay_s(request_message.sent_s, now_s)
        deadline_s = now_s - delay_s + request_message.request.remaining_ms / 1000
        key = SendKey(link.peer.instance, link.peer.incarnation, request_message.id)
        incoming = _Incoming(
            request_message,
            key,
            deadline_s,
            bytearray(request_message.body),
            not request_message.has_more,
        )
        with self._lock:
            if isinstance(
                request_message, Forward
            ) and not self._recall_registry.register(key):
                logger.info(
                    "request: revoked before it came", id=request_message.request.id
                )
                return
            self._incoming_by_id[link, request_message.id] = incoming
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
        """Cancel a request: refuse it if it waits, else abort it at its upstream."""
        with self._lock:
            incoming = self._incoming_by_id.get((link, cancel.id))
            if incoming is None:
                return
            if not incoming.started:
                del self._incoming_by_id[link, cancel.id]
                self._recall_registry.record_end(
                    incoming.key, _never_arrived(cancel.id)
                )
        incoming.scope.cancel()

    def on_recall(self, link: Link, recall: Recall) -> None:
        """Reply with the end of a request, or revoke it if it has not arrived."""
        key = SendKey(recall.entry, recall.entry_incarnation, recall.id)
        if recall.gate_incarnation != self._incarnation:
            recall_decision, end = RecallDecision.FORGOTTEN, None
        else:
            with self._lock:
                recall_decision, end = self._recall_registry.recall(
                    key, recall.until_deadline_ms / 1000, link
                )
        logger.info(
            "request: recalled here",
            id=recall.request_id,
            entry=recall.entry,
            ruling=recall_decision.value,
        )
        match recall_decision:
            case RecallDecision.RUNNING:
                _try_send(link, RecallNoted(key.instance, key.incarnation, key.id))
                return
            case RecallDecision.REVOKED:
                end = _never_arrived(key.id)
            case RecallDecision.FORGOTTEN:
                end = _answer_lost(key.id)
        _try_send(link, _recalled_message(key, end))

    def on_closed(self, link: Link) -> None:
        """Cancel every request of a lost link."""
        with self._lock:
            ids = [id for owner, id in self._incoming_by_id if owner is link]
        for id in ids:
            self.on_cancel(link, Cancel(id))

    def apply(self, table: Table) -> None:
        """Apply the priorities of a new table."""
        self._relay_permits.apply(table)

    def _start(self, link: Link, incoming: _Incoming) -> None:
        match incoming.request_message:
            case Forward():
                self._submit_forward(link, incoming)
            case Relay():
                self._submit_relay(link, incoming)

    def _submit_forward(self, link: Link, incoming: _Incoming) -> None:
        request_message = incoming.request_message
        body = bytes(incoming.body)
        upstream_call = UpstreamCall()
        ticket = self._gate.ticket(
            request_message.upstream, request_message.request, body, incoming.deadline_s
        )

        def run() -> None:
            reply = self._gate.run(
                request_message.upstream,
                ticket,
                request_message.request,
                body,
                upstream_call,
            )
            self._send_end(link, incoming, reply)

        def on_decision(decision: Decision) -> None:
            match decision:
                case Granted():
                    self._gate.run_in_pool(run)
                case QueueRefused():
                    refused = self._gate.refusal_of(
                        request_message.upstream, decision, request_message.request.id
                    )
                    self._send_end(link, incoming, refused)

        self._gate.submit(request_message.upstream, ticket, on_decision)
        # An order that was sent runs to its end: aborted, its outcome would be unknown.
        runs_to_end = (
            request_message.request.key or not request_message.request.repeatable
        )
        call_to_cancel = UpstreamCall() if runs_to_end else upstream_call
        incoming.scope.bind(
            lambda: self._gate.cancel(request_message.upstream, ticket, call_to_cancel)
        )

    def _submit_relay(self, link: Link, incoming: _Incoming) -> None:
        peer_request = incoming.request_message.request
        table = self._get_table()
        row = (
            None
            if table is None
            else table.by_rank.get((peer_request.service, peer_request.rank))
        )
        priority = 0 if row is None else row.priority
        if not self._relay_permits.acquire(priority):
            refused = Refused(Outcome.NOT_RUN, Reason.OVERLOAD, FULL_DETAIL)
            self._send_end(link, incoming, refused)
            return

        def run() -> None:
            try:
                self._relay(link, incoming)
            finally:
                self._relay_permits.release(priority)

        self._relays.submit(run)

    def _send_end(self, link: Link, incoming: _Incoming, reply: Reply) -> None:
        id = incoming.request_message.id
        end = None
        try:
            end = send_reply(link, id, buffer_short_answer(reply))
        finally:
            with self._lock:
                self._incoming_by_id.pop((link, id), None)
                waiting_links = self._recall_registry.record_end(incoming.key, end)
        reported_end = _answer_lost(id) if end is None else end
        for waiting_link in waiting_links:
            _try_send(waiting_link, _recalled_message(incoming.key, reported_end))

    def _relay(self, link: Link, incoming: _Incoming) -> None:
        request_message = incoming.request_message
        peer_request = request_message.request
        now_s = self._clock.monotonic()
        request = Request(
            peer_request.method,
            peer_request.target,
            peer_request.headers,
            bytes(incoming.body),
            peer_request.team,
            peer_request.key,
            peer_request.traceparent,
            now_s,
            asked_ms=(incoming.deadline_s - now_s) * 1000,
            attempt=peer_request.attempt,
            relayed=True,
            home_decided=request_message.route_only,
            relayed_for_routing=request_message.route_only,
            scope=incoming.scope,
            id=peer_request.id,
            host=_host_of(peer_request),
        )
        self._send_end(link, incoming, self._handle(request))


def _host_of(peer_request: PeerRequest) -> str:
    return next((value for name, value in peer_request.headers if name == "host"), "")


def _try_send(link: Link, message: object) -> None:
    try:
        link.send(message)
    except LinkError:
        return


def _never_arrived(id: int) -> Refusal:
    return Refusal(id, Outcome.NOT_RUN, Reason.PEER_LOST, NEVER_ARRIVED_DETAIL)


def _answer_lost(id: int) -> Refusal:
    return Refusal(id, Outcome.UNKNOWN, Reason.PEER_LOST, ANSWER_LOST_DETAIL)


def _recalled_message(
    key: SendKey, end: RequestEnd
) -> RecalledAnswer | RecalledRefusal:
    message_type = RecalledRefusal if isinstance(end, Refusal) else RecalledAnswer
    return message_type(key.instance, key.incarnation, end)


def _single_message_of(id: int, reply: Reply) -> RequestEnd | None:
    """Return the single message of a reply, None if the reply takes several."""
    if isinstance(reply, Refused):
        wait_ms = reply.retry_s * 1000
        return Refusal(
            id, reply.outcome, reply.reason, reply.detail, wait_ms, reply.risk
        )
    if not isinstance(reply.chunks, BufferedBody) or reply.length > CHUNK_BYTES:
        return None
    body = b"".join(reply.chunks)
    return AnswerHead(id, reply.status, reply.headers, reply.length, body, True, 0, 0)


def send_reply(link: Link, id: int, reply: Reply) -> RequestEnd | None:
    """Send a complete reply; stops if the link is lost.

    The peer then ends the request with an unknown outcome, or recalls it.

    Returns
    -------
    AnswerHead, Refusal or None
        The single message of the reply, None if it took several.
    """
    end = _single_message_of(id, reply)
    if end is not None:
        _try_send(link, end)
        return end
    try:
        _send_answer(link, id, reply)
    except LinkError:
        reply.chunks.close()
    except AnswerBroken as error:
        _try_send(link, Refusal(id, Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error)))
    return None


def _send_answer(link: Link, id: int, reply: Answer) -> None:
    chunks = _with_last_flag(reply.chunks)
    first, last = next(chunks, (b"", True))
    link.windows.open(id)
    try:
        link.send(
            AnswerHead(id, reply.status, reply.headers, reply.length, first, last, 0, 0)
        )
        for data, last in chunks:
            link.windows.consume_credit(id)
            link.send(AnswerChunk(id, data, last))
    finally:
        link.windows.end(id)


def _with_last_flag(chunks: Iterable[bytes]) -> Iterator[tuple[bytes, bool]]:
    """Yield chunks of at most CHUNK_BYTES, each with whether it is the last."""
    pending = None
    for chunk in chunks:
        for start in range(0, len(chunk), CHUNK_BYTES):
            if pending is not None:
                yield pending, False
            pending = chunk[start : start + CHUNK_BYTES]
    yield (pending or b""), True
