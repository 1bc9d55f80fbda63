"""Limits that follow the upstream."""

import pytest

from chicorychute.admission.limit import AdaptiveLimit
from chicorychute.core.clock import ManualClock

SLOTS = 4
USUAL_S = 0.02


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limit(clock):
    return AdaptiveLimit(SLOTS, clock)


def answer(limit, clock, count, service_s=USUAL_S):
    for _ in range(count):
        clock.advance(service_s)
        limit.answered("order", service_s)


def shed(limit, clock, count):
    for _ in range(count):
        clock.advance(1.0)
        limit.shed()


def test_shrinks_while_the_upstream_sheds_and_recovers(limit, clock):
    shed(limit, clock, 10)
    assert limit.slots == 1
    answer(limit, clock, 20)
    assert limit.slots == SLOTS


def test_shrinks_while_the_upstream_slows_and_recovers(limit, clock):
    answer(limit, clock, 100)
    answer(limit, clock, 20, service_s=10 * USUAL_S)
    assert limit.slots < SLOTS
    answer(limit, clock, 100)
    assert limit.slots == SLOTS


def test_a_lasting_new_service_time_becomes_the_usual_one(limit, clock):
    answer(limit, clock, 100)
    answer(limit, clock, 1000, service_s=5 * USUAL_S)
    assert limit.slots == SLOTS


def test_a_round_of_sheds_lowers_once(limit, clock):
    clock.advance(1.0)
    for _ in range(SLOTS):
        limit.shed()
    assert limit.slots == int(SLOTS * 0.7)


def test_ranks_of_different_length_are_not_taken_for_slowness(limit, clock):
    for _ in range(200):
        clock.advance(1.0)
        limit.answered("order", USUAL_S)
        limit.answered("check", 20 * USUAL_S)
    assert limit.slots == SLOTS


def test_restarted_upstream_begins_at_one_and_climbs(limit, clock):
    limit.restarted()
    assert limit.slots == 1
    answer(limit, clock, 20)
    assert limit.slots == SLOTS


@pytest.mark.parametrize("slots", [0, 1, 2, 8])
def test_table_moves_the_ceiling(limit, slots):
    limit.configure(slots)
    assert limit.slots == slots


def test_lowered_limit_stays_low_when_the_table_raises_the_ceiling(limit, clock):
    shed(limit, clock, 10)
    limit.configure(8)
    assert limit.slots == 1


def test_rejections_and_slow_answers_leave_told_slots_in_use():
    clock = ManualClock()
    limit = AdaptiveLimit(4, clock)
    limit.told = True
    for number in range(200):
        clock.advance(1.0)
        limit.shed()
        limit.answered("r", 0.1 if number < 100 else 1.0)
    assert limit.slots == 4


def test_restart_lowers_told_slots_until_answers_come():
    limit = AdaptiveLimit(4, ManualClock())
    limit.told = True
    limit.restarted()
    assert limit.slots == 1
    for _ in range(20):
        limit.answered("r", 0.1)
    assert limit.slots == 4
