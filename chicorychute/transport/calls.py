"""Connections that carry a request to an upstream, and its cancellation.

A request is cancelled by closing the sending side of its connection, which the
upstream sees as its caller having disconnected. The receiving side stays open until
the upstream answers or closes the connection, which shows that it has stopped
running the request.
"""

import contextlib
import select
import socket
import threading
from collections.abc import Callable
from http.client import HTTPConnection as PlainConnection
from http.client import HTTPException, HTTPResponse
from urllib.parse import urlsplit

from urllib3.connection import HTTPConnection

from chicorychute.core.clock import Clock
from chicorychute.transport.bounded import MAX_HEAD_BYTES, BoundedReader, ReadLimits
from chicorychute.transport.framing import AnswerReader, FramedResponse

PROBE_CONNECT_TIMEOUT_S = 0.25
# A body of up to this size is sent together with its head.
MAX_JOINED_BODY_BYTES = 64 << 10
# A process that ends resets its connections within less time.
RESET_WAIT_S = 0.05
# Limit of a late answer to an earlier request, which is read and discarded.
MAX_LATE_ANSWER_BYTES = 1 << 20
DISCARD_BYTES = 64 << 10

_current = threading.local()


class UpstreamCall:
    """One request at an upstream; `cancel` may be called from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sock: socket.socket | None = None
        self._head_received = False
        self.cancelled = False
        self.abandoned_connection: AbandonedConnection | None = None

    def cancel(self) -> None:
        """Cancel the request.

        Closes the sending side of the connection, or both sides if the upstream has
        begun to answer.
        """
        with self._lock:
            self.cancelled = True
            if self._sock is not None:
                _shut_down(self._sock, both_directions=self._head_received)

    def attach(self, sock: socket.socket) -> None:
        """Register the connection that is about to carry the request.

        Raises
        ------
        ConnectionAbortedError
            If the request was already cancelled.
        """
        with self._lock:
            if self.cancelled:
                raise ConnectionAbortedError("cancelled before it was sent")
            self._sock = sock

    def detach(self) -> None:
        """Unregister the connection, as it no longer carries the request."""
        with self._lock:
            self._sock = None

    def mark_head_received(self) -> None:
        """Record that the upstream has begun to answer."""
        with self._lock:
            self._head_received = True

    def mark_head_awaited(self) -> None:
        """Record that the answer which has begun belongs to an earlier request."""
        with self._lock:
            self._head_received = False

    def abandon(self) -> None:
        """Keep the receiving side open if the upstream may still run the request."""
        with self._lock:
            if self._sock is None or self._head_received:
                return
            with contextlib.suppress(OSError):
                _shut_down(self._sock, both_directions=False)
                self.abandoned_connection = AbandonedConnection(self._sock.dup())
            self._sock = None


class AbandonedConnection:
    """Receiving side of a connection whose answer is no longer awaited."""

    def __init__(self, sock: socket.socket):
        self._sock = sock

    def has_ended(self) -> bool:
        """Return whether the upstream has answered or closed the connection."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def _ignore_head() -> None:
    """Ignore the head of an answer that belongs to no call."""


