"""Bad input on peer links: each closes its own link and harms no other."""

import contextlib
import queue
import socket
import struct
import threading

import cbor2
import pytest
from websockets.client import ClientProtocol
from websockets.frames import Opcode
from websockets.uri import parse_uri

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    PROTOCOL_VERSION,
    AnswerChunk,
    BodyChunk,
    Cancel,
    Gossip,
    Hello,
    TableRequest,
)
from chicorychute.core.system_clock import SystemClock
from chicorychute.transport.codec import encode
from chicorychute.transport.links import LinkError, LinkFault, LinkHub

WAIT_S = 20.0
HELLO = Hello(PROTOCOL_VERSION, "stranger", 1, "z", "r")


class Side:
    """A hub with the messages and faults that it saw."""

    def __init__(self, name, incarnation=1, on_message=None, clock=None):
        self.messages = queue.Queue()
        self.closed = queue.Queue()
        self.faults = queue.Queue()
        self.hub = LinkHub(
            Hello(PROTOCOL_VERSION, name, incarnation, "z", "r"),
            ("127.0.0.1", 0),
            clock or SystemClock(),
            on_message or (lambda link, message: self.messages.put((link, message))),
            self.closed.put,
            self.faults.put,
        )
        self.hub.start()

    @property
    def address(self):
        return ("127.0.0.1", self.hub.port)

    def next(self, kind):
        while True:
            link, message = self.messages.get(timeout=WAIT_S)
            if isinstance(message, kind):
                return link, message


@pytest.fixture
def make_side():
    sides = []

    def make(*args, **kwargs):
        sides.append(Side(*args, **kwargs))
        return sides[-1]

    yield make
    for side in sides:
        side.hub.stop()


class RawPeer:
    """A peer that speaks websocket by hand."""

    def __init__(self, address, hello=HELLO):
        self.sock = socket.create_connection(address, timeout=WAIT_S)
        uri = parse_uri(f"ws://{address[0]}:{address[1]}/links")
        self.protocol = ClientProtocol(uri)
        self.protocol.send_request(self.protocol.connect())
        self.flush()
        while not self.protocol.events_received():
            self.protocol.receive_data(self.sock.recv(65536))
        if hello is not None:
            self.send(encode(hello))

    def send(self, frame):
        self.protocol.send_binary(frame)
        self.flush()

    def flush(self):
        for data in self.protocol.data_to_send():
            self.sock.sendall(data)

    def closed(self):
        return read_until_closed(self.sock)


def read_until_closed(sock):
    sock.settimeout(WAIT_S)
    with contextlib.suppress(ConnectionError):
        while sock.recv(65536):
            pass
    return True


def assert_serves(side, other):
    other.hub.link_to(side.address).send(TableRequest(7))
    _, message = side.next(TableRequest)
    assert message == TableRequest(7)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01\x02 garbage\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"POST /links HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    ],
    ids=["garbage", "plain-get", "post", "long-line", "tls"],
)
def test_bytes_that_are_no_websocket_close_the_connection(make_side, data):
    side, other = make_side("a"), make_side("b")
    with socket.create_connection(side.address) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        assert read_until_closed(sock)
    assert side.faults.get(timeout=WAIT_S) is LinkFault.HANDSHAKE
    assert_serves(side, other)


HUGE = 1 << 40


@pytest.mark.parametrize(
    ("frame", "fault"),
    [
        (b"\xff\xff garbage", LinkFault.MALFORMED),
        (encode(HELLO)[:-2], LinkFault.MALFORMED),
        (cbor2.dumps([999, 1]), LinkFault.MALFORMED),
        (b"\x82\x04\x5b" + struct.pack(">Q", HUGE) + b"x", LinkFault.MALFORMED),
        (b"\x9b" + struct.pack(">Q", HUGE), LinkFault.MALFORMED),
        (b"\x81" * 100_000, LinkFault.MALFORMED),
        (encode(TableRequest(1)), LinkFault.NO_HELLO),
        (encode(Hello(99, "x", 1, "z", "r")), LinkFault.VERSION),
    ],
    ids=[
        "garbage",
        "truncated",
        "unknown-code",
        "huge-bytes",
        "huge-array",
        "deep",
        "before-hello",
        "version",
    ],
)
def test_bad_first_frame_closes_the_link(make_side, frame, fault):
    side, other = make_side("a"), make_side("b")
    peer = RawPeer(side.address, hello=None)
    peer.send(frame)
    assert peer.closed()
    assert side.faults.get(timeout=WAIT_S) is fault
    assert side.messages.empty()
    assert_serves(side, other)


