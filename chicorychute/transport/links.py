"""Websocket links between daemons, read by one thread and written by any.

The `websockets` library implements the protocol without I/O; this module owns the
sockets. One selector thread reads every link, so that a daemon with thousands of
peers needs no thread for each. That thread never waits for a peer, and no fault of
a link ends it.
"""

import contextlib
import math
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
    DelayEstimator,
    Link,
    LinkError,
    LinkFault,
)
from chicorychute.transport.link_rules import protocol_fault

__all__ = ["Link", "DelayEstimator", "LinkError", "LinkFault", "LinkHub"]

CONNECT_TIMEOUT_S = 2.0
HELLO_TIMEOUT_S = 5.0
READ_BYTES = 1 << 18
MAX_FRAME_BYTES = 8 << 20
SELECT_TIMEOUT_S = 0.2
# Without free file descriptors, accepting again at once would only busy-loop.
ACCEPT_PAUSE_S = 0.5

logger = structlog.get_logger()

Handler = Callable[[Link, Message], None]


def _ignore_fault(fault: LinkFault) -> None:
    """Ignore a fault."""


class LinkHub:
    """Accepts, opens and reads links.

    Parameters
    ----------
    own_hello : Hello
        First message sent on every link.
    address : tuple
        Address on which peers connect.
    on_message, on_closed : callable
        Called on the reading thread; they must not block.
    on_fault : callable, optional
        Called on the reading thread with the reason why this side closed a link.
    traffic : Tally, optional
        Incremented by the bytes of each message, by direction and message class.
    """

    def __init__(
        self,
        own_hello: Hello,
        address: tuple[str, int],
        clock: Clock,
        on_message: Handler,
        on_closed: Callable[[Link], None],
        on_fault: Callable[[LinkFault], None] = _ignore_fault,
        traffic: Tally | None = None,
    ):
        self._own_hello = own_hello
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
        self._awaiting_hello: set[Link] = set()
        self._link_by_address: dict[tuple[str, int], Link] = {}
        self._opening_by_address: dict[tuple[str, int], Future[Link]] = {}
        self._stopping = False
        self._resume_accepting_at_s: float | None = None
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

    def link_to(self, address: tuple[str, int], limit_s: float = math.inf) -> Link:
        """Return an open link to a peer, opening one if needed.

        Threads that ask while the link is being opened share the result, so that a
        peer that does not answer costs each of them only one timeout.

        Parameters
        ----------
        limit_s : float
            Longest wait for a link that has to be opened, in seconds. It goes on being
            opened for others if it takes longer.

        Raises
        ------
        LinkError
            If the peer can't be reached or does not answer in time.
        """
        with self._lock:
            link = self._link_by_address.get(address)
            if link is not None and not link.closed:
                return link
            opening = self._opening_by_address.get(address)
            is_first_caller = opening is None
            if is_first_caller:
                opening = self._opening_by_address[address] = Future()
        if not is_first_caller:
            return _opened_link(opening, address, limit_s)
        if limit_s == math.inf:
            self._open_and_share(address, opening)
        else:
            threading.Thread(
                target=self._open_and_share, args=(address, opening), daemon=True
            ).start()
        return _opened_link(opening, address, limit_s)

    def _open_and_share(self, address: tuple[str, int], opening: Future[Link]) -> None:
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
            raise LinkError(
                f"peer {host}:{port} closed the connection in the handshake ({error})",
                remedy,
            ) from error
        if not link.ready.wait(CONNECT_TIMEOUT_S) or link.closed:
            link.abort()
            raise LinkError(
                f"handshake with peer {host}:{port} failed or took longer than"
                f" {CONNECT_TIMEOUT_S:g} s",
                remedy,
            )
        return link

    def _add(
        self,
        sock: socket.socket,
        protocol: ClientProtocol | ServerProtocol,
        address: tuple[str, int] | None = None,
    ) -> Link:
        _set_socket_options(sock)
        now_s = self._clock.monotonic()
        link = Link(
            sock,
            protocol,
            self._set_write_interest,
            now_s,
            self._thread,
            self._traffic,
            address,
        )
        with self._lock:
            self._links.add(link)
            self._awaiting_hello.add(link)
        self._selector.register(sock, selectors.EVENT_READ, link)
        return link

    def _set_write_interest(self, link: Link, wanted: bool) -> None:
        events = selectors.EVENT_READ
        if wanted:
            events |= selectors.EVENT_WRITE
        with contextlib.suppress(KeyError, ValueError):
            self._selector.modify(link.sock, events, link)

    def _run(self) -> None:
        while not self._stopping:
            for key, mask in self._selector.select(SELECT_TIMEOUT_S):
                if key.data is None:
                    self._accept()
                else:
                    self._handle_io(key.data, mask)
            self._drop_without_hello()
            self._resume_accepting()
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
            logger.warning(
                "link: can't accept a connection, retrying after a pause",
                error=str(error),
            )
            self._resume_accepting_at_s = self._clock.monotonic() + ACCEPT_PAUSE_S
            self._selector.unregister(self._server)
            return
        try:
            self._add(sock, ServerProtocol(max_size=MAX_FRAME_BYTES))
        except OSError:
            sock.close()

    def _resume_accepting(self) -> None:
        resume_at_s = self._resume_accepting_at_s
        if resume_at_s is not None and self._clock.monotonic() >= resume_at_s:
            self._resume_accepting_at_s = None
            self._selector.register(self._server, selectors.EVENT_READ, None)

    def _drop_without_hello(self) -> None:
        opened_before_s = self._clock.monotonic() - HELLO_TIMEOUT_S
        with self._lock:
            overdue = [
                link for link in self._awaiting_hello if link.opened_s < opened_before_s
            ]
        for link in overdue:
            link.fault = LinkFault.HANDSHAKE
            self._drop(link)

    def _handle_io(self, link: Link, mask: int) -> None:
        try:
            if mask & selectors.EVENT_WRITE:
                link.resume()
            ended = mask & selectors.EVENT_READ and self._read(link)
        except OSError:
            ended = True
        except Exception:
            logger.exception("link: closed because handling a message failed")
            link.fault = LinkFault.HANDLER
            ended = True
        if ended or link.closed:
            self._drop(link)

    def _read(self, link: Link) -> bool:
        """Handle the received bytes; return whether the link has ended."""
        try:
            data = link.sock.recv(READ_BYTES)
        except BlockingIOError:
            return False
        link.liveness.last_heard_s = self._clock.monotonic()
        for event in link.receive(data):
            if link.closed:
                return True
            self._handle(link, event)
        return link.has_ended() or not data

    def _handle(self, link: Link, event: Request | Response | Frame) -> None:
        match event:
            case Request():
                link.protocol.send_response(link.protocol.accept(event))
                link.flush()
                self._send_hello(link)
            case Response():
                self._send_hello(link)
            case Frame(opcode=Opcode.BINARY):
                self._handle_frame(link, event.data)
            case Frame(opcode=Opcode.TEXT | Opcode.CONT):
                link.abort(LinkFault.MALFORMED)

    def _send_hello(self, link: Link) -> None:
        if not link.has_ended():
            with contextlib.suppress(LinkError):
                link.send(self._own_hello)

    def _handle_frame(self, link: Link, frame: bytes) -> None:
        try:
            message = decode(bytes(frame))
        except CodecError:
            link.abort(LinkFault.MALFORMED)
            return
        fault = protocol_fault(link, message)
        if fault is not None:
            link.abort(fault)
            return
        self._traffic.add("received", type(message).__name__, count=len(frame))
        if isinstance(message, Hello):
            self._accept_hello(link, message)
        self._on_message(link, message)

    def _accept_hello(self, link: Link, hello: Hello) -> None:
        with self._lock:
            self._awaiting_hello.discard(link)
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
        link.liveness.other_region = hello.region != self._own_hello.region
        link.ready.set()

    def _drop(self, link: Link) -> None:
        with self._lock:
            if link not in self._links:
                return
            self._links.discard(link)
            self._awaiting_hello.discard(link)
            if self._link_by_address.get(link.address) is link:
                del self._link_by_address[link.address]
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(link.sock)
        link.liveness.link_closed = True
        link.close()
        peer_instance = link.peer.instance if link.peer else "unknown"
        if link.fault is not None:
            logger.warning("link: closed", peer=peer_instance, cause=link.fault.value)
        elif not self._stopping:
            logger.info("link: lost", peer=peer_instance)
        try:
            if link.fault is not None:
                self._on_fault(link.fault)
            self._on_closed(link)
        except Exception:
            logger.exception("link: handling the end of a link failed")


def _set_socket_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    timeout_ms = int(SEND_TIMEOUT_S * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _opened_link(
    opening: Future[Link], address: tuple[str, int], limit_s: float
) -> Link:
    """Wait for a link that is being opened.

    Raises
    ------
    LinkError
        If it can't be opened, or not within `limit_s`.
    """
    timeout_s = None if limit_s == math.inf else max(0.0, limit_s)
    try:
        return opening.result(timeout_s)
    except TimeoutError as error:
        host, port = address
        raise LinkError(
            f"peer {host}:{port} gave no link within {limit_s:.2f} s",
            "check the network, or wait until the peer is back",
        ) from error
