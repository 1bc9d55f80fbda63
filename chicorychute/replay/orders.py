"""Orders of service that the ranked queue in force is measured against."""

from collections.abc import Callable

import attrs

from chicorychute.admission.queue import Ticket, UpstreamQueue
from chicorychute.admission.ranks import RankOrder, RankPolicy, RankState

ONE_RANK = "all"

Policies = tuple[RankPolicy, ...]


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
            state.effective_fraction = 1.0


class RoundRobin(RankOrder):
    """Serves the ranks in turn, whatever their priority."""

    def __init__(self, policies: Policies = ()):
        super().__init__(policies)
        self._last = ""

    def choose(self, ranks: list[str]) -> str:
        """Return the rank that follows the one chosen last."""
        known = list(self.by_rank)
        last = known.index(self._last) if self._last in known else -1
        self._last = next(
            rank for rank in known[last + 1 :] + known[: last + 1] if rank in ranks
        )
        return self._last


class LateQueue(UpstreamQueue):
    """Queue as it was before early refusal: a request waits for its deadline."""

    def _too_late_if_queued(self, ticket: Ticket, now_s: float) -> bool:
        return False

    def _too_late_if_run(self, ticket: Ticket, now_s: float) -> bool:
        return False


@attrs.frozen
class ServiceOrder:
    """An order of service to measure.

    Attributes
    ----------
    adapt : callable
        Returns the policies of the order for those of the table.
    one_rank : bool
        Whether the queue sees all ranks as one.
    make_queue : callable
        Class of the queue.
    """

    name: str
    make: Callable[[], RankOrder] = RankOrder
    adapt: Callable[[Policies], Policies] = tuple
    one_rank: bool = False
    make_queue: Callable[..., UpstreamQueue] = UpstreamQueue

    def rank_of(self, rank: str) -> str:
        """Return the rank under which the queue sees a rank of the table."""
        return ONE_RANK if self.one_rank else rank


def _credit_requests(state: RankState) -> float:
    return state.credit_s / state.cost_s


def _as_one(policies: Policies) -> Policies:
    return (RankPolicy(ONE_RANK, 1, 0.0),) if policies else ()


def _without_shares(policies: Policies) -> Policies:
    return tuple(attrs.evolve(policy, share=0.0) for policy in policies)


def _with_whole_shares(policies: Policies) -> Policies:
    """Give the most urgent rank what the others leave of the slots."""
    others = policies[1:]
    rest = 1 - sum(policy.share for policy in others)
    return tuple(attrs.evolve(p, share=rest) for p in policies[:1]) + others


MIXTURE = ServiceOrder("mixture")
FIRST_COME = ServiceOrder("first come", adapt=_as_one, one_rank=True)
STRICT = ServiceOrder("strict", adapt=_without_shares)
SHARES_ONLY = ServiceOrder("shares only", SharesOnly, _with_whole_shares)
ROUND_ROBIN = ServiceOrder("round robin", RoundRobin)
LATE_REFUSAL = ServiceOrder("without early refusal", make_queue=LateQueue)
