"""Requests from entry to upstream, between separate processes.

Guards against faults between the daemons that tests within one process don't show.
"""

import pytest

from standins.demo import make_table
from standins.fleet import Fleet

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def fleet():
    instances = [
        ("r1", "r1-a", "orders"),
        ("r1", "r1-b", "orders"),
        ("r2", "r2-a", "o2"),
    ]
    other = "o2,read,GET /o2/*,1,0.5,200,2000,idempotent,0.1,4,0.5,1,0,100\n"
    with Fleet(instances, make_table(5000) + other) as running:
        yield running


def test_lookup_runs_from_an_entry_without_a_local_upstream(fleet):
    answer = fleet.http.request("GET", fleet.nodes[2].edge_url + "/catalogue/1")
    assert answer.status == 200
    assert answer.headers["Chute-Outcome"] == "ran"
    assert answer.json()["path"] == "/catalogue/1"


def test_order_runs_once_when_sent_twice_through_different_entries(fleet):
    url = fleet.nodes[0].edge_url + "/orders"
    first = fleet.http.request("POST", url, body=b"{}")
    assert (first.status, first.headers["Chute-Outcome"]) == (428, "not-run")
    key = first.headers["Chute-Home"] + "/shop-7-order-1"
    for node in (fleet.nodes[1], fleet.nodes[2], fleet.nodes[1]):
        answer = fleet.http.request(
            "POST",
            node.edge_url + "/orders",
            body=b"{}",
            headers={"Idempotency-Key": key},
        )
        assert (answer.status, answer.headers["Chute-Outcome"]) == (200, "ran")
    runs = [fleet.counts(node)["runs_by_key"].get(key, 0) for node in fleet.nodes]
    assert sum(runs) == 1


def test_unknown_route_is_not_run(fleet):
    answer = fleet.http.request("GET", fleet.nodes[0].edge_url + "/nowhere")
    assert (answer.status, answer.headers["Chute-Outcome"]) == (404, "not-run")
