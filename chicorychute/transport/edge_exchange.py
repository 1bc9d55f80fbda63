"""Callers' connections, and the requests on them that are being served."""

import contextlib
import io
import socket
import struct
import threading

import attrs
from cheroot.server import HTTPConnection

from chicorychute.core.outcomes import Reason
from chicorychute.pipeline.cancel import CancelScope
from chicorychute.transport.answer_order import AnswerOrder, Turn
from chicorychute.transport.edge_request import EdgeRequest
from chicorychute.transport.edge_streams import EdgeWriter
from chicorychute.transport.intake import Intake, ReceivedRequest

# Value of SO_LINGER: on, with a time-out of 0 s.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class HeadFile(io.BytesIO):
    """Head of a request, as the file object from which the HTTP server reads."""

    bytes_read = 0


def _make_no_file(sock: socket.socket, mode: str, size: int) -> HeadFile:
    """Return an empty file: each exchange has files of its own."""
    return HeadFile()


class EdgeConnection(HTTPConnection):
    """Connection of a caller, on which several requests may be in flight.

    It is closed once it is closing, nobody reads from it and no request is in flight.

    Attributes
    ----------
    intake : Intake
        Assembles the next request.
    order : AnswerOrder
        Turns of the requests in flight.
    lock : threading.Lock
        Guards `is_read` and `is_closed`.
    is_read : bool
        Whether the connection waits for bytes, or a thread handles some of them.
    is_closing : bool
        Whether no further request is read.
    is_closed : bool
        Whether the socket is closed.
    is_lingering : bool
        Whether bytes are only received to be discarded before the close.
    closes_with_reset : bool
        Whether the close resets the connection.
    abort_reason : Reason, optional
        Why the server stopped receiving the next request.
    waiting_since_s : float
        Time, in seconds of the monotonic clock, at which the current wait or
        request began.
    last_received_s : float
        Time, on the same clock, at which bytes of a request last arrived.
    counted_bytes : int
        Bytes counted for the next request in the server's `BufferedBytes`.
    discarded_bytes : int
        Bytes received while lingering.
    """

    is_read = False
    is_closing = False
    is_closed = False
    is_lingering = False
    closes_with_reset = False
    abort_reason: Reason | None = None
    waiting_since_s = 0.0
    last_received_s = 0.0
    counted_bytes = 0
    discarded_bytes = 0

    def __init__(self, server, sock: socket.socket, makefile=None):
        super().__init__(server, sock, _make_no_file)
        self.intake = Intake(
            server.max_request_header_size, server.max_request_body_size
        )
        self.order = AnswerOrder()
        self.lock = threading.Lock()

    def pop_exchange(self) -> "EdgeExchange | None":
        """Return the request that has arrived, None if an answer closes before it."""
        received = self.intake.pop_request()
        turn = self.order.join()
        return None if turn is None else EdgeExchange(self, received, turn)

    def close(self) -> None:
        """Close the socket."""
        self.server.buffered_bytes.update(self, 0)
        super().close()

    def _close_kernel_socket(self) -> None:
        # A shutdown would send FIN, which ends an answer cleanly.
        if not self.closes_with_reset:
            super()._close_kernel_socket()


class EdgeExchange(HTTPConnection):
    """One request of a connection, and the stream for its answer.

    The HTTP server sees it as a connection with a single request.

    Attributes
    ----------
    abort_reason : Reason, optional
        Why the server stopped receiving the request.
    is_framed : bool
        Whether the bytes that follow the request are another request.
    has_read_ahead : bool
        Whether the next request may be read before this one is answered.
    needs_linger : bool
        Whether the caller may still be sending when the answer closes the
        connection, so that the server has to read on for a while.
    counted_bytes : int
        Bytes counted in the server's `BufferedBytes` until a thread serves it.
    """

    RequestHandlerClass = EdgeRequest
    is_framed = False
    has_read_ahead = False
    needs_linger = False
    counted_bytes = 0

    def __init__(
        self, connection: EdgeConnection, received: ReceivedRequest, turn: Turn
    ):
        self.connection = connection
        self.received = received
        self.turn = turn
        self.abort_reason = connection.abort_reason
        super().__init__(connection.server, connection.socket, self._make_file)
        self.remote_addr = connection.remote_addr
        self.remote_port = connection.remote_port
        self.ssl_env = connection.ssl_env
        self.server.buffered_bytes.update(self, len(received.head) + len(received.body))

    def _make_file(self, sock: socket.socket, mode: str, size: int):
        if "r" in mode:
            return HeadFile(self.received.head)
        return EdgeWriter(sock, self.turn.wait)

    def communicate(self) -> bool:
        """Answer the request; return whether the connection stays open."""
        self.server.buffered_bytes.update(self, 0)
        return super().communicate()

    def reset(self) -> None:
        """Make the close a reset, which no client takes for the end of an answer."""
        self.connection.closes_with_reset = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


@attrs.frozen
class ExchangeTurn:
    """Turn of a request in flight, as the handlers of requests see it.

    Parameters
    ----------
    reads_ahead : bool
        Whether the next request may be read before this one is answered.
    """

    exchange: EdgeExchange
    reads_ahead: bool

    @property
    def scope(self) -> CancelScope:
        """Scope that is cancelled if an earlier answer closes the connection."""
        return self.exchange.turn.scope

    def wait(self) -> bool:
        """Wait for the earlier answers; return whether another may follow them."""
        return self.exchange.turn.wait()

    def read_ahead(self) -> None:
        """Let the next request run before this one is answered."""
        if self.reads_ahead:
            self.exchange.server.read_ahead(self.exchange)
