"""Senders that never finish hold no thread, and no more memory than is set."""

import contextlib
import errno
import socket

import pytest

from chicorychute.core.system_clock import SystemClock
from chicorychute.pipeline.values import Answer, BufferedBody
from chicorychute.transport import edge_connections
from chicorychute.transport.edge import EdgeApplication, EdgeServer
from chicorychute.transport.edge_connections import MAX_HELD_BYTES

THREADS = 4
SENDERS = 10 * THREADS
LIMIT_S = 600.0  # never reached here
WAIT_S = 60.0
MAX_BODY_BYTES = 4 << 20
ENDED = (b"HTTP/1.1 503", b"")  # refused, or closed before its bytes were received
ORDINARY = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: a\r\n"
SIZED = POST + b"Content-Length: 1000\r\n\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def answer(request):
    body = request.body[:1000]  # a long answer to a slow reader would hold a thread
    return Answer(200, (), len(body), BufferedBody(body), "")


@pytest.fixture(scope="module")
def edge():
    application = EdgeApplication(
        answer,
        lambda: "home@1.0",
        SystemClock(),
        MAX_BODY_BYTES,
    )
    edge = EdgeServer(application, ("127.0.0.1", 0), THREADS, 8192, LIMIT_S, LIMIT_S)
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


def ask(port, data=ORDINARY):
    with connect(port) as sock:
        sock.sendall(data)
        return receive_all(sock)


@pytest.mark.parametrize(
    ("start", "rest", "body"),
    [
        (b"", SIZED + b"a" * 1000, b"a" * 1000),
        (POST, b"Content-Length: 2\r\n\r\nab", b"ab"),
        (SIZED + b"a" * 10, b"a" * 990, b"a" * 1000),
        (CHUNKED, b"2\r\nab\r\n0\r\n\r\n", b"ab"),
        (CHUNKED + b"5\r\nab", b"cde\r\n0\r\n\r\n", b"abcde"),
        (CHUNKED + b"2\r\nab\r\n0\r\n", b"X-T: 1\r\n\r\n", b"ab"),
    ],
    ids=["idle", "head", "body", "chunk-size", "chunk", "trailer"],
)
def test_ordinary_request_is_answered_before_any_slow_sender_ends(
    port, start, rest, body
):
    with contextlib.ExitStack() as held:
        senders = [held.enter_context(connect(port)) for _ in range(SENDERS)]
        for sock in senders:
            sock.sendall(start)
        for _ in range(THREADS):
            assert ask(port).startswith(b"HTTP/1.1 200")
        for sock in senders:  # and they are served too, once they end
            sock.sendall(rest)
            sock.shutdown(socket.SHUT_WR)
            assert receive_all(sock).endswith(b"\r\n\r\n" + body)


def test_refused_senders_that_go_on_hold_no_thread(port):
    with contextlib.ExitStack() as held:
        for _ in range(SENDERS):
            sock = held.enter_context(connect(port))
            sock.sendall(POST + b"Content-Length: 99999999\r\n\r\n")
            assert sock.recv(12) == b"HTTP/1.1 413"
        assert ask(port).startswith(b"HTTP/1.1 200")


def test_senders_of_large_bodies_are_cut_off_before_memory_runs_out(port):
    sent = b"a" * (MAX_BODY_BYTES - 1)
    senders = 2 * MAX_HELD_BYTES // MAX_BODY_BYTES
    refused = 0
    with contextlib.ExitStack() as held:
        slow = [held.enter_context(connect(port)) for _ in range(senders)]
        for sock in slow:
            sock.sendall(POST + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES + sent)
        assert ask(port).startswith(b"HTTP/1.1 200")
        for sock in slow:
            with contextlib.suppress(ConnectionError):  # it may be long closed
                sock.sendall(b"a")
            refused += sock.recv(12) != b"HTTP/1.1 200"
    assert 0 < refused < senders


def test_above_the_most_connections_the_one_that_waited_longest_goes(port, monkeypatch):
    monkeypatch.setattr(edge_connections, "MAX_CONNECTIONS", THREADS)
    with contextlib.ExitStack() as held:
        first = held.enter_context(connect(port))
        first.sendall(POST)
        for _ in range(SENDERS):
            held.enter_context(connect(port))
        assert ask(port).startswith(b"HTTP/1.1 200")
        assert receive_all(first)[:12] in ENDED


def test_connections_that_end_one_another_in_one_go_are_answered_once(
    port, monkeypatch, capsys
):
    monkeypatch.setattr(edge_connections, "MAX_CONNECTIONS", THREADS)
    for _ in range(20):
        with contextlib.ExitStack() as held:
            senders = [held.enter_context(connect(port)) for _ in range(SENDERS)]
            for piece in (ORDINARY[:-2], ORDINARY[-2:]):
                for sock in senders:
                    with contextlib.suppress(OSError):  # it was refused before
                        sock.sendall(piece)
            for sock in senders:
                with contextlib.suppress(ConnectionError):
                    assert receive_all(sock).count(b"HTTP/1.1 ") <= 1
    assert ask(port).startswith(b"HTTP/1.1 200")
    assert "Error in HTTPServer.serve" not in capsys.readouterr().out


def test_edge_without_file_descriptors_makes_room(port, monkeypatch):
    accept = edge_connections.EdgeConnections._from_server_socket
    failures = iter([OSError(errno.EMFILE, "too many open files")])

    def fail_once(connections, server_socket):
        for failure in failures:
            raise failure
        return accept(connections, server_socket)

    with connect(port) as idle:
        idle.sendall(b"GET")
        assert ask(port).startswith(b"HTTP/1.1 200")  # so the idle one was accepted
        patched = edge_connections.EdgeConnections
        monkeypatch.setattr(patched, "_from_server_socket", fail_once)
        assert ask(port).startswith(b"HTTP/1.1 200")
        assert receive_all(idle)[:12] in ENDED


def test_caller_that_waits_to_send_its_body_is_asked_for_it(port):
    with connect(port) as sock:
        sock.sendall(POST + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        assert sock.recv(65536) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"ab" + ORDINARY)
        assert receive_all(sock).count(b"HTTP/1.1 ") == 2
