"""Measures the service of each rank under floods, for several orders of service.

Every variant gets the same arrivals and runs on a virtual clock of its own. Run
``chicorychute bench --only ranks`` for the table of figures.
"""

import enum
import heapq
import itertools
import math
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

UPSTREAM_COUNT = 6
SLOTS_PER_UPSTREAM = 4
MEAN_SERVICE_S = 0.040
GRAY_SLOWDOWN_FACTOR = 10.0
# Gray upstreams get no new requests from this time on.
GRAY_EJECTION_TIME_S = 2.0
FLOOD_START_S = 3.0
FLOOD_END_S = 11.0
# The start of the flood is counted apart from the other figures.
SETTLE_TIME_S = 2.0
MAX_ATTEMPTS = 3
# Fraction of its time that a request refused early still has left.
EARLY_FRACTION = 0.1
TICK_S = 0.05
SEED = 4
# Ratio to an earlier fraction up to which a fraction does not count as worse.
ALLOWED_FRACTION_RATIO = 1.02


@attrs.frozen
class Demand:
    """One rank of a measured table and its normal load.

    Attributes
    ----------
    load_fraction : float
        Fraction of the total capacity that the rank needs outside a flood.
    """

    rank: str
    priority: int
    share: float
    target_s: float
    deadline_s: float
    load_fraction: float


Demands = tuple[Demand, ...]
# Fractions of the total capacity, the most urgent rank first.
NORMAL_LOADS = (0.30, 0.25, 0.20)
DEMANDS = (
    Demand("lookup", 1, 0.3, 0.3, 1.0, NORMAL_LOADS[0]),
    Demand("order", 2, 0.3, 0.5, 4.0, NORMAL_LOADS[1]),
    Demand("check", 9, 0.1, 2.0, 5.0, NORMAL_LOADS[2]),
)
DEMAND_BY_RANK = {rank_demand.rank: rank_demand for rank_demand in DEMANDS}


def demands_of(user: User) -> Demands:
    """Return the ranks of a user's table with their normal loads."""
    return tuple(
        Demand(
            row.rank,
            row.priority,
            row.share,
            row.target_ms / 1000,
            row.deadline_ms / 1000,
            load_fraction,
        )
        for row, load_fraction in zip(user.parsed_rows(), NORMAL_LOADS, strict=True)
    )


@attrs.frozen
class Scenario:
    """Flood of one rank, with some upstreams gray.

    Attributes
    ----------
    load_factors : tuple of float
        Multipliers of the normal loads during the flood, the most urgent rank first.
    gray_count : int
        Number of upstreams slowed down by `GRAY_SLOWDOWN_FACTOR`.
    """

    name: str
    load_factors: tuple[float, float, float]
    gray_count: int = 0


