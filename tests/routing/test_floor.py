"""The floor holds over any view, evidence, table and order of arrival."""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core.messages import MemberStatus, UpstreamDigest, Verdict
from chicorychute.routing import candidates as module
from chicorychute.routing.candidates import Candidate, Distance, eligible
from chicorychute.routing.choice import choose

EXAMPLES = settings(derandomize=True, max_examples=500)
HEALTHY_DRAW = 0.99


def candidate(
    name, verdict=Verdict.HEALTHY, slots=4, weight=1.0, failure=0.0, **fields
):
    digest = UpstreamDigest(
        name, "s", verdict, slots, 0, 0, 20.0, failure, weight, suspicion=failure
    )
    return Candidate(f"at-{name}", digest, Distance.ZONE, **fields)


views = st.lists(
    st.builds(
        lambda verdict, slots, weight, failure, status: (
            verdict,
            slots,
            weight,
            failure,
            status,
        ),
        st.sampled_from(Verdict),
        st.integers(0, 8),
        st.floats(0, 1),
        st.floats(0, 1),
        st.sampled_from(MemberStatus),
    ),
    max_size=12,
).map(
    lambda rows: [
        candidate(f"u{i}", v, s, w, f, status=status)
        for i, (v, s, w, f, status) in enumerate(rows)
    ]
)
floors = st.floats(0, 1)


def alive(view):
    return [c for c in view if c.status is MemberStatus.ALIVE]


def slots(chosen, *verdicts):
    return sum(c.digest.slots for c in chosen if c.digest.verdict in verdicts)


def healthy(chosen):
    return sum(
        c.digest.slots * c.digest.weight
        for c in chosen
        if c.digest.verdict is Verdict.HEALTHY
    )


def counted(view):
    """Capacity that the floor is a share of: what is not given up or leaving."""
    present = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
    return sum(c.digest.slots for c in view if c.status in present)


@EXAMPLES
@given(views, floors, st.floats(0, 1, exclude_max=True))
def test_rotation_never_falls_below_the_floor_where_it_exists(view, floor, draw):
    kept = eligible(view, floor, draw)
    needed = floor * counted(view)
    in_rotation = healthy(kept) + slots(kept, Verdict.SICK, Verdict.PROBING)
    existing = healthy(alive(view)) + slots(alive(view), Verdict.SICK, Verdict.PROBING)
    assert in_rotation >= min(needed, existing) - 1e-9


@EXAMPLES
@given(views, floors, st.floats(0, 1, exclude_max=True))
def test_every_healthy_upstream_stays_and_only_live_ones_do(view, floor, draw):
    kept = eligible(view, floor, draw)
    assert all(c.status is MemberStatus.ALIVE for c in kept)
    for c in alive(view):
        if c.digest.verdict in (Verdict.HEALTHY, Verdict.COLD):
            assert c in kept


@EXAMPLES
@given(views, floors, st.randoms(use_true_random=False))
def test_order_of_arrival_changes_nothing(view, floor, rng):
    shuffled = list(view)
    rng.shuffle(shuffled)
    before = {c.digest.upstream for c in eligible(view, floor, HEALTHY_DRAW)}
    assert {
        c.digest.upstream for c in eligible(shuffled, floor, HEALTHY_DRAW)
    } == before


@EXAMPLES
@given(views, floors)
def test_no_sick_upstream_stays_that_the_floor_can_spare(view, floor):
    kept = eligible(view, floor, HEALTHY_DRAW)
    extra = [c for c in kept if c.digest.verdict is Verdict.SICK]
    left_out = [
        c for c in alive(view) if c.digest.verdict is Verdict.SICK and c not in kept
    ]
    for c in extra:
        assert all(
            c.digest.failure_share <= other.digest.failure_share for other in left_out
        )
    if extra:
        without = [c for c in kept if c is not extra[-1]]
        in_rotation = healthy(without) + slots(without, Verdict.SICK, Verdict.PROBING)
        assert in_rotation < floor * counted(view)


def test_cold_and_probing_are_not_healthy_capacity():
    view = [
        candidate("a", Verdict.COLD),
        candidate("b", Verdict.PROBING),
        candidate("c", Verdict.SICK),
        candidate("d", Verdict.HEALTHY),
    ]
    kept = {c.digest.upstream for c in eligible(view, 0.75, HEALTHY_DRAW)}
    assert kept == {"a", "b", "c", "d"}


def test_a_suspect_instance_counts_in_the_total_but_gets_no_work():
    view = [
        candidate("a"),
        candidate("b", status=MemberStatus.SUSPECT),
        candidate("c", Verdict.SICK),
    ]
    kept = {c.digest.upstream for c in eligible(view, 0.6, HEALTHY_DRAW)}
    assert kept == {"a", "c"}


def test_capacity_counts_and_not_the_number_of_upstreams():
    view = [
        candidate("small", slots=1),
        candidate("tiny", slots=1),
        candidate("big", Verdict.SICK, slots=8),
    ]
    kept = {c.digest.upstream for c in eligible(view, 0.5, HEALTHY_DRAW)}
    assert kept == {"small", "tiny", "big"}


def test_sick_ones_are_kept_least_sick_first():
    view = [
        candidate("worst", Verdict.SICK, failure=0.9),
        candidate("better", Verdict.SICK, failure=0.3),
        candidate("probing", Verdict.PROBING, failure=0.5),
        candidate("well"),
    ]
    kept = [c.digest.upstream for c in eligible(view, 0.7, HEALTHY_DRAW)]
    assert kept == ["well", "probing", "better"]


def test_probing_upstream_gets_a_trickle():
    view = [candidate("a"), candidate("p", Verdict.PROBING)]
    draws = [i / 1000 for i in range(1000)]
    hits = sum(
        any(c.digest.upstream == "p" for c in eligible(view, 0.0, d)) for d in draws
    )
    assert 0 < hits <= module.PROBE_SHARE * 1000


def test_sick_ones_kept_for_the_floor_get_the_least_work():
    view = [
        candidate("sick1", Verdict.SICK, failure=0.9),
        candidate("sick2", Verdict.SICK, failure=0.9),
        candidate("well"),
    ]
    kept = eligible(view, 1.0, HEALTHY_DRAW)
    rng = random.Random(1)
    picks = Counter(
        choose(kept, {}, frozenset(), rng).candidate.digest.upstream for _ in range(300)
    )
    assert picks == {"well": 300}


def test_trial_goes_to_the_probed_upstream_and_a_retry_elsewhere():
    view = [candidate("a"), candidate("p", Verdict.PROBING)]
    kept = eligible(view, 0.0, 0.0)
    rng = random.Random(1)
    assert choose(kept, {}, frozenset(), rng).candidate.digest.upstream == "p"
    assert choose(kept, {}, frozenset("p"), rng).candidate.digest.upstream == "a"
