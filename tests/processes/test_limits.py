"""Slots, cancelled calls and crashing requests in real processes.

Late answers, cancelled callers or a new table could let an upstream run more requests
than it has slots; a request that crashes its upstream could be sent again to every
other one.
"""

import contextlib
import socket
import threading
from collections import Counter

import pytest
import urllib3

from standins.fleet import TABLE_HEADER, Fleet

pytestmark = pytest.mark.processes

INSTANCES = [("r", "a", "s"), ("r", "b", "s"), ("r", "c", "s"), ("r", "d", "s")]
CALLERS = 48
CALLS_PER_CALLER = 25
SLOTS = 2
RAISED_SLOTS = 3
CRASH_MARKER = b"crash-upstream"


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


def send_concurrently(fleet, deadline_ms):
    """Send from many callers through every entry; return the count by outcome."""
    outcomes = Counter()

    def call(number):
        for call_number in range(CALLS_PER_CALLER):
            node = fleet.nodes[(number + call_number) % len(fleet.nodes)]
            path = "/work/1" if number % 2 else "/check/1"
            answer = send(node, path, deadline_ms=deadline_ms)
            outcomes[answer.headers["Chute-Outcome"]] += 1

    threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert outcomes.total() == CALLERS * CALLS_PER_CALLER  # every call got an answer
    return outcomes


def upstream_status(fleet, node):
    return fleet.status(node)["upstreams"][0]


def max_running(fleet):
    return max(fleet.counts(node)["most_running"] for node in fleet.nodes)


def test_slots_are_never_exceeded_by_late_and_lost_callers_or_a_new_table():
    with Fleet(INSTANCES[:3], make_table(SLOTS), service_ms=30) as fleet:
        # Many answers miss this deadline.
        outcomes = send_concurrently(fleet, deadline_ms=60)
        assert outcomes["ran"] and outcomes["unknown"]
        assert max_running(fleet) <= SLOTS
        fleet.publish_table(2, make_table(RAISED_SLOTS))
        fleet.wait_for(
            lambda: all(fleet.status(n)["table_version"] == 2 for n in fleet.nodes),
            "table version 2 on every daemon",
        )
        outcomes = send_concurrently(fleet, deadline_ms=10_000)
        assert outcomes["ran"]
        assert max_running(fleet) <= RAISED_SLOTS


@pytest.mark.parametrize("entry", [0, 1])
def test_request_whose_caller_hangs_up_while_it_waits_is_not_run(entry):
    instances = [("r", "a", "s"), ("r", "a", "other")]
    other = "other,o,GET /other,1,0.5,500,10000,idempotent,0.5,1,0.5,1,0,1000\n"
    with Fleet(instances, make_table(1) + other, service_ms=3000) as fleet:
        gate, node = fleet.nodes[0], fleet.nodes[entry]
        running_call = threading.Thread(target=send, args=(gate, "/work/1"))
        running_call.start()
        fleet.wait_for(
            lambda: upstream_status(fleet, gate)["in_flight"], "the first call to run"
        )
        caller = socket.create_connection(("127.0.0.1", node.edge_port))
        head = b"POST /work/2 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        caller.sendall(head)
        fleet.wait_for(
            lambda: upstream_status(fleet, gate)["queued"],
            "the second call to be queued",
        )
        caller.close()
        fleet.wait_for(
            lambda: not upstream_status(fleet, gate)["queued"], "the queue to be empty"
        )
        running_call.join()
        fleet.wait_for(
            lambda: not upstream_status(fleet, gate)["in_flight"],
            "the first call to end",
        )
        assert fleet.counts(gate)["counts"] == {"ran": 1}


def test_crashing_request_loses_at_most_two_upstreams_and_harmless_requests_run():
    with Fleet(INSTANCES, make_table(4), service_ms=200) as fleet:

        def alive():
            return [node for node in fleet.nodes if node.upstream.poll() is None]

        harmless_paths = [f"/work/{number}" for number in range(12)]
        harmless_calls = [
            threading.Thread(target=send, args=(fleet.nodes[n % 4], path))
            for n, path in enumerate(harmless_paths)
        ]
        for thread in harmless_calls:
            thread.start()
        answers = [send(node, "/work/x", CRASH_MARKER) for node in 5 * fleet.nodes]
        for thread in harmless_calls:
            thread.join()
        assert len(alive()) >= 2
        assert answers[-1].headers["Chute-Reason"] == "quarantined"
        for path in harmless_paths:
            entry = alive()[0]
            fleet.wait_for(
                lambda path=path, entry=entry: (
                    send(entry, path).headers["Chute-Outcome"] == "ran"
                ),
                f"{path} to run",
            )


def test_copies_of_a_crashing_request_sent_at_one_moment_take_two_upstreams():
    with Fleet(2 * INSTANCES, make_table(4), service_ms=200) as fleet:
        for node in fleet.nodes:
            fleet.set_faults(node, paused=True)
        copies = [
            threading.Thread(target=send, args=(node, "/work/x", CRASH_MARKER))
            for node in fleet.nodes
        ]
        for thread in copies:
            thread.start()
        fleet.wait_for(
            lambda: sum(fleet.counts(n)["running"] for n in fleet.nodes) == len(copies),
            "every copy to run",
        )

        for node in fleet.nodes:
            # The upstream may have crashed already.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                fleet.set_faults(node, paused=False)
        for thread in copies:
            thread.join()
        crashed = [node for node in fleet.nodes if node.upstream.poll() is not None]
        assert len(crashed) <= 2
