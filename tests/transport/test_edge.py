"""Bad input at the callers' edge: a clear refusal, and no harm to others."""

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
class Script:
    """What the handler behind the edge saw and answers."""

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
    """Body that ends in a failure after some chunks."""

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
    holder = {"script": Script()}
    application = EdgeApplication(
        lambda request: holder["script"].handle(request),
        lambda: "home@1.0",
        SystemClock(),
        MAX_BODY_BYTES,
        on_refusal=lambda reason: holder["script"].refusals.append(reason),
    )
    edge = EdgeServer(application, ("127.0.0.1", 0), 8, MAX_HEAD_BYTES, 0.5)
    edge.start()
    yield holder, edge
    edge.stop()


@pytest.fixture
def script(server):
    server[0]["script"] = Script()
    return server[0]["script"]


@pytest.fixture
def port(server):
    return server[1].port


def talk(port, data, half_close=False):
    """Send bytes and return all that comes until the server closes."""
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


def get(path="/a", *lines, method="GET", version="1.1", body=b""):
    head = [f"{method} {path} HTTP/{version}", "Host: a", "Connection: close", *lines]
    return "\r\n".join([*head, "", ""]).encode("latin-1") + body


def parse(received):
    head, _, body = received.partition(b"\r\n\r\n")
    status, *lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    return int(status.split()[1]), headers, body


def assert_refused(received, status, reason, outcome="not-run"):
    seen, headers, body = parse(received)
    assert (seen, headers["Chute-Reason"]) == (status, reason.value)
    assert headers["Chute-Outcome"] == outcome
    assert json.loads(body)["outcome"] == outcome
    assert json.loads(body)["remedy"]


def assert_serves(port):
    assert parse(talk(port, get()))[0] == 200


BAD = Reason.BAD_REQUEST
MALFORMED = {
    "garbage": (b"\x00\x01\x02\r\n\r\n", 400, BAD),
    "no-version": (b"GET /a\r\n\r\n", 400, BAD),
    "lower-case-method": (get(method="get"), 400, BAD),
    "other-protocol": (b"GET /a SIP/2.0\r\n\r\n", 400, BAD),
    "http-2": (get(version="2.0"), 505, BAD),
    "absolute-target": (get("http://b/a"), 400, BAD),
    "fragment": (get("/a#b"), 400, BAD),
    "control-in-target": (get("/a\x01"), 400, BAD),
    "latin-in-target": (get("/\xe9"), 400, BAD),
    "bare-newline": (b"GET /a HTTP/1.1\nHost: a\n\n", 400, BAD),
    "no-colon": (get("/a", "broken"), 400, BAD),
    "space-before-colon": (get("/a", "Content-Length : 2", body=b"ab"), 400, BAD),
    "underscore": (get("/a", "Chute_Deadline_Ms: 5"), 400, BAD),
    "folded": (get("/a", "X-A: b", " c"), 400, BAD),
    "carriage-return-in-value": (get("/a", "X-A: b\rc"), 400, BAD),
    "null-in-value": (get("/a", "X-A: b\0c"), 400, BAD),
    "many-headers": (get("/a", *(f"X-{n}: 1" for n in range(200))), 400, BAD),
    "length-text": (get("/a", "Content-Length: ten"), 400, BAD),
    "length-negative": (get("/a", "Content-Length: -5"), 400, BAD),
    "length-signed": (get("/a", "Content-Length: +2", body=b"ab"), 400, BAD),
    "length-grouped": (get("/a", "Content-Length: 1_0"), 400, BAD),
    "length-twice": (
        get("/a", "Content-Length: 2", "Content-Length: 9", body=b"ab"),
        400,
        BAD,
    ),
    "length-and-chunked": (
        get("/a", "Content-Length: 2", "Transfer-Encoding: chunked", body=b"ab"),
        400,
        BAD,
    ),
    "coding": (get("/a", "Transfer-Encoding: gzip"), 400, BAD),
    "chunked-1.0": (
        get("/a", "Transfer-Encoding: chunked", version="1.0", body=b"0\r\n\r\n"),
        400,
        BAD,
    ),
    "key-twice": (get("/a", "Idempotency-Key: a", "Idempotency-Key: b"), 400, BAD),
    "key-long": (get("/a", "Idempotency-Key: " + "k" * 600), 400, BAD),
    "team-long": (get("/a", "Chute-Team: " + "t" * 200), 400, BAD),
    "deadline-twice": (
        get("/a", "Chute-Deadline-Ms: 5", "Chute-Deadline-Ms: 6"),
        400,
        BAD,
    ),
    **{
        f"deadline-{value}": (get("/a", f"Chute-Deadline-Ms: {value}"), 400, BAD)
        for value in ("nan", "inf", "-1", "soon", "1e9", "")
    },
    "huge-target": (get("/" + "a" * 50_000), 414, Reason.TOO_LARGE),
    "huge-head": (get("/a", "X-A: " + "a" * 50_000), 413, Reason.TOO_LARGE),
    "huge-body": (
        get("/a", "Content-Length: 90000", method="POST", body=b"x" * 90_000),
        413,
        Reason.TOO_LARGE,
    ),
    "huge-claim": (
        get("/a", "Content-Length: 99999999999999999999", method="POST"),
        413,
        Reason.TOO_LARGE,
    ),
    "huge-chunks": (
        get(
            "/a",
            "Transfer-Encoding: chunked",
            method="POST",
            body=b"4000\r\n" + b"x" * 0x4000 + b"\r\n" + b"4000\r\n" + b"x" * 0x4000,
        ),
        413,
        Reason.TOO_LARGE,
    ),
    "chunk-size": (
        get("/a", "Transfer-Encoding: chunked", body=b"zz\r\nab\r\n0\r\n\r\n"),
        400,
        BAD,
    ),
    "chunk-end": (
        get("/a", "Transfer-Encoding: chunked", body=b"2\r\nabXX0\r\n\r\n"),
        400,
        BAD,
    ),
}


