"""An address that is used again never gets the work of the one before."""

import attrs
import pytest

from chicorychute.services.places import PlaceChange, UpstreamPlace, address_of
from chicorychute.sources.base import ListedUpstream

FIRST = ListedUpstream("i-1", "orders", "10.0.0.1:80", "z", 4, False, 0.0, 100)
NEXT = attrs.evolve(FIRST, id="i-2", started_ms=200)
OTHER = attrs.evolve(FIRST, id="i-3", service="stock", started_ms=300)
LEAVING = attrs.evolve(FIRST, leaving=True)


@pytest.fixture
def place():
    place = UpstreamPlace(address_of("http://10.0.0.1"), listed=True)
    assert not place.takes_work
    assert place.take([FIRST], "orders", complete=True) is PlaceChange.REPLACED
    return place


def test_latest_start_at_the_address_is_believed(place):
    assert place.take([FIRST, NEXT], "orders", complete=True) is PlaceChange.REPLACED
    assert place.incarnation == "i-2"
    assert place.take([NEXT, FIRST], "orders", complete=True) is PlaceChange.NONE


def test_same_id_with_a_later_start_is_another_start(place):
    again = attrs.evolve(FIRST, started_ms=300)
    assert place.take([again], "orders", complete=True) is PlaceChange.REPLACED


def test_leaving_upstream_takes_no_work(place):
    assert place.take([LEAVING], "orders", complete=True) is PlaceChange.LEAVING
    assert not place.takes_work


def test_missing_upstream_is_gone_by_a_complete_list_alone(place):
    assert place.take([], "orders", complete=False) is PlaceChange.NONE
    assert place.takes_work
    assert place.take([], "orders", complete=True) is PlaceChange.GONE
    assert not place.takes_work
    assert place.take([FIRST], "orders", complete=True) is PlaceChange.BACK


def test_entries_of_other_addresses_say_nothing(place):
    other = attrs.evolve(NEXT, address="10.0.0.1:81")
    assert place.take([FIRST, other], "orders", complete=True) is PlaceChange.NONE


def test_doubted_upstream_takes_no_work_until_it_is_listed_anew(place):
    place.doubt()
    assert not place.takes_work
    assert place.take([FIRST], "orders", complete=True) is PlaceChange.BACK


def test_upstream_that_needs_no_list_takes_work_at_once():
    place = UpstreamPlace("10.0.0.1:80", listed=False)
    place.doubt()
    assert place.takes_work


def test_entry_that_another_service_left_at_the_address_is_not_believed():
    place = UpstreamPlace("10.0.0.1:80", listed=True)
    assert place.take([OTHER], "orders", complete=True) is PlaceChange.NONE
    assert not place.takes_work
    assert place.take([OTHER, FIRST], "orders", complete=True) is PlaceChange.REPLACED
    assert place.incarnation == "i-1"
