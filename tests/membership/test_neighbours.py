"""Heartbeats in a region of hundreds of instances go to a bounded number of peers.

Guards against control traffic between availability zones that grows with the square of
the region: at 235 instances it cost more than everything else of a calm day together.
Guards also against a choice that leaves an instance without gates of a service to
compare, without a peer in another zone, or chosen by far more peers than the others.
"""

from collections import Counter

import attrs
import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import Beat, MemberRecord, MemberStatus
from chicorychute.membership.neighbours import (
    NEIGHBOURS_PER_SERVICE,
    choose_neighbours,
)
from chicorychute.membership.regional import (
    LISTED_SUSPECT_S,
    SILENT_PEER_TIMEOUT_S,
    RegionalView,
)
from chicorychute.sources.base import ListedInstance, ListedUpstream

INTERVAL_S = 0.5
ZONES = ("a1", "a2", "a3")
REGION_BY_ZONE = dict.fromkeys(ZONES, "a")
# Instances of each zone by service: a third of a fleet of 235 and of 1,000.
SIZES = {"235": (17, 9), "1000": (70, 41)}
SMALL_SITE = (2, 2)
# Reduction of the traffic between zones that is asked for at 235 instances.
REDUCTION = 8


def record(name, zone, service):
    return MemberRecord(
        name, 1, 0, MemberStatus.ALIVE, name, 1, zone, "a", 0, (), services=(service,)
    )


def region(orders, stock):
    return [
        record(f"{service}-{zone}-{number}", zone, service)
        for zone in ZONES
        for service, count in (("orders", orders), ("stock", stock))
        for number in range(count)
    ]


def listed(member):
    upstream = ListedUpstream(
        f"i-{member.instance}",
        member.services[0],
        f"{member.instance}:80",
        member.zone,
        3,
        False,
        0.0,
        1,
    )
    return ListedInstance(member.instance, member.instance, 1, False, (upstream,))


def partners_by_id(members):
    """Return with whom each instance exchanges heartbeats: chosen by either side."""
    partners = {member.instance: set() for member in members}
    for member in members:
        for other in choose_neighbours(member, members):
            partners[member.instance].add(other)
            partners[other].add(member.instance)
    return partners


@pytest.mark.parametrize("size", SIZES)
def test_traffic_between_zones_is_bounded(size):
    members = region(*SIZES[size])
    zone_by_id = {member.instance: member.zone for member in members}
    crossing = [
        sum(zone_by_id[other] != zone_by_id[own] for other in others)
        for own, others in partners_by_id(members).items()
    ]
    everyone = sum(SIZES[size]) * (len(ZONES) - 1)
    assert sum(crossing) / len(crossing) <= everyone / REDUCTION
    # A zone that loses its own gates has others to turn to.
    assert min(crossing) >= len(ZONES) - 1


@pytest.mark.parametrize("size", SIZES)
def test_no_instance_is_chosen_far_more_often_than_the_others(size):
    counts = [len(others) for others in partners_by_id(region(*SIZES[size])).values()]
    assert max(counts) <= 3 * sum(counts) / len(counts)


@pytest.mark.parametrize("size", [*SIZES, "small"])
def test_enough_gates_of_each_service_are_known(size):
    members = region(*SIZES.get(size, SMALL_SITE))
    for member in members:
        chosen = choose_neighbours(member, members)
        hosts = Counter(
            other.services[0] for other in members if other.instance in chosen
        )
        for service in ("orders", "stock"):
            present = sum(
                service in other.services
                for other in members
                if other.instance != member.instance
            )
            assert hosts[service] >= min(NEIGHBOURS_PER_SERVICE, present)


def test_choice_hardly_changes_when_one_instance_leaves():
    members = region(*SIZES["235"])
    before, after = partners_by_id(members), partners_by_id(members[1:])
    changed = [
        len(others ^ before[own] - {members[0].instance})
        for own, others in after.items()
    ]
    assert sum(changed) <= 2 * len(ZONES) * len(before[members[0].instance])


@pytest.fixture
def view():
    members = region(*SIZES["235"])
    view = RegionalView(
        record("own", "a1", "orders"), INTERVAL_S, ManualClock(), REGION_BY_ZONE
    )
    view.apply_instance_list(tuple(map(listed, members)))
    view.gossip_round()
    return view


def stranger_of(view):
    return next(
        member
        for member in region(*SIZES["235"])
        if not view.reports_load(member.instance)
    )


def test_instance_without_heartbeats_is_alive_until_a_message_fails(view):
    stranger = stranger_of(view).instance
    assert view.status_of(stranger) is MemberStatus.ALIVE
    view.on_unreachable(stranger)
    assert view.status_of(stranger) is MemberStatus.SUSPECT
    view._clock.advance(LISTED_SUSPECT_S + 0.1)
    assert view.status_of(stranger) is MemberStatus.ALIVE


def test_instance_that_chose_this_one_gets_heartbeats_while_it_is_heard(view):
    stranger = stranger_of(view)
    assert stranger.instance not in {send.instance for send in view.gossip_round()}
    view.on_heartbeat(Beat(stranger, 0, 1))
    assert stranger.instance in {send.instance for send in view.gossip_round()}
    view._clock.advance(SILENT_PEER_TIMEOUT_S + 0.1)
    assert stranger.instance not in {send.instance for send in view.gossip_round()}


def test_load_of_a_former_partner_is_forgotten(view):
    stranger = stranger_of(view)
    (digest,) = view.record_of(stranger.instance).upstreams
    busy = attrs.evolve(digest, in_flight=3)
    view.on_heartbeat(Beat(attrs.evolve(stranger, upstreams=(busy,)), 0, 1))
    assert view.record_of(stranger.instance).upstreams[0].in_flight == 3
    view._clock.advance(SILENT_PEER_TIMEOUT_S + 0.1)
    view.apply_instance_list(tuple(map(listed, region(*SIZES["235"]))))
    (digest,) = view.record_of(stranger.instance).upstreams
    assert digest.in_flight == 0
