"""Idle upstreams are judged by probes, as separate processes."""

import pytest

from standins.demo import make_table
from standins.fleet import Fleet

pytestmark = pytest.mark.processes

PLACES = [("r1", "r1-a", "orders"), ("r1", "r1-b", "orders"), ("r2", "r2-a", "orders")]
WAIT_S = 120.0


def digests_of(fleet, node):
    """Return the digest of a node's upstream in the eyes of each daemon."""
    return [
        digest
        for viewer in fleet.nodes
        for member in fleet.status(viewer)["instances"]
        if member["instance"] == node.instance
        for digest in member["upstreams"]
    ]


def verdicts(fleet, node):
    return [digest["verdict"] for digest in digests_of(fleet, node)]


def test_idle_upstream_is_ejected_by_probes_and_returns_by_a_ramp():
    with Fleet(PLACES, make_table(5000), extra_ini="probe = /probe") as fleet:
        sick, *healthy = fleet.nodes
        fleet.set_faults(sick, fail_share=1.0)
        fleet.wait_for(
            lambda: verdicts(fleet, sick) == ["sick"] * len(PLACES),
            "every daemon to know of the ejection",
            WAIT_S,
        )
        for node in healthy:
            assert not {"sick", "probing"}.intersection(verdicts(fleet, node))
        fleet.set_faults(sick, fail_share=0.0)
        weights = set()

        def is_back():
            own = fleet.status(sick)["upstreams"][0]
            if own["verdict"] == "healthy":
                weights.add(own["weight"])
            return own["weight"] == 1.0

        fleet.wait_for(is_back, "the return to rotation", WAIT_S)
        assert len(weights) > 1
        assert min(weights) < 1.0
        fleet.wait_for(
            lambda: verdicts(fleet, sick) == ["healthy"] * len(PLACES),
            "every daemon to know of the return",
            WAIT_S,
        )
