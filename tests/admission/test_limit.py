"""The limit of an upstream follows its state.

Guards against a limit that overloads an upstream which sheds or slows, stays low
after it has recovered, or falls although nothing is wrong: where ranks differ in
service time, and where the upstream itself reported its slots.
"""

import pytest

from chicorychute.admission.limit import AdaptiveLimit
from chicorychute.core.clock import ManualClock

SLOTS = 4
BASELINE_S = 0.02


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limit(clock):
    return AdaptiveLimit(SLOTS, clock)


def answer(limit, clock, count, service_s=BASELINE_S):
    for _ in range(count):
        clock.advance(service_s)
        limit.record_answer("order", service_s)


def shed(limit, clock, count):
    for _ in range(count):
        clock.advance(1.0)
        limit.record_shed()


def test_shrinks_while_the_upstream_sheds_and_recovers(limit, clock):
    shed(limit, clock, 10)
    assert limit.slots == 1
    answer(limit, clock, 20)
    assert limit.slots == SLOTS


def test_shrinks_while_the_upstream_slows_and_recovers(limit, clock):
    answer(limit, clock, 100)
    answer(limit, clock, 20, service_s=10 * BASELINE_S)
    assert limit.slots < SLOTS
    answer(limit, clock, 100)
    assert limit.slots == SLOTS


def test_a_lasting_new_service_time_becomes_the_baseline(limit, clock):
    answer(limit, clock, 100)
    answer(limit, clock, 1000, service_s=5 * BASELINE_S)
    assert limit.slots == SLOTS


def test_a_round_of_sheds_decreases_the_limit_once(limit, clock):
    clock.advance(1.0)
    for _ in range(SLOTS):
        limit.record_shed()
    assert limit.slots == int(SLOTS * 0.7)


def test_ranks_with_different_service_times_are_not_mistaken_for_slowness(limit, clock):
    for _ in range(200):
        clock.advance(1.0)
        limit.record_answer("order", BASELINE_S)
        limit.record_answer("check", 20 * BASELINE_S)
    assert limit.slots == SLOTS


def test_limit_of_a_restarted_upstream_starts_at_one_and_rises(limit, clock):
    limit.reset_to_min()
    assert limit.slots == 1
    answer(limit, clock, 20)
    assert limit.slots == SLOTS


@pytest.mark.parametrize("slots", [0, 1, 2, 8])
def test_a_new_table_changes_the_maximum(limit, slots):
    limit.configure(slots)
    assert limit.slots == slots


def test_decreased_limit_stays_low_when_the_table_raises_the_maximum(limit, clock):
    shed(limit, clock, 10)
    limit.configure(8)
    assert limit.slots == 1


def test_rejections_and_slow_answers_leave_reported_slots_in_use():
    clock = ManualClock()
    limit = AdaptiveLimit(4, clock)
    limit.slots_reported = True
    for number in range(200):
        clock.advance(1.0)
        limit.record_shed()
        limit.record_answer("r", 0.1 if number < 100 else 1.0)
    assert limit.slots == 4


def test_restart_decreases_reported_slots_until_answers_arrive():
    limit = AdaptiveLimit(4, ManualClock())
    limit.slots_reported = True
    limit.reset_to_min()
    assert limit.slots == 1
    for _ in range(20):
        limit.record_answer("r", 0.1)
    assert limit.slots == 4
