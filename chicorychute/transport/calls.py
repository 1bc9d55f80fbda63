"""Requests on their way at an upstream, and their cancellation.

A request is cancelled by closing the sending side of its connection, which the
upstream sees as the end of its caller. The receiving side stays open while the
upstream has not answered: what comes on it, an answer or the upstream's own
close, shows that the upstream has stopped running the request.
"""

import contextlib
import io
import select
import socket
import threading
from collections.abc import Callable
from http.client import HTTPConnection as PlainConnection
from http.client import HTTPResponse
from urllib.parse import urlsplit

from urllib3.connection import HTTPConnection

PROBE_CONNECT_TIMEOUT_S = 0.25
MAX_JOINED_BODY_BYTES = 64 << 10  # of a body, sent at once with its head
RESET_WAIT_S = 0.05  # a process that ends resets its connections sooner

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
        """Tell the upstream that its answer is no longer wanted."""
        with self._lock:
            self.cancelled = True
            if self._sock is not None:
                _shut_down(self._sock, both_directions=self._head_received)

    def attach(self, sock: socket.socket) -> None:
        """Take the connection that is about to carry the request.

        Raises
        ------
        ConnectionAbortedError
            If the request was cancelled before.
        """
        with self._lock:
            if self.cancelled:
                raise ConnectionAbortedError("cancelled before it was sent")
            self._sock = sock

    def detach(self) -> None:
        """Let go of a connection that carries the request no longer."""
        with self._lock:
            self._sock = None

    def mark_head_received(self) -> None:
        """Note that the upstream has begun to answer."""
        with self._lock:
            self._head_received = True

    def abandon(self) -> None:
        """Keep the receiving side if the upstream may still run the request."""
        with self._lock:
            if self._sock is None or self._head_received:
                return
            with contextlib.suppress(OSError):
                _shut_down(self._sock, both_directions=False)
                self.abandoned_connection = AbandonedConnection(self._sock.dup())
            self._sock = None


class AbandonedConnection:
    """Receiving side of a connection whose answer nobody waits for."""

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
    """Do nothing with the head of an answer that no call waits for."""


class _TrackedResponse(HTTPResponse):
    """Answer that tells when its head has come."""

    def __init__(self, on_head: Callable[[], None], *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._on_head = on_head

    def begin(self) -> None:
        """Read the head."""
        super().begin()
        self._on_head()


class _SharedReader(io.BufferedReader):
    """Reader of a connection, which outlives the answers that are read with it."""

    keep_open = True

    def close(self) -> None:
        """Close, once the connection is not kept any more."""
        if not self.keep_open:
            super().close()


class _ReaderSocket:
    """What an answer takes for its socket, so that it shares the reader."""

    def __init__(self, reader: _SharedReader):
        self._reader = reader

    def makefile(self, mode: str) -> _SharedReader:
        """Return the reader of the connection."""
        return self._reader


class TrackedConnection(HTTPConnection):
    """Connection that tells the call under way which socket carries it.

    The library's connection makes the socket and writes the request. Its answer
    object, which decodes and retries what a proxy only passes on, is left out for
    the plain one of `http.client`: that is half of the cost of a call.
    """

    # The library's own only check again what the upstream client has checked.
    putrequest = PlainConnection.putrequest
    putheader = PlainConnection.putheader
    _call: UpstreamCall | None = None
    _read_timeout_s: float | None = None
    _pending_head = b""
    _joins_body = False
    _reader: _SharedReader | None = None
    _answer: HTTPResponse | None = None

    def set_timeouts(self, connect_timeout_s: float, read_timeout_s: float) -> None:
        """Set the longest waits for a connection and for the bytes of an answer."""
        self.timeout = connect_timeout_s
        self._read_timeout_s = read_timeout_s

    def request(
        self, method: str, target: str, body: bytes | None, headers: dict[str, str]
    ) -> None:
        """Send a request for the call of this thread."""
        self._pending_head = b""
        self._joins_body = body is not None and len(body) <= MAX_JOINED_BODY_BYTES
        self.detach_call()
        self._call = getattr(_current, "call", None)
        if self.sock is not None:
            self.sock.settimeout(self._read_timeout_s)
            if self._call is not None:
                self._call.attach(self.sock)
        PlainConnection.request(self, method, target, body, headers)

    def send(self, data: bytes) -> None:
        """Write a part of a request; the head waits for a short body."""
        if self._joins_body:
            self._joins_body = False
            self._pending_head = data
            return
        head, self._pending_head = self._pending_head, b""
        super().send(head + data)

    def detach_call(self) -> None:
        """Let go of a call whose answer has been read."""
        if self._call is not None:
            self._call.detach()
            self._call = None

    def connect(self) -> None:
        """Connect on behalf of the call of this thread."""
        super().connect()
        self._reader = _SharedReader(self.sock.makefile("rb", buffering=0))
        self.sock.settimeout(self._read_timeout_s)
        if self._call is not None:
            self._call.attach(self.sock)

    def getresponse(self) -> HTTPResponse:
        """Return the head of the answer."""
        self.response_class = self._begin_answer
        return PlainConnection.getresponse(self)

    def _begin_answer(self, sock: socket.socket, **options) -> HTTPResponse:
        on_head = _ignore_head if self._call is None else self._call.mark_head_received
        reader_socket = _ReaderSocket(self._reader)
        self._answer = _TrackedResponse(on_head, reader_socket, **options)
        return self._answer

    def next_response(self) -> HTTPResponse:
        """Read the answer that was begun to its end; return the one behind it."""
        self._answer.read()
        if self._reader is None:
            raise ConnectionAbortedError("closed behind a stray answer")
        answer = self._begin_answer(self.sock, method=self._method)
        answer.begin()
        return answer

    def has_unread_bytes(self) -> bool:
        """Return whether bytes came behind the answer that was read."""
        self.sock.settimeout(0)
        try:
            return bool(self._reader.peek(1))
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection; one that may still be at work is abandoned."""
        if self._call is not None and self.sock is not None:
            self._call.abandon()
        self._call = None
        reader, self._reader = self._reader, None
        super().close()
        if reader is not None:
            reader.keep_open = False
            if self._answer is None or self._answer.isclosed():
                reader.close()


class _CallContext:
    """Leaner than a generator, which each request would pay for."""

    def __init__(self, call: UpstreamCall):
        self._call = call

    def __enter__(self) -> None:
        _current.call = self._call

    def __exit__(self, *exc_info) -> None:
        _current.call = None


def tracked(call: UpstreamCall) -> contextlib.AbstractContextManager[None]:
    """Make `call` the one that requests of this thread belong to."""
    return _CallContext(call)


def is_listening(url: str) -> bool:
    """Return whether a server takes connections, and does not drop them at once."""
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
