"""Service of each rank under floods, on recorded arrivals.

Guards against a flood of one rank that delays urgent requests, takes the guaranteed
share of another rank, or lets requests wait for an answer that comes too late.
"""

import functools

import pytest

from chicorychute.bench import ranks

SCENARIO_BY_NAME = {scenario.name: scenario for scenario in ranks.SCENARIOS}
FLOODS_OF_OTHERS = (
    "plain load",
    "flood of the least urgent",
    "flood, a third gray",
    "urgent load at 0.9",
)


@functools.cache
def measured(name):
    return ranks.measure_scenario(ranks.MIXTURE, SCENARIO_BY_NAME[name])


@pytest.mark.parametrize("name", FLOODS_OF_OTHERS)
def test_urgent_work_whose_load_fits_meets_its_target(name):
    assert measured(name).by_rank["lookup"].target_fraction >= 0.99


@pytest.mark.parametrize("rank", ["order", "check"])
def test_other_ranks_keep_their_share_in_a_flood_of_the_most_urgent(rank):
    measurement = measured("flood of the most urgent")
    demand = ranks.DEMAND_BY_RANK[rank]
    assert measurement.capacity_fraction(rank) >= 0.9 * min(
        demand.share, demand.load_fraction
    )


@pytest.mark.parametrize("name", [n for n in SCENARIO_BY_NAME if n != "plain load"])
def test_goodput_stays_above_nine_tenths_and_no_rank_starves(name):
    measurement = measured(name)
    assert measurement.goodput > 0.9
    assert all(result.in_deadline for result in measurement.by_rank.values())


@pytest.mark.parametrize("name", SCENARIO_BY_NAME)
def test_work_that_cannot_meet_its_deadline_is_refused_early(name):
    results = measured(name).by_rank.values()
    turned_away = sum(r.refused_early + r.expired for r in results)
    assert sum(r.expired for r in results) <= 0.1 * turned_away
    assert sum(r.late for r in results) <= 0.01 * sum(r.in_deadline for r in results)


def test_a_less_urgent_rank_never_keeps_more_than_one_above_with_a_greater_share():
    measurement = measured("urgent load at 0.9")
    assert measurement.capacity_fraction("order") > measurement.capacity_fraction(
        "check"
    )


def test_the_same_seed_gives_the_same_figures():
    scenario = SCENARIO_BY_NAME["plain load"]
    again = ranks.measure_scenario(ranks.MIXTURE, scenario)
    assert again == measured("plain load")
