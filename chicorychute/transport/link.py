"""One websocket connection to a peer, without a thread of its own."""

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
HIGH_WATER_BYTES = 256 << 10  # senders wait above it
MAX_UNSENT_BYTES = 32 << 20  # the reading thread can't wait, so it cuts above it


class LinkFault(enum.Enum):
    """Cause for which this side closed a link."""

    HANDSHAKE = "handshake"
    MALFORMED = "malformed"
    NO_HELLO = "no-hello"
    SECOND_HELLO = "second-hello"
    VERSION = "version"
    WRONG_SIDE = "wrong-side"
    HANDLER = "handler"
    NOT_READING = "not-reading"
    REPLACED = "replaced"


class LinkClock:
    """Estimates how long a message waited on its way.

    The least difference ever seen between the own reading at receipt and the
    sender's reading stands for the clocks' offset; any excess is delay in
    buffers or in a paused process. No clocks need to agree.
    """

    def __init__(self) -> None:
        self._least_s: float | None = None

    def delay_s(self, sent_s: float, received_s: float) -> float:
        """Return the excess delay of a message in seconds."""
        difference = received_s - sent_s
        if self._least_s is None or difference < self._least_s:
            self._least_s = difference
        return difference - self._least_s


class Link:
    """Connection to a peer; `send` may be called from any thread.

    The lock is never held while the socket blocks: what the socket does not
    take at once waits in a buffer that the reading thread empties. A sender
    waits for room in the buffer; the reading thread never does.

    Parameters
    ----------
    watch : callable
        Told whether to call `resume` once the socket takes bytes again.
    reader : threading.Thread
        Reads every link, so it must not wait on one.
    traffic : Tally
        Raised by the bytes of each message sent.
    address : tuple, optional
        Where this side opened the link to; None on an accepted one.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol: ClientProtocol | ServerProtocol,
        watch: Callable[["Link", bool], None],
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
        self.clock = LinkClock()
        self.signs = LinkLiveness(opened_s)
        self.windows = AnswerWindows()
        self.ready = threading.Event()
        self.closed = False
        self.fault: LinkFault | None = None
        self._watch = watch
        self._reader = reader
        self._traffic = traffic
        self._room = threading.Condition()
        self._unsent: deque[memoryview] = deque()
        self._unsent_bytes = 0
        self._watching = False

    def send(self, message: Message) -> None:
        """Write one message, or keep it until the peer reads.

        Raises
        ------
        LinkError
            If the link is closed or the peer does not read in time.
        """
        frame = encode(message)
        with self._room:
            self._wait_for_room()
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
        """Write what the protocol has ready, such as a handshake."""
        with self._room:
            self._flush()

    def ping(self, now_s: float) -> None:
        """Ask the peer for a sign of life, unless the link is closed."""
        self.signs.last_pinged_s = now_s
        with self._room, contextlib.suppress(OSError, WebSocketException):
            if not self.closed:
                self.protocol.send_ping(b"")
                self._flush()

    def resume(self) -> None:
        """Write what was left over, now that the socket takes bytes."""
        with self._room:
            self._write()

    def receive(self, data: bytes) -> list:
        """Feed bytes from the socket; returns the protocol's events."""
        with self._room:
            if data:
                self.protocol.receive_data(data)
            else:
                self.protocol.receive_eof()
            events = self.protocol.events_received()
            self._flush()
            return events

    def is_over(self) -> bool:
        """Tell if the protocol can go no further; notes the fault if it is one."""
        if self.protocol.handshake_exc is not None:
            self.fault = self.fault or LinkFault.HANDSHAKE
            return True
        error = self.protocol.parser_exc
        if error is not None and not isinstance(error, EOFError):
            self.fault = self.fault or LinkFault.MALFORMED
        return self.protocol.state in (State.CLOSING, State.CLOSED)

    def abort(self, fault: LinkFault | None = None) -> None:
        """End the link at once; the reading thread then closes the socket."""
        with self._room:
            if self.closed:
                return
            self.closed = True
            self.fault = self.fault or fault
            self._room.notify_all()
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket; called by the reading thread only."""
        with self._room:
            self.closed = True
            self._room.notify_all()
            self.sock.close()
        self.ready.set()

    def _wait_for_room(self) -> None:
        if threading.current_thread() is self._reader:
            if self._unsent_bytes > MAX_UNSENT_BYTES:
                self.abort(LinkFault.NOT_READING)
            return
        if not self._room.wait_for(self._has_room, SEND_TIMEOUT_S):
            self.abort(LinkFault.NOT_READING)

    def _has_room(self) -> bool:
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
                count = self.sock.send(self._unsent[0])
            except BlockingIOError:
                break
            self._unsent_bytes -= count
            if count == len(self._unsent[0]):
                self._unsent.popleft()
            else:
                self._unsent[0] = self._unsent[0][count:]
        if bool(self._unsent) != self._watching:
            self._watching = not self._watching
            self._watch(self, self._watching)
            self._room.notify_all()
        elif self._watching and self._unsent_bytes <= HIGH_WATER_BYTES:
            self._room.notify_all()
