"""Requests find a free slot before they wait in a queue, at about full load.

An entry's view of its gates is some hundred milliseconds old, so a request could queue
behind a busy upstream while another is idle. The tests also bound how many gates are
asked, in the region and outside it.
"""

import random

import pytest

from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.core.outcomes import Reason
from chicorychute.routing.candidates import Candidate, Distance
from chicorychute.routing.choice import NoChoice
from chicorychute.routing.placement import (
    MAX_OTHER_REGION_ASKED,
    MAX_SAME_REGION_ASKED,
    MAX_UNKNOWN_LOAD_ASKED,
    GateReport,
    Placement,
)

TARGET_MS = 1000.0
RISK_MS = 2000.0
REMAINING_MS = 4000.0


def gate(
    name,
    distance=Distance.SAME_ZONE,
    latency_ms=300.0,
    risk=0.02,
    queued=0,
    load_reported=True,
):
    digest = UpstreamDigest(
        name, "s", Verdict.HEALTHY, 4, 0, queued, latency_ms, 0.0, 1.0, risk=risk
    )
    return Candidate(name, digest, distance, load_reported=load_reported)


def place(
    candidates,
    report_by_gate,
    remaining_ms=REMAINING_MS,
    cross_region_allowed=True,
    failure_cost_ms=RISK_MS,
):
    """Return the sends of one request as (gate, may wait), and why it was refused."""
    placement = Placement("r", TARGET_MS, {}, random.Random(1))
    sends = []
    for _ in range(20):
        result = placement.choose_next(
            candidates, remaining_ms, cross_region_allowed, failure_cost_ms
        )
        if isinstance(result, NoChoice):
            return sends, result.reason
        name = result.choice.candidate.digest.upstream
        sends.append((name, result.may_wait))
        if result.may_wait:
            return sends, None
        report = report_by_gate.get(name)
        if report is None:
            return sends, None
        placement.add_report(name, report)
    raise AssertionError("the request was neither placed nor refused in 20 steps")


SAME_REGION_GATES = [gate("a"), gate("b"), gate("c")]
OTHER_REGION_GATES = [
    gate(f"other-region-{number}", Distance.OTHER_REGION, 0.0) for number in range(5)
]
BUSY = GateReport(500.0, 0.02)


def test_every_gate_of_the_region_is_asked_before_the_request_waits():
    reports = {"a": BUSY, "b": GateReport(200.0, 0.02), "c": BUSY}
    sends, _ = place(SAME_REGION_GATES, reports)
    assert sorted(sends[:3]) == [("a", False), ("b", False), ("c", False)]
    assert sends[3:] == [("b", True)]


def test_request_gets_the_only_free_slot_of_the_region():
    for free in "abc":
        reports = {name: BUSY for name in "abc" if name != free}
        sends, _ = place(SAME_REGION_GATES, reports)
        assert sends[-1] == (free, False)


def test_few_gates_of_a_large_region_are_asked():
    gates = [gate(f"same-region-{number}") for number in range(30)]
    reports = {c.instance: GateReport(500.0 + i, 0.02) for i, c in enumerate(gates)}
    sends, _ = place(gates, reports)
    assert len(sends) == MAX_SAME_REGION_ASKED + 1
    asked = [name for name, _ in sends[:-1]]
    assert sends[-1] == (min(asked, key=lambda name: reports[name].wait_ms), True)


def test_gate_in_another_region_is_asked_if_no_queue_meets_the_target():
    late = GateReport(2000.0, 0.02)
    sends, _ = place(
        SAME_REGION_GATES + OTHER_REGION_GATES, {"a": late, "b": late, "c": late}
    )
    assert sends[-1][0].startswith("other-region")
    assert len(sends) == 4


def test_few_gates_in_other_regions_are_asked():
    late = GateReport(2000.0, 0.02)
    reports = dict.fromkeys(
        ["a", "b", "c", *(c.instance for c in OTHER_REGION_GATES)], late
    )
    sends, _ = place(SAME_REGION_GATES + OTHER_REGION_GATES, reports)
    assert (
        sum(name.startswith("other-region") for name, _ in sends)
        <= MAX_OTHER_REGION_ASKED + 1
    )
    assert sends[-1][1]


