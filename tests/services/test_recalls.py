"""Requests whose link goes dark end by another way: whole daemons, chosen steps."""

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
STEPS = 20


@pytest.fixture
def world(monkeypatch):
    for module in (entry, exchanges):
        monkeypatch.setattr(module, "queue", QUEUE_MODULE)
    with structlog.testing.capture_logs():
        played = World()
        # An entry without upstreams of its own, which knows both gates.
        played.daemon("x").candidates = lambda service: [
            Candidate(name, played.daemon(name).gate.digests()[0], Distance.SAME_ZONE)
            for name in HOSTS
        ]
        yield played


def go_on(world, dark=()):
    """Let everything go on that can, but what is on a dark way."""
    while True:
        moving = [
            end
            for pair, end in world._end_by_pair.items()
            if end.sent and pair not in dark
        ]
        if moving:
            moving[0].receiver.take(moving[0].other, moving[0].sent.popleft())
        elif world.stage.ready():
            world.resume(0)
        else:
            return


def pass_time(world, dark=(), rounds=ROUNDS):
    for _ in range(rounds):
        world.clock.advance(ROUND_S)
        for daemon in world.daemon_by_name.values():
            daemon.recalls.tick()
        go_on(world, dark)


def order(world):
    """Send an order through x; return the gate that it was sent to."""
    world.place_order(0)
    for _ in range(STEPS):
        world.resume(0)
        for (near, far), end in world._end_by_pair.items():
            if near == "x" and any(isinstance(m, Forward) for m in end.sent):
                return far
    raise AssertionError("the order was not sent")


def run_at_its_upstream(world, dark=()):
    world.connect(0)
    go_on(world, dark)


def answer(world, dark=()):
    world.answer(0)  # 200
    go_on(world, dark)


def test_an_order_that_never_came_is_revoked_and_runs_elsewhere(world):
    gate = order(world)
    dark = {("x", gate)}
    pass_time(world, dark)
    run_at_its_upstream(world, dark)
    answer(world, dark)
    assert isinstance(world.replies["/o/0"], Answer)
    go_on(world)  # the way is open again, and the order comes at last
    run_at_its_upstream(world)
    assert world.reached["/o/0"] == 1


def test_without_the_revocation_it_would_run_twice(world, monkeypatch):
    came = RecallRegistry.register
    monkeypatch.setattr(RecallRegistry, "register", lambda *args: came(*args) or True)
    gate = order(world)
    dark = {("x", gate)}
    pass_time(world, dark)
    run_at_its_upstream(world, dark)
    answer(world, dark)
    go_on(world)
    run_at_its_upstream(world)
    assert world.reached["/o/0"] == 2
    assert world.fault == "an order ran twice"


@pytest.mark.parametrize("when", ["ended before", "ends after"])
def test_an_answer_that_is_lost_on_its_way_back_comes_through_another(world, when):
    gate = order(world)
    dark = {(gate, "x")}
    go_on(world, dark)
    run_at_its_upstream(world, dark)
    if when == "ended before":
        answer(world, dark)
    pass_time(world, dark)
    if when == "ends after":
        assert not world.replies
        answer(world, dark)
    assert world.replies["/o/0"].status == 200
    assert world.reached["/o/0"] == 1


def test_an_order_whose_link_breaks_is_recalled_from_its_gate(world):
    gate = order(world)
    go_on(world)
    run_at_its_upstream(world)
    pairs = list(world._end_by_pair)
    world.cut(pairs.index(("x", gate)))
    go_on(world)
    assert not world.replies
    pass_time(world)
    answer(world)
    assert world.replies["/o/0"].status == 200


def test_a_lookup_whose_link_breaks_is_sent_elsewhere_at_once(world):
    world.place_lookup(0)
    go_on(world)
    run_at_its_upstream(world)
    (gate,) = [u.removeprefix("u-") for u, n in world.busy.items() if n]
    world.cut(list(world._end_by_pair).index(("x", gate)))
    go_on(world)
    run_at_its_upstream(world)
    assert world.reached["/l/0"] == 2


def test_a_gate_that_was_replaced_never_tells_not_run(world):
    class Link:
        def __init__(self):
            self.sent = []

        def send(self, message):
            self.sent.append(message)

    peers = PeerService(None, world.clock, None, lambda: None, incarnation=2)
    link = Link()
    peers.on_recall(link, Recall("g", 1, "x", 1, 5, 1000.0, "id"))
    (told,) = link.sent
    assert told.refusal.outcome is Outcome.UNKNOWN


def test_a_gate_that_is_dark_both_ways_holds_up_a_lookup_no_longer(world):
    world.place_lookup(0)
    for _ in range(STEPS):
        world.resume(0)
    (gate,) = [far for (_, far), end in world._end_by_pair.items() if end.sent]
    dark = {(a, b) for a in "xab" for b in "xab" if gate in (a, b)}
    pass_time(world, dark, rounds=19)
    run_at_its_upstream(world, dark)
    answer(world, dark)
    assert world.replies["/l/0"].status == 200


def test_an_order_at_a_gate_that_is_dark_both_ways_ends_as_unknown(world):
    gate = order(world)
    dark = {(a, b) for a in "xab" for b in "xab" if gate in (a, b)}
    for _ in range(3):
        pass_time(world, dark)
    assert world.replies["/o/0"] == Refused(
        Outcome.UNKNOWN, Reason.DEADLINE, "no answer in time"
    )
