"""Ways within a region are proved by echoes; other regions are known by the list."""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    Beat,
    MemberRecord,
    MemberStatus,
    UpstreamDigest,
    Verdict,
)
from chicorychute.membership.nearby import CONFIRM_ROUNDS, FAR_DOUBT_S, NearbyView
from chicorychute.sources.base import ListedInstance, ListedUpstream

INTERVAL_S = 0.5
REGION_BY_ZONE = {"a1": "a", "a2": "a", "b1": "b"}


def record(name, zone="a1", incarnation=1):
    return MemberRecord(
        name, incarnation, 0, MemberStatus.ALIVE, name, 1, zone, zone[0], 0, ()
    )


def listed(name, zone="a1", leaving=False):
    upstream = ListedUpstream(f"i-{name}", "s", f"{name}:80", zone, 4, leaving, 0.0, 1)
    return ListedInstance(name, name, 1, False, (upstream,))


ALL = (listed("x"), listed("y", "a2"), listed("z", "b1"))


class Net:
    """Views that exchange beats, but for the ways that are cut."""

    def __init__(self, *names):
        self.clock = ManualClock()
        self.view_by_id = {
            name: NearbyView(record(name), INTERVAL_S, self.clock, REGION_BY_ZONE)
            for name in names
        }
        self.cut = set()
        for view in self.view_by_id.values():
            view.take_listed(ALL)

    def rounds(self, count):
        for _ in range(count):
            self.clock.advance(INTERVAL_S)
            for name, view in self.view_by_id.items():
                digest = UpstreamDigest(
                    name, "s", Verdict.HEALTHY, 4, 2, 1, 9.0, 0.0, 1.0
                )
                view.publish(1, (digest,))
                for send in view.gossip_round():
                    target = self.view_by_id.get(send.instance)
                    if target is not None and (name, send.instance) not in self.cut:
                        target.on_beat(send.message)

    def status(self, of, by):
        return self.view_by_id[by].status_of(of)


@pytest.fixture
def net():
    net = Net("x", "y")
    net.rounds(3)
    return net


def test_peers_of_the_region_confirm_each_other(net):
    assert net.status("y", by="x") is MemberStatus.ALIVE
    (digest,) = net.view_by_id["x"].record_of("y").upstreams
    assert (digest.in_flight, digest.queued) == (2, 1)


@pytest.mark.parametrize("way", [("x", "y"), ("y", "x")])
def test_way_cut_in_one_direction_is_lost_for_both(net, way):
    net.cut.add(way)
    net.rounds(int(CONFIRM_ROUNDS) + 2)
    assert net.status("y", by="x") is MemberStatus.SUSPECT
    assert net.status("x", by="y") is MemberStatus.SUSPECT
    net.cut.clear()
    net.rounds(2)
    assert net.status("y", by="x") is MemberStatus.ALIVE


def test_no_beat_goes_to_another_region(net):
    view = net.view_by_id["x"]
    assert [send.instance for send in view.gossip_round()] == ["y"]


def test_other_region_is_believed_until_a_message_fails(net):
    view = net.view_by_id["x"]
    assert view.status_of("z") is MemberStatus.ALIVE
    assert [d.slots for d in view.record_of("z").upstreams] == [4]
    view.on_unreachable("z")
    assert view.status_of("z") is MemberStatus.SUSPECT
    net.clock.advance(FAR_DOUBT_S + 0.1)
    assert view.status_of("z") is MemberStatus.ALIVE


def test_leaving_upstream_of_another_region_is_no_candidate(net):
    view = net.view_by_id["x"]
    view.take_listed((*ALL[:2], listed("z", "b1", leaving=True)))
    assert view.record_of("z").upstreams == ()
    assert [r.instance for r in view.hosts("s")] == ["x", "y"]


def test_peer_that_the_list_lost_stays_while_it_is_heard(net):
    view = net.view_by_id["x"]
    view.take_listed(())
    assert view.status_of("y") is MemberStatus.ALIVE
    assert view.status_of("z") is MemberStatus.DEAD
    net.view_by_id.pop("y")
    net.rounds(20)
    view.take_listed(())
    assert view.status_of("y") is MemberStatus.DEAD


def test_leave_is_told_with_the_next_beat(net):
    net.view_by_id["y"].leave()
    for send in net.view_by_id["y"].tell_own():
        net.view_by_id[send.instance].on_beat(send.message)
    assert net.status("y", by="x") is MemberStatus.LEAVING


def test_beat_of_an_earlier_process_changes_nothing(net):
    view = net.view_by_id["x"]
    view.on_beat(Beat(record("y", "a2", incarnation=5), 0, 0))
    assert not view.on_beat(Beat(record("y", "a2", incarnation=4), 0, 0))
    assert view.record_of("y").incarnation == 5


def test_peer_that_knows_nothing_of_this_process_asks_for_a_beat(net):
    view = net.view_by_id["x"]
    assert view.on_beat(Beat(record("y", "a2", incarnation=9), 0, 0))
