"""Requests find a free slot in reach before they wait, at about full load."""

import random

import pytest

from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.core.outcomes import Reason
from chicorychute.routing.candidates import Candidate, Distance
from chicorychute.routing.choice import NoChoice
from chicorychute.routing.placement import FAR_ASKED, NEAR_ASKED, Placement, Told

TARGET_MS = 1000.0
RISK_MS = 2000.0
LEFT_MS = 4000.0


def gate(name, distance=Distance.ZONE, latency_ms=300.0, risk=0.02, queued=0):
    digest = UpstreamDigest(
        name, "s", Verdict.HEALTHY, 4, 0, queued, latency_ms, 0.0, 1.0, risk=risk
    )
    return Candidate(name, digest, distance)


def placed(candidates, answers, left_ms=LEFT_MS, beyond=True):
    """Return the sends of one request, as (gate, may wait), and its end."""
    placement = Placement("r", TARGET_MS, RISK_MS, {}, random.Random(1))
    sends = []
    for _ in range(20):
        found = placement.next(candidates, left_ms, beyond)
        if isinstance(found, NoChoice):
            return sends, found.reason
        name = found.choice.candidate.digest.upstream
        sends.append((name, found.may_wait))
        if found.may_wait:
            return sends, None
        told = answers.get(name)
        if told is None:
            return sends, None
        placement.asked(name, told)
    raise AssertionError("the request was never placed")


NEAR = [gate("a"), gate("b"), gate("c")]
FAR = [gate(f"far-{number}", Distance.BEYOND, 0.0) for number in range(5)]
BUSY = Told(500.0, 0.02)


def test_every_gate_of_the_region_is_asked_before_the_request_waits():
    told = {"a": BUSY, "b": Told(200.0, 0.02), "c": BUSY}
    sends, _ = placed(NEAR, told)
    assert sorted(sends[:3]) == [("a", False), ("b", False), ("c", False)]
    assert sends[3:] == [("b", True)]


def test_request_takes_the_one_free_slot_of_the_region():
    for free in "abc":
        told = {name: BUSY for name in "abc" if name != free}
        sends, _ = placed(NEAR, told)
        assert sends[-1] == (free, False)


def test_few_gates_of_a_large_region_are_asked():
    many = [gate(f"near-{number}") for number in range(30)]
    told = {c.instance: Told(500.0 + i, 0.02) for i, c in enumerate(many)}
    sends, _ = placed(many, told)
    assert len(sends) == NEAR_ASKED + 1
    asked = [name for name, _ in sends[:-1]]
    assert sends[-1] == (min(asked, key=lambda name: told[name].wait_ms), True)


def test_gate_beyond_the_region_is_asked_once_the_target_is_out_of_reach():
    late = Told(2000.0, 0.02)
    sends, _ = placed(NEAR + FAR, {"a": late, "b": late, "c": late})
    assert sends[-1][0].startswith("far")
    assert len(sends) == 4


def test_few_gates_beyond_the_region_are_asked():
    late = Told(2000.0, 0.02)
    told = dict.fromkeys(["a", "b", "c", *(c.instance for c in FAR)], late)
    sends, _ = placed(NEAR + FAR, told)
    assert sum(name.startswith("far") for name, _ in sends) <= FAR_ASKED + 1
    assert sends[-1][1]


def test_gate_in_doubt_is_the_last_to_wait_at():
    told = {"a": Told(0.0, 0.75), "b": Told(600.0, 0.02), "c": Told(0.0, 0.75)}
    sends, _ = placed(NEAR, told)
    assert sends[-1] == ("b", True)


def test_guess_beyond_the_time_left_ends_no_search():
    slow = gate("slow", latency_ms=9000.0)
    sends, _ = placed([slow, gate("a")], {"a": BUSY})
    assert sends == [("a", False), ("a", True)]


@pytest.mark.parametrize(
    "candidates, beyond, reason",
    [
        ([], True, Reason.NO_UPSTREAM),
        ([gate("slow", latency_ms=9000.0)], True, Reason.OVERLOAD),
        (FAR, False, Reason.REGION_BUDGET),
    ],
)
def test_request_without_a_gate_in_time_is_refused_at_once(candidates, beyond, reason):
    assert placed(candidates, {}, beyond=beyond) == ([], reason)


def test_gate_beyond_the_region_is_asked_where_all_near_are_in_doubt():
    doubted = Told(0.0, 0.5)
    sends, _ = placed(NEAR + FAR, {"a": doubted, "b": doubted, "c": doubted})
    assert sends[-1][0].startswith("far")
    assert not sends[-1][1]
