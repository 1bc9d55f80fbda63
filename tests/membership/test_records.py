"""Any order of arrival of the same records gives the same state.

Gossip delivers records in any order. A merge that depends on it would leave daemons
with different states of one instance, or make one alive again after it left.
"""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import MemberRecord, MemberStatus
from chicorychute.membership.records import claim
from chicorychute.membership.view import MembershipView


def published(incarnation, heartbeat, leaves_at):
    status = MemberStatus.LEAVING if heartbeat >= leaves_at else MemberStatus.ALIVE
    return MemberRecord(
        "a", incarnation, heartbeat, status, "127.0.0.1", 1, "z", "r", 0, ()
    )


@st.composite
def histories(draw):
    """Draw records that one id can publish, and claims of peers about them."""
    records = []
    for incarnation in range(1, draw(st.integers(1, 3)) + 1):
        leaves_at = draw(st.integers(1, 40))
        for heartbeat in draw(st.lists(st.integers(0, 30), min_size=1, max_size=5)):
            record = published(incarnation, heartbeat, leaves_at)
            records.append(record)
            if draw(st.booleans()) and record.status is MemberStatus.ALIVE:
                records.append(claim(record, MemberStatus.SUSPECT))
            if draw(st.booleans()):
                records.append(claim(record, MemberStatus.DEAD))
    return records


def state_after(records):
    # The first record must not be a claim that the instance is dead, as such a claim
    # about an unknown instance is ignored.
    own = MemberRecord("own", 1, 0, MemberStatus.ALIVE, "127.0.0.1", 1, "z", "r", 0, ())
    view = MembershipView(own, 3.0, ManualClock(), random.Random(1))
    view.merge(records)
    record = view.record_of("a")
    return record.incarnation, record.heartbeat, record.status


@settings(derandomize=True, deadline=None)
@given(histories(), st.randoms(use_true_random=False))
def test_order_of_arrival_does_not_matter(records, rng):
    first = published(1, 0, 99)
    shuffled = list(records)
    rng.shuffle(shuffled)
    assert state_after([first, *records]) == state_after([first, *shuffled])


@settings(derandomize=True, deadline=None)
@given(histories())
def test_incarnation_that_left_is_never_seen_alive(records):
    _, _, status = state_after([published(1, 0, 99), *records])
    newest = max(record.incarnation for record in records)
    published_statuses = {r.status for r in records if r.incarnation == newest}
    if MemberStatus.LEAVING in published_statuses:
        assert status in (MemberStatus.LEAVING, MemberStatus.DEAD)
