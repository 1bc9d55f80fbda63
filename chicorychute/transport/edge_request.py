"""Reading of a caller's request, stricter than the HTTP server's own.

The server of the library takes malformed lengths, repeated headers and slow
senders; here each ends with a refusal that carries the outcome.
"""

import contextlib
import json
import re
import socket
import struct
import threading

from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import REASON_SPECS, Outcome, Reason
from chicorychute.pipeline.values import AnswerBroken
from chicorychute.transport.edge_streams import EdgeReader, EdgeWriter

MAX_HEADERS = 100
GUARD_TICK_S = 0.2
DISCARD_BYTES = 4 << 20  # of a refused body, so that the refusal arrives
DISCARD_TIMEOUT_S = 0.5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

REASON_BY_STATUS = {
    "408": Reason.SLOW_REQUEST,
    "413": Reason.TOO_LARGE,
    "414": Reason.TOO_LARGE,
    "500": Reason.INTERNAL,
    "503": Reason.OVERLOAD,
}
SINGLE_HEADERS = frozenset(
    {
        b"Authorization",
        b"Chute-Deadline-Ms",
        b"Chute-Team",
        b"Content-Length",
        b"Content-Type",
        b"Host",
        b"Idempotency-Key",
        b"Traceparent",
        b"Transfer-Encoding",
    }
)
SEPARATOR_BY_HEADER = {b"Cookie": b"; "}

_is_name = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+").fullmatch
_is_value = re.compile(rb"[\t\x20-\x7e\x80-\xff]*").fullmatch


def read_headers(rfile, headers: dict[bytes, bytes] | None = None) -> dict:
    """Read the headers of a request.

    Raises
    ------
    ValueError
        If one is malformed, or repeated where only one may stand.
    """
    headers = {} if headers is None else headers
    count = 0
    while True:
        line = rfile.readline()
        if line == b"\r\n":
            break
        if not line.endswith(b"\r\n"):
            raise ValueError("the head ended early, or a line not with CRLF")
        count += 1
        if count > MAX_HEADERS:
            raise ValueError(f"more than {MAX_HEADERS} headers")
        _read_header(line, headers)
    _check_framing(headers)
    return headers


def _read_header(line: bytes, headers: dict[bytes, bytes]) -> None:
    name, colon, value = line[:-2].partition(b":")
    value = value.strip(b" \t")
    if not colon or not _is_name(name):
        raise ValueError("malformed header name (an underscore is not accepted)")
    if not _is_value(value):
        raise ValueError(f"control character in header {name.decode()}")
    name = name.title()
    held = headers.get(name)
    if held is not None:
        if name in SINGLE_HEADERS:
            raise ValueError(f"header {name.decode()} is repeated")
        value = SEPARATOR_BY_HEADER.get(name, b", ").join((held, value))
    headers[name] = value


def _check_framing(headers: dict[bytes, bytes]) -> None:
    length = headers.get(b"Content-Length")
    coding = headers.get(b"Transfer-Encoding")
    if length is not None and not length.isdigit():
        raise ValueError("Content-Length must be a whole number of bytes")
    if length is not None and coding is not None:
        raise ValueError("Content-Length and Transfer-Encoding exclude each other")
    if coding is not None and coding.lower() != b"chunked":
        raise ValueError("Transfer-Encoding must be chunked")


class ReadGuard:
    """Ends the reading of requests that take too long to arrive."""

    def __init__(self, clock: Clock, limit_s: float):
        self._clock = clock
        self._limit_s = limit_s
        self._start_by_request: dict[EdgeRequest, float] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="edge", daemon=True)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped.set()

    def enter(self, request: "EdgeRequest") -> None:
        """Start the limit of a request."""
        self._start_by_request[request] = self._clock.monotonic()

    def leave(self, request: "EdgeRequest") -> None:
        """End the limit of a request that has been read."""
        self._start_by_request.pop(request, None)

    def _run(self) -> None:
        while not self._stopped.wait(GUARD_TICK_S):
            latest_s = self._clock.monotonic() - self._limit_s
            for request, start_s in self._start_by_request.copy().items():
                if start_s < latest_s:
                    self.leave(request)
                    request.cut_off()


