import random

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import RankWait, UpstreamDigest, Verdict
from chicorychute.core.outcomes import Reason
from chicorychute.routing.budget import RegionBudget
from chicorychute.routing.candidates import Candidate, Distance
from chicorychute.routing.choice import NoChoice, choose


def candidate(name, distance, latency_ms=10.0, queued=0, verdict=Verdict.HEALTHY):
    digest = UpstreamDigest(name, "s", verdict, 4, 0, queued, latency_ms, 0.0, 1.0)
    return Candidate(name, digest, distance)


NEAR = [candidate(f"near-{n}", Distance.REGION) for n in range(6)]
BUSY = [candidate(f"busy-{n}", Distance.REGION, queued=400) for n in range(6)]
FAR = [candidate(f"far-{n}", Distance.BEYOND) for n in range(6)]


@pytest.mark.parametrize(
    "candidates, remaining_ms, beyond_allowed, prefix",
    [
        (NEAR + FAR, 500, True, "near"),
        (NEAR + FAR, 5, True, "near"),
        (BUSY + FAR, 500, True, "far"),
        (BUSY + FAR, 500, False, "busy"),
        (BUSY + FAR, 5000, True, "busy"),
        (BUSY + FAR, 20, True, "busy"),
        (FAR, 500, True, "far"),
        (BUSY + NEAR[:1] + FAR, 500, True, "near"),
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
    candidates, remaining_ms, beyond_allowed, prefix
):
    rng = random.Random(1)
    for _ in range(100):
        choice = choose(candidates, {}, frozenset(), rng, remaining_ms, beyond_allowed)
        assert choice.candidate.instance.startswith(prefix)


@pytest.mark.parametrize(
    "candidates, reason", [([], Reason.NO_UPSTREAM), (FAR, Reason.REGION_BUDGET)]
)
def test_no_choice_says_why(candidates, reason):
    choice = choose(candidates, {}, frozenset(), random.Random(1), 500, False)
    assert choice == NoChoice(reason)


def test_idle_local_upstream_saves_the_hop():
    local = candidate("local", Distance.LOCAL)
    rng = random.Random(1)
    for _ in range(50):
        choice = choose([*NEAR, local], {}, frozenset(), rng, 500, True)
        assert choice.candidate is local
    busy = choose([*NEAR, local], {"local": 40}, frozenset(), rng, 500, True)
    assert busy.candidate is not local


def flooded(name, urgent_ms, check_ms):
    waits = (RankWait("order", urgent_ms), RankWait("check", check_ms))
    digest = UpstreamDigest(
        name, "s", Verdict.HEALTHY, 4, 4, 400, 10.0, 0.0, 1.0, waits=waits
    )
    return Candidate(name, digest, Distance.REGION)


def test_urgent_request_stays_near_a_flood_that_waits_behind_it():
    candidates = [flooded(f"near-{n}", 5.0, 1000.0) for n in range(6)] + FAR
    for rank, prefix in (("order", "near"), ("check", "far")):
        choice = choose(
            candidates, {}, frozenset(), random.Random(1), 500, True, rank=rank
        )
        assert choice.candidate.instance.startswith(prefix)


def test_wait_of_the_rank_counts_and_not_the_whole_queue():
    candidates = [flooded("short", 5.0, 900.0), flooded("long", 80.0, 100.0)]
    for rank, name in (("order", "short"), ("check", "long")):
        choice = choose(
            candidates, {}, frozenset(), random.Random(1), 5000, True, rank=rank
        )
        assert choice.candidate.instance == name


def test_upstream_that_was_tried_is_not_chosen_again():
    tried = frozenset(c.instance for c in NEAR)
    choice = choose(NEAR + FAR, {}, tried, random.Random(1), 500, True)
    assert choice.candidate in FAR


def test_bytes_beyond_the_region_keep_to_the_budget():
    clock = ManualClock()
    budget = RegionBudget(clock)
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
    budget = RegionBudget(clock)
    clock.advance(100)
    assert not budget.allows(0)
