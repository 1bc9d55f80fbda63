"""Bad input from callers is refused, and harms no other caller.

Guards against malformed, oversized, slow or aborted requests that reach a handler,
that are refused with "not-run" though an earlier copy of the order may have run, or
that delay other callers, and against a broken answer that a caller could take for a
complete one. They come about where a parser is lenient, or waits for a sender.
"""

import json
import socket
import threading

import attrs
import pytest

from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.core.system_clock import SystemClock
from chicorychute.pipeline.values import Answer, AnswerBroken, BufferedBody, Refused
from chicorychute.transport.edge import EdgeApplication, EdgeServer

MAX_BODY_BYTES = 20_000
MAX_HEAD_BYTES = 8192
WAIT_S = 20.0


@attrs.define
class ScriptedHandler:
    """Handler behind the edge: records requests, returns or raises `reply`."""

    reply: object = None
    requests: list = attrs.field(factory=list)
    refusals: list = attrs.field(factory=list)

    def handle(self, request):
        self.requests.append(request)
        if isinstance(self.reply, Exception):
            raise self.reply
        if self.reply is not None:
            return self.reply
        return Answer(200, (("x-up", "1"),), 2, BufferedBody(b"ok"), "u1")


class BrokenBody:
    """Body that yields `chunks`, then fails."""

    def __init__(self, *chunks):
        self._chunks = iter(chunks)

    def __iter__(self):
        return self

    def __next__(self):
        for chunk in self._chunks:
            return chunk
        raise AnswerBroken("upstream hung up")

    def close(self):
        pass


@pytest.fixture(scope="module")
def server():
    state = {"handler": ScriptedHandler()}
    application = EdgeApplication(
        lambda request: state["handler"].handle(request),
        lambda: "home@1.0",
        SystemClock(),
        MAX_BODY_BYTES,
        on_refusal=lambda reason: state["handler"].refusals.append(reason),
    )
    edge = EdgeServer(application, ("127.0.0.1", 0), 8, MAX_HEAD_BYTES, 0.5)
    edge.start()
    yield state, edge
    edge.stop()


@pytest.fixture
def handler(server):
    server[0]["handler"] = ScriptedHandler()
    return server[0]["handler"]


@pytest.fixture
def port(server):
    return server[1].port


def exchange(port, data, half_close=False):
    """Send bytes and return all bytes received until the server closes."""
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as sock:
        sock.sendall(data)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        return receive_all(sock)


def receive_all(sock):
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


def build_request(path="/a", *lines, method="GET", version="1.1", body=b""):
    head = [f"{method} {path} HTTP/{version}", "Host: a", "Connection: close", *lines]
    return "\r\n".join([*head, "", ""]).encode("latin-1") + body


def parse(received):
    head, _, body = received.partition(b"\r\n\r\n")
    status, *lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    return int(status.split()[1]), headers, body


def assert_refused(received, status, reason, outcome="not-run"):
    seen_status, headers, body = parse(received)
    assert (seen_status, headers["Chute-Reason"]) == (status, reason.value)
    assert headers["Chute-Outcome"] == outcome
    assert json.loads(body)["outcome"] == outcome
    assert json.loads(body)["remedy"]


def assert_serves(port):
    assert parse(exchange(port, build_request()))[0] == 200


