"""Measures the service of each rank under floods, for several orders of service.

Every order sees the same recorded arrivals, on a clock of its own. Run
``python -m bench.ranks`` for the table of figures.
"""

import heapq
import itertools
import random
import sys
from collections import Counter
from collections.abc import Callable

import attrs

from chicorychute.admission.queue import (
    Decision,
    Granted,
    Queued,
    Refused,
    Ticket,
    UpstreamQueue,
)
from chicorychute.admission.ranks import RankOrder, RankPolicy, RankState
from chicorychute.core.clock import ManualClock
from chicorychute.core.outcomes import Reason

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


@attrs.frozen
class RankLoad:
    """One rank of the measured table and its plain load.

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


LOADS = (
    RankLoad("lookup", 1, 0.3, 0.3, 1.0, 0.30),
    RankLoad("order", 2, 0.3, 0.5, 4.0, 0.25),
    RankLoad("check", 9, 0.1, 2.0, 5.0, 0.20),
)
LOAD_BY_RANK = {load.rank: load for load in LOADS}


@attrs.frozen
class Scenario:
    """Flood of one rank, with some upstreams gray.

    Attributes
    ----------
    factor_by_rank : dict
        Multiplies the plain load of a rank while the flood lasts.
    """

    name: str
    factor_by_rank: dict[str, float]
    gray: int = 0


SCENARIOS = (
    Scenario("plain load", {}),
    Scenario("flood of the least urgent", {"check": 10.0}),
    Scenario("flood of the most urgent", {"lookup": 10.0}),
    Scenario("flood, a third gray", {"check": 10.0}, gray=UPSTREAMS // 3),
    Scenario("urgent load at 0.9", {"lookup": 3.0, "check": 10.0}),
)


@attrs.frozen
class Arrival:
    """One recorded request; `draws` fix the upstreams that it may try."""

    at_s: float
    rank: str
    service_s: float
    draws: tuple[float, ...]


def record(scenario: Scenario, seed: int = SEED) -> list[Arrival]:
    """Return the arrivals of a scenario in order of time."""
    rng = random.Random(seed)
    arrivals = []
    for load in LOADS:
        plain = load.load * UPSTREAMS * SLOTS / SERVICE_S
        flood = plain * scenario.factor_by_rank.get(load.rank, 1.0)
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


class SharesOnly(RankOrder):
    """Weighted shares: serves the rank with the most credit, always."""

    def choose(self, ranks: list[str]) -> str:
        """Return the rank whose credit pays for the most requests."""
        states = [self.by_rank[rank] for rank in ranks]
        return max(states, key=_credit_requests).policy.rank

    def refresh(self, now_s: float, slots: int) -> None:
        """Read the demand, and keep every guarantee in force."""
        super().refresh(now_s, slots)
        for state in self.by_rank.values():
            state.flooded = True
            state.part_in_force = 1.0


def _credit_requests(state: RankState) -> float:
    return state.credit_s / state.cost_s


@attrs.frozen
class Order:
    """An order of service to measure.

    Attributes
    ----------
    rank_of : callable
        Rank under which the queue sees a rank of the table.
    routes_by_rank : bool
        Whether entries compare the wait of the rank, or all that is outstanding.
    """

    name: str
    make: Callable[[], RankOrder]
    policies: tuple[RankPolicy, ...]
    rank_of: Callable[[str], str] = str
    routes_by_rank: bool = True


def _policies(shares: tuple[float, ...]) -> tuple[RankPolicy, ...]:
    return tuple(
        RankPolicy(load.rank, load.priority, share)
        for load, share in zip(LOADS, shares, strict=True)
    )


MIXTURE = Order("mixture", RankOrder, _policies((0.3, 0.3, 0.1)))
ORDERS = (
    Order("first come", RankOrder, (RankPolicy("all", 1, 0.0),), lambda _: "all"),
    Order("strict", RankOrder, _policies((0.0, 0.0, 0.0))),
    Order("shares only", SharesOnly, _policies((0.6, 0.3, 0.1))),
    MIXTURE,
    attrs.evolve(MIXTURE, name="mixture, all", routes_by_rank=False),
)


@attrs.define
class RankResult:
    """What one rank got while the flood lasted."""

    offered: int = 0
    in_target: int = 0
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


@attrs.frozen
class Measurement:
    """Results of one order in one scenario; `capacity_s` is healthy slot time."""

    by_rank: dict[str, RankResult]
    capacity_s: float

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

    def __init__(self, order: Order, scenario: Scenario, arrivals: list[Arrival]):
        self._order = order
        self._scenario = scenario
        self._clock = ManualClock()
        self._queues = [
            UpstreamQueue(SLOTS, order.policies, self._clock, order.make())
            for _ in range(UPSTREAMS)
        ]
        self._call_by_ticket: dict[Ticket, _Call] = {}
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.by_rank = {load.rank: RankResult() for load in LOADS}
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
        return Measurement(self.by_rank, healthy * SLOTS * span_s)

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def _tick(self) -> None:
        for queue in self._queues:
            self._deliver(queue.advance())

    def _arrive(self, arrival: Arrival) -> None:
        if _measured(arrival.at_s):
            self.by_rank[arrival.rank].offered += 1
        self._submit(_Call(arrival))

    def _submit(self, call: _Call) -> None:
        arrival = call.arrival
        call.upstream = self._choose(call)
        call.attempt += 1
        deadline_s = arrival.at_s + LOAD_BY_RANK[arrival.rank].deadline_s
        ticket = Ticket(self._order.rank_of(arrival.rank), deadline_s)
        self._call_by_ticket[ticket] = call
        self._deliver([self._queues[call.upstream].submit(ticket)])

    def _choose(self, call: _Call) -> int:
        rank = self._order.rank_of(call.arrival.rank)
        gray = self._scenario.gray
        ejected = self._clock.monotonic() >= GRAY_EJECTED_S
        first = gray if ejected else 0
        pair = call.arrival.draws[2 * call.attempt : 2 * call.attempt + 2]
        picked = [first + int(draw * (UPSTREAMS - first)) for draw in pair]
        return min(picked, key=lambda upstream: self._load_of(upstream, rank))

    def _load_of(self, upstream: int, rank: str) -> tuple[float, int]:
        queue = self._queues[upstream]
        outstanding = queue.in_flight + queue.queued
        if not self._order.routes_by_rank:
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
        load = LOAD_BY_RANK[call.arrival.rank]
        result = self.by_rank[load.rank]
        took_s = now_s - call.arrival.at_s
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


def measure(order: Order, scenario: Scenario, seed: int = SEED) -> Measurement:
    """Play one scenario with one order of service."""
    return Run(order, scenario, record(scenario, seed)).run()


def _print_row(order: Order, rank: str, measurement: Measurement) -> None:
    result = measurement.by_rank[rank]
    print(
        f"{order.name:<12} {rank:<7} {result.offered:>7} {result.target_share:>7.1%}"
        f" {measurement.kept(rank):>7.3f} {result.refused_early:>7}"
        f" {result.expired:>7} {result.late:>5} {measurement.goodput:>8.3f}"
    )


def main() -> int:
    """Print the figures of every order in every scenario."""
    for scenario in SCENARIOS:
        offered = Counter(arrival.rank for arrival in record(scenario))
        print(f"\n{scenario.name}: {dict(offered)} arrivals, seed {SEED}")
        print(
            f"{'order':<12} {'rank':<7} {'offered':>7} {'target':>7} {'kept':>7}"
            f" {'refused':>7} {'expired':>7} {'late':>5} {'goodput':>8}"
        )
        for order in ORDERS:
            measurement = measure(order, scenario)
            for load in LOADS:
                _print_row(order, load.rank, measurement)
    return 0


if __name__ == "__main__":
    sys.exit(main())
