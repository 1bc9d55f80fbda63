"""Paths within a region are confirmed by echoes; the list covers other regions.

Guards against a path that counts as alive though it is blocked in one direction, an
update that a peer never gets because short heartbeats omit it, and a heartbeat of an
earlier process that overwrites the state of the current one.
"""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    Beat,
    MemberRecord,
    MemberStatus,
    Pulse,
    RankDigest,
    UpstreamDigest,
    Verdict,
)
from chicorychute.membership.regional import (
    COMPLETE_HEARTBEAT_ROUNDS,
    LISTED_SUSPECT_S,
    PATH_TIMEOUT_ROUNDS,
    RegionalView,
)
from chicorychute.sources.base import ListedInstance, ListedUpstream
from chicorychute.transport.codec import encode

INTERVAL_S = 0.5
REGION_BY_ZONE = {"a1": "a", "a2": "a", "b1": "b"}


def record(name, zone="a1", incarnation=1):
    return MemberRecord(
        name, incarnation, 0, MemberStatus.ALIVE, name, 1, zone, zone[0], 0, ()
    )


def listed(name, zone="a1", leaving=False):
    upstream = ListedUpstream(f"i-{name}", "s", f"{name}:80", zone, 4, leaving, 0.0, 1)
    return ListedInstance(name, name, 1, False, (upstream,))


LISTED_INSTANCES = (listed("x"), listed("y", "a2"), listed("z", "b1"))


def digest_of(name, in_flight=2):
    ranks = (RankDigest("order", 10, 9.0, 12.0, 0.0, 0.0, 0.0),)
    return UpstreamDigest(
        name, "s", Verdict.HEALTHY, 4, in_flight, 1, 9.0, 0.0, 1.0, ranks=ranks
    )


class RegionalNetwork:
    """Views that exchange heartbeats, except over blocked paths."""

    def __init__(self, *names):
        self.clock = ManualClock()
        self.view_by_id = {
            name: RegionalView(record(name), INTERVAL_S, self.clock, REGION_BY_ZONE)
            for name in names
        }
        self.blocked_paths = set()
        self.sent = []
        self.version, self.in_flight = 1, 2
        for view in self.view_by_id.values():
            view.apply_instance_list(LISTED_INSTANCES)

    def rounds(self, count):
        for _ in range(count):
            self.clock.advance(INTERVAL_S)
            for name, view in self.view_by_id.items():
                view.publish(self.version, (digest_of(name, self.in_flight),))
                for send in view.gossip_round():
                    self.sent.append(send.message)
                    if (name, send.instance) not in self.blocked_paths:
                        self.deliver(name, send)

    def deliver(self, sender, send):
        target = self.view_by_id.get(send.instance)
        if target is None:
            return
        match send.message:
            case Beat():
                target.on_heartbeat(send.message)
            case Pulse():
                own = self.view_by_id[sender].own
                target.on_short_heartbeat(sender, own.incarnation, send.message)

    def status(self, of, by):
        return self.view_by_id[by].status_of(of)


@pytest.fixture
def net():
    net = RegionalNetwork("x", "y")
    net.rounds(3)
    return net


def test_peers_of_the_region_confirm_each_other(net):
    assert net.status("y", by="x") is MemberStatus.ALIVE
    (digest,) = net.view_by_id["x"].record_of("y").upstreams
    assert (digest.in_flight, digest.queued) == (2, 1)


@pytest.mark.parametrize("path", [("x", "y"), ("y", "x")])
def test_path_blocked_in_one_direction_is_suspect_on_both_sides(net, path):
    net.blocked_paths.add(path)
    net.rounds(int(PATH_TIMEOUT_ROUNDS) + 2)
    assert net.status("y", by="x") is MemberStatus.SUSPECT
    assert net.status("x", by="y") is MemberStatus.SUSPECT
    net.blocked_paths.clear()
    net.rounds(2)
    assert net.status("y", by="x") is MemberStatus.ALIVE


def test_no_heartbeat_goes_to_another_region(net):
    view = net.view_by_id["x"]
    assert [send.instance for send in view.gossip_round()] == ["y"]


