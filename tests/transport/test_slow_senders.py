"""Senders that never finish occupy no thread, and bounded memory.

Guards against callers that send a request slowly or in part: with a thread for each
of them few would occupy all threads, and their bytes, connections and file
descriptors would exhaust the daemon, so that no other caller is served.
"""

import contextlib
import errno
import socket

import pytest

from chicorychute.core.system_clock import SystemClock
from chicorychute.pipeline.values import Answer, BufferedBody
from chicorychute.transport import edge_connections
from chicorychute.transport.edge import EdgeApplication, EdgeServer
from chicorychute.transport.edge_connections import MAX_BUFFERED_BYTES

THREAD_COUNT = 4
SENDER_COUNT = 10 * THREAD_COUNT
UNREACHED_LIMIT_S = 600.0  # No time-out may end a sender in these tests.
WAIT_S = 60.0
MAX_BODY_BYTES = 4 << 20
# Closed without an answer if the server has received none of its bytes yet.
REFUSED_OR_CLOSED = (b"HTTP/1.1 503", b"")
COMPLETE_GET = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
POST_START = b"POST /a HTTP/1.1\r\nHost: a\r\n"
SIZED_HEAD = POST_START + b"Content-Length: 1000\r\n\r\n"
CHUNKED_HEAD = POST_START + b"Transfer-Encoding: chunked\r\n\r\n"


def answer(request):
    # A long answer to a slow reader would occupy a thread.
    body = request.body[:1000]
    return Answer(200, (), len(body), BufferedBody(body), "")


@pytest.fixture(scope="module")
def edge():
    application = EdgeApplication(
        answer,
        lambda: "home@1.0",
        SystemClock(),
        MAX_BODY_BYTES,
    )
    edge = EdgeServer(
        application,
        ("127.0.0.1", 0),
        THREAD_COUNT,
        8192,
        UNREACHED_LIMIT_S,
        UNREACHED_LIMIT_S,
    )
    edge.start()
    yield edge
    edge.stop()


@pytest.fixture
def port(edge):
    return edge.port


def connect(port):
    return socket.create_connection(("127.0.0.1", port), timeout=WAIT_S)


def receive_all(sock):
    received = b""
    while piece := sock.recv(65536):
        received += piece
    return received


def send_request(port, data=COMPLETE_GET):
    with connect(port) as sock:
        sock.sendall(data)
        return receive_all(sock)


@pytest.mark.parametrize(
    ("start", "rest", "body"),
    [
        (b"", SIZED_HEAD + b"a" * 1000, b"a" * 1000),
        (POST_START, b"Content-Length: 2\r\n\r\nab", b"ab"),
        (SIZED_HEAD + b"a" * 10, b"a" * 990, b"a" * 1000),
        (CHUNKED_HEAD, b"2\r\nab\r\n0\r\n\r\n", b"ab"),
        (CHUNKED_HEAD + b"5\r\nab", b"cde\r\n0\r\n\r\n", b"abcde"),
        (CHUNKED_HEAD + b"2\r\nab\r\n0\r\n", b"X-T: 1\r\n\r\n", b"ab"),
    ],
    ids=["idle", "head", "body", "chunk-size", "chunk", "trailer"],
)
def test_complete_request_is_answered_while_all_slow_senders_wait(
    port, start, rest, body
):
    with contextlib.ExitStack() as stack:
        senders = [stack.enter_context(connect(port)) for _ in range(SENDER_COUNT)]
        for sock in senders:
            sock.sendall(start)
        for _ in range(THREAD_COUNT):
            assert send_request(port).startswith(b"HTTP/1.1 200")
        # The slow senders are served too, once they finish.
        for sock in senders:
            sock.sendall(rest)
            sock.shutdown(socket.SHUT_WR)
            assert receive_all(sock).endswith(b"\r\n\r\n" + body)


def test_refused_senders_that_stay_connected_occupy_no_thread(port):
    with contextlib.ExitStack() as stack:
        for _ in range(SENDER_COUNT):
            sock = stack.enter_context(connect(port))
            sock.sendall(POST_START + b"Content-Length: 99999999\r\n\r\n")
            assert sock.recv(12) == b"HTTP/1.1 413"
        assert send_request(port).startswith(b"HTTP/1.1 200")


def test_senders_of_large_bodies_are_refused_at_the_memory_limit(port):
    sent = b"a" * (MAX_BODY_BYTES - 1)
    sender_count = 2 * MAX_BUFFERED_BYTES // MAX_BODY_BYTES
    refused = 0
    with contextlib.ExitStack() as stack:
        slow = [stack.enter_context(connect(port)) for _ in range(sender_count)]
        for sock in slow:
            sock.sendall(
                POST_START + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES + sent
            )
        assert send_request(port).startswith(b"HTTP/1.1 200")
        for sock in slow:
            # The server may have refused and closed this connection.
            with contextlib.suppress(ConnectionError):
                sock.sendall(b"a")
            refused += sock.recv(12) != b"HTTP/1.1 200"
    assert 0 < refused < sender_count


def test_connection_that_waited_longest_is_evicted_above_the_limit(port, monkeypatch):
    monkeypatch.setattr(edge_connections, "MAX_CONNECTIONS", THREAD_COUNT)
    with contextlib.ExitStack() as stack:
        first = stack.enter_context(connect(port))
        first.sendall(POST_START)
        for _ in range(SENDER_COUNT):
            stack.enter_context(connect(port))
        assert send_request(port).startswith(b"HTTP/1.1 200")
        assert receive_all(first)[:12] in REFUSED_OR_CLOSED


def test_connections_evicted_during_one_poll_are_answered_at_most_once(
    port, monkeypatch, capsys
):
    monkeypatch.setattr(edge_connections, "MAX_CONNECTIONS", THREAD_COUNT)
    for _ in range(20):
        with contextlib.ExitStack() as stack:
            senders = [stack.enter_context(connect(port)) for _ in range(SENDER_COUNT)]
            for piece in (COMPLETE_GET[:-2], COMPLETE_GET[-2:]):
                for sock in senders:
                    # An evicted connection may be closed already.
                    with contextlib.suppress(OSError):
                        sock.sendall(piece)
            for sock in senders:
                with contextlib.suppress(ConnectionError):
                    assert receive_all(sock).count(b"HTTP/1.1 ") <= 1
    assert send_request(port).startswith(b"HTTP/1.1 200")
    assert "Error in HTTPServer.serve" not in capsys.readouterr().out


def test_edge_without_file_descriptors_evicts_a_connection(port, monkeypatch):
    accept = edge_connections.EdgeConnections._from_server_socket
    failures = iter([OSError(errno.EMFILE, "too many open files")])

    def fail_once(connections, server_socket):
        for failure in failures:
            raise failure
        return accept(connections, server_socket)

    with connect(port) as idle:
        idle.sendall(b"GET")
        # Connections are accepted in order, so an answer means that `idle` is accepted.
        assert send_request(port).startswith(b"HTTP/1.1 200")
        connections_class = edge_connections.EdgeConnections
        monkeypatch.setattr(connections_class, "_from_server_socket", fail_once)
        assert send_request(port).startswith(b"HTTP/1.1 200")
        assert receive_all(idle)[:12] in REFUSED_OR_CLOSED


def test_caller_that_expects_100_continue_gets_it(port):
    with connect(port) as sock:
        sock.sendall(POST_START + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        assert sock.recv(65536) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"ab" + COMPLETE_GET)
        assert receive_all(sock).count(b"HTTP/1.1 ") == 2
