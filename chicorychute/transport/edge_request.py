"""Reader of callers' requests, stricter than that of the HTTP server library.

The library's server (cheroot) accepts malformed lengths, repeated headers and slow
senders; here each ends with a refusal that carries the outcome.
"""

import contextlib
import re

from cheroot.server import HTTPRequest
from cheroot.wsgi import Gateway_10

from chicorychute.core.outcomes import REASON_SPECS, Outcome, Reason
from chicorychute.orders import token
from chicorychute.pipeline.values import AnswerBroken, Refused
from chicorychute.transport.intake import HEAD_END

MAX_HEADERS = 100

REASON_BY_STATUS = {
    "408": Reason.SLOW_REQUEST,
    "413": Reason.TOO_LARGE,
    "414": Reason.TOO_LARGE,
    "500": Reason.INTERNAL,
    "503": Reason.OVERLOAD,
}
ABORT_DETAILS = {
    Reason.SLOW_REQUEST: "the request took too long to arrive",
    Reason.OVERLOAD: "too many requests are on their way in",
}
SINGLETON_HEADERS = frozenset(
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
# Lenient, so that it finds every key that another HTTP parser might accept.
_find_key_candidates = re.compile(
    rb"idempotency[-_]key[ \t]*:?((?:[^\r\n]|\r\n[ \t])*)", re.IGNORECASE
).findall
_is_value = re.compile(rb"[\t\x20-\x7e\x80-\xff]*").fullmatch


def read_headers(rfile, headers: dict[bytes, bytes] | None = None) -> dict:
    """Read the headers of a request.

    Raises
    ------
    ValueError
        If a header is malformed, or repeated though it may occur only once.
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
    if headers.get(b"Expect", b"").lower() == b"100-continue":
        # `EdgeConnections` sent "100 Continue" when the head arrived.
        del headers[b"Expect"]
    return headers


def _read_header(line: bytes, headers: dict[bytes, bytes]) -> None:
    name, colon, value = line[:-2].partition(b":")
    value = value.strip(b" \t")
    if not colon or not _is_name(name):
        raise ValueError("malformed header name (an underscore is not accepted)")
    if not _is_value(value):
        raise ValueError(f"control character in header {name.decode()}")
    name = name.title()
    previous = headers.get(name)
    if previous is not None:
        if name in SINGLETON_HEADERS:
            raise ValueError(f"header {name.decode()} is repeated")
        value = SEPARATOR_BY_HEADER.get(name, b", ").join((previous, value))
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


def may_name_order(head: bytes, max_bytes: int) -> bool:
    """Return whether the head of a refused request may name an existing order.

    False requires a complete head in which nothing that could be parsed as an
    idempotency key names a home.
    """
    if len(head) > max_bytes or not head.endswith(HEAD_END):
        return True
    keys = (key.decode("latin-1").strip() for key in _find_key_candidates(head))
    return any(token.may_name_order(key) for key in keys)


class EdgeRequest(HTTPRequest):
    """Request of a caller; every refusal carries an outcome."""

    header_reader = staticmethod(read_headers)

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.dispatched = False

    @property
    def refusal_outcome(self) -> Outcome:
        """Outcome of a request that is refused while it is read."""
        head = self.conn.received.head
        if self.dispatched or may_name_order(head, self.server.max_request_header_size):
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def read_request_headers(self) -> bool:
        """Read the headers; refuse a body whose end can't be determined."""
        if not super().read_request_headers():
            return False
        if b"Transfer-Encoding" in self.inheaders and not self.chunked_read:
            self.simple_response("400 Bad Request", "HTTP/1.0 has no chunked bodies")
            return False
        return True

    def respond(self) -> None:
        """Answer; reset the connection if the answer breaks off.

        Otherwise a caller could take the incomplete answer for a complete one.
        """
        try:
            super().respond()
            self.conn.wfile.flush()
        except AnswerBroken:
            self.close_connection = True
            self.conn.reset()

    def send_headers(self) -> None:
        """Write the head, which is sent together with the first bytes of the body."""
        with self.conn.wfile.buffering():
            super().send_headers()

    def mark_dispatched(self) -> None:
        """Record that the complete request was read and goes to its handler."""
        self.dispatched = True
        self.conn.is_framed = not self.close_connection

    def try_close(self) -> bool:
        """Close the connection after the answer, unless further requests run ahead.

        Returns
        -------
        bool
            Whether this is the last answer of the connection.
        """
        if not self.conn.connection.order.try_close(self.conn.turn):
            return False
        self.close_connection = True
        self.conn.needs_linger = True
        return True

    def abandon_body(self) -> None:
        """Close the connection after the answer, as the body was not read."""
        self.close_connection = True
        self.conn.needs_linger = True

    def simple_response(self, status: str, msg: str = "") -> None:
        """Write a refusal issued by the HTTP server itself."""
        reason = REASON_BY_STATUS.get(str(status)[:3], Reason.BAD_REQUEST)
        if self.conn.abort_reason is not None:
            reason, msg = self.conn.abort_reason, ABORT_DETAILS[self.conn.abort_reason]
            status = f"{REASON_SPECS[reason].status} {reason.value}"
        outcome = self.refusal_outcome
        self.server.on_refusal(reason)
        refused = Refused(outcome, reason, str(msg))
        response = self.server.dialect.refusal(refused, home="", keeps_serving=False)
        status = self.server.dialect.server_refusal_status(str(status), response)
        lines = [f"{self.server.protocol} {status}"]
        lines.extend(f"{name}: {value}" for name, value in response.headers)
        lines.append(f"Content-Length: {len(response.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.close_connection = True
        self.conn.needs_linger = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("latin-1") + response.body)


class EdgeGateway(Gateway_10):
    """WSGI gateway that adds the request object to the environment."""

    def get_environ(self) -> dict:
        """Return the environment with the request under ``chute.request``."""
        environ = super().get_environ()
        environ["chute.request"] = self.req
        return environ
