"""Order of the ranks: the most urgent first, each with its guaranteed share.

A rank earns credit, in seconds of slot time, while it waits. Once the credit pays
for a request, the rank is served ahead of more urgent ones. The guarantee applies in
full while the more urgent ranks demand more than the whole capacity. Otherwise only
a small fraction of it applies, so that urgent requests whose own load fits are not
delayed. Where the ranks that fit leave less capacity than the guarantees of the
others, these are scaled down alike.
"""

from collections.abc import Iterable

import attrs

from chicorychute.admission.load import ArrivalRate, ServiceTime, rate_window_s

# Fraction of its share that a rank keeps while the more urgent ranks fit the capacity.
MIN_EFFECTIVE_FRACTION = 0.1
# Demand of the more urgent ranks, as a fraction of the capacity.
FLOOD_START_DEMAND = 1.0
FLOOD_END_DEMAND = 0.95
MIN_COST_S = 1e-4  # used while the service time is unknown
CREDIT_LIMIT_REQUESTS = 4.0  # credit that a waiting rank may save
REFRESH_INTERVAL_S = 0.05  # interval between measurements of the demand


@attrs.frozen
class RankPolicy:
    """Columns of the table that the queue needs for one rank.

    Attributes
    ----------
    slots : int
        Requests of this rank that the upstream runs at a time, 0 for as many
        as it has slots.
    """

    rank: str
    priority: int
    share: float
    slots: int = 0


@attrs.define(eq=False)
class RankState:
    """Load and credit of one rank.

    Attributes
    ----------
    retired : bool
        Whether the newest table lacks the rank.
    share : float
        Guaranteed share, scaled so that all shares sum to at most 1.
    demand : float
        Slot time demanded per second, as a fraction of the capacity.
    flooded : bool
        Whether the more urgent ranks demand more than the whole capacity.
    late : int
        Waiting requests that give way to all others of the rank.
    effective_fraction : float
        Fraction of the share that is guaranteed now.
    """

    policy: RankPolicy
    retired: bool = False
    share: float = 0.0
    credit_s: float = 0.0
    demand: float = 0.0
    flooded: bool = False
    effective_fraction: float = MIN_EFFECTIVE_FRACTION
    waiting: int = 0
    late: int = 0
    running: int = 0
    arrivals: ArrivalRate = attrs.field(factory=ArrivalRate)
    service: ServiceTime = attrs.field(factory=ServiceTime)

    @property
    def cost_s(self) -> float:
        """Slot time in seconds charged for one request."""
        return max(self.service.mean_s, MIN_COST_S)

    @property
    def effective_share(self) -> float:
        """Fraction of the slots that is guaranteed to the rank now."""
        return self.share * self.effective_fraction


