"""Membership of real daemons that are killed, frozen and told to leave."""

import json
import signal

import pytest

from standins.demo import make_table
from standins.fleet import Fleet, signal_process

pytestmark = pytest.mark.processes

PLACES = [(f"r{zone // 2}", f"z{zone}", "orders") for zone in range(4)]


@pytest.fixture(scope="module")
def fleet():
    with Fleet(PLACES, make_table(5000)) as running:
        yield running


def statuses(fleet, viewer):
    members = fleet.status(viewer)["instances"]
    return {member["instance"]: member["status"] for member in members}


def wait_for_status(fleet, node, wanted):
    others = [n for n in fleet.nodes if n is not node]
    fleet.wait_for(
        lambda: {statuses(fleet, n).get(node.instance) for n in others} <= wanted,
        f"{node.instance} to be {wanted}",
    )


def test_killed_daemon_is_given_up_and_its_next_process_taken_in(fleet):
    node = fleet.nodes[1]
    signal_process(node.daemon, signal.SIGKILL)
    node.daemon.wait()
    wait_for_status(fleet, node, {"dead", None})
    fleet.start_daemon(node)
    fleet.wait_ready(node)
    wait_for_status(fleet, node, {"alive"})


def test_frozen_daemon_is_given_up_and_accuses_nobody_as_it_wakes(fleet):
    node = fleet.nodes[2]
    signal_process(node.daemon, signal.SIGSTOP)
    wait_for_status(fleet, node, {"dead"})
    signal_process(node.daemon, signal.SIGCONT)
    assert set(statuses(fleet, node).values()) == {"alive"}
    wait_for_status(fleet, node, {"alive"})
    for other in fleet.nodes:
        assert set(statuses(fleet, other).values()) == {"alive"}


def test_leaving_daemon_gets_no_new_work_while_the_platform_is_down(fleet):
    url = fleet.platform_url + "/outage"
    fleet.http.request("PUT", url, body=json.dumps(True))
    node = fleet.nodes[3]
    signal_process(node.daemon, signal.SIGTERM)
    wait_for_status(fleet, node, {"leaving", "dead"})
    node.daemon.wait(30)
    before = fleet.counts(node)["counts"]
    for _ in range(50):
        entry = fleet.nodes[0].edge_url + "/catalogue/1"
        assert fleet.http.request("GET", entry).status == 200
    assert fleet.counts(node)["counts"] == before
