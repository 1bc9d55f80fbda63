"""Requests that crash their upstream, at gates that hear one another."""

from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.admission import quarantine
from chicorychute.admission.quarantine import Quarantine, Ruling, fingerprint
from chicorychute.core.clock import ManualClock


class FakeFleet:
    """Gates with one upstream each; notices reach every gate at once."""

    def __init__(self, count, culprits):
        self.clock = ManualClock()
        self.culprits = culprits
        self.gates = [Quarantine(f"i{n}", 1, self.clock) for n in range(count)]
        self.running = [{} for _ in range(count)]
        self.alone = [False] * count
        self.lost_to = {culprit: set() for culprit in culprits}
        self.losses = dict.fromkeys(culprits, 0)

    def start(self, gate, request):
        ruling = self.gates[gate].rule(request)
        if ruling in (Ruling.REFUSED, Ruling.ELSEWHERE):
            return ruling
        if self.alone[gate] or (ruling is Ruling.ALONE and self.running[gate]):
            return None
        number = self.gates[gate].started("u", request)
        self.running[gate][number] = request
        self.alone[gate] = ruling is Ruling.ALONE
        return ruling

    def finish(self, gate):
        """End what runs at a gate: a culprit crashes it."""
        running, self.running[gate] = self.running[gate], {}
        self.alone[gate] = False
        guilty = [r for r in running.values() if r in self.culprits]
        for culprit in set(guilty):
            self.lost_to[culprit].add(gate)
            self.losses[culprit] += 1
        for number in running:
            if guilty:
                self.tell(self.gates[gate].crashed("u", number))
            self.gates[gate].ended("u", number, answered=not guilty)

    def tell(self, notices):
        for notice in notices:
            for gate in self.gates:
                gate.on_notice(notice)


def test_request_that_crashes_two_instances_is_refused_on_a_third():
    fleet = FakeFleet(3, {"x"})
    for gate in (0, 1):
        fleet.start(gate, "x")
        fleet.finish(gate)
    assert [gate.rule("x") for gate in fleet.gates] == [Ruling.REFUSED] * 3


def test_request_in_flight_beside_it_is_free_again_once_the_cause_is_known():
    fleet = FakeFleet(3, {"x"})
    for request in ("x", "a", "b"):
        fleet.start(0, request)
    fleet.finish(0)
    assert fleet.gates[1].rule("a") is Ruling.ALONE
    fleet.start(1, "x")
    fleet.finish(1)
    assert fleet.gates[2].rule("x") is Ruling.REFUSED
    assert [gate.rule("a") for gate in fleet.gates] == [Ruling.FREE] * 3


def test_request_whose_connection_broke_before_the_crash_was_seen_is_a_suspect():
    gate = Quarantine("i0", 1, ManualClock())
    first, second = gate.started("u", "x"), gate.started("u", "a")
    gate.ended("u", first, answered=False)
    notices = gate.crashed("u", second)
    assert {notice.fingerprint for notice in notices} == {"x", "a"}


def test_suspect_that_is_answered_is_cleared_and_stays_so():
    fleet = FakeFleet(2, {"x"})
    fleet.start(0, "x")
    fleet.start(0, "a")
    fleet.finish(0)
    fleet.start(1, "a")
    fleet.finish(1)
    fleet.tell(fleet.gates[0].notices())
    assert fleet.gates[1].rule("a") is Ruling.FREE


def test_two_suspects_of_two_crashes_run_only_where_nothing_more_is_lost():
    clock = ManualClock()
    gates = [Quarantine(f"i{n}", 1, clock) for n in range(3)]
    notices = []
    for gate in gates[:2]:
        numbers = [gate.started("u", request) for request in ("x", "a")]
        notices += gate.crashed("u", numbers[0])
        assert gate.crashed("u", numbers[1]) == ()
    for gate in gates:
        for notice in notices:
            gate.on_notice(notice)
    assert [gate.rule("a") for gate in gates[:2]] == [Ruling.ALONE] * 2
    assert gates[2].rule("a") is Ruling.ELSEWHERE
    number = gates[0].started("u", "x")
    for notice in gates[0].crashed("u", number):
        gates[2].on_notice(notice)
    assert gates[2].rule("x") is Ruling.REFUSED
    assert gates[2].rule("a") is Ruling.FREE


def test_record_expires():
    fleet = FakeFleet(2, {"x"})
    for gate in (0, 1):
        fleet.start(gate, "x")
        fleet.finish(gate)
    fleet.clock.advance(quarantine.QUARANTINE_S)
    assert fleet.gates[0].rule("x") is Ruling.FREE


def test_memory_is_bounded():
    gate = Quarantine("i0", 1, ManualClock())
    for number in range(2 * quarantine.SUSPECT_LIMIT):
        gate.crashed("u", gate.started("u", f"f{number}"))
    assert len(gate) == quarantine.SUSPECT_LIMIT


def test_fingerprint_tells_bodies_and_targets_apart():
    base = ("orders", "POST", "/orders", b"{}")
    same = fingerprint(*base)
    assert same == fingerprint(*base)
    for changed in (
        ("stock", "POST", "/orders", b"{}"),
        ("orders", "PUT", "/orders", b"{}"),
        ("orders", "POST", "/orders?x=1", b"{}"),
        ("orders", "POST", "/orders", b"{ }"),
    ):
        assert fingerprint(*changed) != same


GATES = 4
FINISH = ""
STEPS = st.lists(
    st.tuples(
        st.integers(0, GATES - 1),
        st.sampled_from(["x", "y", "a", "b", FINISH, FINISH, FINISH]),
    ),
    min_size=40,
    max_size=80,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STEPS)
def test_at_most_two_instances_are_lost_and_no_innocent_is_refused(steps):
    fleet = FakeFleet(GATES, {"x", "y"})
    for gate, request in steps:
        if request == FINISH:
            fleet.finish(gate)
            continue
        beside = any(r in fleet.culprits for r in fleet.running[gate].values())
        if request in fleet.culprits and (beside or _runs(fleet, request)):
            continue  # its caller sends it again only after it failed
        ruling = fleet.start(gate, request)
        if ruling is Ruling.ELSEWHERE:
            rulings = {gate.rule(request) for gate in fleet.gates}
            assert Ruling.ALONE in rulings
        assert request in fleet.culprits or ruling is not Ruling.REFUSED
    assert all(len(lost) <= 2 for lost in fleet.lost_to.values())
    assert all(losses <= 2 for losses in fleet.losses.values())


def _runs(fleet, request):
    return any(request in running.values() for running in fleet.running)
