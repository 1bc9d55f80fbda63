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
    make_candidate(f"near-{n}", Distance.SAME_REGION) for n in range(6)
]
BUSY = [make_candidate(f"busy-{n}", Distance.SAME_REGION, queued=400) for n in range(6)]
OTHER_REGION_GATES = [
    make_candidate(f"far-{n}", Distance.OTHER_REGION) for n in range(6)
]


@pytest.mark.parametrize(
    "candidates, remaining_ms, cross_region_allowed, prefix",
    [
        (SAME_REGION_GATES + OTHER_REGION_GATES, 500, True, "near"),
        (SAME_REGION_GATES + OTHER_REGION_GATES, 5, True, "near"),
        (BUSY + OTHER_REGION_GATES, 500, True, "far"),
        (BUSY + OTHER_REGION_GATES, 500, False, "busy"),
        (BUSY + OTHER_REGION_GATES, 5000, True, "busy"),
        (BUSY + OTHER_REGION_GATES, 20, True, "busy"),
        (OTHER_REGION_GATES, 500, True, "far"),
        (BUSY + SAME_REGION_GATES[:1] + OTHER_REGION_GATES, 500, True, "near"),
    ],
    ids=[
        "in time in the region",
        "in time nowhere",
        "in time only beyond",
        "only beyond, no budget",
        "busy but in time",
        "late beyond too",
        "region lost",
        "one of the region in time",
    ],
)
def test_choice_goes_beyond_the_region_only_for_a_deadline(
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
def test_no_choice_says_why(candidates, reason):
    choice = choose(candidates, {}, frozenset(), random.Random(1), 500, False)
    assert choice == NoChoice(reason)


def test_idle_local_upstream_saves_the_hop():
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


def test_urgent_request_stays_near_a_flood_that_waits_behind_it():
    candidates = [
        flooded_candidate(f"near-{n}", 5.0, 1000.0) for n in range(6)
    ] + OTHER_REGION_GATES
    for rank, prefix in (("order", "near"), ("check", "far")):
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


def test_bytes_beyond_the_region_keep_to_the_budget():
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


def test_no_budget_stays_inside():
    clock = ManualClock()
    budget = CrossRegionBudget(clock)
    clock.advance(100)
    assert not budget.allows(0)