class EdgeRequest(HTTPRequest):
    """Request of a caller; every refusal tells its outcome."""

    header_reader = staticmethod(read_headers)

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.dispatched = False
        self.late = False

    def parse_request(self) -> None:
        """Read the head."""
        self.server.guard.enter(self)
        try:
            super().parse_request()
        except BaseException:
            self.server.guard.leave(self)
            raise
        if not self.ready:
            self.server.guard.leave(self)

    def read_request_headers(self) -> bool:
        """Read the headers; refuse a body whose end can't be told."""
        if not super().read_request_headers():
            return False
        if b"Transfer-Encoding" in self.inheaders and not self.chunked_read:
            self.simple_response("400 Bad Request", "HTTP/1.0 has no chunked bodies")
            return False
        return True

    def respond(self) -> None:
        """Answer; a caller never takes a broken answer for a whole one."""
        try:
            super().respond()
            self.conn.wfile.flush()
        except AnswerBroken:
            self.close_connection = True
            self.conn.reset()
        finally:
            self.server.guard.leave(self)

    def send_headers(self) -> None:
        """Write the head, which goes out with the first bytes of the body."""
        with self.conn.wfile.holding():
            super().send_headers()

    def finish_reading(self) -> None:
        """Note that the whole request has been read and goes on to its handler."""
        self.server.guard.leave(self)
        self.dispatched = True

    def give_up_body(self) -> None:
        """Close the connection after the answer, as the body was not read."""
        self.server.guard.leave(self)
        self.close_connection = True
        self.conn.discards = True

    def cut_off(self) -> None:
        """End a read that takes too long."""
        self.late = True
        with contextlib.suppress(OSError):
            self.conn.socket.shutdown(socket.SHUT_RD)

    def simple_response(self, status: str, msg: str = "") -> None:
        """Write a refusal of the server itself."""
        if self.late:
            status, msg = "408 Request Timeout", "the request took too long to arrive"
        reason = REASON_BY_STATUS.get(str(status)[:3], Reason.BAD_REQUEST)
        outcome = Outcome.UNKNOWN if self.dispatched else Outcome.NOT_RUN
        self.server.on_refusal(reason)
        body = refusal_body(outcome, reason, str(msg))
        head = (
            f"{self.server.protocol} {status}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n"
            f"Chute-Outcome: {outcome.value}\r\n"
            f"Chute-Reason: {reason.value}\r\n\r\n"
        )
        self.close_connection = True
        self.conn.discards = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("latin-1") + body)


def refusal_body(outcome: Outcome, reason: Reason, detail: str) -> bytes:
    """Return the JSON body of a refusal."""
    return json.dumps(
        {
            "outcome": outcome.value,
            "reason": reason.value,
            "detail": detail,
            "remedy": REASON_SPECS[reason].remedy,
        }
    ).encode()


class EdgeConnection(HTTPConnection):
    """Connection of a caller."""

    RequestHandlerClass = EdgeRequest
    discards = False
    resets = False

    def __init__(self, server, sock: socket.socket, *args, **kwargs):
        super().__init__(server, sock, *args, **kwargs)
        self.rfile = EdgeReader(sock)
        self.wfile = EdgeWriter(sock)

    def reset(self) -> None:
        """Make the close a reset, which no client takes for a clean end."""
        self.resets = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def close(self) -> None:
        """Close; first discard unread bytes that would hide a refusal."""
        if self.discards:
            with contextlib.suppress(OSError, ValueError):
                self._discard()
        super().close()

    def _close_kernel_socket(self) -> None:
        if not self.resets:  # a shutdown would be a clean end
            super()._close_kernel_socket()

    def _discard(self) -> None:
        self.socket.shutdown(socket.SHUT_WR)
        self.socket.settimeout(DISCARD_TIMEOUT_S)
        left = DISCARD_BYTES
        while left > 0:
            data = self.socket.recv(64 << 10)
            if not data:
                return
            left -= len(data)


class EdgeGateway(Gateway_10):
    """Hands the request itself to the application."""

    def get_environ(self) -> dict:
        """Return the environment with the key ``chute.request``."""
        environ = super().get_environ()
        environ["chute.request"] = self.req
        return environ
