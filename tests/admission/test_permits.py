"""Permits of the priorities on the threads of a server.

Guards against a flood of one priority that occupies all threads, so that requests of
the others find none.
"""

import pytest

from chicorychute.admission.permits import PriorityPermits

MOST, MIDDLE, LEAST = 1, 2, 9
PRIORITIES = {MOST, MIDDLE, LEAST}
PERMITS = 60


@pytest.fixture
def permits():
    permits = PriorityPermits(PERMITS)
    permits.configure(PRIORITIES)
    return permits


def acquire(permits, priority, count=10 * PERMITS):
    return sum(permits.acquire(priority) for _ in range(count))


@pytest.mark.parametrize("flood", sorted(PRIORITIES))
def test_flood_of_one_priority_leaves_permits_for_every_other(permits, flood):
    acquire(permits, flood)
    for priority in sorted(PRIORITIES):
        if priority != flood:
            assert acquire(permits, priority, 1) == 1


def test_flood_of_the_least_urgent_leaves_more_permits_than_one_of_the_most_urgent(
    permits,
):
    acquire(permits, LEAST)
    available_to_urgent = acquire(permits, MOST)
    others = PriorityPermits(PERMITS)
    others.configure(PRIORITIES)
    acquire(others, MOST)
    assert available_to_urgent > acquire(others, LEAST)


def test_permits_are_never_exceeded(permits):
    assert sum(acquire(permits, priority) for priority in sorted(PRIORITIES)) <= PERMITS


def test_released_permit_can_be_acquired_again(permits):
    acquire(permits, LEAST)
    permits.release(LEAST)
    assert acquire(permits, LEAST) == 1