def test_instance_of_another_region_is_alive_until_a_message_fails(net):
    view = net.view_by_id["x"]
    assert view.status_of("z") is MemberStatus.ALIVE
    assert [d.slots for d in view.record_of("z").upstreams] == [4]
    view.on_unreachable("z")
    assert view.status_of("z") is MemberStatus.SUSPECT
    net.clock.advance(LISTED_SUSPECT_S + 0.1)
    assert view.status_of("z") is MemberStatus.ALIVE


def test_leaving_upstream_of_another_region_is_no_candidate(net):
    view = net.view_by_id["x"]
    view.apply_instance_list((*LISTED_INSTANCES[:2], listed("z", "b1", leaving=True)))
    assert view.record_of("z").upstreams == ()
    assert [r.instance for r in view.hosts("s")] == ["x", "y"]


def test_peer_dropped_from_the_list_stays_while_it_is_heard(net):
    view = net.view_by_id["x"]
    view.apply_instance_list(())
    assert view.status_of("y") is MemberStatus.ALIVE
    assert view.status_of("z") is MemberStatus.DEAD
    net.view_by_id.pop("y")
    net.rounds(20)
    view.apply_instance_list(())
    assert view.status_of("y") is MemberStatus.DEAD


def test_leave_is_sent_with_the_next_heartbeat(net):
    net.view_by_id["y"].leave()
    for send in net.view_by_id["y"].broadcast_own():
        net.view_by_id[send.instance].on_heartbeat(send.message)
    assert net.status("y", by="x") is MemberStatus.LEAVING


def test_heartbeat_of_an_earlier_process_changes_nothing(net):
    view = net.view_by_id["x"]
    view.on_heartbeat(Beat(record("y", "a2", incarnation=5), 0, 0))
    assert not view.on_heartbeat(Beat(record("y", "a2", incarnation=4), 0, 0))
    assert view.record_of("y").incarnation == 5


def test_peer_that_knows_nothing_of_this_process_asks_for_a_heartbeat(net):
    view = net.view_by_id["x"]
    assert view.on_heartbeat(Beat(record("y", "a2", incarnation=9), 0, 0))


def test_most_heartbeats_are_short_and_still_carry_the_load(net):
    net.rounds(4)
    net.sent.clear()
    for in_flight in range(8):
        net.in_flight = in_flight % 5
        net.rounds(1)
        (digest,) = net.view_by_id["x"].record_of("y").upstreams
        assert digest == digest_of("y", net.in_flight)
    short_heartbeats = [message for message in net.sent if isinstance(message, Pulse)]
    assert (
        len(short_heartbeats)
        == len(net.sent) * (COMPLETE_HEARTBEAT_ROUNDS - 1) / COMPLETE_HEARTBEAT_ROUNDS
    )
    assert len(encode(short_heartbeats[0])) < len(encode(_first_complete(net.sent))) / 2


def _first_complete(messages):
    return next(message for message in messages if isinstance(message, Beat))


def test_new_table_version_is_sent_in_complete_heartbeats_until_echoed(net):
    net.rounds(3)
    net.sent.clear()
    net.version = 2
    net.blocked_paths = {("y", "x")}
    net.rounds(2)
    complete_to_y = [
        m for m in net.sent if isinstance(m, Beat) and m.record.instance == "x"
    ]
    assert [m.record.table_version for m in complete_to_y] == [2, 2]
    net.blocked_paths = set()
    net.rounds(2)
    net.sent.clear()
    net.rounds(1)
    assert all(isinstance(message, Pulse) for message in net.sent)
    assert net.view_by_id["x"].record_of("y").table_version == 2


def test_short_heartbeat_of_another_incarnation_is_ignored(net):
    view = net.view_by_id["x"]
    before = view.record_of("y")
    view.on_short_heartbeat("y", before.incarnation + 1, Pulse(10_000, 0, ()))
    view.on_short_heartbeat("y", before.incarnation, Pulse(0, 0, ()))
    view.on_short_heartbeat("nobody", 1, Pulse(10_000, 0, ()))
    assert view.record_of("y") == before


def test_only_the_peer_that_asks_is_answered(net):
    (send,) = net.view_by_id["x"].complete_heartbeat_for("y")
    assert send.instance == "y"
    assert isinstance(send.message, Beat)
    assert net.view_by_id["x"].complete_heartbeat_for("nobody") == ()