SCENARIOS = (
    Scenario("plain load", (1.0, 1.0, 1.0)),
    Scenario("flood of the least urgent", (1.0, 1.0, 10.0)),
    Scenario("flood of the most urgent", (10.0, 1.0, 1.0)),
    Scenario("mild flood of the most urgent", (4.0, 1.0, 1.0)),
    Scenario("flood, a third gray", (1.0, 1.0, 10.0), gray_count=UPSTREAM_COUNT // 3),
    Scenario("urgent load at 0.9", (3.0, 1.0, 10.0)),
)


@attrs.frozen
class Arrival:
    """One request of a scenario.

    Attributes
    ----------
    draws : tuple of float
        Random numbers from 0 to 1 that select two upstreams for each attempt, so that
        all variants that compare two gates compare the same ones.
    """

    at_s: float
    rank: str
    service_s: float
    draws: tuple[float, ...]


def generate_arrivals(
    scenario: Scenario, seed: int = SEED, demands: Demands = DEMANDS
) -> list[Arrival]:
    """Return the arrivals of a scenario, ordered by time."""
    rng = random.Random(seed)
    arrivals = []
    for rank_demand, load_factor in zip(demands, scenario.load_factors, strict=True):
        normal_rate = (
            rank_demand.load_fraction
            * UPSTREAM_COUNT
            * SLOTS_PER_UPSTREAM
            / MEAN_SERVICE_S
        )
        flood_rate = normal_rate * load_factor
        at_s = 0.0
        while True:
            in_flood = FLOOD_START_S <= at_s < FLOOD_END_S
            at_s += rng.expovariate(flood_rate if in_flood else normal_rate)
            if at_s >= FLOOD_END_S:
                break
            service_s = MEAN_SERVICE_S * (0.7 + 0.3 * rng.expovariate(1.0))
            draws = tuple(rng.random() for _ in range(2 * MAX_ATTEMPTS))
            arrivals.append(Arrival(at_s, rank_demand.rank, service_s, draws))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


class GateChoice(enum.Enum):
    """How an entry chooses a gate: by the load of two gates, or round robin."""

    RANK_WAIT = "wait of the rank"
    OUTSTANDING = "all that is outstanding"
    ROUND_ROBIN_GATES = "by turn"


@attrs.frozen
class Variant:
    """An order of service, combined with a rule to choose a gate.

    Attributes
    ----------
    late_gives_way : bool
        Whether requests of a rank state their targets, so that late ones give way.
        Otherwise a rank is served in the order of arrival.
    """

    name: str
    order: ServiceOrder
    gate_choice: GateChoice = GateChoice.RANK_WAIT
    late_gives_way: bool = False


MIXTURE = Variant("", orders.MIXTURE, late_gives_way=True)
BASELINES = (
    Variant("order of arrival", orders.MIXTURE),
    Variant("first come", orders.FIRST_COME),
    Variant("strict", orders.STRICT),
    Variant("shares only", orders.SHARES_ONLY),
    Variant("ranks in turn", orders.ROUND_ROBIN),
    Variant("gates in turn", orders.MIXTURE, GateChoice.ROUND_ROBIN_GATES),
    Variant("by all outstanding", orders.MIXTURE, GateChoice.OUTSTANDING),
    Variant("no early refusal", orders.LATE_REFUSAL),
)


@attrs.define
class RankResult:
    """Counts of one rank during the flood; its start is counted apart."""

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
    def target_fraction(self) -> float:
        """Fraction of the offered requests that were answered within their target."""
        return self.in_target / max(self.offered, 1)

    @property
    def start_target_fraction(self) -> float:
        """Target fraction of the requests offered within `SETTLE_TIME_S`."""
        return self.in_target_at_start / max(self.offered_at_start, 1)


@attrs.frozen
class Measurement:
    """Results of one variant in one scenario.

    Attributes
    ----------
    capacity_s : float
        Slot time of the healthy upstreams, in seconds.
    target_fractions_by_rank : dict
        Fraction answered within the target, for each second of arrival.
    """

    by_rank: dict[str, RankResult]
    capacity_s: float
    target_fractions_by_rank: dict[str, tuple[float, ...]]

    @property
    def goodput(self) -> float:
        """Fraction of the healthy capacity spent on answers before their deadline."""
        useful_s = sum(result.useful_s for result in self.by_rank.values())
        return useful_s / self.capacity_s

    def capacity_fraction(self, rank: str) -> float:
        """Return the fraction of the healthy capacity that a rank used."""
        return self.by_rank[rank].busy_s / self.capacity_s


@attrs.define(eq=False)
class _Request:
    arrival: Arrival
    attempt: int = 0
    upstream: int = 0
    started_s: float = 0.0


class QueueSimulation:
    """Simulates the queues of all upstreams for a list of arrivals."""

    def __init__(
        self,
        variant: Variant,
        scenario: Scenario,
        arrivals: list[Arrival],
        demands: Demands,
    ):
        self._variant = variant
        self._order = order = variant.order
        self._scenario = scenario
        self._clock = ManualClock()
        self._demand_by_rank = {demand.rank: demand for demand in demands}
        self._round_robin_numbers = itertools.count()
        self._offered: Counter[tuple[str, int]] = Counter()
        self._in_target: Counter[tuple[str, int]] = Counter()
        policies = order.adapt_policies(
            tuple(RankPolicy(d.rank, d.priority, d.share) for d in demands)
        )
        self._queues = [
            order.make_queue(
                SLOTS_PER_UPSTREAM, policies, self._clock, order.make_rank_order()
            )
            for _ in range(UPSTREAM_COUNT)
        ]
        self._request_by_ticket: dict[Ticket, _Request] = {}
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.by_rank = {demand.rank: RankResult() for demand in demands}
        for arrival in arrivals:
            self._schedule(arrival.at_s, lambda a=arrival: self._arrive(a))
        for tick in range(int(FLOOD_END_S / TICK_S)):
            self._schedule(tick * TICK_S, self._tick)

    def run(self) -> Measurement:
        """Process all events and return the results of the flood."""
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at_s - self._clock.monotonic()))
            action()
        healthy_count = UPSTREAM_COUNT - self._scenario.gray_count
        measured_s = FLOOD_END_S - FLOOD_START_S - SETTLE_TIME_S
        return Measurement(
            self.by_rank,
            healthy_count * SLOTS_PER_UPSTREAM * measured_s,
            self._target_fractions_by_rank(),
        )

    def _target_fractions_by_rank(self) -> dict[str, tuple[float, ...]]:
        seconds = range(int(FLOOD_END_S))
        return {
            rank: tuple(
                self._in_target[rank, second] / max(self._offered[rank, second], 1)
                for second in seconds
            )
            for rank in self.by_rank
        }

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _tick(self) -> None:
        for queue in self._queues:
            self._deliver(queue.advance())

    def _arrive(self, arrival: Arrival) -> None:
        result = self.by_rank[arrival.rank]
        result.offered += _is_measured(arrival.at_s)
        result.offered_at_start += _is_at_start(arrival.at_s)
        self._offered[arrival.rank, int(arrival.at_s)] += 1
        self._submit(_Request(arrival))

    def _submit(self, request: _Request) -> None:
        arrival = request.arrival
        request.upstream = self._choose(request)
        request.attempt += 1
        rank_demand = self._demand_by_rank[arrival.rank]
        ticket = Ticket(
            self._order.rank_of(arrival.rank),
            arrival.at_s + rank_demand.deadline_s,
            target_s=(
                arrival.at_s + rank_demand.target_s
                if self._variant.late_gives_way
                else math.inf
            ),
        )
        self._request_by_ticket[ticket] = request
        self._deliver([self._queues[request.upstream].submit(ticket)])

    def _choose(self, request: _Request) -> int:
        rank = self._order.rank_of(request.arrival.rank)
        gray_count = self._scenario.gray_count
        ejected = self._clock.monotonic() >= GRAY_EJECTION_TIME_S
        first_upstream = gray_count if ejected else 0
        if self._variant.gate_choice is GateChoice.ROUND_ROBIN_GATES:
            return first_upstream + next(self._round_robin_numbers) % (
                UPSTREAM_COUNT - first_upstream
            )
        pair = request.arrival.draws[2 * request.attempt : 2 * request.attempt + 2]
        candidates = [
            first_upstream + int(draw * (UPSTREAM_COUNT - first_upstream))
            for draw in pair
        ]
        return min(candidates, key=lambda upstream: self._load_key(upstream, rank))

    def _load_key(self, upstream: int, rank: str) -> tuple[float, int]:
        queue = self._queues[upstream]
        outstanding = queue.in_flight + queue.queued
        if self._variant.gate_choice is GateChoice.OUTSTANDING:
            return (0.0, outstanding)
        return (queue.wait_s(rank), outstanding)

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case Granted(ticket):
                    self._start(ticket)
                case Refused(ticket, reason):
                    self._refuse(self._request_by_ticket.pop(ticket), reason)
                case Queued():
                    pass

    def _refuse(self, request: _Request, reason: Reason) -> None:
        if reason is Reason.OVERLOAD and request.attempt < MAX_ATTEMPTS:
            self._submit(request)
            return
        arrival = request.arrival
        if _is_measured(arrival.at_s):
            result = self.by_rank[arrival.rank]
            deadline_s = self._demand_by_rank[arrival.rank].deadline_s
            remaining_s = arrival.at_s + deadline_s - self._clock.monotonic()
            has_time_left = remaining_s >= EARLY_FRACTION * deadline_s
            is_early = has_time_left and reason is not Reason.DEADLINE
            result.refused_early += is_early
            result.expired += not is_early

    def _start(self, ticket: Ticket) -> None:
        request = self._request_by_ticket[ticket]
        request.started_s = self._clock.monotonic()
        is_gray = request.upstream < self._scenario.gray_count
        service_s = request.arrival.service_s * (
            GRAY_SLOWDOWN_FACTOR if is_gray else 1.0
        )
        self._schedule(request.started_s + service_s, lambda: self._finish(ticket))

    def _finish(self, ticket: Ticket) -> None:
        request = self._request_by_ticket.pop(ticket)
        self._record_answer(request, self._clock.monotonic())
        self._deliver(self._queues[request.upstream].release(ticket))

    def _record_answer(self, request: _Request, now_s: float) -> None:
        rank_demand = self._demand_by_rank[request.arrival.rank]
        result = self.by_rank[rank_demand.rank]
        latency_s = now_s - request.arrival.at_s
        second = int(request.arrival.at_s)
        self._in_target[rank_demand.rank, second] += latency_s <= rank_demand.target_s
        if _is_at_start(request.arrival.at_s):
            result.in_target_at_start += latency_s <= rank_demand.target_s
        if _is_measured(request.arrival.at_s):
            result.in_target += latency_s <= rank_demand.target_s
            result.in_deadline += latency_s <= rank_demand.deadline_s
            result.late += latency_s > rank_demand.deadline_s
        if _is_measured(request.started_s):
            busy_s = now_s - request.started_s
            result.busy_s += busy_s
            result.useful_s += busy_s if latency_s <= rank_demand.deadline_s else 0.0


