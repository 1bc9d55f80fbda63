"""Candidates for a request follow every change of the view at once.

They are cached, so a change that leaves the cache as it was would send requests to
instances that have left or been ejected.
"""

import random

import attrs
import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    DigestUpdate,
    Gossip,
    MemberRecord,
    MemberStatus,
    UpstreamDigest,
    Verdict,
)
from chicorychute.membership.view import MembershipView
from chicorychute.services.fleet import FleetService
from chicorychute.sources.base import ListedInstance

SUSPECT_AFTER_S = 3.0


class FailingSenders:
    """Senders that reach no peer: each message fails."""

    def send(self, address, message, on_failure=lambda: None):
        on_failure()

    def reply(self, link, message):
        pass


def digest(name, verdict=Verdict.HEALTHY, in_flight=0):
    return UpstreamDigest(name, "s", verdict, 4, in_flight, 0, 10.0, 0.0, 1.0)


def record(name, heartbeat=0, status=MemberStatus.ALIVE, **changes):
    upstream = digest(f"up-{name}", **changes)
    location = ("127.0.0.1", 1, "z", "r")
    return MemberRecord(
        name, 1, heartbeat, status, *location, 1, (upstream,), services=("s",)
    )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def fleet(clock):
    rng = random.Random(1)
    view = MembershipView(record("own"), SUSPECT_AFTER_S, clock, rng)
    fleet = FleetService(view, (), FailingSenders(), rng, lambda: None)
    receive(fleet, record("peer"))
    return fleet


def receive(fleet, *records):
    fleet.on_gossip(None, Gossip("peer", False, records))


def lose_path(fleet, clock):
    for _ in range(3):
        fleet.gossip()
        clock.advance(SUSPECT_AFTER_S / 3)


CHANGES = {
    "peer ejected": lambda fleet, _: receive(
        fleet, record("peer", 1, verdict=Verdict.SICK)
    ),
    "load of a peer": lambda fleet, _: receive(fleet, record("peer", 1, in_flight=3)),
    "digests of a peer": lambda fleet, _: fleet.on_digests(
        DigestUpdate("peer", 1, 1, (digest("up-peer", Verdict.SICK),))
    ),
    "peer leaves": lambda fleet, _: receive(
        fleet, record("peer", 1, MemberStatus.LEAVING)
    ),
    "new peer": lambda fleet, _: receive(fleet, record("third")),
    "replaced peer": lambda fleet, _: receive(
        fleet, attrs.evolve(record("peer", in_flight=1), incarnation=2)
    ),
    "own load": lambda fleet, _: fleet.publish(1, (digest("up-own", in_flight=2),)),
    "own leave": lambda fleet, _: fleet.leave(),
    "platform's list": lambda fleet, _: fleet.apply_list(
        (ListedInstance("peer", "127.0.0.1", 1, True),)
    ),
    "path lost": lose_path,
}


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
def test_change_of_the_view_shows_in_the_candidates(fleet, clock, change):
    before = fleet.candidates("s")
    assert fleet.candidates("s") is before
    assert [c.instance for c in before] == ["peer", "own"]
    change(fleet, clock)
    assert fleet.candidates("s") != before
    assert fleet.candidates("s") == fleet._find_candidates("s")
