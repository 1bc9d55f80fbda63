"""Real daemons between which one direction is blocked while the links stay open.

Without indirect probes and other evidence of liveness, a third daemon could suspect or
eject either side, or a leave could miss the daemon behind the blocked direction.
"""

import contextlib
import signal
import threading

import pytest
import urllib3

from standins.demo import make_table
from standins.fleet import Fleet, signal_process

pytestmark = pytest.mark.processes

INSTANCES = [("r0", "z0", "orders"), ("r0", "z1", "orders"), ("r1", "z2", "orders")]
DRAIN_SETTINGS = "[shutdown]\ndrain_limit_s = 600"
CHECK_COUNT = 60  # requests sent, one before each check of the state


@pytest.fixture
def fleet():
    table = make_table(60_000)
    with Fleet(
        INSTANCES, table, extra_ini=DRAIN_SETTINGS, partitionable=True
    ) as running:
        yield running


def seen_by(fleet, viewer, node):
    """Return status and verdicts of an instance as seen by another daemon."""
    for member in fleet.status(viewer)["instances"]:
        if member["instance"] == node.instance:
            verdicts = {digest["verdict"] for digest in member["upstreams"]}
            return member["status"], verdicts
    return None, set()


def lookup(fleet, entry, number):
    url = f"{entry.edge_url}/catalogue/{number}"
    return fleet.http.request("GET", url).status


def test_one_way_partition_ejects_neither_side_for_the_third(fleet):
    sender, receiver, third = fleet.nodes
    fleet.paths.partition_path(sender.peer_port, receiver.peer_port)
    fleet.wait_for(
        lambda: seen_by(fleet, sender, receiver)[0] == "suspect",
        "the sender to suspect the receiver",
    )
    for number in range(CHECK_COUNT):
        assert lookup(fleet, third, number) == 200
        for node in (sender, receiver):
            status, verdicts = seen_by(fleet, third, node)
            assert status == "alive"
            assert verdicts <= {"healthy", "cold"}
    fleet.paths.heal()
    fleet.wait_for(
        lambda: seen_by(fleet, sender, receiver)[0] == "alive",
        "the sender to see the receiver alive again",
    )


def test_leaving_reaches_all_despite_a_one_way_partition(fleet):
    leaving, receiver, third = fleet.nodes
    keep_request_in_flight(fleet, leaving)
    fleet.paths.partition_path(leaving.peer_port, receiver.peer_port)
    signal_process(leaving.daemon, signal.SIGTERM)
    for node in (third, receiver):
        fleet.wait_for(
            lambda node=node: seen_by(fleet, node, leaving)[0] == "leaving",
            f"{node.instance} to see the leave",
        )
    in_flight_before = count_in_flight(fleet, leaving)
    for number in range(CHECK_COUNT):
        assert lookup(fleet, receiver, number) == 200
    assert count_in_flight(fleet, leaving) <= in_flight_before


def keep_request_in_flight(fleet, node):
    """Delay the exit of a daemon by requests that its upstream never answers."""
    fleet.set_faults(node, hang_share=1.0)

    def send():
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            lookup(fleet, node, 0)  # aborted when the fleet ends

    def has_request_in_flight():
        threading.Thread(target=send, daemon=True).start()
        return count_in_flight(fleet, node) > 0

    fleet.wait_for(has_request_in_flight, "a request in flight")


def count_in_flight(fleet, node):
    return sum(digest["in_flight"] for digest in fleet.status(node)["upstreams"])
