"""Slots, deadlines, cancels and crashing requests in real processes."""

import threading
from collections import Counter

import pytest
import urllib3

from standins.fleet import TABLE_HEADER, Fleet

pytestmark = pytest.mark.processes

PLACES = [("r", "a", "s"), ("r", "b", "s"), ("r", "c", "s"), ("r", "d", "s")]
CALLERS = 48
CALLS = 25
SLOTS = 2
MORE_SLOTS = 3
MARKER = b"crash-upstream"


def make_table(slots):
    row = f"idempotent,0.5,{slots},0.5,1,0,1000"
    return f"""{TABLE_HEADER}
s,work,POST /work/*,1,0.5,500,10000,{row}
s,check,POST /check/*,9,0.1,500,10000,{row}
"""


def send(node, path, body=b"{}", deadline_ms=10_000):
    return urllib3.request(
        "POST",
        node.edge_url + path,
        body=body,
        headers={"Chute-Deadline-Ms": str(deadline_ms)},
        timeout=60,
        retries=False,
    )


def hammer(fleet, deadline_ms):
    """Send from many callers through every entry; return the outcomes."""
    outcomes = Counter()

    def call(number):
        for turn in range(CALLS):
            node = fleet.nodes[(number + turn) % len(fleet.nodes)]
            path = "/work/1" if number % 2 else "/check/1"
            answer = send(node, path, deadline_ms=deadline_ms)
            outcomes[answer.headers["Chute-Outcome"]] += 1

    threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def most_running(fleet):
    return max(fleet.counts(node)["most_running"] for node in fleet.nodes)


def test_slots_are_never_exceeded_by_late_and_lost_callers_or_a_new_table():
    with Fleet(PLACES[:3], make_table(SLOTS), service_ms=30) as fleet:
        outcomes = hammer(fleet, deadline_ms=60)  # many answers come too late
        assert outcomes["ran"] and outcomes["unknown"]
        assert most_running(fleet) <= SLOTS
        fleet.publish_table(2, make_table(MORE_SLOTS))
        fleet.wait_for(
            lambda: all(fleet.status(n)["table_version"] == 2 for n in fleet.nodes),
            "version 2",
        )
        outcomes = hammer(fleet, deadline_ms=10_000)
        assert outcomes["ran"]
        assert most_running(fleet) <= MORE_SLOTS


def test_request_that_crashes_upstreams_takes_two_and_no_innocent_with_it():
    with Fleet(PLACES, make_table(4), service_ms=200) as fleet:

        def alive():
            return [node for node in fleet.nodes if node.upstream.poll() is None]

        innocents = [f"/work/{number}" for number in range(12)]
        beside = [
            threading.Thread(target=send, args=(fleet.nodes[n % 4], path))
            for n, path in enumerate(innocents)
        ]
        for thread in beside:
            thread.start()
        answers = [send(node, "/work/x", MARKER) for node in 5 * fleet.nodes]
        for thread in beside:
            thread.join()
        assert len(alive()) >= 2
        assert answers[-1].headers["Chute-Reason"] == "quarantined"
        for path in innocents:
            entry = alive()[0]
            fleet.wait_for(
                lambda path=path, entry=entry: (
                    send(entry, path).headers["Chute-Outcome"] == "ran"
                ),
                f"{path} to run",
            )
