"""Processor time of one decision, and how it grows with the size of the fleet.

Times differ from machine to machine, so the figures that are compared are ratios
within one run: to a fixed calibration loop, and of a large size to a small one.
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

REPEAT_COUNT = 5
CALIBRATION_STEP_COUNT = 2_000
MICROSECONDS_PER_S = 1e6
# Ratio to an earlier growth up to which a growth does not count as worse.
ALLOWED_GROWTH_RATIO = 1.6
# The same for a cost in units of the calibration loop.
ALLOWED_COST_RATIO = 2.0
SUSPECT_AFTER_S = 3.0
FAR_DEADLINE_S = 1e6
SLOT_COUNT = 4

Work = Callable[[], object]


@attrs.frozen
class Slope:
    """A decision whose cost is compared at two sizes.

    Attributes
    ----------
    size_unit : str
        What the size counts, such as upstreams or rows.
    make_work : callable
        Takes a size and a number of decisions; returns the work that makes them.
    """

    decision: str
    size_unit: str
    small_size: int
    large_size: int
    decision_count: int
    make_work: Callable[[int, int], Work]


def measure_slopes() -> list[Figure]:
    """Return the cost of each decision at the small size, and its growth.

    The cost is given in microseconds and as a ratio to the calibration loop.
    """
    calibration_s = _cost_s(_run_calibration)
    figures = []
    for slope in SLOPES:
        small_s = (
            _cost_s(slope.make_work(slope.small_size, slope.decision_count))
            / slope.decision_count
        )
        large_s = (
            _cost_s(slope.make_work(slope.large_size, slope.decision_count))
            / slope.decision_count
        )
        prefix = f"slopes | {slope.decision}"
        size_label = f"at {slope.small_size} {slope.size_unit}"
        growth_label = (
            f"at {slope.large_size // slope.small_size} times the {slope.size_unit}"
        )
        no_limit = float("inf")
        figures += [
            Figure(
                f"{prefix} {size_label}",
                small_s * MICROSECONDS_PER_S,
                "us",
                allowed_ratio=no_limit,
            ),
            Figure(
                f"{prefix} {size_label} to {CALIBRATION_STEP_COUNT} plain steps",
                small_s / calibration_s,
                "times",
                allowed_ratio=ALLOWED_COST_RATIO,
            ),
            Figure(
                f"{prefix} {growth_label}",
                large_s / small_s,
                "times",
                allowed_ratio=ALLOWED_GROWTH_RATIO,
            ),
        ]
    return figures


def _cost_s(work: Work) -> float:
    """Return the processor time of some work, the minimum of `REPEAT_COUNT` runs."""
    costs = []
    for _ in range(REPEAT_COUNT):
        start_s = time.process_time()
        work()
        costs.append(time.process_time() - start_s)
    return min(costs)


def _run_calibration() -> int:
    total = 0
    for index in range(CALIBRATION_STEP_COUNT):
        total += index % 7
    return total


def _make_queue_work(waiting: int, decision_count: int) -> Work:
    """Return work that admits and releases requests while others wait."""
    clock = ManualClock()
    policies = tuple(
        RankPolicy(rank, priority, 0.3) for priority, rank in enumerate(RANKS, 1)
    )
    queue = UpstreamQueue(SLOT_COUNT, policies, clock)
    running = []
    for index in range(SLOT_COUNT + waiting):
        ticket = Ticket(RANKS[index % len(RANKS)], FAR_DEADLINE_S)
        if index < SLOT_COUNT:
            running.append(ticket)
        queue.submit(ticket)

    def work() -> None:
        for index in range(decision_count):
            queue.submit(Ticket(RANKS[index % len(RANKS)], FAR_DEADLINE_S))
            clock.advance(0.001)
            decisions = queue.release(running.pop(0))
            running.extend(decision.ticket for decision in decisions)

    return work


def _make_choice_work(upstreams: int, decision_count: int) -> Work:
    """Return work that applies the floor and chooses a gate."""
    rng = random.Random(1)
    candidates = [
        Candidate(str(index), make_digest(index), Distance.SAME_ZONE)
        for index in range(upstreams)
    ]

    def work() -> None:
        for _ in range(decision_count):
            choose(eligible(candidates, 0.5, rng.random()), {}, frozenset(), rng)

    return work


def _make_gossip_work(instances: int, decision_count: int) -> Work:
    """Return work that decodes, merges and answers gossip with a recent update."""
    clock = ManualClock()
    view = _make_view(instances, clock)
    records = [make_record(index) for index in range(1, instances)]
    frames = []
    for number in range(decision_count * REPEAT_COUNT):
        current = records[number % len(records)]
        changed = attrs.evolve(current, heartbeat=current.heartbeat + number + 1)
        frames.append(encode(Gossip(current.instance, True, (changed,))))
    remaining_frames = iter(frames)

    def work() -> None:
        for _ in range(decision_count):
            for send in view.on_gossip(decode(next(remaining_frames))):
                encode(send.message)

    return work


def _make_view(instances: int, clock: ManualClock) -> MembershipView:
    view = MembershipView(make_record(0), SUSPECT_AFTER_S, clock, random.Random(1))
    view.merge(make_record(index) for index in range(1, instances))
    while view.pending_update_count:
        view.message_for("", False)
    return view


def _make_table_update_work(rows: int, decision_count: int) -> Work:
    """Return work that accepts a relayed table and encodes its announcement."""
    text = make_rows(rows)
    versions = TableVersions(ManualClock())
    numbers = iter(range(1, decision_count * REPEAT_COUNT + 1))

    def work() -> None:
        for _ in range(decision_count):
            versions.offer(next(numbers), text)
            encode(versions.announce())

    return work


def _make_judge_work(peers: int, decision_count: int) -> Work:
    """Return work that judges results; every tenth also updates the peers' digests."""
    clock = ManualClock()
    judge = UpstreamJudge(clock)
    digests = [make_digest(index) for index in range(peers)]
    rng = random.Random(1)
    observations = [
        Observation(rng.choice(RANKS), Result.OK, rng.lognormvariate(-4, 1), 100)
        for _ in range(decision_count)
    ]

    def work() -> None:
        for index, observation in enumerate(observations):
            if index % 10 == 0:
                judge.update_peers(digests)
            judge.observe(observation, judge.begin(observation.rank))
            clock.advance(0.05)

    return work


SLOPES = (
    Slope("request at the gate", "waiting requests", 12, 240, 1000, _make_queue_work),
    Slope("request at the entry", "upstreams", 12, 48, 200, _make_choice_work),
    Slope("gossip message", "instances", 24, 384, 100, _make_gossip_work),
    Slope("relayed change", "rows", 36, 288, 3, _make_table_update_work),
    Slope("judged result", "peers", 12, 48, 500, _make_judge_work),
)