def _is_measured(at_s: float) -> bool:
    return FLOOD_START_S + SETTLE_TIME_S <= at_s < FLOOD_END_S


def _is_at_start(at_s: float) -> bool:
    return FLOOD_START_S <= at_s < FLOOD_START_S + SETTLE_TIME_S


def measure_scenario(
    variant: Variant, scenario: Scenario, seed: int = SEED, demands: Demands = DEMANDS
) -> Measurement:
    """Simulate one scenario with one variant."""
    return QueueSimulation(
        variant, scenario, generate_arrivals(scenario, seed, demands), demands
    ).run()


def measure_ranks() -> list[Figure]:
    """Return the service of each rank of each user in each scenario, with baselines."""
    figures = []
    for user in USERS:
        demands = demands_of(user)
        for scenario in SCENARIOS:
            prefix = f"ranks | {user.name} | {scenario.name}"
            for variant in (MIXTURE, *BASELINES):
                measurement = measure_scenario(variant, scenario, demands=demands)
                figures += _figures(prefix, variant, measurement)
    return figures


def _figures(prefix: str, variant: Variant, measurement: Measurement) -> list[Figure]:
    figures = []
    for rank, result in measurement.by_rank.items():
        for label, value in (
            ("in target", result.target_fraction),
            ("in target at the start", result.start_target_fraction),
            ("keeps", measurement.capacity_fraction(rank)),
        ):
            name = f"{prefix} | {rank} {label}"
            figures.append(
                Figure(
                    name,
                    value,
                    "",
                    Better.HIGHER,
                    ALLOWED_FRACTION_RATIO,
                    baseline=variant.name,
                )
            )
    name = f"{prefix} | goodput"
    figures.append(
        Figure(
            name,
            measurement.goodput,
            "",
            Better.HIGHER,
            ALLOWED_FRACTION_RATIO,
            baseline=variant.name,
        )
    )
    return figures