class _TrackedResponse(FramedResponse):
    """Answer that calls `on_head` once its head has been read."""

    def __init__(self, on_head: Callable[[], None], *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._on_head = on_head

    def begin(self) -> None:
        """Read the head."""
        super().begin()
        self._on_head()


class _ReaderSocket:
    """Stands in for the socket of an answer, which thus uses the shared reader."""

    def __init__(self, reader: AnswerReader):
        self._reader = reader

    def makefile(self, mode: str) -> AnswerReader:
        """Return the reader of the connection."""
        return self._reader


class TrackedConnection(HTTPConnection):
    """Connection that registers its socket with the current call.

    The connection class of `urllib3` opens the socket and writes the request. Its
    response class decodes and retries, which a proxy does not need, and accounts for
    half of the cost of a call; the response class of `http.client` is used instead.

    Attributes
    ----------
    write_error : OSError, optional
        Error with which the connection broke while the last request was written. The
        operating system reports a reset once: to this write, so that the reader of the
        answer sees a plain end of the connection.
    """

    # The methods of `urllib3` repeat checks that the upstream client has made.
    putrequest = PlainConnection.putrequest
    putheader = PlainConnection.putheader
    _call: UpstreamCall | None = None
    _answer_timeout_s: float | None = None
    _pending_head = b""
    _joins_body = False
    _reader: AnswerReader | None = None
    _answer: HTTPResponse | None = None
    write_error: OSError | None = None

    def __init__(self, host: str, port: int, clock: Clock):
        super().__init__(host, port)
        self._clock = clock
        self._limits = ReadLimits(clock)

    def set_timeouts(self, connect_timeout_s: float, answer_timeout_s: float) -> None:
        """Set the timeouts for connecting and for the whole answer, in seconds."""
        self.timeout = connect_timeout_s
        self._answer_timeout_s = answer_timeout_s
        self._limits.set_deadline(self._clock.monotonic() + answer_timeout_s)

    def allow_body(self, byte_count: int) -> None:
        """Allow the next read of a body, with the framing around it."""
        self._limits.allow(byte_count + MAX_HEAD_BYTES)

    def request(
        self, method: str, target: str, body: bytes | None, headers: dict[str, str]
    ) -> None:
        """Send a request for the current call of this thread.

        An upstream may answer and close the connection before it has read the whole
        body, so that a broken connection is no failure yet; `write_error` states it.
        """
        self.write_error = None
        self._pending_head = b""
        self._joins_body = body is not None and len(body) <= MAX_JOINED_BODY_BYTES
        self.detach_call()
        self._call = getattr(_current, "call", None)
        if self.sock is not None:
            self.sock.settimeout(self._answer_timeout_s)
            if self._call is not None:
                self._call.attach(self.sock)
        try:
            PlainConnection.request(self, method, target, body, headers)
        except (BrokenPipeError, ConnectionResetError) as error:
            self.write_error = error

    def send(self, data: bytes) -> None:
        """Write bytes of a request; a head with a short body waits for the body."""
        if self._joins_body:
            self._joins_body = False
            self._pending_head = data
            return
        head, self._pending_head = self._pending_head, b""
        super().send(head + data)

    def detach_call(self) -> None:
        """Detach the call, as its answer has been read."""
        if self._call is not None:
            self._call.detach()
            self._call = None

    def connect(self) -> None:
        """Connect for the current call."""
        super().connect()
        self._reader = AnswerReader(BoundedReader(self.sock, self._limits))
        self.sock.settimeout(self._answer_timeout_s)
        if self._call is not None:
            self._call.attach(self.sock)

    def getresponse(self) -> HTTPResponse:
        """Return the answer once its head has been read."""
        self.response_class = self._begin_answer
        self._limits.allow(MAX_HEAD_BYTES)
        return PlainConnection.getresponse(self)

    def _begin_answer(self, sock: socket.socket, **options) -> HTTPResponse:
        on_head = _ignore_head if self._call is None else self._call.mark_head_received
        reader_socket = _ReaderSocket(self._reader)
        self._answer = _TrackedResponse(on_head, reader_socket, **options)
        return self._answer

    def next_response(self) -> HTTPResponse:
        """Read the current answer to its end and return the next one."""
        self._limits.allow(MAX_LATE_ANSWER_BYTES)
        while self._answer.read1(DISCARD_BYTES):
            pass
        # The connection takes no further request while it has an open answer.
        self._answer.close()
        if self._reader is None:
            raise ConnectionAbortedError("closed behind a stray answer")
        if self._call is not None:
            self._call.mark_head_awaited()
        answer = self._begin_answer(self.sock, method=self._method)
        answer.begin()
        return answer

    def has_unread_bytes(self) -> bool:
        """Return whether bytes followed the answer that was read.

        A connection that has failed counts as having some, so that it is not reused.
        """
        self._limits.stop_waiting()
        try:
            return bool(self._reader.peek(1))
        except (HTTPException, OSError):
            return True

    def close(self) -> None:
        """Close the connection.

        Its receiving side stays open if the upstream may still run the request.
        """
        if self._call is not None and self.sock is not None:
            self._call.abandon()
        self._call = None
        reader, self._reader = self._reader, None
        super().close()
        if reader is not None:
            reader.keep_open = False
            if self._answer is None or self._answer.isclosed():
                reader.close()

    def abort(self) -> None:
        """Close the connection, and an answer that has not been read to its end."""
        self.close()
        if self._answer is not None:
            self._answer.close()


class _CallContext:
    """Context manager; a class costs each request less than a generator."""

    def __init__(self, call: UpstreamCall):
        self._call = call

    def __enter__(self) -> None:
        _current.call = self._call

    def __exit__(self, *exc_info) -> None:
        _current.call = None


def tracked(call: UpstreamCall) -> contextlib.AbstractContextManager[None]:
    """Return a context in which requests of this thread belong to `call`."""
    return _CallContext(call)


def is_listening(url: str) -> bool:
    """Return whether a server accepts connections and does not close them at once."""
    parsed = urlsplit(url)
    try:
        with socket.create_connection(
            (parsed.hostname, parsed.port or 80), timeout=PROBE_CONNECT_TIMEOUT_S
        ) as sock:
            sock.settimeout(RESET_WAIT_S)
            return bool(sock.recv(1))
    except TimeoutError:
        return True
    except OSError:
        return False


def _shut_down(sock: socket.socket, both_directions: bool) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR if both_directions else socket.SHUT_WR)
