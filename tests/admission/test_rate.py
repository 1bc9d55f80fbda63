"""Each team is held to its own rate.

Guards against a team that uses up the rate of another or sends beyond its own, and
against memory that grows with the number of teams.
"""

import pytest

from chicorychute.admission import rate
from chicorychute.core.clock import ManualClock


@pytest.fixture
def clock():
    return ManualClock()


def consume(rates, team, count, per_second):
    return sum(rates.try_consume("order", team, per_second) for _ in range(count))


def test_team_gets_its_rate_and_no_more(clock):
    rates = rate.TeamRates(clock)
    allowed = 0
    for _ in range(100):
        clock.advance(0.1)
        allowed += consume(rates, "pokhara", 10, 20)
    assert 200 <= allowed <= 220


def test_one_team_does_not_use_up_the_rate_of_another(clock):
    rates = rate.TeamRates(clock)
    consume(rates, "pokhara", 1000, 5)
    assert consume(rates, "arequipa", 5, 5) == 5


def test_rate_below_one_per_second_allows_a_request_after_its_interval(clock):
    rates = rate.TeamRates(clock)
    assert consume(rates, "pokhara", 3, 0.5) == 1
    clock.advance(2.0)
    assert consume(rates, "pokhara", 3, 0.5) == 1


def test_zero_rate_means_no_limit(clock):
    rates = rate.TeamRates(clock)
    assert consume(rates, "pokhara", 100, 0) == 100
    assert len(rates) == 0


def test_memory_is_bounded_for_any_number_of_teams(clock):
    rates = rate.TeamRates(clock)
    for number in range(3 * rate.BUCKET_LIMIT):
        rates.try_consume("order", f"team-{number}", 1)
    assert len(rates) == rate.BUCKET_LIMIT


def test_bucket_of_a_busy_team_is_kept_while_others_are_dropped(clock):
    rates = rate.TeamRates(clock)
    allowed = 0
    for number in range(2 * rate.BUCKET_LIMIT):
        allowed += rates.try_consume("order", "flood", 1)
        rates.try_consume("order", f"team-{number}", 1)
    assert allowed == 1