BAD = Reason.BAD_REQUEST
MALFORMED_REQUESTS = {
    "garbage": (b"\x00\x01\x02\r\n\r\n", 400, BAD),
    "no-version": (b"GET /a\r\n\r\n", 400, BAD),
    "lower-case-method": (build_request(method="get"), 400, BAD),
    "other-protocol": (b"GET /a SIP/2.0\r\n\r\n", 400, BAD),
    "http-2": (build_request(version="2.0"), 505, BAD),
    "absolute-target": (build_request("http://b/a"), 400, BAD),
    "fragment": (build_request("/a#b"), 400, BAD),
    "control-in-target": (build_request("/a\x01"), 400, BAD),
    "latin-in-target": (build_request("/\xe9"), 400, BAD),
    "bare-newline": (b"GET /a HTTP/1.1\nHost: a\n\n", 400, BAD),
    "no-colon": (build_request("/a", "broken"), 400, BAD),
    "space-before-colon": (
        build_request("/a", "Content-Length : 2", body=b"ab"),
        400,
        BAD,
    ),
    "underscore": (build_request("/a", "Chute_Deadline_Ms: 5"), 400, BAD),
    "folded": (build_request("/a", "X-A: b", " c"), 400, BAD),
    "carriage-return-in-value": (build_request("/a", "X-A: b\rc"), 400, BAD),
    "null-in-value": (build_request("/a", "X-A: b\0c"), 400, BAD),
    "many-headers": (
        build_request("/a", *(f"X-{n}: 1" for n in range(200))),
        400,
        BAD,
    ),
    "length-text": (build_request("/a", "Content-Length: ten"), 400, BAD),
    "length-negative": (build_request("/a", "Content-Length: -5"), 400, BAD),
    "length-signed": (
        build_request("/a", "Content-Length: +2", body=b"ab"),
        400,
        BAD,
    ),
    "length-grouped": (build_request("/a", "Content-Length: 1_0"), 400, BAD),
    "length-twice": (
        build_request("/a", "Content-Length: 2", "Content-Length: 9", body=b"ab"),
        400,
        BAD,
    ),
    "length-and-chunked": (
        build_request(
            "/a", "Content-Length: 2", "Transfer-Encoding: chunked", body=b"ab"
        ),
        400,
        BAD,
    ),
    "coding": (build_request("/a", "Transfer-Encoding: gzip"), 400, BAD),
    "chunked-1.0": (
        build_request(
            "/a", "Transfer-Encoding: chunked", version="1.0", body=b"0\r\n\r\n"
        ),
        400,
        BAD,
    ),
    "key-twice": (
        build_request("/a", "Idempotency-Key: a", "Idempotency-Key: b"),
        400,
        BAD,
    ),
    "key-long": (
        build_request("/a", "Idempotency-Key: " + "k" * 600),
        400,
        BAD,
    ),
    "team-long": (build_request("/a", "Chute-Team: " + "t" * 200), 400, BAD),
    "deadline-twice": (
        build_request("/a", "Chute-Deadline-Ms: 5", "Chute-Deadline-Ms: 6"),
        400,
        BAD,
    ),
    **{
        f"deadline-{value}": (
            build_request("/a", f"Chute-Deadline-Ms: {value}"),
            400,
            BAD,
        )
        for value in ("nan", "inf", "-1", "soon", "1e9", "")
    },
    "huge-target": (build_request("/" + "a" * 50_000), 414, Reason.TOO_LARGE),
    "huge-head": (build_request("/a", "X-A: " + "a" * 50_000), 413, Reason.TOO_LARGE),
    "huge-body": (
        build_request("/a", "Content-Length: 90000", method="POST", body=b"x" * 90_000),
        413,
        Reason.TOO_LARGE,
    ),
    "huge-claim": (
        build_request("/a", "Content-Length: 99999999999999999999", method="POST"),
        413,
        Reason.TOO_LARGE,
    ),
    "huge-chunks": (
        build_request(
            "/a",
            "Transfer-Encoding: chunked",
            method="POST",
            body=b"4000\r\n" + b"x" * 0x4000 + b"\r\n" + b"4000\r\n" + b"x" * 0x4000,
        ),
        413,
        Reason.TOO_LARGE,
    ),
    "chunk-size": (
        build_request(
            "/a", "Transfer-Encoding: chunked", body=b"zz\r\nab\r\n0\r\n\r\n"
        ),
        400,
        BAD,
    ),
    "chunk-end": (
        build_request("/a", "Transfer-Encoding: chunked", body=b"2\r\nabXX0\r\n\r\n"),
        400,
        BAD,
    ),
}


# The unread rest may hold an idempotency key, so an earlier copy may have run.
HEAD_INCOMPLETE = {"bare-newline", "huge-target", "huge-head"}


