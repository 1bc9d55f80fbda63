"""The retry budget bounds the sends while upstreams fail.

Sends are counted at the upstreams. Without a budget, retries multiply the load when
most upstreams fail.
"""

from concurrent.futures import ThreadPoolExecutor

import pytest

from chicorychute.routing.budget import MAX_SAVED_RETRIES
from standins.fleet import TABLE_HEADER, Fleet

pytestmark = pytest.mark.processes

INSTANCES = [("r", "a", "s"), ("r", "b", "s"), ("r", "c", "s"), ("r", "d", "s")]
RETRY_FRACTION = 0.2
# The floor keeps failing upstreams in rotation, so that only the budget bounds sends.
TABLE = (
    f"{TABLE_HEADER}\n"
    f"s,r,GET /s,1,0.5,500,30000,idempotent,{RETRY_FRACTION},8,1,1,0,0\n"
)
REQUESTS = 400
CALLERS = 8


@pytest.mark.parametrize("failing", [2, 4])
def test_sends_stay_within_the_budget_while_upstreams_fail(failing):
    with Fleet(INSTANCES, TABLE) as fleet:
        for node in fleet.nodes[:failing]:
            fleet.set_faults(node, fail_share=1.0)

        def call(number):
            url = fleet.nodes[number % len(fleet.nodes)].edge_url + "/s"
            return fleet.http.request("GET", url, timeout=60)

        with ThreadPoolExecutor(CALLERS) as callers:
            answers = list(callers.map(call, range(REQUESTS)))
        sends = [fleet.counts(node)["sends"] for node in fleet.nodes]
        reserve = MAX_SAVED_RETRIES * len(fleet.nodes)
        assert sum(sends) <= (1 + RETRY_FRACTION) * REQUESTS + reserve
        assert sum(sends[:failing]) > reserve  # failing upstreams stayed in rotation
        served = sum(answer.status == 200 for answer in answers)
        assert bool(served) is (failing < len(fleet.nodes))
