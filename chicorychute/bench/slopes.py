"""Processor time of one decision, and how it grows with the size of the fleet.

Times differ from machine to machine, so that the figures to compare are ratios
within one run: to a fixed piece of work, and of a large size to a small one.
"""

import random
import time
from collections.abc import Callable

import attrs

from chicorychute.admission.queue import RankPolicy, Ticket, UpstreamQueue
from chicorychute.bench.cost import RANKS, make_digest, make_record, make_rows
from chicorychute.bench.figures import Figure
from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import Gossip
from chicorychute.health.evidence import Observation, Result
from chicorychute.health.judge import UpstreamJudge
from chicorychute.membership.view import MembershipView
from chicorychute.routing.candidates import Candidate, Distance, eligible
from chicorychute.routing.choice import choose
from chicorychute.table.versions import TableVersions
from chicorychute.transport.codec import decode, encode

REPEATS = 5
CALIBRATION_STEPS = 2_000
MICROSECONDS = 1e6
GROWTH_RATIO = 1.6  # to an earlier growth up to which one counts as no worse
COST_RATIO = 2.0  # the same for a cost in units of the fixed work
SUSPECT_AFTER_S = 3.0
FAR_DEADLINE_S = 1e6
SLOTS = 4

Work = Callable[[], object]


@attrs.frozen
class Slope:
    """A decision, what it grows with, and the two sizes to compare.

    Attributes
    ----------
    make : callable
        Returns the work of one size, which decides `count` times.
    """

    decision: str
    by: str
    small: int
    large: int
    count: int
    make: Callable[[int, int], Work]


def measure_slopes() -> list[Figure]:
    """Return the cost of each decision at its small size, and its growth."""
    unit_s = _cost_s(_calibrate)
    figures = []
    for slope in SLOPES:
        small_s = _cost_s(slope.make(slope.small, slope.count)) / slope.count
        large_s = _cost_s(slope.make(slope.large, slope.count)) / slope.count
        prefix = f"slopes | {slope.decision}"
        at = f"at {slope.small} {slope.by}"
        times = f"at {slope.large // slope.small} times the {slope.by}"
        no_limit = float("inf")
        figures += [
            Figure(f"{prefix} {at}", small_s * MICROSECONDS, "us", allowed=no_limit),
            Figure(
                f"{prefix} {at} to {CALIBRATION_STEPS} plain steps",
                small_s / unit_s,
                "times",
                allowed=COST_RATIO,
            ),
            Figure(
                f"{prefix} {times}", large_s / small_s, "times", allowed=GROWTH_RATIO
            ),
        ]
    return figures


def _cost_s(work: Work) -> float:
    """Return the processor time of a piece of work, the least of some runs."""
    costs = []
    for _ in range(REPEATS):
        start_s = time.process_time()
        work()
        costs.append(time.process_time() - start_s)
    return min(costs)


def _calibrate() -> int:
    total = 0
    for index in range(CALIBRATION_STEPS):
        total += index % 7
    return total


def _queue(waiting: int, count: int) -> Work:
    """Admit and release requests while others wait."""
    clock = ManualClock()
    policies = tuple(RankPolicy(rank, i, 0.3) for i, rank in enumerate(RANKS, 1))
    queue = UpstreamQueue(SLOTS, policies, clock)
    running = []
    for index in range(SLOTS + waiting):
        ticket = Ticket(RANKS[index % len(RANKS)], FAR_DEADLINE_S)
        if index < SLOTS:
            running.append(ticket)
        queue.submit(ticket)

    def work() -> None:
        for index in range(count):
            queue.submit(Ticket(RANKS[index % len(RANKS)], FAR_DEADLINE_S))
            clock.advance(0.001)
            decisions = queue.release(running.pop(0))
            running.extend(decision.ticket for decision in decisions)

    return work


def _choice(upstreams: int, count: int) -> Work:
    """Choose a gate under the floor."""
    rng = random.Random(1)
    candidates = [
        Candidate(str(index), make_digest(index), Distance.SAME_ZONE)
        for index in range(upstreams)
    ]

    def work() -> None:
        for _ in range(count):
            choose(eligible(candidates, 0.5, rng.random()), {}, frozenset(), rng)

    return work


def _gossip(instances: int, count: int) -> Work:
    """Read, merge and answer a gossip message of a peer that has news."""
    clock = ManualClock()
    view = _view(instances, clock)
    records = [make_record(index) for index in range(1, instances)]
    frames = []
    for number in range(count * REPEATS):
        known = records[number % len(records)]
        changed = attrs.evolve(known, heartbeat=known.heartbeat + number + 1)
        frames.append(encode(Gossip(known.instance, True, (changed,))))
    left = iter(frames)

    def work() -> None:
        for _ in range(count):
            for send in view.on_gossip(decode(next(left))):
                encode(send.message)

    return work


def _view(instances: int, clock: ManualClock) -> MembershipView:
    view = MembershipView(make_record(0), SUSPECT_AFTER_S, clock, random.Random(1))
    view.merge(make_record(index) for index in range(1, instances))
    while view.pending_update_count:
        view.message_for("", False)
    return view


def _change(rows: int, count: int) -> Work:
    """Take a relayed table and make its announcement."""
    text = make_rows(rows)
    versions = TableVersions(ManualClock())
    numbers = iter(range(1, count * REPEATS + 1))

    def work() -> None:
        for _ in range(count):
            versions.offer(next(numbers), text)
            encode(versions.announce())

    return work


def _judge(peers: int, count: int) -> Work:
    """Judge one result, with the peers' digests taken every tenth."""
    clock = ManualClock()
    judge = UpstreamJudge(clock)
    digests = [make_digest(index) for index in range(peers)]
    rng = random.Random(1)
    seen = [
        Observation(rng.choice(RANKS), Result.OK, rng.lognormvariate(-4, 1), 100)
        for _ in range(count)
    ]

    def work() -> None:
        for index, observation in enumerate(seen):
            if index % 10 == 0:
                judge.update_peers(digests)
            judge.observe(observation, judge.begin(observation.rank))
            clock.advance(0.05)

    return work


SLOPES = (
    Slope("request at the gate", "waiting requests", 12, 240, 1000, _queue),
    Slope("request at the entry", "upstreams", 12, 48, 200, _choice),
    Slope("gossip message", "instances", 24, 384, 100, _gossip),
    Slope("relayed change", "rows", 36, 288, 3, _change),
    Slope("judged result", "peers", 12, 48, 500, _judge),
)
