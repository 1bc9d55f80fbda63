"""A sick upstream leaves rotation on every daemon, as separate processes.

Guards against an ejection that stays on one daemon: callers of another would still
be sent to the failing upstream.
"""

import pytest

from standins.demo import make_table
from standins.fleet import Fleet

pytestmark = pytest.mark.processes

NODES = [("r1", "r1-a", "orders"), ("r1", "r1-b", "orders"), ("r2", "r2-a", "orders")]


def verdict_seen_by(fleet, node, upstream):
    status = fleet.status(node)
    digests = [d for i in status["instances"] for d in i["upstreams"]]
    return next(d["verdict"] for d in digests if d["upstream"] == upstream)


def test_failing_upstream_leaves_rotation_while_callers_are_answered():
    with Fleet(NODES, make_table(5000)) as fleet:
        sick, entry, _ = fleet.nodes
        sick_status = fleet.status(sick)
        name = sick_status["upstreams"][0]["upstream"]
        fleet.set_faults(sick, fail_share=1.0)

        def is_ejected():
            fleet.http.request("GET", entry.edge_url + "/catalogue/1")
            return verdict_seen_by(fleet, entry, name) == "sick"

        fleet.wait_for(is_ejected, "the ejection of the failing upstream")
        failed = fleet.counts(sick)["counts"]["failed"]
        for index in range(30):
            answer = fleet.http.request("GET", f"{entry.edge_url}/catalogue/{index}")
            assert answer.status == 200
        requests_failed = fleet.counts(sick)["counts"]["failed"] - failed
        assert requests_failed < 10
