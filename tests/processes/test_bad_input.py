"""Malformed input to a running fleet runs nothing and fails no other request.

The input is sent both to the edge and to the peer port of real daemons.
"""

import contextlib
import socket
import threading

import pytest

from standins.demo import make_table
from standins.fleet import Fleet

pytestmark = pytest.mark.processes

TIMEOUT_S = 20.0
GET = b"GET /catalogue/1 HTTP/1.1\r\nHost: a\r\n"


@pytest.fixture(scope="module")
def fleet():
    instances = [("r1", "r1-a", "orders"), ("r1", "r1-b", "orders")]
    with Fleet(instances, make_table(5000)) as running:
        yield running


def send_raw(port, data):
    with (
        contextlib.suppress(ConnectionError),
        socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S) as sock,
    ):
        sock.sendall(data)
        received = b""
        with contextlib.suppress(ConnectionError):
            while chunk := sock.recv(65536):
                received += chunk
        return received
    return b""


def count_runs(fleet):
    fleet.http.clear()  # an idle connection may be closed while it is reused
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
    "no-key": post(),
    "empty-key": post(b"Idempotency-Key: "),
    "text-key": post(b"Idempotency-Key: my-order-1"),
    "foreign-key": post(b"Idempotency-Key: a@b.c/d"),
}


@pytest.mark.parametrize("name", EDGE_INPUT)
def test_edge_refuses_bad_input_and_runs_nothing(fleet, name):
    received = send_raw(fleet.nodes[0].edge_port, EDGE_INPUT[name])
    status = int(received.split()[1])
    assert 400 <= status < 500
    # The bytes of the head that were not read may contain the key of an order.
    outcome = b"unknown" if name in ("huge-head", "slow") else b"not-run"
    assert b"Chute-Outcome: " + outcome in received
    assert count_runs(fleet) == 0


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
def test_key_of_a_nonexistent_home_is_answered_as_unknown(fleet, key):
    received = send_raw(fleet.nodes[0].edge_port, post(b"Idempotency-Key: " + key))
    assert int(received.split()[1]) >= 400
    assert b"Chute-Outcome: unknown" in received
    assert count_runs(fleet) == 0


@pytest.mark.parametrize("number", range(6))
def test_head_and_chunked_bodies_pass_through_either_daemon(fleet, number):
    url = f"{fleet.nodes[number % 2].edge_url}/catalogue/{number}"
    first = fleet.http.request("GET", url)
    head = fleet.http.request("HEAD", url)
    assert (head.status, head.data) == (200, b"")
    assert head.headers["Chute-Outcome"] == "ran"
    second = fleet.http.request("GET", url)  # the other upstream may answer
    assert second.json()["path"] == first.json()["path"] == f"/catalogue/{number}"
    chunks = (chunk for chunk in (b"x" * 40_000, b"y" * 40_000))
    home = first.headers["Chute-Home"]
    order = fleet.http.request(
        "POST",
        f"{fleet.nodes[number % 2].edge_url}/orders",
        body=chunks,
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

    def flood(worker):
        node = fleet.nodes[worker % 2]
        while not stopped.is_set():
            for data in inputs[worker::2]:
                send_raw(node.peer_port, data)
                if data != GET:
                    send_raw(node.edge_port, data)

    threads = [threading.Thread(target=flood, args=(worker,)) for worker in range(4)]
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
        send_raw(fleet.nodes[0].peer_port, b"GET / HTTP/1.1\r\n\r\n")
        send_raw(fleet.nodes[0].edge_port, b"\x00\r\n\r\n")
    url = fleet.nodes[0].operator_url + "/metrics"
    text = fleet.http.request("GET", url).data.decode()
    counts = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#")
    assert int(counts['chute_link_faults_total{cause="handshake"}']) >= 50
    assert int(counts['chute_bad_requests_total{reason="bad-request"}']) >= 50
    logs = [path.read_text("utf-8") for path in fleet.path.glob("chicorychute-*.log")]
    assert all(text.count("link: closed") < 50 for text in logs)
    assert not any("Traceback" in text for text in logs)
