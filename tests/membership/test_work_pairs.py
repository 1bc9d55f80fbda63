"""Two faults at the same time: a flood of one rank or a bad request, and another one.

Guards against orders that are not served during a flood, work for a dead or leaving
instance, a poison request that crashes more upstreams than allowed, harmless requests
refused instead of it, and a restart that brings an older table into force.
"""

import pytest

from chicorychute.admission.quarantine import Quarantine, QuarantineDecision
from chicorychute.core.messages import MemberStatus, QuarantineNotice
from chicorychute.membership.view import Send
from chicorychute.table.versions import content_hash
from standins.demo import make_table
from tests.membership.network import ROUND_S, Network, TableNetwork
from tests.membership.work import WorkNetwork

IDS = [f"i{number:02}" for number in range(12)]
ALIVE = {MemberStatus.ALIVE}
# Requests per step at each entry; a rate of 2.0 occupies all slots.
ORDER_RATE, FLOOD_RATE = 0.5, 6.0
NORMAL_ROUNDS, FAULT_ROUNDS = 10, 20
# The orders alone need a quarter of the slots.
MIN_ANSWERED_ORDERS_FRACTION = 0.98
NO_NEW_WORK_ROUNDS = int(3 / ROUND_S)


@pytest.fixture
def net():
    net = WorkNetwork(IDS)
    net.run_work(NORMAL_ROUNDS, ORDER_RATE)
    return net


def assert_orders_are_served(net):
    assert net.answered_fraction("order") >= MIN_ANSWERED_ORDERS_FRACTION
    assert (
        net.outcome_counts["bulk", "refused"] > net.outcome_counts["order", "refused"]
    )


def test_path_blocked_one_way_and_flood(net):
    net.block_paths(["i03"], ["i04"])
    for _ in range(FAULT_ROUNDS):
        net.run_work(1, ORDER_RATE, FLOOD_RATE)
        for instance in IDS:
            assert set(net.recorded_statuses(instance).values()) == ALIVE
    net.run_work(NORMAL_ROUNDS, ORDER_RATE, FLOOD_RATE)
    assert net.view_by_id["i03"].status_of("i04") is MemberStatus.SUSPECT
    assert net.sent_count_by_id["i04"] > 0
    assert_orders_are_served(net)


def test_freeze_and_flood(net):
    net.frozen.add("i03")
    net.run_work(FAULT_ROUNDS, ORDER_RATE, FLOOD_RATE)
    assert set(net.statuses("i03").values()) == {MemberStatus.DEAD}
    net.run_work(NORMAL_ROUNDS, ORDER_RATE, FLOOD_RATE)
    assert net.sent_count_by_id["i03"] == 0
    assert_orders_are_served(net)
    net.frozen.clear()
    net.run_work(NORMAL_ROUNDS, ORDER_RATE, FLOOD_RATE)
    assert all(set(net.recorded_statuses(i).values()) == ALIVE for i in IDS)
    assert net.sent_count_by_id["i03"] > 0


def test_zone_lost_and_flood(net):
    lost = [i for i in IDS if net.view_by_id[i].own.zone == "z1"]
    for instance in lost:
        net.kill(instance)
    net.run_work(FAULT_ROUNDS, ORDER_RATE, FLOOD_RATE)
    net.run_work(NORMAL_ROUNDS, ORDER_RATE, FLOOD_RATE)
    assert not any(net.sent_count_by_id[instance] for instance in lost)
    assert_orders_are_served(net)


def test_leaving_and_crash(net):
    message = net.view_by_id["i03"].leave()
    net.send("i03", "i07", message)
    net.kill("i07")
    net.run_work(NO_NEW_WORK_ROUNDS, ORDER_RATE, FLOOD_RATE)
    net.run_work(NORMAL_ROUNDS, ORDER_RATE, FLOOD_RATE)
    assert net.sent_count_by_id["i03"] == 0
    assert_orders_are_served(net)


POISON = "poison"
# One crash with other requests in flight, and at most two where it runs alone.
MAX_CRASHES = 3


