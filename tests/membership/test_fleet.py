"""Several views that exchange their real messages under faults.

Guards against an instance that is suspected or dead for the fleet because of a blocked
path, a pause or a partition, a death or leave that does not reach every view in time,
and messages that grow with the fleet.
"""

import attrs

from chicorychute.core.messages import DigestUpdate, Gossip, MemberStatus, Verdict
from chicorychute.membership.records import claim
from tests.membership.network import Network

ALIVE = {MemberStatus.ALIVE}
IDS = [f"i{number:02}" for number in range(12)]
# At 0.5 s per round these take 3 s.
LEAVE_MAX_ROUNDS = 6


def test_killed_instance_is_dead_everywhere():
    net = Network(IDS)
    net.rounds(10)
    net.kill("i03")
    net.rounds(30)
    assert set(net.statuses("i03").values()) == {MemberStatus.DEAD}
    assert all(
        set(net.recorded_statuses(i).values()) == ALIVE for i in IDS if i != "i03"
    )


def test_newcomer_is_known_everywhere_and_knows_all():
    net = Network(IDS)
    net.rounds(4)
    newcomer = net.start("new")
    net.send("new", "i05", newcomer.message_for("i05", True))
    net.rounds(6)
    assert set(net.statuses("new").values()) == ALIVE
    assert {newcomer.status_of(i) for i in IDS} == ALIVE


def test_frozen_instance_resumes_refutes_and_suspects_no_peer():
    net = Network(IDS)
    net.rounds(10)
    net.frozen.add("i03")
    net.rounds(40)
    assert set(net.statuses("i03").values()) == {MemberStatus.DEAD}
    net.frozen.clear()
    net.rounds(30)
    assert set(net.statuses("i03").values()) == ALIVE
    assert all(set(net.recorded_statuses(i).values()) == ALIVE for i in IDS)


def test_path_blocked_one_way_marks_neither_side_suspect():
    net = Network(IDS)
    net.rounds(10)
    net.block_paths(["i03"], ["i04"])
    for _ in range(60):
        net.rounds(1)
        assert set(net.recorded_statuses("i03").values()) == ALIVE
        assert set(net.recorded_statuses("i04").values()) == ALIVE
    assert net.view_by_id["i03"].status_of("i04") is MemberStatus.SUSPECT


def test_instance_that_receives_nothing_marks_no_peer_suspect():
    net = Network(IDS)
    net.rounds(10)
    others = [i for i in IDS if i != "i03"]
    net.block_paths(others, ["i03"])
    net.rounds(40)
    for other in others:
        recorded = net.recorded_statuses(other)
        recorded.pop("i03")
        assert set(recorded.values()) == ALIVE


def test_partitioned_fleet_heals_with_all_alive():
    net = Network(IDS)
    net.rounds(10)
    left, right = IDS[:6], IDS[6:]
    net.block_paths(left, right)
    net.block_paths(right, left)
    net.rounds(60)
    view = net.view_by_id["i00"]
    assert {view.status_of(i) for i in right} == {MemberStatus.DEAD}
    net.blocked_paths.clear()
    net.rounds(120)
    assert all(set(net.statuses(i).values()) == ALIVE for i in IDS)


def test_leave_sent_to_one_peer_reaches_all_within_the_bound():
    net = Network(IDS)
    net.rounds(10)
    message = net.view_by_id["i03"].leave()
    net.send("i03", "i07", message)
    net.kill("i03")
    net.rounds(LEAVE_MAX_ROUNDS)
    assert MemberStatus.ALIVE not in net.statuses("i03").values()


def test_restarted_instance_replaces_its_old_incarnation():
    net = Network(IDS)
    net.rounds(10)
    net.kill("i03")
    net.rounds(30)
    restarted = net.start("i03", incarnation=2)
    net.send("i03", "i00", restarted.message_for("i00", True))
    net.rounds(12)
    assert set(net.statuses("i03").values()) == ALIVE


def test_gossip_message_is_bounded_in_a_fleet_of_target_size():
    net = Network(["own"])
    view = net.view_by_id["own"]
    for number in range(4_199):
        net.start(f"i{number}", services=(f"s{number % 500}",))
    view.merge(net.view_by_id[f"i{number}"].own for number in range(4_199))
    for _ in range(500):
        # Recent updates on the joins are sent first.
        view.message_for("i7", False)
    sends = view.gossip_round()
    for send in sends:
        if isinstance(send.message, Gossip):
            assert len(send.message.records) <= 46
    assert len(sends) <= 18


def test_large_fleet_sends_digests_only_to_peers_that_share_a_service():
    net = make_large_network()
    view = net.view_by_id["i0"]
    received_services = {}
    for _ in range(20):
        for send in view.gossip_round():
            match send.message:
                case DigestUpdate():
                    received_services[send.instance] = {
                        d.service for d in send.message.upstreams
                    }
                case Gossip():
                    assert not any(r.complete for r in send.message.records)
    service_peers = [f"i{n}" for n in range(1, 400) if n % 40 in (0, 1, 39)]
    assert received_services.keys() == set(service_peers)
    for instance, services in received_services.items():
        shared = set(net.services_by_id[instance]) & {"s0", "s1"}
        assert services == shared


def test_large_fleet_sends_a_changed_verdict_first_to_all_hosts():
    net = make_large_network()
    view = net.view_by_id["i0"]
    view.gossip_round()
    s0, s1 = view.own.upstreams
    view.publish(0, (attrs.evolve(s0, verdict=Verdict.SICK), s1))
    first, second = (
        {s.instance for s in view.gossip_round() if isinstance(s.message, DigestUpdate)}
        for _ in range(2)
    )
    hosts = {record.instance for record in view.hosts("s0")} - {"i0"}
    assert first < hosts <= first | second


def test_digest_update_refutes_a_suspicion_but_not_a_later_record():
    net = make_large_network()
    viewer, sender = net.view_by_id["i0"], net.view_by_id["i40"]
    update = next_update_for(sender, "i0")
    assert verdicts(viewer, "i40") == {Verdict.HEALTHY}
    viewer.merge((claim(viewer.record_of("i40"), MemberStatus.SUSPECT),))
    sick = attrs.evolve(
        update,
        heartbeat=update.heartbeat + 1,
        upstreams=tuple(
            attrs.evolve(digest, verdict=Verdict.SICK) for digest in update.upstreams
        ),
    )
    viewer.on_digests(sick)
    viewer.on_digests(update)
    assert verdicts(viewer, "i40") == {Verdict.SICK}
    assert viewer.status_of("i40") is MemberStatus.ALIVE
    viewer.on_digests(attrs.evolve(sick, incarnation=0, heartbeat=99, upstreams=()))
    assert viewer.record_of("i40").heartbeat == sick.heartbeat


def make_large_network():
    """Return a network of 400 daemons that each host two of 40 services."""
    net = Network([], services=())
    for n in range(400):
        net.start(f"i{n}", services=(f"s{n % 40}", f"s{(n + 1) % 40}"))
    for instance in ("i0", "i40"):
        others = (other.own for other in net.view_by_id.values())
        net.view_by_id[instance].merge(others)
    net.send_pending_updates()
    return net


def next_update_for(view, receiver):
    while True:
        for send in view.gossip_round():
            if send.instance == receiver and isinstance(send.message, DigestUpdate):
                return send.message


def verdicts(view, instance):
    return {digest.verdict for digest in view.record_of(instance).upstreams}