class RankOrder:
    """Chooses the rank to serve next.

    Parameters
    ----------
    policies : iterable of RankPolicy
        One for each rank; shares that sum to more than 1 are scaled down.
    """

    def __init__(self, policies: Iterable[RankPolicy] = ()):
        self.by_rank: dict[str, RankState] = {}
        self._refreshed_s = 0.0
        self.configure(policies)

    def configure(self, policies: Iterable[RankPolicy]) -> None:
        """Apply new policies; ranks that stay keep their measurements.

        A rank removed from the table is served by its last policy, without a
        guarantee, until the next table and for as long as it has requests here,
        because entries receive a table at other moments than gates.
        """
        previous = self.by_rank
        self.by_rank = {}
        for policy in sorted(policies, key=lambda policy: policy.priority):
            state = previous.get(policy.rank) or RankState(policy)
            state.policy = policy
            state.retired = False
            self.by_rank[policy.rank] = state
        total = sum(state.policy.share for state in self.by_rank.values())
        for state in self.by_rank.values():
            state.share = state.policy.share / max(total, 1.0)
        for rank, state in previous.items():
            in_use = state.waiting or state.running or not state.retired
            if rank not in self.by_rank and in_use:
                state.retired = True
                state.share = 0.0
                self.by_rank[rank] = state

    @property
    def current_ranks(self) -> list[RankState]:
        """Ranks of the newest table, the most urgent first."""
        return [state for state in self.by_rank.values() if not state.retired]

    def resolve(self, rank: str) -> str:
        """Return the rank under which to serve a request.

        An unknown rank is served as the least urgent one: the entry may have a newer
        table than the gate.
        """
        current_ranks = self.current_ranks
        if rank in self.by_rank or not current_ranks:
            return rank
        return current_ranks[-1].policy.rank

    def record_arrival(self, rank: str, now_s: float, slots: int) -> None:
        """Count an arrival, whether or not it is admitted."""
        state = self.by_rank[rank]
        state.arrivals.add(now_s, rate_window_s(state.service.mean_s, slots))
        self.refresh(now_s, slots)

    def refresh(self, now_s: float, slots: int) -> None:
        """Measure the demand of each rank and update the effective guarantees."""
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S or slots <= 0:
            return
        self._refreshed_s = now_s
        for state in self.by_rank.values():
            look_back_s = rate_window_s(state.service.mean_s, slots)
            rate = state.arrivals.per_second(now_s, look_back_s)
            state.demand = rate * state.service.mean_s / slots
        fraction = self._affordable_fraction()
        for state in self.by_rank.values():
            threshold = FLOOD_END_DEMAND if state.flooded else FLOOD_START_DEMAND
            state.flooded = self._demand_above(state) > threshold
            state.effective_fraction = (
                fraction if state.flooded else MIN_EFFECTIVE_FRACTION
            )

    def choose(self, ranks: list[str]) -> str:
        """Return the rank of `ranks` to serve next, without charging it."""
        states = [self.by_rank[rank] for rank in ranks]
        entitled = [state for state in states if state.credit_s >= state.cost_s]
        if entitled:
            chosen = max(entitled, key=lambda state: state.credit_s / state.cost_s)
        else:
            chosen = min(states, key=lambda state: state.policy.priority)
        return chosen.policy.rank

    def record_grant(self, rank: str) -> None:
        """Charge a rank for one request and credit the ranks that wait."""
        served = self.by_rank[rank]
        cost_s = served.cost_s
        for state in self.by_rank.values():
            if state.waiting or state is served:
                earned_s = state.credit_s + state.effective_share * cost_s
                state.credit_s = min(earned_s, CREDIT_LIMIT_REQUESTS * state.cost_s)
        served.credit_s = max(0.0, served.credit_s - cost_s)

    def wait_s(self, rank: str, slots: int) -> float:
        """Return the wait in seconds predicted for a request of `rank` arriving now."""
        state = self.by_rank[rank]
        return self._wait_behind(state, state.waiting - state.late, slots)

    def backlog_s(self, rank: str, slots: int) -> float:
        """Return the seconds until all waiting requests of a rank have started."""
        state = self.by_rank[rank]
        return self._wait_behind(state, state.waiting, slots)

    def slot_fraction(self, rank: str) -> float:
        """Return the fraction of the slots that a rank may expect to get."""
        state = self.by_rank[rank]
        fraction = state.effective_share
        if not state.flooded:
            taken = self._demand_above(state) + self._reserved_below(state)
            fraction = max(fraction, 1 - taken)
        return max(fraction, MIN_COST_S)

    def _wait_behind(self, state: RankState, count: int, slots: int) -> float:
        """Return the wait in seconds behind `count` requests of a rank."""
        ahead_s = count * state.cost_s
        if not state.flooded:
            ahead_s += sum(
                other.waiting * other.cost_s
                for other in self.by_rank.values()
                if _precedes(other, state)
            )
        return ahead_s / (max(slots, 1) * self.slot_fraction(state.policy.rank))

    def _affordable_fraction(self) -> float:
        """Return the fraction of the guarantees for which fitting ranks leave room."""
        remaining = 1.0
        reserved = sum(state.share for state in self.by_rank.values())
        for state in self.by_rank.values():
            if state.demand >= remaining:
                break
            remaining -= state.demand
            reserved -= state.share
        if reserved <= remaining:
            return 1.0
        return max(remaining / reserved, MIN_EFFECTIVE_FRACTION)

    def _demand_above(self, state: RankState) -> float:
        others = (other for other in self.by_rank.values() if _precedes(other, state))
        return sum(other.demand for other in others)

    def _reserved_below(self, state: RankState) -> float:
        return sum(
            min(other.effective_share, other.demand)
            for other in self.by_rank.values()
            if other is not state and not _precedes(other, state)
        )


def _precedes(other: RankState, state: RankState) -> bool:
    """Return whether `other` is another rank, at least as urgent as `state`."""
    return other is not state and other.policy.priority <= state.policy.priority
