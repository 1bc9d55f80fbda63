"""Websocket links between daemons, read by one thread and written by any.

The `websockets` library gives the protocol without I/O; this package owns the
sockets. One selector thread reads every link, so that a daemon with thousands
of peers needs no thread for each. That thread never waits for a peer, and no
fault of a link ends it.
"""

import contextlib
import selectors
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future

import structlog
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from chicorychute.core.clock import Clock
from chicorychute.core.messages import Hello, Message
from chicorychute.telemetry.tally import Tally
from chicorychute.transport.codec import CodecError, decode
from chicorychute.transport.link import (
    SEND_TIMEOUT_S,
    Link,
    LinkClock,
    LinkError,
    LinkFault,
)
from chicorychute.transport.link_rules import misplaced

__all__ = ["Link", "LinkClock", "LinkError", "LinkFault", "LinkHub"]

CONNECT_TIMEOUT_S = 2.0
HELLO_TIMEOUT_S = 5.0
READ_BYTES = 1 << 18
MAX_FRAME_BYTES = 8 << 20
POLL_S = 0.2
ACCEPT_PAUSE_S = 0.5  # without file descriptors, accepting again at once only spins

logger = structlog.get_logger()

Handler = Callable[[Link, Message], None]


def _ignore(fault: LinkFault) -> None:
    """Do nothing with a fault."""


