"""Bad input to a running fleet harms no request of others."""

import contextlib
import socket
import threading

import pytest

from standins.demo import make_table
from standins.fleet import Fleet

pytestmark = pytest.mark.processes

WAIT_S = 20.0
GET = b"GET /catalogue/1 HTTP/1.1\r\nHost: a\r\n"


@pytest.fixture(scope="module")
def fleet():
    places = [("r1", "r1-a", "orders"), ("r1", "r1-b", "orders")]
    with Fleet(places, make_table(5000)) as f:
        yield f


def talk(port, data):
    with (
        contextlib.suppress(ConnectionError),
        socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as sock,
    ):
        sock.sendall(data)
        received = b""
        with contextlib.suppress(ConnectionError):
            while piece := sock.recv(65536):
                received += piece
        return received
    return b""


def runs(fleet):
    fleet.http.clear()  # a connection that idled may be closed as it is used
    return sum(sum(fleet.counts(node)["runs_by_key"].values()) for node in fleet.nodes)


def post(*headers, body=b"{}"):
    lines = [b"POST /orders HTTP/1.1", b"Host: a", b"Connection: close", *headers]
    return b"\r\n".join([*lines, b"Content-Length: %d" % len(body), b"", body])


EDGE_INPUT = {
    "garbage": b"\x00\xff\r\n\r\n",
    "length": GET + b"Content-Length: -1\r\n\r\n",
    "deadline": GET + b"Chute-Deadline-Ms: nan\r\n\r\n",
    "huge-head": GET + b"X-A: " + b"a" * 100_000 + b"\r\n\r\n",
    "huge-body": b"POST /orders HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nabc",
    "no-route": b"GET /nowhere HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    "slow": GET,
    "no-token": post(),
    "empty-token": post(b"Idempotency-Key: "),
    "text-token": post(b"Idempotency-Key: my-order-1"),
    "odd-token": post(b"Idempotency-Key: a@b.c/d"),
}


@pytest.mark.parametrize("name", EDGE_INPUT)
def test_edge_refuses_bad_input_and_runs_nothing(fleet, name):
    received = talk(fleet.nodes[0].edge_port, EDGE_INPUT[name])
    status = int(received.split()[1])
    assert 400 <= status < 500
    # The key of an order may stand in the part of a head that was not read.
    outcome = b"unknown" if name in ("huge-head", "slow") else b"not-run"
    assert b"Chute-Outcome: " + outcome in received
    assert runs(fleet) == 0


@pytest.mark.parametrize(
    "key",
    [
        b"gone@1.2/x",
        b"a@1.2/b/c@d/e",
        b"r1-a-1@" + b"9" * 400 + b".1/x",
        b"\xe9@1.2/\xff",
    ],
    ids=["gone", "slashes", "huge-numbers", "latin"],
)
def test_token_of_a_home_that_is_not_there_is_unknown(fleet, key):
    received = talk(fleet.nodes[0].edge_port, post(b"Idempotency-Key: " + key))
    assert int(received.split()[1]) >= 400
    assert b"Chute-Outcome: unknown" in received
    assert runs(fleet) == 0


@pytest.mark.parametrize("number", range(6))
def test_head_and_chunked_bodies_pass_through_either_daemon(fleet, number):
    url = f"{fleet.nodes[number % 2].edge_url}/catalogue/{number}"
    got = fleet.http.request("GET", url)
    head = fleet.http.request("HEAD", url)
    assert (head.status, head.data) == (200, b"")
    assert head.headers["Chute-Outcome"] == "ran"
    after = fleet.http.request("GET", url)  # the other upstream may answer
    assert after.json()["path"] == got.json()["path"] == f"/catalogue/{number}"
    pieces = (piece for piece in (b"x" * 40_000, b"y" * 40_000))
    home = got.headers["Chute-Home"]
    order = fleet.http.request(
        "POST",
        f"{fleet.nodes[number % 2].edge_url}/orders",
        body=pieces,
        headers={"Idempotency-Key": f"{home}/chunked-{number}"},
        chunked=True,
    )
    assert (order.status, order.headers["Chute-Outcome"]) == (200, "ran")


def test_others_are_served_while_bad_input_floods_edge_and_links(fleet):
    stopped = threading.Event()
    inputs = [
        *EDGE_INPUT.values(),
        b"\x16\x03\x01 no websocket",
        b"GET / HTTP/1.1\r\n\r\n",
    ]

    def flood(seed):
        node = fleet.nodes[seed % 2]
        while not stopped.is_set():
            for data in inputs[seed::2]:
                talk(node.peer_port, data)
                if data != GET:
                    talk(node.edge_port, data)

    threads = [threading.Thread(target=flood, args=(seed,)) for seed in range(4)]
    for thread in threads:
        thread.start()
    try:
        for number in range(200):
            node = fleet.nodes[number % 2]
            answer = fleet.http.request("GET", f"{node.edge_url}/catalogue/{number}")
            assert (answer.status, answer.headers["Chute-Outcome"]) == (200, "ran")
    finally:
        stopped.set()
        for thread in threads:
            thread.join()
    assert all(node.daemon.poll() is None for node in fleet.nodes)


def test_bad_input_is_counted_and_does_not_flood_the_log(fleet):
    for _ in range(50):
        talk(fleet.nodes[0].peer_port, b"GET / HTTP/1.1\r\n\r\n")
        talk(fleet.nodes[0].edge_port, b"\x00\r\n\r\n")
    url = fleet.nodes[0].operator_url + "/metrics"
    text = fleet.http.request("GET", url).data.decode()
    counts = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#")
    assert int(counts['chute_link_faults_total{cause="handshake"}']) >= 50
    assert int(counts['chute_bad_requests_total{reason="bad-request"}']) >= 50
    logs = [path.read_text("utf-8") for path in fleet.path.glob("chicorychute-*.log")]
    assert all(text.count("link: closed") < 50 for text in logs)
    assert not any("Traceback" in text for text in logs)
