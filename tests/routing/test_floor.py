"""The floor holds for any view, evidence, floor value and order of the candidates.

Guards against ejections that take more capacity out of rotation than the floor
allows, and against sick upstreams that receive work although the floor does not need
them.
"""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core.messages import MemberStatus, UpstreamDigest, Verdict
from chicorychute.routing import candidates as candidates_module
from chicorychute.routing.candidates import Candidate, Distance, eligible
from chicorychute.routing.choice import choose

EXAMPLES = settings(derandomize=True, max_examples=500)
NO_TRIAL_DRAW = 0.99


def make_candidate(
    name, verdict=Verdict.HEALTHY, slots=4, weight=1.0, failure=0.0, **fields
):
    digest = UpstreamDigest(
        name, "s", verdict, slots, 0, 0, 20.0, failure, weight, suspicion=failure
    )
    return Candidate(f"at-{name}", digest, Distance.SAME_ZONE, **fields)


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
        make_candidate(f"u{i}", v, s, w, f, status=status)
        for i, (v, s, w, f, status) in enumerate(rows)
    ]
)
floors = st.floats(0, 1)


def alive_candidates(view):
    return [c for c in view if c.status is MemberStatus.ALIVE]


def slots_of(candidates, *verdicts):
    return sum(c.digest.slots for c in candidates if c.digest.verdict in verdicts)


def healthy_slots(candidates):
    return sum(
        c.digest.slots * c.digest.weight
        for c in candidates
        if c.digest.verdict is Verdict.HEALTHY
    )


def present_slots(view):
    """Return the slots that the floor refers to: of members not dead or leaving."""
    present = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
    return sum(c.digest.slots for c in view if c.status in present)


@EXAMPLES
@given(views, floors, st.floats(0, 1, exclude_max=True))
def test_rotation_never_falls_below_the_floor_while_capacity_exists(view, floor, draw):
    selected = eligible(view, floor, draw)
    needed = floor * present_slots(view)
    in_rotation = healthy_slots(selected) + slots_of(
        selected, Verdict.SICK, Verdict.PROBING
    )
    existing = healthy_slots(alive_candidates(view)) + slots_of(
        alive_candidates(view), Verdict.SICK, Verdict.PROBING
    )
    assert in_rotation >= min(needed, existing) - 1e-9


@EXAMPLES
@given(views, floors, st.floats(0, 1, exclude_max=True))
def test_every_healthy_upstream_stays_and_only_live_ones_do(view, floor, draw):
    selected = eligible(view, floor, draw)
    assert all(c.status is MemberStatus.ALIVE for c in selected)
    for c in alive_candidates(view):
        if c.digest.verdict in (Verdict.HEALTHY, Verdict.COLD):
            assert c in selected


@EXAMPLES
@given(views, floors, st.randoms(use_true_random=False))
def test_order_of_the_candidates_does_not_matter(view, floor, rng):
    shuffled = list(view)
    rng.shuffle(shuffled)
    before = {c.digest.upstream for c in eligible(view, floor, NO_TRIAL_DRAW)}
    assert {
        c.digest.upstream for c in eligible(shuffled, floor, NO_TRIAL_DRAW)
    } == before


@EXAMPLES
@given(views, floors)
def test_sick_upstream_stays_only_if_the_floor_needs_it(view, floor):
    selected = eligible(view, floor, NO_TRIAL_DRAW)
    extra = [c for c in selected if c.digest.verdict is Verdict.SICK]
    left_out = [
        c
        for c in alive_candidates(view)
        if c.digest.verdict is Verdict.SICK and c not in selected
    ]
    for c in extra:
        assert all(
            c.digest.failure_share <= other.digest.failure_share for other in left_out
        )
    if extra:
        without = [c for c in selected if c is not extra[-1]]
        in_rotation = healthy_slots(without) + slots_of(
            without, Verdict.SICK, Verdict.PROBING
        )
        assert in_rotation < floor * present_slots(view)


def test_cold_and_probing_are_not_healthy_capacity():
    view = [
        make_candidate("a", Verdict.COLD),
        make_candidate("b", Verdict.PROBING),
        make_candidate("c", Verdict.SICK),
        make_candidate("d", Verdict.HEALTHY),
    ]
    selected = {c.digest.upstream for c in eligible(view, 0.75, NO_TRIAL_DRAW)}
    assert selected == {"a", "b", "c", "d"}


def test_a_suspect_instance_counts_in_the_total_but_gets_no_work():
    view = [
        make_candidate("a"),
        make_candidate("b", status=MemberStatus.SUSPECT),
        make_candidate("c", Verdict.SICK),
    ]
    selected = {c.digest.upstream for c in eligible(view, 0.6, NO_TRIAL_DRAW)}
    assert selected == {"a", "c"}


def test_capacity_counts_and_not_the_number_of_upstreams():
    view = [
        make_candidate("small", slots=1),
        make_candidate("tiny", slots=1),
        make_candidate("big", Verdict.SICK, slots=8),
    ]
    selected = {c.digest.upstream for c in eligible(view, 0.5, NO_TRIAL_DRAW)}
    assert selected == {"small", "tiny", "big"}


def test_sick_ones_are_kept_least_sick_first():
    view = [
        make_candidate("worst", Verdict.SICK, failure=0.9),
        make_candidate("better", Verdict.SICK, failure=0.3),
        make_candidate("probing", Verdict.PROBING, failure=0.5),
        make_candidate("healthy"),
    ]
    selected = [c.digest.upstream for c in eligible(view, 0.7, NO_TRIAL_DRAW)]
    assert selected == ["healthy", "probing", "better"]


def test_probing_upstream_gets_few_requests():
    view = [make_candidate("a"), make_candidate("p", Verdict.PROBING)]
    draws = [i / 1000 for i in range(1000)]
    hits = sum(
        any(c.digest.upstream == "p" for c in eligible(view, 0.0, d)) for d in draws
    )
    assert 0 < hits <= candidates_module.PROBE_FRACTION * 1000


def test_sick_ones_kept_for_the_floor_get_the_least_work():
    view = [
        make_candidate("sick1", Verdict.SICK, failure=0.9),
        make_candidate("sick2", Verdict.SICK, failure=0.9),
        make_candidate("healthy"),
    ]
    selected = eligible(view, 1.0, NO_TRIAL_DRAW)
    rng = random.Random(1)
    picks = Counter(
        choose(selected, {}, frozenset(), rng).candidate.digest.upstream
        for _ in range(300)
    )
    assert picks == {"healthy": 300}


def test_trial_goes_to_the_probed_upstream_and_a_retry_elsewhere():
    view = [make_candidate("a"), make_candidate("p", Verdict.PROBING)]
    selected = eligible(view, 0.0, 0.0)
    rng = random.Random(1)
    assert choose(selected, {}, frozenset(), rng).candidate.digest.upstream == "p"
    assert choose(selected, {}, frozenset("p"), rng).candidate.digest.upstream == "a"