@pytest.mark.parametrize(
    ("message", "fault"),
    [
        (AnswerChunk(1, b"x", True), LinkFault.WRONG_SIDE),
        (HELLO, LinkFault.SECOND_HELLO),
    ],
    ids=["answer-from-caller", "second-hello"],
)
def test_message_out_of_place_closes_the_link(make_side, message, fault):
    side, other = make_side("a"), make_side("b")
    peer = RawPeer(side.address)
    peer.send(encode(message))
    assert peer.closed()
    assert side.faults.get(timeout=WAIT_S) is fault
    assert_serves(side, other)


def test_calls_are_refused_on_the_calling_side(make_side):
    side, other = make_side("a"), make_side("b")
    other.hub.link_to(side.address).send(TableRequest(1))
    link, _ = side.next(TableRequest)
    link.send(Cancel(1))
    assert other.faults.get(timeout=WAIT_S) is LinkFault.WRONG_SIDE


def test_text_frame_closes_the_link(make_side):
    side, other = make_side("a"), make_side("b")
    peer = RawPeer(side.address)
    peer.protocol.send_text(b"hello")
    peer.flush()
    assert peer.closed()
    assert side.faults.get(timeout=WAIT_S) is LinkFault.MALFORMED
    assert_serves(side, other)


def test_frame_that_claims_too_much_closes_the_link(make_side):
    side, other = make_side("a"), make_side("b")
    peer = RawPeer(side.address)
    peer.sock.sendall(b"\x82\xff" + struct.pack(">Q", HUGE) + b"mask")
    assert peer.closed()
    assert side.faults.get(timeout=WAIT_S) is LinkFault.MALFORMED
    assert_serves(side, other)


def test_unfinished_frame_harms_nobody(make_side):
    side, other = make_side("a"), make_side("b")
    peer = RawPeer(side.address)
    peer.sock.sendall(b"\x82\xff" + struct.pack(">Q", 1000) + b"maskhalf")
    peer.sock.shutdown(socket.SHUT_WR)
    assert peer.closed()
    assert_serves(side, other)


def test_ping_is_answered(make_side):
    side = make_side("a")
    peer = RawPeer(side.address)
    peer.protocol.send_ping(b"ping")
    peer.flush()
    peer.sock.settimeout(WAIT_S)
    opcodes = []
    while Opcode.PONG not in opcodes:
        peer.protocol.receive_data(peer.sock.recv(65536))
        opcodes.extend(event.opcode for event in peer.protocol.events_received())


def test_handler_that_raises_ends_its_link_only(make_side):
    seen = queue.Queue()

    def on_message(link, message):
        if isinstance(message, TableRequest) and message.known_version == 13:
            raise RuntimeError("handler failed")
        seen.put((link, message))

    side, other = make_side("a", on_message=on_message), make_side("b")
    side.messages = seen
    peer = RawPeer(side.address)
    peer.send(encode(TableRequest(13)))
    assert peer.closed()
    assert side.faults.get(timeout=WAIT_S) is LinkFault.HANDLER
    assert_serves(side, other)