class LinkHub:
    """Accepts, opens and reads links.

    Parameters
    ----------
    own : Hello
        Introduction sent on every link.
    on_message, on_closed : callable
        Called on the reading thread; they must not block.
    on_fault : callable, optional
        Told why this side closed a link.
    traffic : Tally, optional
        Raised by the bytes of each message, by direction and kind.
    """

    def __init__(
        self,
        own: Hello,
        address: tuple[str, int],
        clock: Clock,
        on_message: Handler,
        on_closed: Callable[[Link], None],
        on_fault: Callable[[LinkFault], None] = _ignore,
        traffic: Tally | None = None,
    ):
        self._own = own
        self._clock = clock
        self._on_message = on_message
        self._on_closed = on_closed
        self._on_fault = on_fault
        self._traffic = Tally() if traffic is None else traffic
        self._selector = selectors.DefaultSelector()
        self._server = socket.create_server(address, backlog=512)
        self._server.setblocking(False)
        self._selector.register(self._server, selectors.EVENT_READ, None)
        self._lock = threading.Lock()
        self._links: set[Link] = set()
        self._unnamed: set[Link] = set()
        self._link_by_address: dict[tuple[str, int], Link] = {}
        self._opening_by_address: dict[tuple[str, int], Future[Link]] = {}
        self._stopping = False
        self._accepting_after_s: float | None = None
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

        Callers that come while a link is being opened share its outcome, so
        that a peer which does not answer costs each of them one wait.

        Raises
        ------
        LinkError
            If the peer does not answer in time.
        """
        with self._lock:
            link = self._link_by_address.get(address)
            if link is not None and not link.closed:
                return link
            opening = self._opening_by_address.get(address)
            first = opening is None
            if first:
                opening = self._opening_by_address[address] = Future()
        if first:
            self._open_for(address, opening)
        return opening.result()

    def _open_for(self, address: tuple[str, int], opening: Future[Link]) -> None:
        try:
            link = self._open(address)
        except BaseException as error:
            with self._lock:
                del self._opening_by_address[address]
            opening.set_exception(error)
            return
        with self._lock:
            del self._opening_by_address[address]
            if not link.closed:
                self._link_by_address[address] = link
        opening.set_result(link)

    def _open(self, address: tuple[str, int]) -> Link:
        host, port = address
        remedy = "check the address, or wait until the peer is back"
        try:
            sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
        except OSError as error:
            problem = f"can't reach peer {host}:{port} ({error})"
            raise LinkError(problem, remedy) from error
        uri = parse_uri(f"ws://{host}:{port}/links")
        protocol = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
        link = self._add(sock, protocol, address)
        try:
            protocol.send_request(protocol.connect())
            link.flush()
        except OSError as error:
            link.abort()
            raise LinkError(f"peer hung up ({error})", remedy) from error
        if not link.ready.wait(CONNECT_TIMEOUT_S) or link.closed:
            link.abort()
            raise LinkError(f"peer {host}:{port} did not shake hands", remedy)
        return link

    def _add(
        self,
        sock: socket.socket,
        protocol: ClientProtocol | ServerProtocol,
        address: tuple[str, int] | None = None,
    ) -> Link:
        _prepare(sock)
        now_s = self._clock.monotonic()
        link = Link(
            sock, protocol, self._watch, now_s, self._thread, self._traffic, address
        )
        with self._lock:
            self._links.add(link)
            self._unnamed.add(link)
        self._selector.register(sock, selectors.EVENT_READ, link)
        return link

    def _watch(self, link: Link, writable: bool) -> None:
        events = selectors.EVENT_READ
        if writable:
            events |= selectors.EVENT_WRITE
        with contextlib.suppress(KeyError, ValueError):
            self._selector.modify(link.sock, events, link)

    def _run(self) -> None:
        while not self._stopping:
            for key, mask in self._selector.select(POLL_S):
                if key.data is None:
                    self._accept()
                else:
                    self._serve(key.data, mask)
            self._drop_unnamed()
            self._accept_again()
        with self._lock:
            links = list(self._links)
        for link in links:
            self._drop(link)
        self._server.close()
        self._selector.close()

    def _accept(self) -> None:
        try:
            sock, _ = self._server.accept()
        except BlockingIOError:
            return
        except OSError as error:
            logger.warning("link: a peer can't be accepted", error=str(error))
            self._accepting_after_s = self._clock.monotonic() + ACCEPT_PAUSE_S
            self._selector.unregister(self._server)
            return
        try:
            self._add(sock, ServerProtocol(max_size=MAX_FRAME_BYTES))
        except OSError:
            sock.close()

    def _accept_again(self) -> None:
        after_s = self._accepting_after_s
        if after_s is not None and self._clock.monotonic() >= after_s:
            self._accepting_after_s = None
            self._selector.register(self._server, selectors.EVENT_READ, None)

    def _drop_unnamed(self) -> None:
        latest_s = self._clock.monotonic() - HELLO_TIMEOUT_S
        with self._lock:
            late = [link for link in self._unnamed if link.opened_s < latest_s]
        for link in late:
            link.fault = LinkFault.HANDSHAKE
            self._drop(link)

    def _serve(self, link: Link, mask: int) -> None:
        try:
            if mask & selectors.EVENT_WRITE:
                link.resume()
            over = mask & selectors.EVENT_READ and self._read(link)
        except OSError:
            over = True
        except Exception:
            logger.exception("link: closed as a message could not be handled")
            link.fault = LinkFault.HANDLER
            over = True
        if over or link.closed:
            self._drop(link)

    def _read(self, link: Link) -> bool:
        """Handle what has come; returns whether the link is over."""
        try:
            data = link.sock.recv(READ_BYTES)
        except BlockingIOError:
            return False
        link.signs.last_heard_s = self._clock.monotonic()
        for event in link.receive(data):
            if link.closed:
                return True
            self._handle(link, event)
        return link.is_over() or not data

    def _handle(self, link: Link, event: Request | Response | Frame) -> None:
        match event:
            case Request():
                link.protocol.send_response(link.protocol.accept(event))
                link.flush()
                self._introduce(link)
            case Response():
                self._introduce(link)
            case Frame(opcode=Opcode.BINARY):
                self._handle_frame(link, event.data)
            case Frame(opcode=Opcode.TEXT | Opcode.CONT):
                link.abort(LinkFault.MALFORMED)

    def _introduce(self, link: Link) -> None:
        if not link.is_over():
            with contextlib.suppress(LinkError):
                link.send(self._own)

    def _handle_frame(self, link: Link, frame: bytes) -> None:
        try:
            message = decode(bytes(frame))
        except CodecError:
            link.abort(LinkFault.MALFORMED)
            return
        fault = misplaced(link, message)
        if fault is not None:
            link.abort(fault)
            return
        self._traffic.add("received", type(message).__name__, count=len(frame))
        if isinstance(message, Hello):
            self._greet(link, message)
        self._on_message(link, message)

    def _greet(self, link: Link, hello: Hello) -> None:
        with self._lock:
            self._unnamed.discard(link)
            older = [
                other
                for other in self._links
                if other.peer is not None
                and other.peer.instance == hello.instance
                and other.peer.incarnation < hello.incarnation
            ]
        for other in older:
            other.abort(LinkFault.REPLACED)
        link.peer = hello
        link.signs.other_region = hello.region != self._own.region
        link.ready.set()

    def _drop(self, link: Link) -> None:
        with self._lock:
            if link not in self._links:
                return
            self._links.discard(link)
            self._unnamed.discard(link)
            if self._link_by_address.get(link.address) is link:
                del self._link_by_address[link.address]
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(link.sock)
        link.signs.link_closed = True
        link.close()
        name = link.peer.instance if link.peer else "unknown"
        if link.fault is not None:
            logger.warning("link: closed", peer=name, cause=link.fault.value)
        elif not self._stopping:
            logger.info("link: lost", peer=name)
        try:
            if link.fault is not None:
                self._on_fault(link.fault)
            self._on_closed(link)
        except Exception:
            logger.exception("link: the end of a link could not be handled")


def _prepare(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    timeout_ms = int(SEND_TIMEOUT_S * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
