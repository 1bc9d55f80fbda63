"""Guards against daemons that stay on different tables or go back to an older one.

The platform may show an older copy after a restore, two contents may have one version,
and a refused table may be announced again and again.
"""

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import TableAnnounce, TableRequest
from chicorychute.table.relay import Location, announce_targets
from chicorychute.table.versions import (
    REQUEST_TIMEOUT_S,
    OfferDecision,
    TableVersions,
    content_hash,
)
from standins.demo import make_table

TEXTS = [make_table(deadline) for deadline in (4000, 5000, 6000)]
BAD_TEXT = TEXTS[0].replace("4000", "never")


def make_versions(*offers):
    versions = TableVersions(ManualClock())
    for version, text in offers:
        versions.offer(version, text)
    return versions


def test_older_version_does_not_replace_the_table_in_force():
    versions = make_versions((5, TEXTS[0]))
    assert versions.offer(4, TEXTS[1]).decision is OfferDecision.OLDER
    assert versions.key == (5, content_hash(TEXTS[0]))


@pytest.mark.parametrize("order", list(itertools.permutations(TEXTS)))
def test_same_content_wins_a_version_in_any_order(order):
    versions = make_versions(*((5, text) for text in order))
    assert versions.key == (5, max(map(content_hash, TEXTS)))
    assert versions.conflict_count > 0


def test_bad_table_is_refused_and_not_requested_again():
    versions = make_versions((5, TEXTS[0]))
    offered = versions.offer(6, BAD_TEXT)
    assert offered.decision is OfferDecision.REFUSED
    assert offered.faults
    assert versions.key[0] == 5
    assert versions.on_announce(TableAnnounce(6, content_hash(BAD_TEXT))) is None
    assert versions.offer(6, BAD_TEXT).decision is OfferDecision.REFUSED_BEFORE
    assert versions.highest_seen_version == 6


def test_one_table_request_is_open_until_it_times_out():
    clock = ManualClock()
    versions = TableVersions(clock)
    announce = TableAnnounce(6, content_hash(TEXTS[0]))
    assert versions.on_announce(announce) == TableRequest(0, "")
    assert versions.on_announce(announce) is None
    clock.advance(REQUEST_TIMEOUT_S)
    assert versions.on_announce(announce) == TableRequest(0, "")


def test_only_a_newer_table_is_sent():
    versions = make_versions((5, TEXTS[0]))
    current_hash = content_hash(TEXTS[0])
    assert versions.on_request(TableRequest(5, current_hash)) is None
    assert versions.on_request(TableRequest(6, "")) is None
    assert versions.on_request(TableRequest(4, "ff")).version == 5
    assert make_versions().on_request(TableRequest(0)) is None


@settings(derandomize=True, deadline=None, max_examples=30)
@given(
    st.lists(st.tuples(st.integers(1, 4), st.sampled_from([*TEXTS, BAD_TEXT]))),
    st.randoms(use_true_random=False),
)
def test_daemons_that_saw_the_same_tables_agree(offers, shuffle):
    shuffled = list(offers)
    shuffle.shuffle(shuffled)
    assert make_versions(*offers).key == make_versions(*shuffled).key


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.lists(st.tuples(st.integers(1, 4), st.sampled_from(TEXTS))))
def test_the_key_in_force_only_rises(offers):
    versions = make_versions()
    for version, text in offers:
        before = versions.key
        versions.offer(version, text)
        assert versions.key >= before


def test_few_announcements_leave_the_region():
    locations = [Location(f"i{n}", f"z{n % 6}", f"r{n % 3}") for n in range(60)]
    own = locations[0]
    region_by_id = {location.instance: location.region for location in locations}

    def other_region_targets(source):
        targets = announce_targets(own, locations[1:], source, random.Random(1))
        return [t for t in targets if region_by_id[t] != own.region]

    assert len(other_region_targets(None)) == 2
    assert other_region_targets(locations[1]) == []
    assert other_region_targets(locations[3]) == []
