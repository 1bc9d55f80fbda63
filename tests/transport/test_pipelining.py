"""Requests that a caller sends ahead are answered in order, each with its own answer.

Guards against a slow request that delays those sent behind it, an answer that goes to
another request, an order that runs ahead of an answer which closes the connection, so
that its caller sends it again, and an answer lost by a reset: a connection that is
closed with unread input is reset.
"""

import contextlib
import socket
import threading
import time

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.core.system_clock import SystemClock
from chicorychute.pipeline.filters import in_turn
from chicorychute.pipeline.values import (
    Answer,
    AnswerBroken,
    BufferedBody,
    Refused,
)
from chicorychute.table.rows import Repeat
from chicorychute.transport import edge_connections
from chicorychute.transport.answer_order import AnswerOrder
from chicorychute.transport.callers import CallerWatch
from chicorychute.transport.edge import EdgeApplication, EdgeServer

WAIT_S = 20.0
MAX_BODY_BYTES = 20_000
LONG_ANSWER_BYTES = 20_000  # of which some are on their way when the server closes
UNREAD_S = 0.3


@attrs.frozen
class RowOf:
    """Row of the table, as far as the order of a connection depends on it."""

    repeat: Repeat


class BrokenBody:
    """Body that ends after its first bytes."""

    def __iter__(self):
        return self

    def __init__(self):
        self._chunks = iter([b"p"])

    def __next__(self):
        for chunk in self._chunks:
            return chunk
        raise AnswerBroken("the upstream hung up")

    def close(self):
        pass


class HeldHandler:
    """Handler that answers with the path of a request once that path is released.

    Paths tell what a request does: `order` may not be repeated, `breaks` has an answer
    that breaks off, `long` a long one.
    """

    def __init__(self):
        self._changed = threading.Condition()
        self._released = set()
        self.started = []
        self.cancelled = []
        self.serving = True
        self.release_all = False

    def route(self, request):
        is_order = "order" in request.path
        request.row = RowOf(Repeat.PER_SEND if is_order else Repeat.IDEMPOTENT)
        return in_turn(self.run)(request)

    def run(self, request):
        path = request.path
        request.scope.bind(lambda: self._cancel(path))
        with self._changed:
            self.started.append(path)
            self._changed.notify_all()
            self._changed.wait_for(
                lambda: self.release_all or path in self._released, WAIT_S
            )
        if path in self.cancelled:
            return Refused(Outcome.UNKNOWN, Reason.CANCELLED)
        if "breaks" in path:
            return Answer(200, (), 100, BrokenBody(), "u1")
        body = path.encode() * (LONG_ANSWER_BYTES if "long" in path else 1)
        return Answer(200, (("x-path", path),), len(body), BufferedBody(body), "u1")

    def _cancel(self, path):
        with self._changed:
            self.cancelled.append(path)
            self._released.add(path)
            self._changed.notify_all()

    def release(self, *paths):
        with self._changed:
            self._released.update(paths)
            self._changed.notify_all()

    def wait_for(self, condition):
        with self._changed:
            assert self._changed.wait_for(condition, WAIT_S), self.started


@pytest.fixture(scope="module")
def server():
    state = {"handler": HeldHandler(), "callers": CallerWatch()}
    application = EdgeApplication(
        lambda request: state["handler"].route(request),
        lambda: "home@1.0",
        SystemClock(),
        MAX_BODY_BYTES,
        serving=lambda: state["handler"].serving,
        callers=state["callers"],
    )
    edge = EdgeServer(application, ("127.0.0.1", 0), 32, 8192, 5.0)
    edge.start()
    yield state, edge
    edge.stop()


@pytest.fixture
def handler(server):
    server[0]["handler"] = held_handler = HeldHandler()
    yield held_handler
    held_handler.release_all = True
    held_handler.release()


@pytest.fixture
def caller(server):
    address = ("127.0.0.1", server[1].port)
    with socket.create_connection(address, timeout=WAIT_S) as sock:
        yield sock


def get(*paths, extra=""):
    return "".join(
        f"GET {path} HTTP/1.1\r\nHost: a\r\n{extra}\r\n" for path in paths
    ).encode()


def receive_all(sock):
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(65536):
            received += data
    return received


def receive_answers(sock, count):
    """Return the bodies of the next `count` answers."""
    file = sock.makefile("rb")
    return [read_answer(file) for _ in range(count)]


def read_answer(file):
    length = 0
    while (line := file.readline()) not in (b"\r\n", b""):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return file.read(length)


def test_a_slow_request_delays_none_behind_it_at_the_upstream(handler, caller):
    caller.sendall(get("/1", "/2", "/3"))
    handler.wait_for(lambda: len(handler.started) == 3)
    handler.release("/3", "/2")
    caller.settimeout(0.2)
    with pytest.raises(TimeoutError):
        caller.recv(1)
    caller.settimeout(WAIT_S)
    handler.release("/1")
    assert receive_answers(caller, 3) == [b"/1", b"/2", b"/3"]


def test_requests_that_come_one_by_one_while_others_run_are_read(handler, caller):
    for count, path in enumerate(("/1", "/2", "/3"), 1):
        caller.sendall(get(path))
        handler.wait_for(lambda: len(handler.started) == count)  # noqa: B023
    handler.release("/1", "/2", "/3")
    assert receive_answers(caller, 3) == [b"/1", b"/2", b"/3"]
    caller.sendall(get("/4"))
    handler.release("/4")
    assert receive_answers(caller, 1) == [b"/4"]


