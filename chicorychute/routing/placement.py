"""Places one request: asks gates for a free slot before it waits at any.

Load pattern: about as much work as there are slots, unevenly spread, while what an
entry knows of each gate is some hundred milliseconds old. A greedy entry then queues
behind a busy upstream while another is idle. Here the gates of the region are asked
in turn, best guess first, each of which takes the request only if a slot is free;
a refusal costs a turn of the link and tells the wait. Only then the request joins a
queue: the shortest told one, or a gate beyond the region if none keeps the target.
Where nearly all are busy, a further question costs more than the slot that it seldom
finds, so that few gates are asked even in a large region.
"""

import math
import random
from collections.abc import Mapping

import attrs

from chicorychute.core.messages import RankWait
from chicorychute.core.outcomes import Reason
from chicorychute.routing.candidates import Candidate, Distance
from chicorychute.routing.choice import Choice, NoChoice, choose, predict_ms

NEAR_ASKED = 5  # gates of the region; finds a slot of 4 for half at a load of 0.96
FAR_ASKED = 2  # gates beyond the region that are asked, at a turn of 60 ms each


@attrs.frozen
class Placed:
    """Gate to send to, and whether the request may wait in its queue."""

    choice: Choice
    may_wait: bool


@attrs.frozen
class Told:
    """What a gate said when it had no free slot."""

    wait_ms: float
    risk: float


class Placement:
    """Gates asked for one request.

    Parameters
    ----------
    target_ms : float
        Time in which its answer is wanted.
    risk_ms : float
        Time that a certain failure is worth; a gray upstream is chosen where all
        others are later by more than its share of this.
    """

    def __init__(
        self,
        rank: str,
        target_ms: float,
        risk_ms: float,
        outstanding_by_upstream: Mapping[str, int],
        rng: random.Random,
    ):
        self._rank = rank
        self._target_ms = target_ms
        self._risk_ms = risk_ms
        self._outstanding_by_upstream = outstanding_by_upstream
        self._rng = rng
        self._told_by_upstream: dict[str, Told] = {}
        self._closed: set[str] = set()
        self._near_asked = 0
        self._far_asked = 0

    def next(
        self, candidates: list[Candidate], remaining_ms: float, beyond_allowed: bool
    ) -> Placed | NoChoice:
        """Return the next gate to send to."""
        open_ = [c for c in candidates if c.digest.upstream not in self._closed]
        unasked = [c for c in open_ if c.digest.upstream not in self._told_by_upstream]
        near = [c for c in unasked if c.distance < Distance.BEYOND]
        far = [c for c in unasked if c.distance == Distance.BEYOND and beyond_allowed]
        alone = len(open_) == 1
        if self._near_asked < NEAR_ASKED:
            nearest = self._choose(near, remaining_ms)
            if nearest is not None:
                self._near_asked += 1
                return Placed(nearest, may_wait=alone)
        shortest = self._shortest(open_, remaining_ms)
        if shortest is not None and shortest.cost_ms <= self._target_ms:
            return Placed(shortest, may_wait=True)
        if self._far_asked < FAR_ASKED:
            farther = self._choose(far, remaining_ms)
            if farther is not None and _is_sooner(farther, shortest):
                self._far_asked += 1
                return Placed(farther, may_wait=alone)
        if shortest is not None:
            return Placed(shortest, may_wait=True)
        return NoChoice(_reason(open_, beyond_allowed))

    @property
    def has_asked(self) -> bool:
        """Whether the request was sent to any gate."""
        return bool(self._told_by_upstream or self._closed)

    def asked(self, upstream: str, told: Told) -> None:
        """Note that a gate had no free slot; the request may still wait there."""
        self._told_by_upstream[upstream] = told

    def close(self, upstream: str) -> None:
        """Note that a gate is not to be sent to again."""
        self._closed.add(upstream)

    def least_wait_s(self) -> float:
        """Return the shortest wait that a gate told, 0 where none told one."""
        waits = [told.wait_ms for told in self._told_by_upstream.values()]
        return min(waits, default=0.0) / 1000

    def _choose(
        self, candidates: list[Candidate], remaining_ms: float
    ) -> Choice | None:
        """Return the best guess among gates that were not asked, if in time."""
        if not candidates:
            return None
        choice = choose(
            candidates,
            self._outstanding_by_upstream,
            frozenset(),
            self._rng,
            remaining_ms,
            rank=self._rank,
            risk_ms=self._risk_ms,
        )
        return choice if choice.predicted_ms <= remaining_ms else None

    def _shortest(
        self, candidates: list[Candidate], remaining_ms: float
    ) -> Choice | None:
        """Return the asked gate that is predicted to answer first, if in time."""
        best = None
        best_cost_ms = math.inf
        for candidate in candidates:
            told = self._told_by_upstream.get(candidate.digest.upstream)
            if told is None:
                continue
            waits = (RankWait(self._rank, told.wait_ms),)
            digest = attrs.evolve(candidate.digest, waits=waits)
            known = attrs.evolve(candidate, digest=digest)
            predicted_ms = predict_ms(known, 0, self._rank)
            cost_ms = predicted_ms + told.risk * self._risk_ms
            if predicted_ms <= remaining_ms and cost_ms < best_cost_ms:
                best = Choice(candidate, predicted_ms, cost_ms)
                best_cost_ms = cost_ms
        return best


def _is_sooner(choice: Choice, other: Choice | None) -> bool:
    return other is None or choice.cost_ms < other.cost_ms


def _reason(candidates: list[Candidate], beyond_allowed: bool) -> Reason:
    """Return why none of the gates that are left is sent to."""
    if not candidates:
        return Reason.NO_UPSTREAM
    near = any(c.distance < Distance.BEYOND for c in candidates)
    return Reason.OVERLOAD if near or beyond_allowed else Reason.REGION_BUDGET
