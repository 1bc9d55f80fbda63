"""Membership of real daemons that are killed, paused or asked to leave.

A daemon that resumes after a pause must not suspect the others, which it has not heard
for as long as it was paused. A leave must reach all while the platform is down.
"""

import json
import signal

import pytest

from standins.demo import make_table
from standins.fleet import Fleet, signal_process

pytestmark = pytest.mark.processes

INSTANCES = [(f"r{zone // 2}", f"z{zone}", "orders") for zone in range(4)]


@pytest.fixture(scope="module")
def fleet():
    with Fleet(INSTANCES, make_table(5000)) as running:
        yield running


def statuses_seen_by(fleet, viewer):
    members = fleet.status(viewer)["instances"]
    return {member["instance"]: member["status"] for member in members}


def wait_for_status(fleet, node, expected):
    others = [n for n in fleet.nodes if n is not node]
    fleet.wait_for(
        lambda: (
            {statuses_seen_by(fleet, n).get(node.instance) for n in others} <= expected
        ),
        f"{node.instance} to be {expected}",
    )


def test_killed_daemon_is_marked_dead_and_its_next_process_rejoins(fleet):
    node = fleet.nodes[1]
    signal_process(node.daemon, signal.SIGKILL)
    node.daemon.wait()
    wait_for_status(fleet, node, {"dead", None})
    fleet.start_daemon(node)
    fleet.wait_ready(node)
    wait_for_status(fleet, node, {"alive"})


def test_paused_daemon_is_marked_dead_and_suspects_nobody_when_it_resumes(fleet):
    node = fleet.nodes[2]
    signal_process(node.daemon, signal.SIGSTOP)
    wait_for_status(fleet, node, {"dead"})
    signal_process(node.daemon, signal.SIGCONT)
    assert set(statuses_seen_by(fleet, node).values()) == {"alive"}
    wait_for_status(fleet, node, {"alive"})
    for other in fleet.nodes:
        assert set(statuses_seen_by(fleet, other).values()) == {"alive"}


def test_leaving_daemon_gets_no_new_work_while_the_platform_is_down(fleet):
    url = fleet.platform_url + "/outage"
    fleet.http.request("PUT", url, body=json.dumps(True))
    node = fleet.nodes[3]
    signal_process(node.daemon, signal.SIGTERM)
    wait_for_status(fleet, node, {"leaving", "dead"})
    node.daemon.wait(30)
    counts_before = fleet.counts(node)["counts"]
    for _ in range(50):
        entry_url = fleet.nodes[0].edge_url + "/catalogue/1"
        assert fleet.http.request("GET", entry_url).status == 200
    assert fleet.counts(node)["counts"] == counts_before
