"""Websocket links between daemons, read by one thread and written by any.

The `websockets` library gives the protocol without I/O; this module owns the
sockets. One selector thread reads every link, so that a daemon with thousands
of peers needs no thread for each.
"""

import contextlib
import selectors
import socket
import threading
from collections.abc import Callable

import structlog
from websockets.client import ClientProtocol
from websockets.frames import Opcode
from websockets.http11 import Request, Response
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from chicorychute.core.clock import Clock
from chicorychute.core.exceptions import ChuteError
from chicorychute.core.messages import PROTOCOL_VERSION, Hello, Message
from chicorychute.transport.codec import CodecError, decode, encode

CONNECT_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 5.0
READ_BYTES = 1 << 18
MAX_FRAME_BYTES = 8 << 20
POLL_S = 0.2

logger = structlog.get_logger()


class LinkError(ChuteError):
    """A peer can't be reached, or a link to it is lost."""


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
    """One connection to a peer; `send` may be called from any thread."""

    def __init__(self, sock: socket.socket, protocol: ClientProtocol | ServerProtocol):
        self.sock = sock
        self.protocol = protocol
        self.peer: Hello | None = None
        self.clock = LinkClock()
        self.ready = threading.Event()
        self.closed = False
        self._lock = threading.Lock()

    def send(self, message: Message) -> None:
        """Write one message.

        Raises
        ------
        LinkError
            If the link is closed or the peer does not read in time.
        """
        frame = encode(message)
        with self._lock:
            if self.closed:
                raise LinkError("link is closed", "choose another peer")
            try:
                self.protocol.send_binary(frame)
                self._flush()
            except (OSError, ValueError) as error:
                self.abort()
                raise LinkError(f"link broke ({error})", "choose another peer") from (
                    error
                )

    def flush(self) -> None:
        """Write what the protocol has ready, such as a handshake."""
        with self._lock:
            self._flush()

    def receive(self, data: bytes) -> list:
        """Feed bytes from the socket; returns the protocol's events."""
        with self._lock:
            if data:
                self.protocol.receive_data(data)
            else:
                self.protocol.receive_eof()
            events = self.protocol.events_received()
            self._flush()
            return events

    def abort(self) -> None:
        """Close the socket at once."""
        self.closed = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _flush(self) -> None:
        for data in self.protocol.data_to_send():
            if data:
                self.sock.sendall(data)


Handler = Callable[[Link, Message], None]


class LinkHub:
    """Accepts, opens and reads links.

    Parameters
    ----------
    own : Hello
        Introduction sent on every link.
    on_message, on_closed : callable
        Called on the reading thread; they must not block.
    """

    def __init__(
        self,
        own: Hello,
        address: tuple[str, int],
        clock: Clock,
        on_message: Handler,
        on_closed: Callable[[Link], None],
    ):
        self._own = own
        self._clock = clock
        self._on_message = on_message
        self._on_closed = on_closed
        self._selector = selectors.DefaultSelector()
        self._server = socket.create_server(address, backlog=512)
        self._server.setblocking(False)
        self._selector.register(self._server, selectors.EVENT_READ, None)
        self._link_by_address: dict[tuple[str, int], Link] = {}
        self._opening_by_address: dict[tuple[str, int], threading.Lock] = {}
        self._lock = threading.Lock()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="links", daemon=True)

    @property
    def port(self) -> int:
        """Port on which peers connect."""
        return self._server.getsockname()[1]

    def start(self) -> None:
        """Start the reading thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close every link and the listener."""
        self._stopping = True
        self._thread.join(timeout=5)

    def link_to(self, address: tuple[str, int]) -> Link:
        """Return an open link to a peer, opening one if needed.

        Raises
        ------
        LinkError
            If the peer does not answer in time.
        """
        with self._lock:
            link = self._link_by_address.get(address)
            if link is not None and not link.closed:
                return link
            opening = self._opening_by_address.setdefault(address, threading.Lock())
        with opening:
            with self._lock:
                link = self._link_by_address.get(address)
                if link is not None and not link.closed:
                    return link
            link = self._open(address)
            with self._lock:
                self._link_by_address[address] = link
            return link

    def _open(self, address: tuple[str, int]) -> Link:
        host, port = address
        remedy = "check the address, or wait until the peer is back"
        try:
            sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
        except OSError as error:
            problem = f"can't reach peer {host}:{port} ({error})"
            raise LinkError(problem, remedy) from error
        _prepare(sock)
        uri = parse_uri(f"ws://{host}:{port}/links")
        protocol = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
        link = Link(sock, protocol)
        protocol.send_request(protocol.connect())
        try:
            link.flush()
        except OSError as error:
            raise LinkError(f"peer hung up ({error})", remedy) from error
        self._selector.register(sock, selectors.EVENT_READ, link)
        if not link.ready.wait(CONNECT_TIMEOUT_S) or link.closed:
            link.abort()
            raise LinkError(f"peer {host}:{port} did not shake hands", remedy)
        return link

    def _run(self) -> None:
        while not self._stopping:
            for key, _ in self._selector.select(POLL_S):
                if key.data is None:
                    self._accept()
                else:
                    self._read(key.data)
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()

    def _accept(self) -> None:
        try:
            sock, _ = self._server.accept()
        except OSError:
            return
        _prepare(sock)
        link = Link(sock, ServerProtocol(max_size=MAX_FRAME_BYTES))
        self._selector.register(sock, selectors.EVENT_READ, link)

    def _read(self, link: Link) -> None:
        try:
            data = link.sock.recv(READ_BYTES)
            events = link.receive(data)
        except OSError:
            self._drop(link)
            return
        for event in events:
            self._handle(link, event)
        if not data or link.closed:
            self._drop(link)

    def _handle(self, link: Link, event: object) -> None:
        match event:
            case Request():
                link.protocol.send_response(link.protocol.accept(event))
                link.flush()
                self._introduce(link)
            case Response():
                self._introduce(link)
            case _ if event.opcode is Opcode.BINARY:
                self._handle_frame(link, event.data)
            case _ if event.opcode is Opcode.TEXT:
                link.abort()

    def _introduce(self, link: Link) -> None:
        with contextlib.suppress(LinkError):
            link.send(self._own)

    def _handle_frame(self, link: Link, frame: bytes) -> None:
        try:
            message = decode(bytes(frame))
        except CodecError as error:
            logger.warning("link: closed on a malformed frame", error=str(error))
            link.abort()
            return
        if isinstance(message, Hello):
            if message.version != PROTOCOL_VERSION:
                logger.warning("link: closed on another version", peer=message.instance)
                link.abort()
                return
            link.peer = message
            link.ready.set()
        self._on_message(link, message)

    def _drop(self, link: Link) -> None:
        link.closed = True
        link.ready.set()
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(link.sock)
        link.sock.close()
        self._on_closed(link)


def _prepare(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(SEND_TIMEOUT_S)
