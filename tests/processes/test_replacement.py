"""Daemons are replaced, killed or stopped under load.

A drain could abort requests in flight or run an order twice; a kill could lose more
than the requests in flight; a drain could prevent the exit after a second signal.
"""

import itertools
import random
import signal
import threading

import pytest
import urllib3

from standins.demo import make_table
from standins.fleet import Fleet, signal_process

pytestmark = pytest.mark.processes

INSTANCES = [
    ("r1", "r1-a", "orders"),
    ("r1", "r1-b", "orders"),
    ("r2", "r2-a", "orders"),
    ("r2", "r2-b", "orders"),
]
CALLERS = 8
EXIT_LIMIT_S = 30
MIN_ANSWERED_COUNT = 2_000


class Callers:
    """Threads that reuse a connection and change entry when it closes or fails."""

    def __init__(self, fleet):
        self.entries = list(fleet.nodes)
        self.stopped = threading.Event()
        self.failures = []
        self.answered = 0
        self.refused = 0
        self.keys = []
        self.lock = threading.Lock()
        self.numbers = itertools.count(1)
        self.threads = [
            threading.Thread(target=self.run, args=(seed,)) for seed in range(CALLERS)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def run(self, seed):
        rng = random.Random(seed)
        http = urllib3.PoolManager(retries=False, maxsize=1)
        entry = rng.choice(self.entries)
        while not self.stopped.is_set():
            if rng.random() < 0.3:
                answer = self.order(http, entry)
            else:
                answer = self.call(http, entry, "GET", "/catalogue/1", {})
            if answer is None or answer.headers.get("Connection") == "close":
                entry = rng.choice([e for e in self.entries if e is not entry])

    def order(self, http, entry):
        number = next(self.numbers)
        first = self.call(http, entry, "POST", "/orders", {})
        if first is None or first.status != 428:
            return first
        key = f"{first.headers['Chute-Home']}/{number}"
        with self.lock:
            self.keys.append(key)
        return self.call(http, entry, "POST", "/orders", {"Idempotency-Key": key})

    def call(self, http, entry, method, path, headers):
        """Return the answer, or None if the caller must use another entry."""
        body = b"{}" if method == "POST" else None
        try:
            answer = http.request(
                method, entry.edge_url + path, body=body, headers=headers, timeout=20
            )
        except urllib3.exceptions.NewConnectionError:
            return None
        except urllib3.exceptions.HTTPError as error:
            self.record_failure(f"{method} {path} at {entry.instance}: {error!r}")
            return None
        outcome = answer.headers.get("Chute-Outcome")
        if outcome == "ran" and answer.status == 200:
            with self.lock:
                self.answered += 1
        elif outcome == "not-run":
            with self.lock:
                self.refused += 1
        else:
            self.record_failure(f"{method} {path} at {entry.instance}: {answer.data!r}")
        return answer

    def record_failure(self, problem):
        with self.lock:
            self.failures.append(problem)


def replace(fleet, node):
    signal_process(node.daemon, signal.SIGTERM)
    node.daemon.wait(EXIT_LIMIT_S)
    fleet.start_daemon(node)
    fleet.wait_ready(node)
    fleet.wait_for(lambda: sees_all(fleet, node), "a full view after the restart")


def sees_all(fleet, node):
    members = fleet.status(node)["instances"]
    alive = [m for m in members if m["status"] == "alive" and m["upstreams"]]
    return len(alive) == len(fleet.nodes)


def test_rolling_replacement_during_a_table_change_aborts_and_repeats_nothing():
    with Fleet(INSTANCES, make_table(5000), service_ms=5.0) as fleet:
        with Callers(fleet) as callers:
            for version, node in enumerate(fleet.nodes, start=2):
                fleet.publish_table(version, make_table(5000 + version))
                replace(fleet, node)
        last_version = len(fleet.nodes) + 1
        fleet.wait_for(
            lambda: (
                {fleet.status(n)["table_version"] for n in fleet.nodes}
                == {last_version}
            ),
            "the last table version on every daemon",
        )
        runs = sum(
            (list(fleet.counts(n)["runs_by_key"].items()) for n in fleet.nodes), []
        )
        exits = [node.daemon.poll() for node in fleet.nodes]
    assert callers.failures == []
    assert callers.answered > MIN_ANSWERED_COUNT
    keys = [key for key, _ in runs]
    assert len(keys) == len(set(keys))
    assert all(count == 1 for _, count in runs)
    assert exits == [None] * len(INSTANCES)


def test_killed_daemon_loses_only_its_requests_in_flight():
    with Fleet(INSTANCES, make_table(5000), service_ms=5.0) as fleet:
        node = fleet.nodes[1]
        with Callers(fleet) as callers:
            fleet.wait_for(lambda: callers.answered > 300, "load")
            signal_process(node.daemon, signal.SIGKILL)
            node.daemon.wait()
            answered = callers.answered
            fleet.wait_for(
                lambda: callers.answered > answered + 300, "load after the kill"
            )
        runs = [fleet.counts(other)["runs_by_key"] for other in fleet.nodes]
    assert len(callers.failures) <= CALLERS
    keys = [key for counts in runs for key in counts]
    assert len(keys) == len(set(keys))
    assert {count for counts in runs for count in counts.values()} == {1}


def test_second_signal_stops_at_once_and_the_log_says_what_was_aborted():
    with Fleet(INSTANCES[:1], make_table(60000), service_ms=5.0) as fleet:
        node = fleet.nodes[0]
        fleet.set_faults(node, hang_share=1.0)
        caller = threading.Thread(target=send_ignoring_failure, args=(node,))
        caller.start()
        fleet.wait_for(lambda: count_in_flight(fleet, node) == 1, "a request in flight")
        signal_process(node.daemon, signal.SIGTERM)
        fleet.wait_for(
            lambda: "daemon: leaving" in fleet.logs(),
            "the daemon to handle the first signal",
        )
        signal_process(node.daemon, signal.SIGTERM)
        node.daemon.wait(EXIT_LIMIT_S)
        logs = fleet.logs()
    caller.join()
    assert "requests were aborted" in logs
    assert "second signal" in logs


def count_in_flight(fleet, node):
    return sum(upstream["in_flight"] for upstream in fleet.status(node)["upstreams"])


def send_ignoring_failure(node):
    http = urllib3.PoolManager(retries=False)
    try:
        http.request("GET", node.edge_url + "/checks/1", timeout=60)
    except urllib3.exceptions.HTTPError:
        return