def test_request_waits_at_a_gate_at_risk_last():
    reports = {
        "a": GateReport(0.0, 0.75),
        "b": GateReport(600.0, 0.02),
        "c": GateReport(0.0, 0.75),
    }
    sends, _ = place(SAME_REGION_GATES, reports)
    assert sends[-1] == ("b", True)


def test_gate_predicted_too_late_does_not_end_the_search():
    slow = gate("slow", latency_ms=9000.0)
    sends, _ = place([slow, gate("a")], {"a": BUSY})
    assert sends == [("a", False), ("a", True)]


@pytest.mark.parametrize(
    "candidates, cross_region_allowed, reason",
    [
        ([], True, Reason.NO_UPSTREAM),
        ([gate("slow", latency_ms=9000.0)], True, Reason.OVERLOAD),
        (OTHER_REGION_GATES, False, Reason.REGION_BUDGET),
    ],
)
def test_request_without_a_gate_in_time_is_refused_at_once(
    candidates, cross_region_allowed, reason
):
    assert place(candidates, {}, cross_region_allowed=cross_region_allowed) == (
        [],
        reason,
    )


def test_gate_in_another_region_is_asked_if_all_in_the_region_are_at_risk():
    at_risk = GateReport(0.0, 0.5)
    sends, _ = place(
        SAME_REGION_GATES + OTHER_REGION_GATES,
        {"a": at_risk, "b": at_risk, "c": at_risk},
    )
    assert sends[-1][0].startswith("other-region")
    assert not sends[-1][1]


UNKNOWN_LOAD_GATES = [
    gate(f"unknown-{number}", Distance.SAME_REGION, 0.0, load_reported=False)
    for number in range(9)
]
LATE = GateReport(3 * TARGET_MS, 0.02)


def test_gates_of_unknown_load_are_not_asked_while_neighbours_meet_the_target():
    gates = SAME_REGION_GATES + UNKNOWN_LOAD_GATES
    reports = dict.fromkeys("abc", BUSY)
    sends, _ = place(gates, reports)
    assert {name for name, _ in sends} == {"a", "b", "c"}


def test_gates_of_unknown_load_are_asked_before_those_of_other_regions():
    gates = SAME_REGION_GATES + UNKNOWN_LOAD_GATES + OTHER_REGION_GATES
    reports = dict.fromkeys(("a", "b", "c"), LATE)
    reports |= {gate.instance: LATE for gate in UNKNOWN_LOAD_GATES}
    sends, _ = place(gates, reports)
    names = [name for name, _ in sends]
    assert all(name.startswith("unknown") for name in names[3:-1])
    assert len(names[3:-1]) == MAX_UNKNOWN_LOAD_ASKED
    assert names[-1].startswith("other-region")


AT_RISK = GateReport(0.0, 0.73)


# A region of a calm day: two of its upstreams fail everything, their slots are free,
# and the others are taken. Lookups went to one failing upstream, then to the other.
@pytest.mark.parametrize("failure_cost_ms", [1000.0, 4000.0])
def test_busy_gate_comes_before_a_free_one_at_risk(failure_cost_ms):
    reports = {"a": AT_RISK, "b": AT_RISK, "c": BUSY}
    sends, _ = place(SAME_REGION_GATES, reports, failure_cost_ms=failure_cost_ms)
    assert sends[-1] == ("c", True)


def test_other_region_comes_before_a_gate_at_risk():
    reports = {"a": AT_RISK, "b": AT_RISK, "c": GateReport(2500.0, 0.02)}
    sends, _ = place(
        SAME_REGION_GATES + OTHER_REGION_GATES, reports, failure_cost_ms=1000.0
    )
    assert sends[-1][0].startswith("other-region")


def test_gate_at_risk_is_used_where_no_other_is_left():
    reports = dict.fromkeys("abc", AT_RISK)
    sends, _ = place(SAME_REGION_GATES, reports)
    assert sends[-1][1]