# A key may stand in the part that was not read, so an earlier send may have run.
HEAD_NOT_READ = {"bare-newline", "huge-target", "huge-head"}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_request_is_refused(script, port, name):
    data, status, reason = MALFORMED[name]
    outcome = "unknown" if name in HEAD_NOT_READ else "not-run"
    assert_refused(talk(port, data), status, reason, outcome)
    assert script.requests == []
    assert script.refusals == [reason]
    assert_serves(port)


broken_off = pytest.mark.parametrize(
    ("data", "outcome"),
    [
        (b"GET /a HTTP/1.1\r\nHost: a\r\nX-Slo", "unknown"),
        (get("/a", "Content-Length: 10", method="POST", body=b"half"), "not-run"),
        (get("/a", "Transfer-Encoding: chunked", body=b"5\r\nab"), "not-run"),
    ],
    ids=["head", "body", "chunk"],
)


@broken_off
def test_request_that_ends_early_is_refused(script, port, data, outcome):
    assert_refused(talk(port, data, half_close=True), 400, BAD, outcome)
    assert script.requests == []
    assert script.refusals == [BAD]


def test_connection_that_ends_without_a_request_is_closed(script, port):
    assert talk(port, b"", half_close=True) == b""
    assert script.refusals == []
    assert_serves(port)


@broken_off
def test_slow_sender_is_refused(script, port, data, outcome):
    assert_refused(talk(port, data), 408, Reason.SLOW_REQUEST, outcome)
    assert script.requests == []
    assert script.refusals == [Reason.SLOW_REQUEST]
    assert_serves(port)


KEYS = {
    "home@1.2/x": "unknown",
    "home@1.2/of/a@later.release": "unknown",
    "my-order-1": "not-run",
    "": "not-run",
}
CHUNKS = "Transfer-Encoding: chunked"
# Each with the line of the key, "%", somewhere in its head.
WHOLE_HEADS = {
    "body-ends": get("/a", "%", "Content-Length: 9", method="POST", body=b"half"),
    "body-late": get("/a", "%", "Content-Length: 9", method="POST", body=b"late"),
    "body-large": get("/a", "%", "Content-Length: 90000", method="POST"),
    "chunk-broken": get("/a", "%", CHUNKS, method="POST", body=b"zz\r\n"),
    "chunk-large": get("/a", "%", CHUNKS, method="POST", body=b"ffff\r\n"),
    "malformed-after": get("/a", "%", "broken", method="POST"),
    "malformed-before": get("/a", "broken", "%", method="POST"),
    "lengths": get("/a", "%", "Content-Length: 1", "Content-Length: 2"),
    "deadline": get("/a", "Chute-Deadline-Ms: soon", "%", method="POST"),
    "target": get("/\xe9", "%", method="POST"),
    "protocol": get("/a", "%", version="2.0"),
    "second-key": get("/a", "Idempotency-Key: a", "%", method="POST"),
    "space-after-name": get("/a", "%", method="POST").replace(b"Host", b"Host "),
}


