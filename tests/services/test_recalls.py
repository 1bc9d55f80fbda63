"""Recalls of requests whose messages are lost, on complete daemons step by step.

Messages between an entry and a gate are lost in one or both directions, while the link
stays open, or the link breaks. Each request must still end, and an order must run once
at most.
"""

import pytest
import structlog

from chicorychute.core.messages import Forward, Recall
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Answer, Refused
from chicorychute.routing.candidates import Candidate, Distance
from chicorychute.routing.recall import RecallRegistry
from chicorychute.services import entry, exchanges
from chicorychute.services.peers import PeerService
from tests.services.interleaved import HOSTS, QUEUE_MODULE, World

ROUNDS = 12
ROUND_S = 0.05
RESUME_LIMIT = 20


@pytest.fixture
def world(monkeypatch):
    for module in (entry, exchanges):
        monkeypatch.setattr(module, "queue", QUEUE_MODULE)
    with structlog.testing.capture_logs():
        simulated = World()
        # An entry without local upstreams, which knows both gates.
        simulated.daemon("x").candidates = lambda service: [
            Candidate(
                name, simulated.daemon(name).gate.digests()[0], Distance.SAME_ZONE
            )
            for name in HOSTS
        ]
        yield simulated


def run_until_idle(world, blocked=()):
    """Deliver every message that is not on a blocked path, and run every thread."""
    while True:
        deliverable = [
            link_end
            for pair, link_end in world._link_end_by_pair.items()
            if link_end.in_transit and pair not in blocked
        ]
        if deliverable:
            deliverable[0].receiver.receive(
                deliverable[0].opposite, deliverable[0].in_transit.popleft()
            )
        elif world.scheduler.ready():
            world.resume(0)
        else:
            return


def pass_time(world, blocked=(), rounds=ROUNDS):
    for _ in range(rounds):
        world.clock.advance(ROUND_S)
        for daemon in world.daemon_by_name.values():
            daemon.recalls.tick()
        run_until_idle(world, blocked)


def send_order(world):
    """Send an order through x; return the gate that it was sent to."""
    world.start_order(0)
    for _ in range(RESUME_LIMIT):
        world.resume(0)
        for (own_name, peer_name), link_end in world._link_end_by_pair.items():
            if own_name == "x" and any(
                isinstance(m, Forward) for m in link_end.in_transit
            ):
                return peer_name
    raise AssertionError("the order was not sent")


def connect_upstream(world, blocked=()):
    world.connect(0)
    run_until_idle(world, blocked)


def answer_and_run(world, blocked=()):
    world.answer(0)  # 200
    run_until_idle(world, blocked)


def test_order_that_never_arrived_is_revoked_and_runs_elsewhere(world):
    gate = send_order(world)
    blocked = {("x", gate)}
    pass_time(world, blocked)
    connect_upstream(world, blocked)
    answer_and_run(world, blocked)
    assert isinstance(world.replies["/o/0"], Answer)
    run_until_idle(world)  # the path is open again, and the delayed order arrives
    connect_upstream(world)
    assert world.reached["/o/0"] == 1


def test_order_runs_twice_without_the_revocation(world, monkeypatch):
    register = RecallRegistry.register
    monkeypatch.setattr(
        RecallRegistry, "register", lambda *args: register(*args) or True
    )
    gate = send_order(world)
    blocked = {("x", gate)}
    pass_time(world, blocked)
    connect_upstream(world, blocked)
    answer_and_run(world, blocked)
    run_until_idle(world)
    connect_upstream(world)
    assert world.reached["/o/0"] == 2
    assert world.violation == "an order ran twice"


@pytest.mark.parametrize("when", ["ended before", "ends after"])
def test_answer_lost_on_the_return_path_is_recalled(world, when):
    gate = send_order(world)
    blocked = {(gate, "x")}
    run_until_idle(world, blocked)
    connect_upstream(world, blocked)
    if when == "ended before":
        answer_and_run(world, blocked)
    pass_time(world, blocked)
    if when == "ends after":
        assert not world.replies
        answer_and_run(world, blocked)
    assert world.replies["/o/0"].status == 200
    assert world.reached["/o/0"] == 1


def test_order_whose_link_is_lost_is_recalled_from_its_gate(world):
    gate = send_order(world)
    run_until_idle(world)
    connect_upstream(world)
    pairs = list(world._link_end_by_pair)
    world.lose_link(pairs.index(("x", gate)))
    run_until_idle(world)
    assert not world.replies
    pass_time(world)
    answer_and_run(world)
    assert world.replies["/o/0"].status == 200


def test_lookup_whose_link_is_lost_is_sent_elsewhere_at_once(world):
    world.start_lookup(0)
    run_until_idle(world)
    connect_upstream(world)
    (gate,) = [u.removeprefix("u-") for u, n in world.busy.items() if n]
    world.lose_link(list(world._link_end_by_pair).index(("x", gate)))
    run_until_idle(world)
    connect_upstream(world)
    assert world.reached["/l/0"] == 2


def test_replaced_gate_never_reports_not_run(world):
    class Link:
        def __init__(self):
            self.sent = []

        def send(self, message):
            self.sent.append(message)

    peers = PeerService(None, world.clock, None, lambda: None, incarnation=2)
    link = Link()
    peers.on_recall(link, Recall("g", 1, "x", 1, 5, 1000.0, "id"))
    (reply,) = link.sent
    assert reply.refusal.outcome is Outcome.UNKNOWN


def test_lookup_at_an_unreachable_gate_runs_elsewhere(world):
    world.start_lookup(0)
    for _ in range(RESUME_LIMIT):
        world.resume(0)
    (gate,) = [
        peer_name
        for (_, peer_name), link_end in world._link_end_by_pair.items()
        if link_end.in_transit
    ]
    blocked = {(a, b) for a in "xab" for b in "xab" if gate in (a, b)}
    pass_time(world, blocked, rounds=19)
    connect_upstream(world, blocked)
    answer_and_run(world, blocked)
    assert world.replies["/l/0"].status == 200


def test_order_at_an_unreachable_gate_ends_as_unknown(world):
    gate = send_order(world)
    blocked = {(a, b) for a in "xab" for b in "xab" if gate in (a, b)}
    for _ in range(3):
        pass_time(world, blocked)
    assert world.replies["/o/0"] == Refused(
        Outcome.UNKNOWN, Reason.DEADLINE, "no answer in time"
    )