def test_peer_that_stops_reading_stalls_no_other_link(make_side):
    big = Gossip("x" * (4 << 20), False, ())

    def on_message(link, message):
        if link.peer.instance == "stuck":
            with contextlib.suppress(LinkError):
                for _ in range(16):
                    link.send(big)
        seen.put((link, message))

    seen = queue.Queue()
    side, other = make_side("a", on_message=on_message), make_side("b")
    side.messages = seen
    peer = RawPeer(side.address, Hello(PROTOCOL_VERSION, "stuck", 1, "z", "r"))
    side.next(Hello)
    assert_serves(side, other)
    assert peer.closed()
    assert side.faults.get(timeout=WAIT_S) is LinkFault.NOT_READING


def test_large_bodies_both_ways_at_once_do_not_lock_up(make_side):
    chunk = b"x" * (1 << 20)
    count = 24
    sides = {}

    def answer(link, message):
        if isinstance(message, TableRequest):
            threading.Thread(target=answers, args=(link,)).start()
        elif isinstance(message, BodyChunk):
            sides["a"].messages.put((link, message))

    def answers(link):
        for id in range(count):
            link.send(AnswerChunk(id, chunk, False))

    sides["a"], sides["b"] = make_side("a", on_message=answer), make_side("b")
    link = sides["b"].hub.link_to(sides["a"].address)
    link.send(TableRequest(1))
    for id in range(count):
        link.send(BodyChunk(id, chunk, False))
    for id in range(count):
        assert sides["a"].next(BodyChunk)[1].id == id
        assert sides["b"].next(AnswerChunk)[1].id == id


def test_replaced_peer_ends_links_to_its_older_incarnation(make_side):
    side = make_side("a")
    old = RawPeer(side.address, Hello(PROTOCOL_VERSION, "peer", 1, "z", "r"))
    side.next(Hello)
    new = RawPeer(side.address, Hello(PROTOCOL_VERSION, "peer", 2, "z", "r"))
    assert old.closed()
    new.send(encode(TableRequest(3)))
    assert side.next(TableRequest)[1] == TableRequest(3)


def test_link_to_reopens_after_the_peer_was_replaced(make_side):
    first, other = make_side("a"), make_side("b")
    address = first.address
    link = other.hub.link_to(address)
    first.hub.stop()
    assert other.closed.get(timeout=WAIT_S) is link
    second = LinkHub(
        Hello(PROTOCOL_VERSION, "a", 2, "z", "r"),
        address,
        SystemClock(),
        lambda link, message: None,
        lambda link: None,
    )
    second.start()
    try:
        assert other.hub.link_to(address).peer.incarnation == 2
    finally:
        second.stop()


def test_connection_that_never_says_hello_is_closed(make_side):
    clock = ManualClock()
    side = make_side("a", clock=clock)
    peer = RawPeer(side.address, hello=None)
    clock.advance(60)
    assert peer.closed()
    assert side.faults.get(timeout=WAIT_S) is LinkFault.HANDSHAKE


def test_callers_share_one_attempt_at_a_peer_that_does_not_answer(make_side):
    side = make_side("a")
    errors = queue.Queue()
    with socket.create_server(("127.0.0.1", 0)) as silent:

        def call():
            with pytest.raises(LinkError) as caught:
                side.hub.link_to(silent.getsockname())
            errors.put(caught.value)

        callers = [threading.Thread(target=call) for _ in range(8)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(WAIT_S)
        assert errors.qsize() == len(callers)
        silent.setblocking(False)
        attempts = 0
        with contextlib.suppress(BlockingIOError):
            while silent.accept():
                attempts += 1
    assert attempts < len(callers)


def test_hub_without_file_descriptors_accepts_again_later(make_side, monkeypatch):
    side = make_side("a")
    refused = threading.Event()
    listener = side.hub._server

    class Listener:
        def accept(self):
            refused.set()
            raise OSError("Too many open files")

        def fileno(self):
            return listener.fileno()

        def close(self):
            listener.close()

    monkeypatch.setattr(side.hub, "_server", Listener())
    sock = socket.create_connection(listener.getsockname())
    assert refused.wait(WAIT_S)
    monkeypatch.setattr(side.hub, "_server", listener)
    sock.close()
    RawPeer(listener.getsockname())
    side.next(Hello)
