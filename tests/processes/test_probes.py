"""Probes eject and readmit an idle upstream, between separate processes.

An upstream without requests yields no other evidence, so without probes its fault and
its recovery would stay unseen.
"""

import pytest

from standins.demo import make_table
from standins.fleet import Fleet

pytestmark = pytest.mark.processes

INSTANCES = [
    ("r1", "r1-a", "orders"),
    ("r1", "r1-b", "orders"),
    ("r2", "r2-a", "orders"),
]
TIMEOUT_S = 120.0


def digests_of(fleet, node):
    """Return the digest of a node's upstream as seen by each daemon."""
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
    with Fleet(INSTANCES, make_table(5000), extra_ini="probe = /probe") as fleet:
        sick, *healthy = fleet.nodes
        fleet.set_faults(sick, fail_share=1.0)
        fleet.wait_for(
            lambda: verdicts(fleet, sick) == ["sick"] * len(INSTANCES),
            "every daemon to see the ejection",
            TIMEOUT_S,
        )
        for node in healthy:
            assert not {"sick", "probing"}.intersection(verdicts(fleet, node))
        fleet.set_faults(sick, fail_share=0.0)
        weights = set()

        def has_full_weight():
            upstream = fleet.status(sick)["upstreams"][0]
            if upstream["verdict"] == "healthy":
                weights.add(upstream["weight"])
            return upstream["weight"] == 1.0

        fleet.wait_for(
            has_full_weight, "the upstream to reach its full weight", TIMEOUT_S
        )
        assert len(weights) > 1
        assert min(weights) < 1.0
        fleet.wait_for(
            lambda: verdicts(fleet, sick) == ["healthy"] * len(INSTANCES),
            "every daemon to see the upstream healthy",
            TIMEOUT_S,
        )
