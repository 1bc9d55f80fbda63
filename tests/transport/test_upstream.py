"""Answers of an upstream over HTTP, and the connections that requests use.

Guards against an incomplete or malformed answer that passes as complete, and against
an order that is sent twice because its connection broke.
"""

import socket
import threading

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import PeerRequest
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.transport.calls import MAX_JOINED_BODY_BYTES, TrackedConnection
from chicorychute.transport.upstream import UpstreamClient, UpstreamFailure
from tests.transport.scripted_server import SERVER_TIMEOUT_S, ScriptedServer

TIMEOUT_S = SERVER_TIMEOUT_S
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def server():
    running = ScriptedServer()
    yield running
    running.close()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def client(server, clock):
    return UpstreamClient(f"http://127.0.0.1:{server.port}", 4, clock)


def work(key="", method="GET", headers=()):
    return PeerRequest(
        method, "/a", headers, "orders", "order", "t", key, "00-a-b-01", 1, 1000.0
    )


def send_and_read(client, request=None, timeout_s=TIMEOUT_S):
    answer = client.send(request or work(), b"", timeout_s)
    return answer, b"".join(answer.chunks)


@pytest.mark.parametrize(
    "script",
    [
        [HEAD + b"Content-Length: 9\r\n\r\n", b"short", None],
        [CHUNKED + b"5\r\nwhole\r\n", None],
        [CHUNKED + b"9\r\nshort", None],
        [CHUNKED + b"what?\r\n", None],
    ],
    ids=["short", "no last chunk", "truncated chunk", "bad chunk"],
)
def test_answer_that_ends_early_is_unknown(server, client, script):
    server.scripts = [script]
    with pytest.raises(UpstreamFailure) as failure:
        send_and_read(client)
    assert failure.value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    "script, length, body",
    [
        ([HEAD + b"Content-Length: 5\r\n\r\nwhole"], 5, b"whole"),
        ([CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n"], -1, b"whole"),
        ([HEAD + b"Content-Length: 0\r\n\r\n"], 0, b""),
        ([b"HTTP/1.1 204 No Content\r\n\r\n"], -1, b""),
        ([b"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"], 7, b""),
    ],
    ids=["length", "chunked", "empty", "204", "304"],
)
def test_complete_answer(server, client, script, length, body):
    server.scripts = [script]
    answer, received = send_and_read(client)
    assert (answer.length, received) == (length, body)


def test_answer_to_head_has_a_length_and_no_body(server, client):
    server.scripts = [[HEAD + b"Content-Length: 7\r\n\r\n"]] * 2
    assert send_and_read(client, work(method="HEAD"))[0].length == 7
    assert send_and_read(client, work(method="HEAD"))[1] == b""
    assert server.connections == 1


@pytest.mark.parametrize(
    "script",
    [
        [None],
        [b"garbage\r\n\r\n", None],
        [HEAD + b"Content-Length: many\r\n\r\nwhole", None],
        [HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhole", None],
        [HEAD + b"X: " + b"x" * 100_000 + b"\r\n\r\n", None],
    ],
    ids=["closed without answer", "not HTTP", "bad length", "two lengths", "huge head"],
)
def test_malformed_answer_is_unknown(server, client, script):
    server.scripts = [script]
    with pytest.raises(UpstreamFailure) as failure:
        send_and_read(client)
    assert failure.value.outcome is Outcome.UNKNOWN
    assert len(server.requests) == 1


def test_request_to_an_upstream_that_does_not_listen_is_not_run():
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    client = UpstreamClient(f"http://127.0.0.1:{port}", 4, ManualClock())
    with pytest.raises(UpstreamFailure) as failure:
        client.send(work("a@1.1/1"), b"", TIMEOUT_S)
    assert failure.value.outcome is Outcome.NOT_RUN


def test_request_with_an_invalid_header_is_not_run(server, client):
    with pytest.raises(UpstreamFailure) as failure:
        client.send(work(headers=(("x", "a\r\nb: c"),)), b"", TIMEOUT_S)
    assert (failure.value.outcome, failure.value.reason) == (
        Outcome.NOT_RUN,
        Reason.BAD_REQUEST,
    )
    assert server.requests == []


def test_lookups_share_a_connection_and_each_order_has_its_own(server, client):
    server.scripts = [[HEAD + b"Content-Length: 0\r\n\r\n"]] * 4
    for request in (work(), work(), work("a@1.1/1"), work("a@1.1/2")):
        send_and_read(client, request)
    assert server.connections == 3


class RecordingSocket:
    """Socket that records the bytes of each send."""

    def __init__(self):
        self.sent = []

    def settimeout(self, timeout_s):
        pass

    def sendall(self, data):
        self.sent.append(data)


@pytest.mark.parametrize(
    ("size", "sends"),
    [(0, 1), (1, 1), (MAX_JOINED_BODY_BYTES, 1), (MAX_JOINED_BODY_BYTES + 1, 2)],
)
def test_short_body_is_sent_together_with_its_head(size, sends):
    connection = TrackedConnection("127.0.0.1", 80, ManualClock())
    connection.sock = RecordingSocket()
    connection.request("POST", "/a", b"x" * size or None, {"a": "b"})
    sent = connection.sock.sent
    assert len(sent) == sends
    head, _, body = b"".join(sent).partition(b"\r\n\r\n")
    assert body == b"x" * size
    assert f"Content-Length: {size}".encode() in head


def test_order_is_not_sent_again_when_its_connection_breaks(server, client):
    server.scripts = [[HEAD + b"Content-Length: 0\r\n\r\n"], [None]]
    send_and_read(client)
    with pytest.raises(UpstreamFailure) as failure:
        send_and_read(client, work("a@1.1/1"))
    assert failure.value.outcome is Outcome.UNKNOWN
    assert len(server.requests) == 2


def test_answer_that_is_incomplete_at_the_deadline_is_unknown(server, client, clock):
    deadline_passed = threading.Event()

    def pass_deadline():
        clock.advance(TIMEOUT_S)
        deadline_passed.set()

    head = HEAD + b"Content-Length: 300000\r\n\r\n"
    server.scripts = [[head, pass_deadline] + [b"x" * 1000] * 299]
    answer = client.send(work(), b"", TIMEOUT_S)
    assert deadline_passed.wait(TIMEOUT_S)
    with pytest.raises(UpstreamFailure) as failure:
        list(answer.chunks)
    assert (failure.value.outcome, failure.value.reason) == (
        Outcome.UNKNOWN,
        Reason.DEADLINE,
    )