class CrashNetwork(Network):
    """Views whose instances decide on requests by the crashes reported to them."""

    def __init__(self, ids):
        self.quarantine_by_id = {}
        self.crashes = 0
        self.answered = set()
        super().__init__(ids)

    def start(self, instance, **options):
        self.quarantine_by_id[instance] = Quarantine(instance, 1, self.clock)
        return super().start(instance, **options)

    def receive(self, sender, receiver, message):
        if isinstance(message, QuarantineNotice):
            self.quarantine_by_id[receiver].on_notice(message)
            return ()
        return super().receive(sender, receiver, message)

    def resend_notices(self):
        """Send each instance's notices to another one, which may have missed some."""
        for instance, quarantine in self.quarantine_by_id.items():
            other = self.rng.choice([i for i in IDS if i != instance])
            sends = [Send(other, notice) for notice in quarantine.notices()]
            self._deliver(instance, sends)

    def run_requests(self, gate, requests, lost=()):
        """Run at the same time, at a gate, the requests that its quarantine allows."""
        quarantine = self.quarantine_by_id[gate]
        free = [r for r in requests if quarantine.decide(r) is QuarantineDecision.FREE]
        alone = [
            [r] for r in requests if quarantine.decide(r) is QuarantineDecision.ALONE
        ]
        for group in [free, *alone]:
            number_by_request = {r: quarantine.record_start(gate, r) for r in group}
            if POISON in group:
                self._crash(gate, number_by_request[POISON])
                continue
            for request, number in number_by_request.items():
                quarantine.record_end(gate, number, request not in lost)
                if request not in lost:
                    self.answered.add(request)
        self.clock.advance(0.1)

    def _crash(self, gate, number):
        self.crashes += 1
        for notice in self.quarantine_by_id[gate].record_crash(gate, number):
            sends = [Send(other, notice) for other in IDS if other != gate]
            self._deliver(gate, sends)


def test_poison_request_and_gray_instance():
    net = CrashNetwork(IDS)
    # Notices of i05 reach half of the others only when instances resend them.
    net.block_paths(["i05"], IDS[6:])
    previously_lost = []
    for number in range(40):
        gate = IDS[(number * 5) % len(IDS)]
        harmless = [f"r{number}-{n}" for n in range(3)]
        # The gray instance loses one of three requests.
        net.run_requests("i03", harmless, lost=harmless[:1])
        net.run_requests(gate, [POISON, *harmless[:1], *previously_lost])
        previously_lost = harmless[:1]
        net.resend_notices()
    assert net.crashes <= MAX_CRASHES
    for quarantine in net.quarantine_by_id.values():
        assert quarantine.decide(POISON) is QuarantineDecision.REFUSED
    others = {f"r{number}-{n}" for number in range(39) for n in range(3)}
    for quarantine in net.quarantine_by_id.values():
        assert all(
            quarantine.decide(r) is not QuarantineDecision.REFUSED for r in others
        )
    assert others <= net.answered


def test_store_down_and_restart_of_a_region():
    net = TableNetwork(IDS)
    for instance in IDS:
        net.versions_by_id[instance].offer(1, make_table(4000))
    net.rounds(NORMAL_ROUNDS)
    newest = make_table(5000)
    net.accept_table("i00", 2, newest)
    net.rounds(NORMAL_ROUNDS)
    region = IDS[6:]
    for instance in region:
        net.kill(instance)
    seen = set()
    # Each finds only one that was restarted before it, as after an outage.
    for instance in region:
        view = net.start(instance, incarnation=2)
        seed = "i00" if instance == region[0] else region[region.index(instance) - 1]
        net.send(instance, seed, view.message_for(seed, True))
    for _ in range(int(5 / ROUND_S)):
        net.rounds(1)
        seen |= {net.table_key(instance)[0] for instance in region}
    # An instance has no table yet, or the newest one, never an older one.
    assert seen <= {0, 2}
    assert net.table_keys() == {(2, content_hash(newest))}
    assert all(set(net.statuses(i).values()) == ALIVE for i in IDS)
