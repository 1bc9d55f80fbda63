"""Leaving flags of the platform's list, and the readers of a zone.

The list lags, still contains dead instances and has no incarnations. Guards against a
flag of an earlier process that makes its successor leave, a dead instance that the list
makes alive again, and a zone whose readers are not replaced when they die.
"""

import pytest

from chicorychute.core.messages import MemberStatus
from chicorychute.membership.readers import READERS_PER_ZONE, choose_readers
from tests.membership.test_claims import make_view, record_of

LONG_LAG_S = 200


def test_listed_as_leaving_gets_no_new_work():
    view, _ = make_view(peers=3)
    view.apply_leaving_flags(["i1"], ["i0", "i2"])
    assert view.status_of("i1") is MemberStatus.LEAVING


def test_leaving_flag_of_the_old_process_does_not_apply_to_the_new_one():
    view, _ = make_view(peers=3)
    view.apply_leaving_flags(["i1"], ["i0", "i2"])
    view.merge((record_of("i1", incarnation=2),))
    assert view.status_of("i1") is MemberStatus.ALIVE
    view.apply_leaving_flags(["i1"], ["i0", "i2"])
    assert view.status_of("i1") is MemberStatus.ALIVE


def test_list_that_contains_dead_instances_revives_none():
    view, _ = make_view(peers=3)
    view.merge((record_of("i1", heartbeat=1005, status=MemberStatus.DEAD),))
    view.apply_leaving_flags([], ["i0", "i1", "i2", "unknown"])
    assert view.status_of("i1") is MemberStatus.DEAD
    assert view.status_of("unknown") is MemberStatus.DEAD


@pytest.mark.parametrize(
    ("lists", "wait_s", "expected"),
    [
        ([(["own"], [])], 0, False),  # The flag may be of an earlier process.
        ([(["own"], []), (["own"], [])], LONG_LAG_S, True),
        ([([], ["own"]), (["own"], [])], 0, True),
        ([([], ["own"])], 0, False),
    ],
)
def test_own_leaving_flag(lists, wait_s, expected):
    view, clock = make_view()
    for leaving, staying in lists:
        must_leave = view.apply_leaving_flags(leaving, staying)
        clock.advance(wait_s)
    assert must_leave is expected


def test_zone_has_few_readers_and_replaces_one_that_dies():
    zone = [f"i{number}" for number in range(467)]
    first = choose_readers(zone)
    assert len(first) == READERS_PER_ZONE
    dead = sorted(first)[0]
    after = choose_readers(i for i in zone if i != dead)
    assert first - {dead} < after
    assert len(after) == READERS_PER_ZONE
