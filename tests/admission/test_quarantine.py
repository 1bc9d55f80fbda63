"""Requests that crash their upstream are refused after two crashes in the fleet.

Guards against a request that is retried until it has crashed every upstream, and
against the refusal of harmless requests that were in flight at the same crashes.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.admission import quarantine
from chicorychute.admission.quarantine import (
    Quarantine,
    QuarantineDecision,
    fingerprint,
)
from chicorychute.core.clock import ManualClock


class FakeFleet:
    """Gates with one upstream each; every gate receives every notice at once."""

    def __init__(self, count, culprits):
        self.clock = ManualClock()
        self.culprits = culprits
        self.gates = [Quarantine(f"i{n}", 1, self.clock) for n in range(count)]
        self.running = [{} for _ in range(count)]
        self.alone = [False] * count
        self.gates_lost_to = {culprit: set() for culprit in culprits}
        self.crash_count = dict.fromkeys(culprits, 0)

    def start(self, gate, request):
        decision = self.gates[gate].decide(request)
        if decision in (QuarantineDecision.REFUSED, QuarantineDecision.ELSEWHERE):
            return decision
        if self.alone[gate] or (
            decision is QuarantineDecision.ALONE and self.running[gate]
        ):
            return None
        number = self.gates[gate].record_start("u", request)
        self.running[gate][number] = request
        self.alone[gate] = decision is QuarantineDecision.ALONE
        return decision

    def finish(self, gate):
        """End all requests at a gate; a culprit among them crashes its upstream."""
        running, self.running[gate] = self.running[gate], {}
        self.alone[gate] = False
        running_culprits = [r for r in running.values() if r in self.culprits]
        for culprit in set(running_culprits):
            self.gates_lost_to[culprit].add(gate)
            self.crash_count[culprit] += 1
        for number in running:
            if running_culprits:
                self.broadcast(self.gates[gate].record_crash("u", number))
            self.gates[gate].record_end("u", number, answered=not running_culprits)

    def broadcast(self, notices):
        for notice in notices:
            for gate in self.gates:
                gate.on_notice(notice)


def test_request_that_crashes_two_instances_is_refused_on_a_third():
    fleet = FakeFleet(3, {"x"})
    for gate in (0, 1):
        fleet.start(gate, "x")
        fleet.finish(gate)
    assert [gate.decide("x") for gate in fleet.gates] == [
        QuarantineDecision.REFUSED
    ] * 3


def test_other_requests_in_flight_are_cleared_once_the_cause_is_confirmed():
    fleet = FakeFleet(3, {"x"})
    for request in ("x", "a", "b"):
        fleet.start(0, request)
    fleet.finish(0)
    assert fleet.gates[1].decide("a") is QuarantineDecision.ALONE
    fleet.start(1, "x")
    fleet.finish(1)
    assert fleet.gates[2].decide("x") is QuarantineDecision.REFUSED
    assert [gate.decide("a") for gate in fleet.gates] == [QuarantineDecision.FREE] * 3


def test_request_whose_connection_broke_before_the_crash_was_detected_is_a_suspect():
    gate = Quarantine("i0", 1, ManualClock())
    first, second = gate.record_start("u", "x"), gate.record_start("u", "a")
    gate.record_end("u", first, answered=False)
    notices = gate.record_crash("u", second)
    assert {notice.fingerprint for notice in notices} == {"x", "a"}


def test_suspect_that_is_answered_stays_cleared():
    fleet = FakeFleet(2, {"x"})
    fleet.start(0, "x")
    fleet.start(0, "a")
    fleet.finish(0)
    fleet.start(1, "a")
    fleet.finish(1)
    fleet.broadcast(fleet.gates[0].notices())
    assert fleet.gates[1].decide("a") is QuarantineDecision.FREE


def test_ambiguous_suspects_run_only_on_instances_that_crashed_already():
    clock = ManualClock()
    gates = [Quarantine(f"i{n}", 1, clock) for n in range(3)]
    notices = []
    for gate in gates[:2]:
        numbers = [gate.record_start("u", request) for request in ("x", "a")]
        notices += gate.record_crash("u", numbers[0])
        assert gate.record_crash("u", numbers[1]) == ()
    for gate in gates:
        for notice in notices:
            gate.on_notice(notice)
    assert [gate.decide("a") for gate in gates[:2]] == [QuarantineDecision.ALONE] * 2
    assert gates[2].decide("a") is QuarantineDecision.ELSEWHERE
    number = gates[0].record_start("u", "x")
    for notice in gates[0].record_crash("u", number):
        gates[2].on_notice(notice)
    assert gates[2].decide("x") is QuarantineDecision.REFUSED
    assert gates[2].decide("a") is QuarantineDecision.FREE


def test_record_expires():
    fleet = FakeFleet(2, {"x"})
    for gate in (0, 1):
        fleet.start(gate, "x")
        fleet.finish(gate)
    fleet.clock.advance(quarantine.QUARANTINE_S)
    assert fleet.gates[0].decide("x") is QuarantineDecision.FREE


def test_memory_is_bounded():
    gate = Quarantine("i0", 1, ManualClock())
    for number in range(2 * quarantine.SUSPECT_LIMIT):
        gate.record_crash("u", gate.record_start("u", f"f{number}"))
    assert len(gate) == quarantine.SUSPECT_LIMIT


def test_fingerprint_distinguishes_service_method_target_and_body():
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
def test_at_most_two_instances_crash_and_no_harmless_request_is_refused(steps):
    fleet = FakeFleet(GATES, {"x", "y"})
    for gate, request in steps:
        if request == FINISH:
            fleet.finish(gate)
            continue
        culprit_running = any(r in fleet.culprits for r in fleet.running[gate].values())
        if request in fleet.culprits and (
            culprit_running or _is_running(fleet, request)
        ):
            continue  # a caller repeats its request only after it has failed
        decision = fleet.start(gate, request)
        if decision is QuarantineDecision.ELSEWHERE:
            decisions = {gate.decide(request) for gate in fleet.gates}
            assert QuarantineDecision.ALONE in decisions
        assert request in fleet.culprits or decision is not QuarantineDecision.REFUSED
    assert all(len(lost_gates) <= 2 for lost_gates in fleet.gates_lost_to.values())
    assert all(crash_count <= 2 for crash_count in fleet.crash_count.values())


def _is_running(fleet, request):
    return any(request in running.values() for running in fleet.running)
