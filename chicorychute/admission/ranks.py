"""Order of the ranks: the most urgent first, each with its guaranteed share.

A rank earns credit, in seconds of a slot, while it waits, and is served before
its turn once the credit pays for a request. The guarantee is in force while the
ranks above ask for more than the whole capacity; otherwise it yields, but for a
small part, so that urgent work whose own load fits is not held up. Where the
ranks that fit leave less than the guarantees of the others, these are scaled
down alike.
"""

from collections.abc import Iterable

import attrs

from chicorychute.admission.load import ArrivalRate, ServiceTime, rate_window_s

YIELDED_FRACTION = 0.1  # of the share, while the more urgent ranks fit the capacity
FLOOD_START_DEMAND = 1.0  # demand of the ranks above, as a part of the capacity
FLOOD_END_DEMAND = 0.95
MIN_COST_S = 1e-4  # stands for a service time that is not known
CREDIT_LIMIT_REQUESTS = 4.0  # requests of credit that a waiting rank may save
REFRESH_INTERVAL_S = 0.05  # pause between readings of the demand


@attrs.frozen
class RankPolicy:
    """Cells of the table that the queue needs for one rank.

    Attributes
    ----------
    slots : int
        Requests of this rank that the upstream runs at a time, 0 for as many
        as the upstream has.
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
    """

    policy: RankPolicy
    retired: bool = False
    share: float = 0.0
    credit_s: float = 0.0
    demand: float = 0.0
    flooded: bool = False
    effective_fraction: float = YIELDED_FRACTION
    waiting: int = 0
    running: int = 0
    arrivals: ArrivalRate = attrs.field(factory=ArrivalRate)
    service: ServiceTime = attrs.field(factory=ServiceTime)

    @property
    def cost_s(self) -> float:
        """Slot time that one request is charged."""
        return max(self.service.mean_s, MIN_COST_S)

    @property
    def effective_share(self) -> float:
        """Part of the slots that the rank is owed now."""
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
        """Take new policies; ranks that stay keep what was measured.

        A rank that the table no longer has is served by its last policy, without a
        guarantee, until the next table and for as long as its requests are here:
        entries learn of a table at other moments than gates.
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
        """Return the rank to serve a request by, the least urgent for an unknown one.

        The entry may have a newer table than the gate.
        """
        current_ranks = self.current_ranks
        if rank in self.by_rank or not current_ranks:
            return rank
        return current_ranks[-1].policy.rank

    def record_arrival(self, rank: str, now_s: float, slots: int) -> None:
        """Count an arrival, whether or not it will be admitted."""
        state = self.by_rank[rank]
        state.arrivals.add(now_s, rate_window_s(state.service.mean_s, slots))
        self.refresh(now_s, slots)

    def refresh(self, now_s: float, slots: int) -> None:
        """Read the demand of each rank and which guarantees are in force."""
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
            state.effective_fraction = fraction if state.flooded else YIELDED_FRACTION

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
        """Charge a rank for one request and credit those that wait."""
        served = self.by_rank[rank]
        cost_s = served.cost_s
        for state in self.by_rank.values():
            if state.waiting or state is served:
                earned_s = state.credit_s + state.effective_share * cost_s
                state.credit_s = min(earned_s, CREDIT_LIMIT_REQUESTS * state.cost_s)
        served.credit_s = max(0.0, served.credit_s - cost_s)

    def wait_s(self, rank: str, slots: int) -> float:
        """Return the wait predicted for a request that joins its queue now."""
        state = self.by_rank[rank]
        if state.flooded:
            slot_fraction = state.effective_share
            ahead_s = state.waiting * state.cost_s
        else:
            slot_fraction = 1 - self._demand_above(state) - self._reserved_below(state)
            ahead = [
                other for other in self.by_rank.values() if _precedes(other, state)
            ]
            ahead_s = state.waiting * state.cost_s
            ahead_s += sum(other.waiting * other.cost_s for other in ahead)
        slot_fraction = max(slot_fraction, state.effective_share, MIN_COST_S)
        return ahead_s / (max(slots, 1) * slot_fraction)

    def _affordable_fraction(self) -> float:
        """Return the part of the guarantees that the ranks that fit leave room for."""
        remaining = 1.0
        reserved = sum(state.share for state in self.by_rank.values())
        for state in self.by_rank.values():
            if state.demand >= remaining:
                break
            remaining -= state.demand
            reserved -= state.share
        if reserved <= remaining:
            return 1.0
        return max(remaining / reserved, YIELDED_FRACTION)

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
    """Return whether `other` goes before `state`, or shares its priority."""
    return other is not state and other.policy.priority <= state.policy.priority
