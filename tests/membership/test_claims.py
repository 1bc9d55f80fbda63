"""Merging of records and claims about one instance.

Guards against a late or stale record that makes a leaving or dead instance alive
again, a suspicion that is lost or can't be refuted, a daemon that suspects its peers
because it was paused itself, and records of dead instances that are kept for ever.
"""

import random

import attrs
import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import Gossip, MemberRecord, MemberStatus
from chicorychute.membership.view import MembershipView

SUSPECT_AFTER_S = 3.0
ROUND_S = 0.5


def record_of(instance, incarnation=1, heartbeat=5, status=MemberStatus.ALIVE):
    zone = f"z{len(instance) % 3}"
    return MemberRecord(
        instance, incarnation, heartbeat, status, "127.0.0.1", 1, zone, "r", 0, ()
    )


def make_view(peers=0):
    clock = ManualClock()
    own = record_of("own", heartbeat=0)
    view = MembershipView(own, SUSPECT_AFTER_S, clock, random.Random(1))
    view.merge(tuple(record_of(f"i{number}") for number in range(peers)))
    return view, clock


def test_leaving_holds_against_a_later_heartbeat_of_the_same_incarnation():
    view, _ = make_view()
    view.merge((record_of("a", status=MemberStatus.LEAVING, heartbeat=5),))
    view.merge((record_of("a", status=MemberStatus.ALIVE, heartbeat=9),))
    assert view.status_of("a") is MemberStatus.LEAVING


def test_new_incarnation_replaces_a_leaving_one_at_once():
    view, _ = make_view()
    view.merge((record_of("a", status=MemberStatus.LEAVING, heartbeat=500),))
    view.merge((record_of("a", incarnation=2, heartbeat=1),))
    assert view.status_of("a") is MemberStatus.ALIVE
    view.merge((record_of("a", status=MemberStatus.ALIVE, heartbeat=900),))
    assert view.record_of("a").incarnation == 2


def test_stale_record_does_not_bring_a_dead_instance_back():
    view, _ = make_view()
    view.merge((record_of("a", heartbeat=5),))
    view.merge((record_of("a", heartbeat=1005, status=MemberStatus.DEAD),))
    view.merge((record_of("a", heartbeat=9),))
    assert view.status_of("a") is MemberStatus.DEAD


def test_suspicion_at_the_same_heartbeat_holds_until_it_is_refuted():
    view, _ = make_view()
    view.merge((record_of("a", heartbeat=5),))
    view.merge((record_of("a", heartbeat=5, status=MemberStatus.SUSPECT),))
    view.merge((record_of("a", heartbeat=5),))
    assert view.status_of("a") is MemberStatus.SUSPECT
    view.merge((record_of("a", heartbeat=6),))
    assert view.status_of("a") is MemberStatus.ALIVE


@pytest.mark.parametrize("status", [MemberStatus.SUSPECT, MemberStatus.DEAD])
def test_living_instance_refutes_a_claim_against_itself(status):
    view, _ = make_view()
    claim = attrs.evolve(view.own, heartbeat=1000, status=status)
    view.on_gossip(Gossip("a", False, (claim,)))
    assert view.own.heartbeat > 1000
    assert view.own.status is MemberStatus.ALIVE


def test_daemon_resumed_after_a_pause_suspects_no_peer():
    view, clock = make_view(peers=6)
    for _ in range(10):
        view.gossip_round()
        for record in view.records()[1:]:
            raised = attrs.evolve(record, heartbeat=record.heartbeat + 1)
            view.on_gossip(Gossip(record.instance, False, (raised,)))
        clock.advance(ROUND_S)
    clock.advance(600)
    view.gossip_round()
    statuses = {view.status_of(record.instance) for record in view.records()}
    assert statuses == {MemberStatus.ALIVE}


def test_dead_instances_are_forgotten_after_a_day_of_replacements():
    view, clock = make_view()
    for number in range(4_200):
        view.merge((record_of(f"old{number}"),))
        view.merge((record_of(f"old{number}", status=MemberStatus.DEAD),))
        clock.advance(86_400 / 4_200)
        view.gossip_round()
    assert len(view.records()) < 100


def test_gossip_of_a_replaced_process_gets_no_answer():
    view, _ = make_view()
    view.merge((record_of("a", incarnation=2, heartbeat=1),))
    old = record_of("a", incarnation=1, heartbeat=900)
    assert view.on_gossip(Gossip("a", True, (old,))) == ()
    assert view.record_of("a").incarnation == 2