@pytest.mark.parametrize("fault", WHOLE_HEADS)
@pytest.mark.parametrize(("key", "outcome"), KEYS.items())
def test_refused_send_is_not_run_only_if_no_order_has_its_key(
    script, port, fault, key, outcome
):
    line = b"Idempotency-Key: " + key.encode()
    data = WHOLE_HEADS[fault].replace(b"%", line)
    received = talk(port, data, half_close=fault == "body-ends")
    status, headers, body = parse(received)
    assert 400 <= status <= 505
    assert (headers["Chute-Outcome"], json.loads(body)["outcome"]) == (outcome,) * 2
    assert script.requests == []


@pytest.mark.parametrize("rest", ["X-Slo", "X-A: " + "a" * 50_000, "X-A: b\n"])
@pytest.mark.parametrize("key", ["Idempotency-Key: home@1.2/x\r\n", ""])
def test_head_that_was_not_read_whole_is_unknown(script, port, key, rest):
    data = "POST /a HTTP/1.1\r\nHost: a\r\n" + key + rest
    assert parse(talk(port, data.encode()))[1]["Chute-Outcome"] == "unknown"
    assert script.requests == []


def test_half_closed_caller_still_gets_its_answer(script, port):
    assert parse(talk(port, get(), half_close=True))[2] == b"ok"


def test_chunked_body_arrives_whole_and_the_next_request_stands_alone(script, port):
    first = (
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: GET /evil HTTP/1.1\r\n\r\n"
    )
    received = talk(port, first + get("/b"))
    assert received.count(b"HTTP/1.1 200") == 2
    assert [(r.path, r.body) for r in script.requests] == [
        ("/a", b"abcde"),
        ("/b", b""),
    ]


def test_repeated_headers_are_joined_and_latin_bytes_kept(script, port):
    talk(port, get("/a", "X-A: 1", "X-A: \xe9", "Cookie: a=1", "Cookie: b=2"))
    headers = dict(script.requests[0].headers)
    assert headers["x-a"] == "1, \xe9"
    assert headers["cookie"] == "a=1; b=2"


def test_head_has_no_body_and_the_next_request_is_answered(script, port):
    script.reply = Refused(Outcome.NOT_RUN, Reason.OVERLOAD)
    head = b"HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n"
    received = talk(port, head + get("/b"))
    assert received.count(b"HTTP/1.1 503") == 2
    assert received.count(b'"outcome"') == 1


def test_handler_that_raises_is_told_as_unknown(script, port):
    script.reply = RuntimeError("a fault in the daemon")
    assert_refused(talk(port, get()), 500, Reason.INTERNAL, "unknown")
    script.reply = None
    assert_serves(port)


def test_upstream_may_not_speak_for_the_daemon(script, port):
    headers = (("Chute-Outcome", "not-run"),)
    script.reply = Answer(200, headers, 2, BufferedBody(b"ok"), "u1")
    assert talk(port, get()).count(b"Chute-Outcome: ran") == 1
    assert b"not-run" not in talk(port, get())


def test_answer_broken_before_its_first_byte_becomes_a_refusal(script, port):
    script.reply = Answer(200, (), 4, BrokenBody(), "u1")
    assert_refused(talk(port, get()), 502, Reason.UPSTREAM_LOST, "unknown")


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    ("length", "body"),
    [(4, BrokenBody), (-1, BrokenBody), (4, BufferedBody)],
    ids=["broken", "broken-unsized", "shorter-than-its-head"],
)
def test_short_answer_is_never_taken_for_a_whole_one(
    script, port, version, length, body
):
    script.reply = Answer(200, (), length, body(b"ab"), "u1")
    with pytest.raises(ConnectionResetError):
        talk(port, get(version=version))


def test_slow_senders_hold_up_nobody_else(script, port):
    slow = [socket.create_connection(("127.0.0.1", port)) for _ in range(8)]
    for sock in slow:
        sock.sendall(b"GET /a HTTP/1.1\r\n")
    callers = [threading.Thread(target=assert_serves, args=(port,)) for _ in range(8)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join(WAIT_S)
    assert len(script.requests) == len(callers)
    for sock in slow:
        sock.close()


def test_every_connection_is_kept_for_its_next_request(script, port):
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
