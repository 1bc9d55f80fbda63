"""A daemon beside an upstream of the platform, from its store to its callers."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.request

import pytest
import urllib3

from chicorychute.explain.history import describe
from chicorychute.explain.lines import find_related_lines
from standins.fleet import free_ports
from standins.store import StoreApplication, make_config, make_registration, serve

pytestmark = pytest.mark.processes
WAIT_S = 20.0
SETTINGS = """
[instance]
id = 127.0.0.1
zone = z1
region = r1
[edge]
address = 127.0.0.1:{edge}
[peer]
address = 127.0.0.1:{peer}
[operator]
address = 127.0.0.1:{operator}
[platform]
backend = mesh
url = http://127.0.0.1:{store}
poll_s = 0.2
start_spread_s = 0
longest_pause_s = 0.5
[gossip]
scope = region
regions = z1:r1
[shutdown]
settle_s = 0.2
drain_limit_s = 3
[log]
format = json
[upstream:127.0.0.1]
service = orders
url = http://127.0.0.1:{upstream}
"""


class UpstreamApplication:
    """Upstream that echoes ids; `answer` may replace what it does."""

    def __init__(self):
        self.seen = []
        self.answer = None

    def __call__(self, environ, start_response):
        if environ["PATH_INFO"] == "/healthz":
            start_response("200 OK", [("X-Instance-Id", "i-1")])
            return [b""]
        self.seen.append(environ)
        id = environ["HTTP_X_REQUEST_ID"]
        if environ.get("HTTP_X_EXPECT_INSTANCE") != "i-1":
            start_response("421 Misdirected", [("X-Instance-Id", "i-1")])
            return [b""]
        if self.answer is not None:
            return self.answer(id, start_response)
        start_response("200 OK", [("X-Request-Id", id), ("X-Response-Stamp", "s")])
        return [b"whole answer"]


class Site:
    """Store, upstream and daemon."""

    def __init__(self, path):
        self.store, self.upstream = StoreApplication(), UpstreamApplication()
        self._servers = [serve(self.store), serve(self.upstream)]
        store, upstream = (server.bind_addr[1] for server in self._servers)
        self.edge, peer, self.operator = free_ports(3)
        self.upstream_address = f"127.0.0.1:{upstream}"
        self.path = path / "daemon.ini"
        self.path.write_text(
            SETTINGS.format(
                edge=self.edge,
                peer=peer,
                operator=self.operator,
                store=store,
                upstream=upstream,
            )
        )
        self.log = path / "log"
        self.process = None
        self.http = urllib3.PoolManager(retries=False, timeout=WAIT_S)

    def start(self):
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "chicorychute", "run", "-c", self.path],
                stdout=log,
                env=dict(os.environ),
            )

    def call(self, method="GET", path="/read/x", host="h.example", id="id1", **headers):
        given = {"Host": host, "X-Request-Id": id, "X-Deadline-Ms": "3000", **headers}
        body = b"order" if method == "POST" else None
        url = f"http://127.0.0.1:{self.edge}{path}"
        return self.http.request(method, url, headers=given, body=body)

    def until(self, holds):
        end_s = time.monotonic() + WAIT_S
        while time.monotonic() < end_s:
            try:
                if holds():
                    return
            except (OSError, urllib3.exceptions.HTTPError):
                pass
            threading.Event().wait(0.05)
        raise AssertionError("it never came about")

    def lines(self, event):
        lines = [json.loads(line) for line in self.log.read_text().splitlines()]
        return [line for line in lines if line["event"] == event]

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(WAIT_S)
        for server in self._servers:
            server.stop()


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    yield site
    site.stop()


@pytest.fixture
def serving(site):
    site.store.put("op/config", make_config(3))
    site.store.put("servers/i-1", make_registration(site.upstream_address))
    site.start()
    site.until(lambda: site.call().status == 200)
    site.upstream.seen.clear()
    return site


def test_request_goes_through_unchanged_but_for_what_the_system_sets(serving):
    answer = serving.call("POST", "/buy/a%20b?c=%2F", id="id7", **{"X-Caller": "other"})
    assert (answer.status, answer.data) == (200, b"whole answer")
    assert answer.headers["X-Response-Stamp"] == "s"
    (seen,) = serving.upstream.seen
    assert seen["REQUEST_URI"] == "/buy/a%20b?c=%2F"
    assert seen["HTTP_X_REQUEST_ID"] == "id7"
    assert seen["HTTP_X_CALLER"] == "orders"
    assert 0 < float(seen["HTTP_X_DEADLINE_MS"]) <= 3000
    assert seen["HTTP_HOST"] == "h.example"


def test_unknown_route_is_told_only_by_a_known_configuration(site):
    site.start()
    site.until(lambda: site.call().status == 503)
    site.store.put("op/config", make_config(3))
    site.until(lambda: site.call(path="/odd/x").status == 404)


def test_upstream_takes_no_work_before_the_list_names_it(site):
    site.store.put("op/config", make_config(3))
    site.start()
    site.until(lambda: site.call(path="/odd/x").status == 404)
    answer = site.call("POST", "/buy/x")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert site.upstream.seen == []


def test_leaving_upstream_gets_no_more_work(serving):
    leaving = {"state": "draining", "seq": 2, "cold_left": "0ms"}
    serving.store.put(
        "servers/i-1", make_registration(serving.upstream_address, status=leaving)
    )
    serving.until(lambda: serving.call("POST", "/buy/x").status == 503)
    serving.upstream.seen.clear()
    assert serving.call().status == 503
    assert serving.upstream.seen == []


def test_list_that_can_not_be_read_takes_nobody_out(serving):
    serving.store.faults.status = 503
    reads = len(serving.store.calls)
    serving.until(lambda: len(serving.store.calls) > reads + 3)
    serving.store.remove("servers/i-1")
    serving.store.faults.status = 0
    reads = len(serving.store.calls)
    serving.until(lambda: len(serving.store.calls) > reads + 2)
    assert serving.call().status == 200


def stray(id, start_response):
    start_response("200 OK", [("X-Request-Id", "id-of-another")])
    return [b"answer of another"]


def rejected(id, start_response):
    start_response("503 Busy", [("X-Not-Run", "1")])
    return [b""]


@pytest.mark.parametrize(
    "answer, method, path, status",
    [
        (stray, "POST", "/buy/x", 502),
        (stray, "GET", "/read/x", 502),
        (rejected, "POST", "/buy/x", 503),
        (rejected, "GET", "/read/x", 503),
    ],
)
def test_end_of_a_request_promises_what_is_true(serving, answer, method, path, status):
    serving.upstream.answer = answer
    assert serving.call(method, path).status == status


def test_life_of_a_request_is_found_by_its_id(serving):
    serving.call(id="id42")
    serving.until(lambda: serving.lines("request: answered"))
    (end,) = [
        line for line in serving.lines("request: answered") if line["id"] == "id42"
    ]
    assert (end["status"], end["table_version"]) == (200, 3)
    assert [made["end"] for made in end["tries"]] == ["200"]
    (ran,) = [line for line in serving.lines("request: ran") if line["id"] == "id42"]
    assert (ran["incarnation"], ran["end"]) == ("i-1", "200")
    told = describe(find_related_lines(serving.log.read_text().splitlines(), "id42"))
    assert told[0].startswith("answered 200 by 127.0.0.1 after")
    assert "it was served" in told


def test_refused_request_is_explained_by_its_id(serving):
    serving.upstream.answer = rejected
    serving.call("POST", "/buy/x", id="id43")
    serving.until(lambda: serving.lines("request: refused"))
    told = describe(find_related_lines(serving.log.read_text().splitlines(), "id43"))
    assert "outcome not-run" in told[0]
    assert any("ran at 127.0.0.1: upstream-busy, not-run" in line for line in told)
    assert "it was given up at 127.0.0.1; no upstream has run it" in told


def test_metrics_and_readiness_are_served(serving):
    url = f"http://127.0.0.1:{serving.operator}"
    # The edge takes its first request a moment before its start has returned.
    serving.until(
        lambda: urllib.request.urlopen(f"{url}/ready", timeout=WAIT_S).status == 200
    )
    text = urllib.request.urlopen(f"{url}/metrics", timeout=WAIT_S).read().decode()
    assert "chute_request_seconds" in text


def test_stopped_reader_of_the_log_holds_up_no_request(site):
    site.store.put("op/config", make_config(3))
    site.store.put("servers/i-1", make_registration(site.upstream_address))
    blocked, writes = os.pipe()
    os.set_blocking(writes, False)
    try:
        while True:
            os.write(writes, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writes, True)
    site.process = subprocess.Popen(
        [sys.executable, "-m", "chicorychute", "run", "-c", site.path], stdout=writes
    )
    os.close(writes)
    site.until(lambda: site.call().status == 200)
    assert {site.call(id=f"id{n}").status for n in range(50)} == {200}
    os.close(blocked)


def test_request_under_way_is_answered_after_sigterm(serving):
    released = threading.Event()

    def late(id, start_response):
        released.wait(WAIT_S)
        start_response("200 OK", [("X-Request-Id", id), ("X-Response-Stamp", "s")])
        return [b"late answer"]

    serving.upstream.answer = late
    with socket.create_connection(("127.0.0.1", serving.edge), WAIT_S) as sock:
        sock.sendall(
            b"POST /buy/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id9\r\n"
            b"X-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n"
        )
        serving.until(lambda: serving.upstream.seen)
        serving.process.send_signal(signal.SIGTERM)
        serving.until(lambda: serving.lines("daemon: leaving"))
        released.set()
        sock.settimeout(WAIT_S)
        data = b""
        while b"late answer" not in data:
            piece = sock.recv(4096)
            assert piece
            data += piece
    assert data.startswith(b"HTTP/1.1 200")
    assert serving.process.wait(WAIT_S) == 0


def test_sighup_and_a_silent_change_of_the_settings_cut_nothing(serving):
    serving.process.send_signal(signal.SIGHUP)
    serving.until(lambda: serving.lines("daemon: settings were read again"))
    assert serving.call().status == 200
    text = serving.path.read_text().replace("drain_limit_s = 3", "drain_limit_s = 4")
    serving.path.write_text(text)
    serving.until(lambda: len(serving.lines("daemon: settings were read again")) == 2)
    line = serving.lines("daemon: settings were read again")[1]
    assert line["at_next_start"] == ["shutdown.drain_limit_s"]
    assert serving.call().status == 200


def test_caller_named_to_the_upstream_is_the_service_of_the_settings(serving):
    """The entry of an upstream that had the address before may outlive it."""
    old = make_registration(serving.upstream_address, service="stock", born=99)
    serving.store.put("op/config", both_services(4))
    serving.store.put("servers/i-0", old)
    reads = len(serving.store.calls)
    serving.until(lambda: len(serving.store.calls) > reads + 4)
    serving.upstream.seen.clear()
    assert serving.call().status == 200
    assert [seen["HTTP_X_CALLER"] for seen in serving.upstream.seen] == ["orders"]


def both_services(version):
    body = make_config(version)
    body["services"]["rows"].append(["stock", "/healthz", 330, "h1", False])
    return body
