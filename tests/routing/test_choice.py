"""Choice of a gate by distance, predicted time and rank.

Guards against traffic to other regions that no deadline requires, and against a
prediction from the whole queue where only the wait of the request's rank counts: an
urgent request would then avoid gates that are flooded by less urgent work.
"""

import random

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import RankWait, UpstreamDigest, Verdict
from chicorychute.core.outcomes import Reason
from chicorychute.routing.budget import CrossRegionBudget
from chicorychute.routing.candidates import Candidate, Distance
from chicorychute.routing.choice import NoChoice, choose


def make_candidate(name, distance, latency_ms=10.0, queued=0, verdict=Verdict.HEALTHY):
    digest = UpstreamDigest(name, "s", verdict, 4, 0, queued, latency_ms, 0.0, 1.0)
    return Candidate(name, digest, distance)


SAME_REGION_GATES = [
    make_candidate(f"same-region-{n}", Distance.SAME_REGION) for n in range(6)
]
BUSY = [make_candidate(f"busy-{n}", Distance.SAME_REGION, queued=400) for n in range(6)]
OTHER_REGION_GATES = [
    make_candidate(f"other-region-{n}", Distance.OTHER_REGION) for n in range(6)
]


@pytest.mark.parametrize(
    "candidates, remaining_ms, cross_region_allowed, prefix",
    [
        (SAME_REGION_GATES + OTHER_REGION_GATES, 500, True, "same-region"),
        (SAME_REGION_GATES + OTHER_REGION_GATES, 5, True, "same-region"),
        (BUSY + OTHER_REGION_GATES, 500, True, "other-region"),
        (BUSY + OTHER_REGION_GATES, 500, False, "busy"),
        (BUSY + OTHER_REGION_GATES, 5000, True, "busy"),
        (BUSY + OTHER_REGION_GATES, 20, True, "busy"),
        (OTHER_REGION_GATES, 500, True, "other-region"),
        (BUSY + SAME_REGION_GATES[:1] + OTHER_REGION_GATES, 500, True, "same-region"),
    ],
    ids=[
        "in time in the region",
        "in time nowhere",
        "in time only in another region",
        "in time only in another region, no budget",
        "busy but in time",
        "late in another region too",
        "no gate in the region",
        "one of the region in time",
    ],
)
def test_gate_in_another_region_is_chosen_only_to_meet_the_deadline(
    candidates, remaining_ms, cross_region_allowed, prefix
):
    rng = random.Random(1)
    for _ in range(100):
        choice = choose(
            candidates, {}, frozenset(), rng, remaining_ms, cross_region_allowed
        )
        assert choice.candidate.instance.startswith(prefix)


@pytest.mark.parametrize(
    "candidates, reason",
    [([], Reason.NO_UPSTREAM), (OTHER_REGION_GATES, Reason.REGION_BUDGET)],
)
def test_no_choice_gives_the_reason(candidates, reason):
    choice = choose(candidates, {}, frozenset(), random.Random(1), 500, False)
    assert choice == NoChoice(reason)


def test_idle_local_upstream_is_preferred():
    local = make_candidate("local", Distance.LOCAL)
    rng = random.Random(1)
    for _ in range(50):
        choice = choose([*SAME_REGION_GATES, local], {}, frozenset(), rng, 500, True)
        assert choice.candidate is local
    busy = choose(
        [*SAME_REGION_GATES, local], {"local": 40}, frozenset(), rng, 500, True
    )
    assert busy.candidate is not local


def flooded_candidate(name, order_wait_ms, check_wait_ms):
    waits = (RankWait("order", order_wait_ms), RankWait("check", check_wait_ms))
    digest = UpstreamDigest(
        name, "s", Verdict.HEALTHY, 4, 4, 400, 10.0, 0.0, 1.0, waits=waits
    )
    return Candidate(name, digest, Distance.SAME_REGION)


def test_urgent_request_stays_in_a_region_flooded_by_a_lower_rank():
    candidates = [
        flooded_candidate(f"same-region-{n}", 5.0, 1000.0) for n in range(6)
    ] + OTHER_REGION_GATES
    for rank, prefix in (("order", "same-region"), ("check", "other-region")):
        choice = choose(
            candidates, {}, frozenset(), random.Random(1), 500, True, rank=rank
        )
        assert choice.candidate.instance.startswith(prefix)


def test_wait_of_the_rank_counts_and_not_the_whole_queue():
    candidates = [
        flooded_candidate("short", 5.0, 900.0),
        flooded_candidate("long", 80.0, 100.0),
    ]
    for rank, name in (("order", "short"), ("check", "long")):
        choice = choose(
            candidates, {}, frozenset(), random.Random(1), 5000, True, rank=rank
        )
        assert choice.candidate.instance == name


def test_upstream_that_was_tried_is_not_chosen_again():
    tried = frozenset(c.instance for c in SAME_REGION_GATES)
    choice = choose(
        SAME_REGION_GATES + OTHER_REGION_GATES, {}, tried, random.Random(1), 500, True
    )
    assert choice.candidate in OTHER_REGION_GATES


def test_cross_region_bytes_stay_within_the_budget():
    clock = ManualClock()
    budget = CrossRegionBudget(clock)
    sent = 0
    for _ in range(10_000):
        clock.advance(0.01)
        if budget.allows(100):
            budget.spend(3000)
            sent += 3000
    assert sent <= 100_000 * (100 + 1) + 3000
    assert sent >= 100_000 * 99


def test_zero_budget_allows_no_cross_region_bytes():
    clock = ManualClock()
    budget = CrossRegionBudget(clock)
    clock.advance(100)
    assert not budget.allows(0)