@pytest.mark.parametrize("name", MALFORMED_REQUESTS)
def test_malformed_request_is_refused(handler, port, name):
    data, status, reason = MALFORMED_REQUESTS[name]
    outcome = "unknown" if name in HEAD_INCOMPLETE else "not-run"
    assert_refused(exchange(port, data), status, reason, outcome)
    assert handler.requests == []
    assert handler.refusals == [reason]
    assert_serves(port)


incomplete_requests = pytest.mark.parametrize(
    ("data", "outcome"),
    [
        (b"GET /a HTTP/1.1\r\nHost: a\r\nX-Slo", "unknown"),
        (
            build_request("/a", "Content-Length: 10", method="POST", body=b"half"),
            "not-run",
        ),
        (build_request("/a", "Transfer-Encoding: chunked", body=b"5\r\nab"), "not-run"),
    ],
    ids=["head", "body", "chunk"],
)


@incomplete_requests
def test_request_that_ends_early_is_refused(handler, port, data, outcome):
    assert_refused(exchange(port, data, half_close=True), 400, BAD, outcome)
    assert handler.requests == []
    assert handler.refusals == [BAD]


def test_connection_that_ends_without_a_request_is_closed(handler, port):
    assert exchange(port, b"", half_close=True) == b""
    assert handler.refusals == []
    assert_serves(port)


@incomplete_requests
def test_slow_sender_is_refused(handler, port, data, outcome):
    assert_refused(exchange(port, data), 408, Reason.SLOW_REQUEST, outcome)
    assert handler.requests == []
    assert handler.refusals == [Reason.SLOW_REQUEST]
    assert_serves(port)


OUTCOME_BY_KEY = {
    "home@1.2/x": "unknown",
    "home@1.2/of/a@later.release": "unknown",
    "my-order-1": "not-run",
    "": "not-run",
}
CHUNKED_HEADER = "Transfer-Encoding: chunked"
# "%" is replaced by the header line of the idempotency key.
REQUEST_BY_FAULT = {
    "body-ends": build_request(
        "/a", "%", "Content-Length: 9", method="POST", body=b"half"
    ),
    "body-late": build_request(
        "/a", "%", "Content-Length: 9", method="POST", body=b"late"
    ),
    "body-large": build_request("/a", "%", "Content-Length: 90000", method="POST"),
    "chunk-broken": build_request(
        "/a", "%", CHUNKED_HEADER, method="POST", body=b"zz\r\n"
    ),
    "chunk-large": build_request(
        "/a", "%", CHUNKED_HEADER, method="POST", body=b"ffff\r\n"
    ),
    "malformed-after": build_request("/a", "%", "broken", method="POST"),
    "malformed-before": build_request("/a", "broken", "%", method="POST"),
    "lengths": build_request("/a", "%", "Content-Length: 1", "Content-Length: 2"),
    "deadline": build_request("/a", "Chute-Deadline-Ms: soon", "%", method="POST"),
    "target": build_request("/\xe9", "%", method="POST"),
    "protocol": build_request("/a", "%", version="2.0"),
    "second-key": build_request("/a", "Idempotency-Key: a", "%", method="POST"),
    "space-after-name": build_request("/a", "%", method="POST").replace(
        b"Host", b"Host "
    ),
}


@pytest.mark.parametrize("fault", REQUEST_BY_FAULT)
@pytest.mark.parametrize(("key", "outcome"), OUTCOME_BY_KEY.items())
def test_refused_request_is_not_run_only_if_its_key_names_no_order(
    handler, port, fault, key, outcome
):
    line = b"Idempotency-Key: " + key.encode()
    data = REQUEST_BY_FAULT[fault].replace(b"%", line)
    received = exchange(port, data, half_close=fault == "body-ends")
    status, headers, body = parse(received)
    assert 400 <= status <= 505
    assert (headers["Chute-Outcome"], json.loads(body)["outcome"]) == (outcome,) * 2
    assert handler.requests == []


