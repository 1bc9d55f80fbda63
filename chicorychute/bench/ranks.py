"""Measures the service of each rank under floods, for several orders of service.

Every order sees the same recorded arrivals, on a clock of its own. Run
``chicorychute bench --only ranks`` for the table of figures.
"""

import enum
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import attrs

from chicorychute.admission.queue import (
    Decision,
    Granted,
    Queued,
    Refused,
    Ticket,
)
from chicorychute.admission.ranks import RankPolicy
from chicorychute.bench.figures import Better, Figure
from chicorychute.core.clock import ManualClock
from chicorychute.core.outcomes import Reason
from chicorychute.replay import orders
from chicorychute.replay.orders import ServiceOrder
from chicorychute.replay.users import USERS, User

UPSTREAMS = 6
SLOTS = 4
SERVICE_S = 0.040
GRAY_FACTOR = 10.0
GRAY_EJECTED_S = 2.0  # gray upstreams get no more work from then on
FLOOD_START_S = 3.0
FLOOD_END_S = 11.0
SETTLE_S = 2.0  # start of the flood that is left out of the figures
MAX_ATTEMPTS = 3
TICK_S = 0.05
SEED = 4
SHARE_RATIO = 1.02  # to an earlier share up to which one counts as no worse


@attrs.frozen
class Demand:
    """One rank of a measured table and its plain load.

    Attributes
    ----------
    load : float
        Part of the whole capacity that it asks for in plain times.
    """

    rank: str
    priority: int
    share: float
    target_s: float
    deadline_s: float
    load: float


Demands = tuple[Demand, ...]
PLAIN_LOADS = (0.30, 0.25, 0.20)  # of the capacity, the most urgent first
LOADS = (
    Demand("lookup", 1, 0.3, 0.3, 1.0, PLAIN_LOADS[0]),
    Demand("order", 2, 0.3, 0.5, 4.0, PLAIN_LOADS[1]),
    Demand("check", 9, 0.1, 2.0, 5.0, PLAIN_LOADS[2]),
)
LOAD_BY_RANK = {load.rank: load for load in LOADS}


def demands_of(user: User) -> Demands:
    """Return the ranks of a user's table with their plain loads."""
    return tuple(
        Demand(
            row.rank,
            row.priority,
            row.share,
            row.target_ms / 1000,
            row.deadline_ms / 1000,
            load,
        )
        for row, load in zip(user.parsed_rows(), PLAIN_LOADS, strict=True)
    )


@attrs.frozen
class Scenario:
    """Flood of one rank, with some upstreams gray.

    Attributes
    ----------
    factors : tuple of float
        Multiply the plain loads while the flood lasts, the most urgent first.
    """

    name: str
    factors: tuple[float, float, float]
    gray: int = 0


