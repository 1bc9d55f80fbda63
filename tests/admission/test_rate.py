"""Rate of each team."""

import pytest

from chicorychute.admission import rate
from chicorychute.core.clock import ManualClock


@pytest.fixture
def clock():
    return ManualClock()


def taken(rates, team, count, per_second):
    return sum(rates.take("order", team, per_second) for _ in range(count))


def test_team_gets_its_rate_and_no_more(clock):
    rates = rate.TeamRates(clock)
    ran = 0
    for _ in range(100):
        clock.advance(0.1)
        ran += taken(rates, "pokhara", 10, 20)
    assert 200 <= ran <= 220


def test_one_team_does_not_spend_the_rate_of_another(clock):
    rates = rate.TeamRates(clock)
    taken(rates, "pokhara", 1000, 5)
    assert taken(rates, "arequipa", 5, 5) == 5


def test_rate_below_one_lets_a_request_through_in_its_time(clock):
    rates = rate.TeamRates(clock)
    assert taken(rates, "pokhara", 3, 0.5) == 1
    clock.advance(2.0)
    assert taken(rates, "pokhara", 3, 0.5) == 1


def test_zero_is_no_limit(clock):
    rates = rate.TeamRates(clock)
    assert taken(rates, "pokhara", 100, 0) == 100
    assert len(rates) == 0


def test_memory_is_bounded_for_any_number_of_teams(clock):
    rates = rate.TeamRates(clock)
    for number in range(3 * rate.TEAM_LIMIT):
        rates.take("order", f"team-{number}", 1)
    assert len(rates) == rate.TEAM_LIMIT


def test_busy_team_is_kept_while_others_come_and_go(clock):
    rates = rate.TeamRates(clock)
    ran = 0
    for number in range(2 * rate.TEAM_LIMIT):
        ran += rates.take("order", "flood", 1)
        rates.take("order", f"team-{number}", 1)
    assert ran == 1
