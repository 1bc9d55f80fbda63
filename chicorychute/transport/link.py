"""A websocket connection to a peer that needs no thread of its own."""

import contextlib
import enum
import socket
import threading
from collections import deque
from collections.abc import Callable

from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.protocol import State
from websockets.server import ServerProtocol

from chicorychute.core.messages import Hello, Message
from chicorychute.routing.recall import LinkLiveness
from chicorychute.telemetry.tally import Tally
from chicorychute.transport.codec import encode
from chicorychute.transport.windows import AnswerWindows, LinkError

SEND_TIMEOUT_S = 5.0
# Senders wait while more bytes than this are unsent.
HIGH_WATER_BYTES = 256 << 10
# The reading thread must not wait; it closes the link above this limit instead.
MAX_UNSENT_BYTES = 32 << 20


class LinkFault(enum.Enum):
    """Reason why this side closed a link."""

    HANDSHAKE = "handshake"
    MALFORMED = "malformed"
    NO_HELLO = "no-hello"
    SECOND_HELLO = "second-hello"
    VERSION = "version"
    WRONG_SIDE = "wrong-side"
    HANDLER = "handler"
    NOT_READING = "not-reading"
    REPLACED = "replaced"


class DelayEstimator:
    """Estimates how long a message was delayed between the peers.

    The smallest difference seen so far between the receiver's clock at receipt and
    the sender's clock at sending is taken as the offset of the two clocks. Any excess
    is delay in buffers or in a paused process. The clocks need not be synchronized.
    """

    def __init__(self) -> None:
        self._min_difference_s: float | None = None

    def delay_s(self, sent_s: float, received_s: float) -> float:
        """Return the delay of a message beyond the smallest one seen, in seconds.

        Parameters
        ----------
        sent_s : float
            Reading of the sender's clock as it sent the message.
        received_s : float
            Reading of the receiver's clock at receipt.
        """
        difference = received_s - sent_s
        if self._min_difference_s is None or difference < self._min_difference_s:
            self._min_difference_s = difference
        return difference - self._min_difference_s


class Link:
    """Connection to a peer; `send` may be called from any thread.

    The lock is never held while the socket blocks: bytes that the socket does not
    accept at once go to a buffer, which the reading thread empties. A sender waits
    for space in the buffer; the reading thread never does.

    Parameters
    ----------
    set_write_interest : callable
        Called with the link and whether `resume` must be called once the socket is
        writable again.
    opened_s : float
        Reading of the monotonic clock in seconds as the link was opened.
    reader : threading.Thread
        Thread that reads every link, so it must not wait for one of them.
    traffic : Tally
        Incremented by the bytes of each message sent.
    address : tuple, optional
        Address of the peer if this side opened the link; None if it accepted the link.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol: ClientProtocol | ServerProtocol,
        set_write_interest: Callable[["Link", bool], None],
        opened_s: float,
        reader: threading.Thread,
        traffic: Tally,
        address: tuple[str, int] | None = None,
    ):
        sock.setblocking(False)
        self.sock = sock
        self.protocol = protocol
        self.address = address
        self.opened_s = opened_s
        self.peer: Hello | None = None
        self.delay_estimator = DelayEstimator()
        self.liveness = LinkLiveness(opened_s)
        self.windows = AnswerWindows()
        self.ready = threading.Event()
        self.closed = False
        self.fault: LinkFault | None = None
        self._set_write_interest = set_write_interest
        self._reader = reader
        self._traffic = traffic
        self._condition = threading.Condition()
        self._unsent: deque[memoryview] = deque()
        self._unsent_bytes = 0
        self._has_write_interest = False

    def send(self, message: Message) -> None:
        """Write one message, or buffer it until the peer reads.

        Raises
        ------
        LinkError
            If the link is closed, breaks, or the peer does not read in time.
        """
        frame = encode(message)
        with self._condition:
            self._wait_for_buffer_space()
            if self.closed:
                raise LinkError("link is closed", "choose another peer")
            try:
                self.protocol.send_binary(frame)
                self._flush()
            except (OSError, WebSocketException) as error:
                self.abort()
                problem = f"link broke ({error})"
                raise LinkError(problem, "choose another peer") from error
        self._traffic.add("sent", type(message).__name__, count=len(frame))

    def flush(self) -> None:
        """Write the bytes that the protocol has ready, such as a handshake."""
        with self._condition:
            self._flush()

    def ping(self, now_s: float) -> None:
        """Send a websocket ping, unless the link is closed."""
        self.liveness.last_pinged_s = now_s
        with self._condition, contextlib.suppress(OSError, WebSocketException):
            if not self.closed:
                self.protocol.send_ping(b"")
                self._flush()

    def resume(self) -> None:
        """Write buffered bytes, as the socket is writable again."""
        with self._condition:
            self._write()

    def receive(self, data: bytes) -> list:
        """Process bytes from the socket and return the protocol's events."""
        with self._condition:
            if data:
                self.protocol.receive_data(data)
            else:
                self.protocol.receive_eof()
            events = self.protocol.events_received()
            self._flush()
            return events

    def has_ended(self) -> bool:
        """Return whether the protocol has ended; record the fault if it failed."""
        if self.protocol.handshake_exc is not None:
            self.fault = self.fault or LinkFault.HANDSHAKE
            return True
        error = self.protocol.parser_exc
        if error is not None and not isinstance(error, EOFError):
            self.fault = self.fault or LinkFault.MALFORMED
        return self.protocol.state in (State.CLOSING, State.CLOSED)

    def abort(self, fault: LinkFault | None = None) -> None:
        """Shut the link down at once; the reading thread then closes the socket."""
        with self._condition:
            if self.closed:
                return
            self.closed = True
            self.fault = self.fault or fault
            self._condition.notify_all()
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket; called by the reading thread only."""
        with self._condition:
            self.closed = True
            self._condition.notify_all()
            self.sock.close()
        self.ready.set()

    def _wait_for_buffer_space(self) -> None:
        if threading.current_thread() is self._reader:
            if self._unsent_bytes > MAX_UNSENT_BYTES:
                self.abort(LinkFault.NOT_READING)
            return
        if not self._condition.wait_for(self._has_buffer_space, SEND_TIMEOUT_S):
            self.abort(LinkFault.NOT_READING)

    def _has_buffer_space(self) -> bool:
        return self.closed or self._unsent_bytes <= HIGH_WATER_BYTES

    def _flush(self) -> None:
        for data in self.protocol.data_to_send():
            if data:
                self._unsent.append(memoryview(data))
                self._unsent_bytes += len(data)
        self._write()

    def _write(self) -> None:
        while self._unsent:
            try:
                sent_bytes = self.sock.send(self._unsent[0])
            except BlockingIOError:
                break
            self._unsent_bytes -= sent_bytes
            if sent_bytes == len(self._unsent[0]):
                self._unsent.popleft()
            else:
                self._unsent[0] = self._unsent[0][sent_bytes:]
        if bool(self._unsent) != self._has_write_interest:
            self._has_write_interest = not self._has_write_interest
            self._set_write_interest(self, self._has_write_interest)
            self._condition.notify_all()
        elif self._has_write_interest and self._unsent_bytes <= HIGH_WATER_BYTES:
            self._condition.notify_all()
