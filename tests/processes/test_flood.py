"""Urgent work at an edge whose connections are held by a flood."""

import threading
from collections import Counter

import pytest
import urllib3

from standins.fleet import TABLE_HEADER, Fleet

pytestmark = pytest.mark.processes

FLOOD_CALLERS = 320
URGENT_CALLERS = 10
URGENT_CALLS = 30
BACKOFF_S = 0.2  # of a caller that was refused
TIMES_AS_OFTEN = 4
TABLE = f"""{TABLE_HEADER}
s,lookup,GET /lookup/*,1,0.3,500,20000,idempotent,0.1,4,0.5,1,0,1000
s,order,GET /order/*,2,0.3,500,20000,idempotent,0.1,4,0.5,1,0,1000
s,check,GET /check/*,9,0.1,2000,20000,idempotent,0.1,4,0.5,1,0,1000
"""


class Callers:
    """Connections that each send one call after the other."""

    def __init__(self, url):
        self.url = url
        self.stopped = threading.Event()
        self.outcomes = Counter()
        self._lock = threading.Lock()

    def run(self, path, calls=None):
        http = urllib3.HTTPConnectionPool(
            "127.0.0.1", int(self.url.rpartition(":")[2]), maxsize=1, retries=False
        )
        done = 0
        while not self.stopped.is_set() and done != calls:
            answer = http.request("GET", f"/{path}/1", timeout=60)
            done += 1
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


@pytest.mark.parametrize("threads", [32, 360])
def test_urgent_calls_run_by_rank_while_a_flood_holds_the_connections(threads):
    with Fleet([("r", "z", "s")], TABLE, service_ms=20, edge_threads=threads) as fleet:
        (node,) = fleet.nodes
        callers = Callers(node.edge_url)
        flood = callers.start(FLOOD_CALLERS, "check")
        fleet.wait_for(lambda: fleet.status(node)["upstreams"][0]["queued"], "a queue")
        for thread in callers.start(URGENT_CALLERS, "lookup", URGENT_CALLS):
            thread.join()
        ran = dict(callers.outcomes)
        callers.stopped.set()
        for thread in flood:
            thread.join()
    urgent = ran["lookup", "ran"]
    assert urgent >= 0.99 * URGENT_CALLERS * URGENT_CALLS
    per_flood_caller = ran.get(("check", "ran"), 0) / FLOOD_CALLERS
    assert urgent / URGENT_CALLERS > TIMES_AS_OFTEN * per_flood_caller
    assert ran.get(("check", "ran"), 0) > 0