SCENARIOS = (
    Scenario("plain load", (1.0, 1.0, 1.0)),
    Scenario("flood of the least urgent", (1.0, 1.0, 10.0)),
    Scenario("flood of the most urgent", (10.0, 1.0, 1.0)),
    Scenario("mild flood of the most urgent", (4.0, 1.0, 1.0)),
    Scenario("flood, a third gray", (1.0, 1.0, 10.0), gray=UPSTREAMS // 3),
    Scenario("urgent load at 0.9", (3.0, 1.0, 10.0)),
)


@attrs.frozen
class Arrival:
    """One recorded request; `draws` fix the upstreams that it may try."""

    at_s: float
    rank: str
    service_s: float
    draws: tuple[float, ...]


def record(
    scenario: Scenario, seed: int = SEED, demands: Demands = LOADS
) -> list[Arrival]:
    """Return the arrivals of a scenario in order of time."""
    rng = random.Random(seed)
    arrivals = []
    for load, factor in zip(demands, scenario.factors, strict=True):
        plain = load.load * UPSTREAMS * SLOTS / SERVICE_S
        flood = plain * factor
        at_s = 0.0
        while True:
            flooded = FLOOD_START_S <= at_s < FLOOD_END_S
            at_s += rng.expovariate(flood if flooded else plain)
            if at_s >= FLOOD_END_S:
                break
            service_s = SERVICE_S * (0.7 + 0.3 * rng.expovariate(1.0))
            draws = tuple(rng.random() for _ in range(2 * MAX_ATTEMPTS))
            arrivals.append(Arrival(at_s, load.rank, service_s, draws))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


class Choice(enum.Enum):
    """How an entry chooses among two gates."""

    RANK_WAIT = "wait of the rank"
    OUTSTANDING = "all that is outstanding"
    BY_TURN = "by turn"


@attrs.frozen
class Way:
    """An order of service with the choice of a gate that goes with it."""

    name: str
    order: ServiceOrder
    choice: Choice = Choice.RANK_WAIT


MIXTURE = Way("", orders.MIXTURE)
BASELINES = (
    Way("first come", orders.FIRST_COME),
    Way("strict", orders.STRICT),
    Way("shares only", orders.SHARES_ONLY),
    Way("ranks in turn", orders.ROUND_ROBIN),
    Way("gates in turn", orders.MIXTURE, Choice.BY_TURN),
    Way("by all outstanding", orders.MIXTURE, Choice.OUTSTANDING),
    Way("no early refusal", orders.LATE_REFUSAL),
)


@attrs.define
class RankResult:
    """What one rank got while the flood lasted, its start counted apart."""

    offered: int = 0
    in_target: int = 0
    offered_at_start: int = 0
    in_target_at_start: int = 0
    in_deadline: int = 0
    late: int = 0
    refused_early: int = 0
    expired: int = 0
    busy_s: float = 0.0
    useful_s: float = 0.0

    @property
    def target_share(self) -> float:
        """Part of the offered requests that were answered within their target."""
        return self.in_target / max(self.offered, 1)

    @property
    def start_share(self) -> float:
        """The same part of those offered before the flood had settled."""
        return self.in_target_at_start / max(self.offered_at_start, 1)


@attrs.frozen
class Measurement:
    """Results of one order in one scenario; `capacity_s` is healthy slot time.

    Attributes
    ----------
    shares_by_rank : dict
        Share answered in target for each second of arrival.
    """

    by_rank: dict[str, RankResult]
    capacity_s: float
    shares_by_rank: dict[str, tuple[float, ...]]

    @property
    def goodput(self) -> float:
        """Part of the healthy capacity spent on answers in time."""
        useful_s = sum(result.useful_s for result in self.by_rank.values())
        return useful_s / self.capacity_s

    def kept(self, rank: str) -> float:
        """Return the part of the healthy capacity that a rank got."""
        return self.by_rank[rank].busy_s / self.capacity_s


@attrs.define(eq=False)
class _Call:
    arrival: Arrival
    attempt: int = 0
    upstream: int = 0
    started_s: float = 0.0


class Run:
    """Plays recorded arrivals against the queues of all upstreams."""

    def __init__(
        self, way: Way, scenario: Scenario, arrivals: list[Arrival], demands: Demands
    ):
        self._way = way
        self._order = order = way.order
        self._scenario = scenario
        self._clock = ManualClock()
        self._demand_by_rank = {demand.rank: demand for demand in demands}
        self._turns = itertools.count()
        self._offered: Counter[tuple[str, int]] = Counter()
        self._in_target: Counter[tuple[str, int]] = Counter()
        policies = order.adapt_policies(
            tuple(RankPolicy(d.rank, d.priority, d.share) for d in demands)
        )
        self._queues = [
            order.make_queue(SLOTS, policies, self._clock, order.make_rank_order())
            for _ in range(UPSTREAMS)
        ]
        self._call_by_ticket: dict[Ticket, _Call] = {}
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.by_rank = {demand.rank: RankResult() for demand in demands}
        for arrival in arrivals:
            self._at(arrival.at_s, lambda a=arrival: self._arrive(a))
        for tick in range(int(FLOOD_END_S / TICK_S)):
            self._at(tick * TICK_S, self._tick)

    def run(self) -> Measurement:
        """Play every event; returns the figures of the flood."""
        while self._events:
            at_s, _, act = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at_s - self._clock.monotonic()))
            act()
        healthy = UPSTREAMS - self._scenario.gray
        span_s = FLOOD_END_S - FLOOD_START_S - SETTLE_S
        return Measurement(self.by_rank, healthy * SLOTS * span_s, self._shares())

    def _shares(self) -> dict[str, tuple[float, ...]]:
        seconds = range(int(FLOOD_END_S))
        return {
            rank: tuple(
                self._in_target[rank, second] / max(self._offered[rank, second], 1)
                for second in seconds
            )
            for rank in self.by_rank
        }

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def _tick(self) -> None:
        for queue in self._queues:
            self._deliver(queue.advance())

    def _arrive(self, arrival: Arrival) -> None:
        result = self.by_rank[arrival.rank]
        result.offered += _measured(arrival.at_s)
        result.offered_at_start += _at_start(arrival.at_s)
        self._offered[arrival.rank, int(arrival.at_s)] += 1
        self._submit(_Call(arrival))

    def _submit(self, call: _Call) -> None:
        arrival = call.arrival
        call.upstream = self._choose(call)
        call.attempt += 1
        deadline_s = arrival.at_s + self._demand_by_rank[arrival.rank].deadline_s
        ticket = Ticket(self._order.rank_of(arrival.rank), deadline_s)
        self._call_by_ticket[ticket] = call
        self._deliver([self._queues[call.upstream].submit(ticket)])

    def _choose(self, call: _Call) -> int:
        rank = self._order.rank_of(call.arrival.rank)
        gray = self._scenario.gray
        ejected = self._clock.monotonic() >= GRAY_EJECTED_S
        first = gray if ejected else 0
        if self._way.choice is Choice.BY_TURN:
            return first + next(self._turns) % (UPSTREAMS - first)
        pair = call.arrival.draws[2 * call.attempt : 2 * call.attempt + 2]
        picked = [first + int(draw * (UPSTREAMS - first)) for draw in pair]
        return min(picked, key=lambda upstream: self._load_of(upstream, rank))

    def _load_of(self, upstream: int, rank: str) -> tuple[float, int]:
        queue = self._queues[upstream]
        outstanding = queue.in_flight + queue.queued
        if self._way.choice is Choice.OUTSTANDING:
            return (0.0, outstanding)
        return (queue.wait_s(rank), outstanding)

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case Granted(ticket):
                    self._start(ticket)
                case Refused(ticket, reason):
                    self._refuse(self._call_by_ticket.pop(ticket), reason)
                case Queued():
                    pass

    def _refuse(self, call: _Call, reason: Reason) -> None:
        if reason is Reason.OVERLOAD and call.attempt < MAX_ATTEMPTS:
            self._submit(call)
            return
        if _measured(call.arrival.at_s):
            result = self.by_rank[call.arrival.rank]
            result.refused_early += reason is Reason.OVERLOAD
            result.expired += reason is Reason.DEADLINE

    def _start(self, ticket: Ticket) -> None:
        call = self._call_by_ticket[ticket]
        call.started_s = self._clock.monotonic()
        gray = call.upstream < self._scenario.gray
        service_s = call.arrival.service_s * (GRAY_FACTOR if gray else 1.0)
        self._at(call.started_s + service_s, lambda: self._finish(ticket))

    def _finish(self, ticket: Ticket) -> None:
        call = self._call_by_ticket.pop(ticket)
        self._count(call, self._clock.monotonic())
        self._deliver(self._queues[call.upstream].release(ticket))

    def _count(self, call: _Call, now_s: float) -> None:
        load = self._demand_by_rank[call.arrival.rank]
        result = self.by_rank[load.rank]
        took_s = now_s - call.arrival.at_s
        second = int(call.arrival.at_s)
        self._in_target[load.rank, second] += took_s <= load.target_s
        if _at_start(call.arrival.at_s):
            result.in_target_at_start += took_s <= load.target_s
        if _measured(call.arrival.at_s):
            result.in_target += took_s <= load.target_s
            result.in_deadline += took_s <= load.deadline_s
            result.late += took_s > load.deadline_s
        if _measured(call.started_s):
            busy_s = now_s - call.started_s
            result.busy_s += busy_s
            result.useful_s += busy_s if took_s <= load.deadline_s else 0.0


