"""Service orders that the one in force is compared with.

A service order determines which rank a queue serves next.
"""

from collections.abc import Callable

import attrs

from chicorychute.admission.queue import Ticket, UpstreamQueue
from chicorychute.admission.ranks import RankOrder, RankPolicy, RankState

MERGED_RANK = "all"

Policies = tuple[RankPolicy, ...]


class SharesOnly(RankOrder):
    """Weighted shares alone: always serves the rank with the most credit."""

    def choose(self, ranks: list[str]) -> str:
        """Return the rank whose credit pays for the most requests."""
        states = [self.by_rank[rank] for rank in ranks]
        return max(states, key=_credit_in_requests).policy.rank

    def refresh(self, now_s: float, slots: int) -> None:
        """Update the demand, and keep every guaranteed share in full effect."""
        super().refresh(now_s, slots)
        for state in self.by_rank.values():
            state.flooded = True
            state.effective_fraction = 1.0


class RoundRobin(RankOrder):
    """Serves the ranks round robin, whatever their priority."""

    def __init__(self, policies: Policies = ()):
        super().__init__(policies)
        self._last_rank = ""

    def choose(self, ranks: list[str]) -> str:
        """Return the next rank after the one chosen last."""
        all_ranks = list(self.by_rank)
        last = all_ranks.index(self._last_rank) if self._last_rank in all_ranks else -1
        self._last_rank = next(
            rank
            for rank in all_ranks[last + 1 :] + all_ranks[: last + 1]
            if rank in ranks
        )
        return self._last_rank


class LateRefusalQueue(UpstreamQueue):
    """Queue without early refusal: a request waits until its deadline."""

    def _too_late_if_queued(self, ticket: Ticket, now_s: float) -> bool:
        return False

    def _too_late_if_run(self, ticket: Ticket, now_s: float) -> bool:
        return False


@attrs.frozen
class ServiceOrder:
    """A service order to measure.

    Attributes
    ----------
    make_rank_order : callable
        Class of the rank order.
    adapt_policies : callable
        Converts the policies of the table to those of this service order.
    merges_ranks : bool
        Whether the queue treats all ranks as one.
    make_queue : callable
        Class of the queue.
    """

    name: str
    make_rank_order: Callable[[], RankOrder] = RankOrder
    adapt_policies: Callable[[Policies], Policies] = tuple
    merges_ranks: bool = False
    make_queue: Callable[..., UpstreamQueue] = UpstreamQueue

    def rank_of(self, rank: str) -> str:
        """Return the rank that the queue uses for a rank of the table."""
        return MERGED_RANK if self.merges_ranks else rank


def _credit_in_requests(state: RankState) -> float:
    return state.credit_s / state.cost_s


def _merge_ranks(policies: Policies) -> Policies:
    return (RankPolicy(MERGED_RANK, 1, 0.0),) if policies else ()


def _without_shares(policies: Policies) -> Policies:
    return tuple(attrs.evolve(policy, share=0.0) for policy in policies)


def _with_shares_totalling_one(policies: Policies) -> Policies:
    """Give the most urgent rank the share of the slots that the others leave."""
    others = policies[1:]
    remaining_share = 1 - sum(policy.share for policy in others)
    return tuple(attrs.evolve(p, share=remaining_share) for p in policies[:1]) + others


MIXTURE = ServiceOrder("mixture")
FIRST_COME = ServiceOrder("first come", adapt_policies=_merge_ranks, merges_ranks=True)
STRICT = ServiceOrder("strict", adapt_policies=_without_shares)
SHARES_ONLY = ServiceOrder("shares only", SharesOnly, _with_shares_totalling_one)
ROUND_ROBIN = ServiceOrder("round robin", RoundRobin)
LATE_REFUSAL = ServiceOrder("without early refusal", make_queue=LateRefusalQueue)
