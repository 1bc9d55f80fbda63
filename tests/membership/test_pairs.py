"""Pairs of faults that come together, each with its stated outcome."""

import pytest

from chicorychute.core.messages import MemberStatus
from chicorychute.table.versions import content_hash
from standins.demo import make_table
from tests.membership.net import ROUND_S, TableNet

IDS = [f"i{number:02}" for number in range(18)]
LEFT, RIGHT = IDS[:9], IDS[9:]
OLD, NEW, OTHER = (make_table(deadline) for deadline in (4000, 5000, 6000))
IN_FORCE_ROUNDS = int(5 / ROUND_S)
HEAL_ROUNDS = 120
ALIVE = {MemberStatus.ALIVE}


def key(version, text):
    return version, content_hash(text)


@pytest.fixture
def net():
    net = TableNet(IDS)
    for instance in IDS:
        net.versions_by_id[instance].offer(1, OLD)
    net.rounds(10)
    return net


def split(net):
    net.cut(LEFT, RIGHT)
    net.cut(RIGHT, LEFT)


def test_one_way_cut_and_table_change(net):
    net.cut(LEFT, RIGHT)
    net.take("i00", 2, NEW)
    net.rounds(IN_FORCE_ROUNDS)
    assert {net.table_key(i) for i in LEFT} == {key(2, NEW)}
    net.cuts.clear()
    net.rounds(IN_FORCE_ROUNDS)
    assert net.keys() == {key(2, NEW)}


def test_cut_of_a_third_of_the_paths_and_table_change(net):
    pairs = [(a, b) for a in IDS for b in IDS if a != b]
    net.cuts |= set(net.rng.sample(pairs, len(pairs) // 3))
    net.take("i00", 2, NEW)
    net.rounds(IN_FORCE_ROUNDS)
    assert net.keys() == {key(2, NEW)}


def test_freeze_and_table_change(net):
    net.frozen.add("i03")
    net.take("i00", 2, NEW)
    net.rounds(40)
    assert net.table_key("i03") == key(1, OLD)
    net.frozen.clear()
    net.rounds(IN_FORCE_ROUNDS)
    assert net.keys() == {key(2, NEW)}


def test_reader_killed_as_it_takes_the_change(net):
    net.take("i00", 2, NEW)
    net.kill("i00")
    net.rounds(IN_FORCE_ROUNDS)
    assert net.keys() == {key(2, NEW)}


def test_leaving_and_crash_of_the_only_peer_that_was_told(net):
    message = net.view_by_id["i03"].leave()
    net.send("i03", "i07", message)
    net.kill("i07")
    net.kill("i03")
    net.rounds(40)
    assert set(net.statuses("i03").values()) == {MemberStatus.DEAD}
    assert set(net.statuses("i07").values()) == {MemberStatus.DEAD}


def test_store_down_and_restart_of_half_the_fleet(net):
    net.take("i00", 2, NEW)
    net.rounds(IN_FORCE_ROUNDS)
    for instance in RIGHT:
        net.kill(instance)
    net.rounds(4)
    for instance in RIGHT:
        view = net.start(instance, incarnation=2)
        net.send(instance, "i00", view.message_for("i00", True))
    net.rounds(IN_FORCE_ROUNDS)
    assert net.keys() == {key(2, NEW)}
    assert all(set(net.statuses(i).values()) == ALIVE for i in IDS)


def test_split_and_two_contents_under_one_version(net):
    split(net)
    net.take("i00", 2, NEW)
    net.take("i17", 2, OTHER)
    net.rounds(40)
    assert net.keys() == {key(2, NEW), key(2, OTHER)}
    net.cuts.clear()
    net.rounds(HEAL_ROUNDS)
    assert net.keys() == {max(key(2, NEW), key(2, OTHER))}
    conflicts = [net.versions_by_id[instance].conflicts for instance in IDS]
    assert any(conflicts)


def test_split_and_replacement_on_one_side(net):
    split(net)
    net.rounds(40)
    net.kill("i17")
    net.start("i17", incarnation=2)
    replaced = net.view_by_id["i17"]
    net.send("i17", "i16", replaced.message_for("i16", True))
    net.rounds(20)
    net.cuts.clear()
    net.rounds(HEAL_ROUNDS)
    assert all(set(net.statuses(i).values()) == ALIVE for i in IDS)
    assert {v.record_of("i17").incarnation for v in net.view_by_id.values()} == {2}


def test_freeze_and_split_accuse_nobody_after_both_end(net):
    split(net)
    net.frozen.add("i03")
    net.rounds(40)
    net.frozen.clear()
    net.cuts.clear()
    net.rounds(HEAL_ROUNDS)
    assert all(set(net.claims(i).values()) == ALIVE for i in IDS)


def test_two_frozen_at_once_and_a_leaving_one(net):
    net.frozen |= {"i03", "i04"}
    message = net.view_by_id["i05"].leave()
    net.send("i05", "i06", message)
    net.rounds(40)
    net.frozen.clear()
    net.rounds(40)
    assert set(net.statuses("i03").values()) == ALIVE
    assert set(net.statuses("i04").values()) == ALIVE
    assert set(net.statuses("i05").values()) == {MemberStatus.LEAVING}