def _measured(at_s: float) -> bool:
    return FLOOD_START_S + SETTLE_S <= at_s < FLOOD_END_S


def _at_start(at_s: float) -> bool:
    return FLOOD_START_S <= at_s < FLOOD_START_S + SETTLE_S


def measure(
    way: Way, scenario: Scenario, seed: int = SEED, demands: Demands = LOADS
) -> Measurement:
    """Play one scenario with one order of service."""
    return Run(way, scenario, record(scenario, seed, demands), demands).run()


def measure_ranks() -> list[Figure]:
    """Return what each rank of each user gets in each flood, beside baselines."""
    figures = []
    for user in USERS:
        demands = demands_of(user)
        for scenario in SCENARIOS:
            prefix = f"ranks | {user.name} | {scenario.name}"
            for way in (MIXTURE, *BASELINES):
                found = measure(way, scenario, demands=demands)
                figures += _figures(prefix, way, found)
    return figures


def _figures(prefix: str, way: Way, found: Measurement) -> list[Figure]:
    figures = []
    for rank, result in found.by_rank.items():
        for what, value in (
            ("in target", result.target_share),
            ("in target at the start", result.start_share),
            ("keeps", found.kept(rank)),
        ):
            name = f"{prefix} | {rank} {what}"
            figures.append(
                Figure(name, value, "", Better.HIGHER, SHARE_RATIO, baseline=way.name)
            )
    name = f"{prefix} | goodput"
    figures.append(
        Figure(name, found.goodput, "", Better.HIGHER, SHARE_RATIO, baseline=way.name)
    )
    return figures