@pytest.mark.parametrize("rest", ["X-Slo", "X-A: " + "a" * 50_000, "X-A: b\n"])
@pytest.mark.parametrize("key", ["Idempotency-Key: home@1.2/x\r\n", ""])
def test_outcome_is_unknown_if_the_head_is_incomplete(handler, port, key, rest):
    data = "POST /a HTTP/1.1\r\nHost: a\r\n" + key + rest
    assert parse(exchange(port, data.encode()))[1]["Chute-Outcome"] == "unknown"
    assert handler.requests == []


def test_half_closed_caller_still_gets_its_answer(handler, port):
    assert parse(exchange(port, build_request(), half_close=True))[2] == b"ok"


def test_chunked_body_is_complete_and_ends_before_the_next_request(handler, port):
    first = (
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: GET /evil HTTP/1.1\r\n\r\n"
    )
    received = exchange(port, first + build_request("/b"))
    assert received.count(b"HTTP/1.1 200") == 2
    assert [(r.path, r.body) for r in handler.requests] == [
        ("/a", b"abcde"),
        ("/b", b""),
    ]


def test_repeated_headers_are_joined_and_latin_bytes_kept(handler, port):
    exchange(
        port, build_request("/a", "X-A: 1", "X-A: \xe9", "Cookie: a=1", "Cookie: b=2")
    )
    headers = dict(handler.requests[0].headers)
    assert headers["x-a"] == "1, \xe9"
    assert headers["cookie"] == "a=1; b=2"


def test_head_request_gets_no_body_and_the_next_request_is_answered(handler, port):
    handler.reply = Refused(Outcome.NOT_RUN, Reason.OVERLOAD)
    head = b"HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n"
    received = exchange(port, head + build_request("/b"))
    assert received.count(b"HTTP/1.1 503") == 2
    assert received.count(b'"outcome"') == 1


def test_handler_that_raises_is_answered_as_unknown(handler, port):
    handler.reply = RuntimeError("a fault in the daemon")
    assert_refused(exchange(port, build_request()), 500, Reason.INTERNAL, "unknown")
    handler.reply = None
    assert_serves(port)


def test_chute_headers_of_an_upstream_are_not_forwarded(handler, port):
    headers = (("Chute-Outcome", "not-run"),)
    handler.reply = Answer(200, headers, 2, BufferedBody(b"ok"), "u1")
    assert exchange(port, build_request()).count(b"Chute-Outcome: ran") == 1
    assert b"not-run" not in exchange(port, build_request())


def test_answer_broken_before_its_first_byte_becomes_a_refusal(handler, port):
    handler.reply = Answer(200, (), 4, BrokenBody(), "u1")
    assert_refused(
        exchange(port, build_request()), 502, Reason.UPSTREAM_LOST, "unknown"
    )


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    ("length", "body"),
    [(4, BrokenBody), (-1, BrokenBody), (4, BufferedBody)],
    ids=["broken", "broken-unsized", "shorter-than-its-head"],
)
def test_short_answer_ends_in_a_connection_reset(handler, port, version, length, body):
    handler.reply = Answer(200, (), length, body(b"ab"), "u1")
    with pytest.raises(ConnectionResetError):
        exchange(port, build_request(version=version))


def test_slow_senders_do_not_delay_other_callers(handler, port):
    slow = [socket.create_connection(("127.0.0.1", port)) for _ in range(8)]
    for sock in slow:
        sock.sendall(b"GET /a HTTP/1.1\r\n")
    callers = [threading.Thread(target=assert_serves, args=(port,)) for _ in range(8)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join(WAIT_S)
    assert len(handler.requests) == len(callers)
    for sock in slow:
        sock.close()


def test_every_connection_is_kept_open_for_its_next_request(handler, port):
    request = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
    connections = [socket.create_connection(("127.0.0.1", port)) for _ in range(30)]
    for _ in range(2):
        for sock in connections:
            sock.settimeout(WAIT_S)
            sock.sendall(request)
            received = b""
            while not received.endswith(b"ok"):
                received += sock.recv(65536)
            assert b"Connection: close" not in received
    for sock in connections:
        sock.close()