def test_no_more_requests_of_a_connection_run_than_the_limit(handler, caller):
    limit = edge_connections.MAX_REQUESTS_IN_FLIGHT
    paths = [f"/{number}" for number in range(limit + 3)]
    caller.sendall(get(*paths))
    handler.wait_for(lambda: len(handler.started) == limit)
    assert sorted(handler.started) == sorted(paths[:limit])
    handler.release_all = True
    handler.release()
    assert receive_answers(caller, len(paths)) == [path.encode() for path in paths]


@pytest.mark.parametrize(
    ("paths", "started"),
    [
        (("/1", "/order", "/3"), ["/1"]),
        (("/order", "/2"), ["/order"]),
        (("/order-1", "/order-2"), ["/order-1"]),
    ],
    ids=["order behind a lookup", "lookup behind an order", "two orders"],
)
def test_an_order_runs_alone_on_its_connection(handler, caller, paths, started):
    caller.sendall(get(*paths))
    handler.wait_for(lambda: handler.started)
    caller.settimeout(0.2)
    with pytest.raises(TimeoutError):
        caller.recv(1)
    assert handler.started == started
    caller.settimeout(WAIT_S)
    handler.release(*paths)
    assert receive_answers(caller, len(paths)) == [path.encode() for path in paths]


CLOSING_ANSWERS = {
    "caller asks for it": get("/1", extra="Connection: close\r\n"),
    "malformed": b"GET /1 HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    "two lengths": (
        b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    ),
    "head too long": get("/1", extra=f"X-A: {'a' * 9000}\r\n"),
    "breaks off": get("/breaks"),
}


@pytest.mark.parametrize("first", CLOSING_ANSWERS.values(), ids=CLOSING_ANSWERS)
def test_what_stands_behind_an_answer_that_closes_gets_none(handler, caller, first):
    handler.release("/1", "/breaks")
    caller.sendall(first + get("/order", "/2"))
    received = receive_all(caller)
    assert received.count(b"HTTP/1.1 ") <= 1
    assert "/order" not in handler.started
    if b"/breaks" not in first:
        assert "/2" not in handler.started


def test_runs_ahead_are_cancelled_if_an_earlier_answer_breaks_off(handler, caller):
    caller.sendall(get("/breaks", "/2", "/3"))
    handler.wait_for(lambda: len(handler.started) == 3)
    handler.release("/breaks")
    assert receive_all(caller).count(b"HTTP/1.1 ") <= 1
    handler.wait_for(lambda: sorted(handler.cancelled) == ["/2", "/3"])


def test_a_leaving_daemon_answers_what_runs_and_starts_no_more(handler, caller):
    caller.sendall(get("/1", "/2"))
    handler.wait_for(lambda: len(handler.started) == 2)
    handler.serving = False
    handler.release("/1", "/2")
    received = receive_all(caller)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.lower().count(b"connection: close") == 1
    assert received.endswith(b"/2")


def test_a_leaving_daemon_runs_nothing_behind_its_last_answer(handler, caller):
    handler.serving = False
    caller.sendall(get("/1", "/order", "/3"))
    handler.release("/1", "/order", "/3")
    received = receive_all(caller)
    assert received.count(b"HTTP/1.1 200") == 1
    assert handler.started == ["/1"]


def test_unread_requests_do_not_reset_the_answer_before_them(handler, caller):
    handler.serving = False
    caller.sendall(get("/long"))
    handler.wait_for(lambda: handler.started)
    caller.sendall(get("/2") * 50)
    handler.release("/long")
    time.sleep(UNREAD_S)
    assert len(*receive_answers(caller, 1)) == LONG_ANSWER_BYTES * len("/long")
    assert handler.started == ["/long"]


def test_every_request_of_a_caller_that_left_is_cancelled(handler, server, caller):
    caller.sendall(get("/1", "/2", "/3"))
    handler.wait_for(lambda: len(handler.started) == 3)
    caller.close()
    server[0]["callers"].poll()
    handler.wait_for(lambda: sorted(handler.cancelled) == ["/1", "/2", "/3"])


def test_many_callers_each_get_their_own_answers(handler, server):
    handler.release_all = True
    failures = []

    def run(number):
        paths = [f"/{number}-{index}" for index in range(40)]
        address = ("127.0.0.1", server[1].port)
        with socket.create_connection(address, timeout=WAIT_S) as sock:
            sock.sendall(get(*paths))
            if receive_answers(sock, len(paths)) != [path.encode() for path in paths]:
                failures.append(number)

    threads = [threading.Thread(target=run, args=(number,)) for number in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(WAIT_S)
    assert failures == []


@settings(deadline=None, max_examples=300)
@given(
    keeps_open=st.lists(st.booleans(), min_size=1, max_size=6),
    rng=st.randoms(use_true_random=False),
)
def test_turns_follow_the_order_of_joins_until_one_closes(keeps_open, rng):
    """Whatever the order in which requests end, answers begin in that of the joins."""
    order = AnswerOrder()
    turns = [order.join() for _ in keeps_open]
    unended = list(range(len(turns)))
    closes_before = keeps_open.index(False) if False in keeps_open else len(turns)
    close_count = 0
    while unended:
        may_begin = unended[0] <= closes_before
        assert turns[unended[0]].wait() == may_begin
        assert turns[unended[0]].scope.cancelled != may_begin
        number = unended.pop(rng.randrange(len(unended)))
        close_count += order.end(turns[number], keeps_open[number])
        assert order.pending == len(unended)
    assert close_count == (closes_before < len(turns))
    assert (order.join() is None) == (closes_before < len(turns))
