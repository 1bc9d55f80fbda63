"""Urgent calls at an edge whose connections are occupied by a flood.

The flood has a low rank. Without thread permits by rank, urgent calls never reach the
queue; a queue in order of arrival runs the flood first.
"""

import threading
from collections import Counter

import pytest
import urllib3

from standins.fleet import TABLE_HEADER, Fleet

pytestmark = pytest.mark.processes

FLOOD_CALLERS = 320
URGENT_CALLERS = 10
BACKOFF_S = 0.2  # between a refusal and the next call of the same caller
SLOTS = 4
CHECK_SHARE = 0.1
TABLE = f"""{TABLE_HEADER}
s,lookup,GET /lookup/*,1,0.3,500,120000,idempotent,0.1,{SLOTS},0.5,1,0,1000
s,order,GET /order/*,2,0.3,500,120000,idempotent,0.1,{SLOTS},0.5,1,0,1000
s,check,GET /check/*,9,{CHECK_SHARE},2000,120000,idempotent,0.1,{SLOTS},0.5,1,0,1000
"""


class Callers:
    """Threads with one connection each that send calls one after another."""

    def __init__(self, url):
        self.url = url
        self.stopped = threading.Event()
        self.outcomes = Counter()
        self._lock = threading.Lock()

    def run(self, path, calls=None):
        http = urllib3.HTTPConnectionPool(
            "127.0.0.1", int(self.url.rpartition(":")[2]), maxsize=1, retries=False
        )
        sent = 0
        while not self.stopped.is_set() and sent != calls:
            answer = http.request("GET", f"/{path}/1", timeout=180)
            sent += 1
            outcome = answer.headers["Chute-Outcome"]
            with self._lock:
                self.outcomes[path, outcome] += 1
            if outcome != "ran":
                self.stopped.wait(BACKOFF_S)
        http.close()

    def start(self, count, *arguments):
        threads = [
            threading.Thread(target=self.run, args=arguments) for _ in range(count)
        ]
        for thread in threads:
            thread.start()
        return threads


def count_queued(fleet):
    return fleet.status(fleet.nodes[0])["upstreams"][0]["queued"]


@pytest.mark.parametrize("threads", [32, 360])
def test_urgent_calls_run_by_rank_while_a_flood_occupies_the_connections(threads):
    with Fleet([("r", "z", "s")], TABLE, service_ms=20, edge_threads=threads) as fleet:
        (node,) = fleet.nodes
        callers = Callers(node.edge_url)
        fleet.set_faults(node, paused=True)
        flood = callers.start(FLOOD_CALLERS, "check")
        # The flood occupies all threads that its rank may use; the rest is refused.
        fleet.wait_for(
            lambda: (
                count_queued(fleet) + SLOTS + callers.outcomes["check", "not-run"]
                >= min(threads, FLOOD_CALLERS)
            ),
            "the flood to fill the queue",
        )
        fleet.wait_for(
            lambda: count_queued(fleet) == count_queued(fleet),
            "the queue length to be steady",
        )
        queued_before = count_queued(fleet)
        assert queued_before > SLOTS + URGENT_CALLERS * CHECK_SHARE, (
            f"only {queued_before} calls queued: too few to compare ranks"
        )
        urgent = callers.start(URGENT_CALLERS, "lookup", 1)
        fleet.wait_for(
            lambda: count_queued(fleet) >= queued_before + URGENT_CALLERS,
            "the urgent calls to be queued",
        )
        fleet.set_faults(node, paused=False)
        for thread in urgent:
            thread.join()
        arrived = [path.split("/")[1] for path in fleet.counts(node)["arrived"]]
        callers.stopped.set()
        for thread in flood:
            thread.join()
    assert callers.outcomes["lookup", "ran"] == URGENT_CALLERS
    assert callers.outcomes["check", "ran"] > 0
    released = arrived[SLOTS:]
    until_last_lookup = released[: len(released) - released[::-1].index("lookup")]
    checks = until_last_lookup.count("check")
    assert checks <= CHECK_SHARE * len(until_last_lookup) + SLOTS
