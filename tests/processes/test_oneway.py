"""Real daemons between which one direction is cut while the links stay open."""

import contextlib
import signal
import threading

import pytest
import urllib3

from standins.demo import make_table
from standins.fleet import Fleet, signal_process

pytestmark = pytest.mark.processes

PLACES = [("r0", "z0", "orders"), ("r0", "z1", "orders"), ("r1", "z2", "orders")]
DRAIN = "[shutdown]\ndrain_limit_s = 600"
LOOKS = 60  # of the third daemon, each after a request through it


@pytest.fixture
def fleet():
    table = make_table(60_000)
    with Fleet(PLACES, table, extra_ini=DRAIN, partitionable=True) as running:
        yield running


def seen_by(fleet, viewer, node):
    """Return status and verdicts of an instance in the eyes of another."""
    for member in fleet.status(viewer)["instances"]:
        if member["instance"] == node.instance:
            verdicts = {digest["verdict"] for digest in member["upstreams"]}
            return member["status"], verdicts
    return None, set()


def lookup(fleet, entry, number):
    url = f"{entry.edge_url}/catalogue/{number}"
    return fleet.http.request("GET", url).status


def test_one_way_cut_ejects_neither_side_for_the_third(fleet):
    cut_from, cut_to, third = fleet.nodes
    fleet.paths.partition_path(cut_from.peer_port, cut_to.peer_port)
    fleet.wait_for(
        lambda: seen_by(fleet, cut_from, cut_to)[0] == "suspect",
        "the sender to know that its way is lost",
    )
    for number in range(LOOKS):
        assert lookup(fleet, third, number) == 200
        for node in (cut_from, cut_to):
            status, verdicts = seen_by(fleet, third, node)
            assert status == "alive"
            assert verdicts <= {"healthy", "cold"}
    fleet.paths.heal()
    fleet.wait_for(
        lambda: seen_by(fleet, cut_from, cut_to)[0] == "alive",
        "the way to be found again",
    )


def test_leaving_reaches_all_past_a_one_way_cut(fleet):
    leaver, cut_to, third = fleet.nodes
    hold_at_work(fleet, leaver)
    fleet.paths.partition_path(leaver.peer_port, cut_to.peer_port)
    signal_process(leaver.daemon, signal.SIGTERM)
    for node in (third, cut_to):
        fleet.wait_for(
            lambda node=node: seen_by(fleet, node, leaver)[0] == "leaving",
            f"{node.instance} to know of the leave",
        )
    before = running(fleet, leaver)
    for number in range(LOOKS):
        assert lookup(fleet, cut_to, number) == 200
    assert running(fleet, leaver) <= before


def hold_at_work(fleet, node):
    """Keep a daemon from its end by requests that its upstream never answers."""
    fleet.set_faults(node, hang_share=1.0)

    def ask():
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            lookup(fleet, node, 0)  # cut as the fleet ends

    def is_held():
        threading.Thread(target=ask, daemon=True).start()
        return running(fleet, node) > 0

    fleet.wait_for(is_held, "a request that hangs")


def running(fleet, node):
    return sum(digest["in_flight"] for digest in fleet.status(node)["upstreams"])
