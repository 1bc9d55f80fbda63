"""Several views that exchange their real messages under faults."""

from chicorychute.core.messages import MemberStatus
from tests.membership.net import Net

ALIVE = {MemberStatus.ALIVE}
IDS = [f"i{number:02}" for number in range(12)]
LEAVING_BOUND_ROUNDS = 6  # 3 s


def test_killed_instance_is_dead_everywhere():
    net = Net(IDS)
    net.rounds(10)
    net.kill("i03")
    net.rounds(30)
    assert set(net.statuses("i03").values()) == {MemberStatus.DEAD}
    assert all(set(net.claims(i).values()) == ALIVE for i in IDS if i != "i03")


def test_newcomer_is_known_everywhere_and_knows_all():
    net = Net(IDS)
    net.rounds(4)
    newcomer = net.start("new")
    net.send("new", "i05", newcomer.message_for("i05", True))
    net.rounds(6)
    assert set(net.statuses("new").values()) == ALIVE
    assert {newcomer.status_of(i) for i in IDS} == ALIVE


def test_frozen_instance_wakes_refutes_and_accuses_nobody():
    net = Net(IDS)
    net.rounds(10)
    net.frozen.add("i03")
    net.rounds(40)
    assert set(net.statuses("i03").values()) == {MemberStatus.DEAD}
    net.frozen.clear()
    net.rounds(30)
    assert set(net.statuses("i03").values()) == ALIVE
    assert all(set(net.claims(i).values()) == ALIVE for i in IDS)


def test_one_way_cut_between_two_accuses_neither():
    net = Net(IDS)
    net.rounds(10)
    net.cut(["i03"], ["i04"])
    for _ in range(60):
        net.rounds(1)
        assert set(net.claims("i03").values()) == ALIVE
        assert set(net.claims("i04").values()) == ALIVE
    assert net.view_by_id["i03"].status_of("i04") is MemberStatus.SUSPECT


def test_one_way_cut_around_one_instance_makes_it_accuse_nobody():
    net = Net(IDS)
    net.rounds(10)
    others = [i for i in IDS if i != "i03"]
    net.cut(others, ["i03"])
    net.rounds(40)
    for other in others:
        claims = net.claims(other)
        claims.pop("i03")
        assert set(claims.values()) == ALIVE


def test_split_fleet_heals_with_all_alive():
    net = Net(IDS)
    net.rounds(10)
    left, right = IDS[:6], IDS[6:]
    net.cut(left, right)
    net.cut(right, left)
    net.rounds(60)
    view = net.view_by_id["i00"]
    assert {view.status_of(i) for i in right} == {MemberStatus.DEAD}
    net.cuts.clear()
    net.rounds(120)
    assert all(set(net.statuses(i).values()) == ALIVE for i in IDS)


def test_leaving_told_to_one_peer_only_reaches_all_within_the_bound():
    net = Net(IDS)
    net.rounds(10)
    message = net.view_by_id["i03"].leave()
    net.send("i03", "i07", message)
    net.kill("i03")
    net.rounds(LEAVING_BOUND_ROUNDS)
    assert MemberStatus.ALIVE not in net.statuses("i03").values()


def test_restarted_instance_replaces_its_old_incarnation():
    net = Net(IDS)
    net.rounds(10)
    net.kill("i03")
    net.rounds(30)
    again = net.start("i03", incarnation=2)
    net.send("i03", "i00", again.message_for("i00", True))
    net.rounds(12)
    assert set(net.statuses("i03").values()) == ALIVE


def test_message_is_bounded_at_the_size_of_the_target():
    net = Net(["own"])
    view = net.view_by_id["own"]
    for number in range(4_199):
        net.start(f"i{number}", services=(f"s{number % 500}",))
    view.merge(net.view_by_id[f"i{number}"].own for number in range(4_199))
    for _ in range(500):
        view.message_for("i7", False)  # news of the joins is told first
    for send in view.gossip_round():
        assert len(send.message.records) <= 46
