"""Two faults at the same time, each pair with its stated outcome.

Guards against a combination of a partition, freeze, kill, leave, restart or table
change that leaves an instance with an old table or with a wrong status.
"""

import pytest

from chicorychute.core.messages import MemberStatus
from chicorychute.table.versions import content_hash
from standins.demo import make_table
from tests.membership.network import ROUND_S, TableNetwork

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
    net = TableNetwork(IDS)
    for instance in IDS:
        net.versions_by_id[instance].offer(1, OLD)
    net.rounds(10)
    return net


def partition(net):
    net.block_paths(LEFT, RIGHT)
    net.block_paths(RIGHT, LEFT)


def test_one_way_partition_and_table_change(net):
    net.block_paths(LEFT, RIGHT)
    net.accept_table("i00", 2, NEW)
    net.rounds(IN_FORCE_ROUNDS)
    assert {net.table_key(i) for i in LEFT} == {key(2, NEW)}
    net.blocked_paths.clear()
    net.rounds(IN_FORCE_ROUNDS)
    assert net.table_keys() == {key(2, NEW)}


def test_third_of_the_paths_blocked_and_table_change(net):
    pairs = [(a, b) for a in IDS for b in IDS if a != b]
    net.blocked_paths |= set(net.rng.sample(pairs, len(pairs) // 3))
    net.accept_table("i00", 2, NEW)
    net.rounds(IN_FORCE_ROUNDS)
    assert net.table_keys() == {key(2, NEW)}


def test_freeze_and_table_change(net):
    net.frozen.add("i03")
    net.accept_table("i00", 2, NEW)
    net.rounds(40)
    assert net.table_key("i03") == key(1, OLD)
    net.frozen.clear()
    net.rounds(IN_FORCE_ROUNDS)
    assert net.table_keys() == {key(2, NEW)}


def test_reader_killed_once_it_accepts_the_change(net):
    net.accept_table("i00", 2, NEW)
    net.kill("i00")
    net.rounds(IN_FORCE_ROUNDS)
    assert net.table_keys() == {key(2, NEW)}


def test_leave_and_crash_of_the_only_peer_notified(net):
    message = net.view_by_id["i03"].leave()
    net.send("i03", "i07", message)
    net.kill("i07")
    net.kill("i03")
    net.rounds(40)
    assert set(net.statuses("i03").values()) == {MemberStatus.DEAD}
    assert set(net.statuses("i07").values()) == {MemberStatus.DEAD}


def test_store_down_and_restart_of_half_the_fleet(net):
    net.accept_table("i00", 2, NEW)
    net.rounds(IN_FORCE_ROUNDS)
    for instance in RIGHT:
        net.kill(instance)
    net.rounds(4)
    for instance in RIGHT:
        view = net.start(instance, incarnation=2)
        net.send(instance, "i00", view.message_for("i00", True))
    net.rounds(IN_FORCE_ROUNDS)
    assert net.table_keys() == {key(2, NEW)}
    assert all(set(net.statuses(i).values()) == ALIVE for i in IDS)


def test_partition_and_two_contents_under_one_version(net):
    partition(net)
    net.accept_table("i00", 2, NEW)
    net.accept_table("i17", 2, OTHER)
    net.rounds(40)
    assert net.table_keys() == {key(2, NEW), key(2, OTHER)}
    net.blocked_paths.clear()
    net.rounds(HEAL_ROUNDS)
    assert net.table_keys() == {max(key(2, NEW), key(2, OTHER))}
    conflicts = [net.versions_by_id[instance].conflict_count for instance in IDS]
    assert any(conflicts)


def test_partition_and_replacement_on_one_side(net):
    partition(net)
    net.rounds(40)
    net.kill("i17")
    net.start("i17", incarnation=2)
    replacement = net.view_by_id["i17"]
    net.send("i17", "i16", replacement.message_for("i16", True))
    net.rounds(20)
    net.blocked_paths.clear()
    net.rounds(HEAL_ROUNDS)
    assert all(set(net.statuses(i).values()) == ALIVE for i in IDS)
    assert {v.record_of("i17").incarnation for v in net.view_by_id.values()} == {2}


def test_freeze_and_partition_leave_no_suspects_after_both_end(net):
    partition(net)
    net.frozen.add("i03")
    net.rounds(40)
    net.frozen.clear()
    net.blocked_paths.clear()
    net.rounds(HEAL_ROUNDS)
    assert all(set(net.recorded_statuses(i).values()) == ALIVE for i in IDS)


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
