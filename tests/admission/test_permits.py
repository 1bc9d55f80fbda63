"""Seats of the prioritys on the threads of a server."""

import pytest

from chicorychute.admission.permits import PrioritySeats

MOST, MIDDLE, LEAST = 1, 2, 9
PRIORITIES = {MOST, MIDDLE, LEAST}
SEATS = 60


@pytest.fixture
def seats():
    seats = PrioritySeats(SEATS)
    seats.configure(PRIORITIES)
    return seats


def enter(seats, priority, count=10 * SEATS):
    return sum(seats.enter(priority) for _ in range(count))


@pytest.mark.parametrize("flood", sorted(PRIORITIES))
def test_flood_of_one_priority_leaves_seats_to_every_other(seats, flood):
    enter(seats, flood)
    for priority in sorted(PRIORITIES):
        if priority != flood:
            assert enter(seats, priority, 1) == 1


def test_flood_of_the_least_urgent_leaves_more_seats_than_one_of_the_most(seats):
    enter(seats, LEAST)
    left_to_urgent = enter(seats, MOST)
    others = PrioritySeats(SEATS)
    others.configure(PRIORITIES)
    enter(others, MOST)
    assert left_to_urgent > enter(others, LEAST)


def test_seats_are_never_exceeded(seats):
    assert sum(enter(seats, priority) for priority in sorted(PRIORITIES)) <= SEATS


def test_returned_seat_is_taken_again(seats):
    enter(seats, LEAST)
    seats.leave(LEAST)
    assert enter(seats, LEAST) == 1
