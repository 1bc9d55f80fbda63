"""Places one request: asks gates for a free slot before the request waits at any.

Load pattern: about as much work as there are slots, unevenly spread, while what an
entry knows of each gate is some hundred milliseconds old. A greedy entry then queues
behind a busy upstream while another is idle. Here the gates of the region are asked
one after the other, the one with the best prediction first, and each accepts the
request only if a slot is free. A refusal costs a round trip of the link and reports
the wait. Only then the request joins a queue: the shortest reported one, or that of a
gate further away if none of the nearby gates meets the target. Where nearly all
gates are busy, asking one more costs more than the slot that it seldom finds, so only
few gates are asked, even in a large region.

In a large region an entry knows the load of its neighbours alone. The other gates of
the region are asked once no neighbour can meet the target, before those of other
regions: their load is not known, but they are near.

An upstream in a gray episode fails at once, so its slots are free while those of its
neighbours are taken. It is the last to be sent to, whatever its wait: after a queue in
which the target can be met, and after other regions.
"""

import math
import random
from collections.abc import Mapping

import attrs

from chicorychute.core.messages import RankWait
from chicorychute.core.outcomes import Reason
from chicorychute.health.gray import RISK_THRESHOLD
from chicorychute.routing.candidates import Candidate, Distance
from chicorychute.routing.choice import Choice, NoChoice, choose, predict_ms

# Asking 5 gates of 4 slots finds a free slot for half the requests at a load of 0.96.
MAX_SAME_REGION_ASKED = 5
# Gates of the own region whose load is not known.
MAX_UNKNOWN_LOAD_ASKED = 3
# Each gate asked in another region costs a round trip of 60 ms.
MAX_OTHER_REGION_ASKED = 2


@attrs.frozen
class SendTo:
    """Gate to send to, and whether the request may wait in its queue."""

    choice: Choice
    may_wait: bool


@attrs.frozen
class GateReport:
    """Wait and risk that a gate reported when it had no free slot.

    Attributes
    ----------
    wait_ms : float
        Wait predicted for the request at the gate.
    risk : float
        Probability that a request sent there now fails, 0 to 1.
    """

    wait_ms: float
    risk: float


class Placement:
    """Search for the gate of one request.

    Parameters
    ----------
    target_ms : float
        Time in which the answer is wanted.
    """

    def __init__(
        self,
        rank: str,
        target_ms: float,
        outstanding_by_upstream: Mapping[str, int],
        rng: random.Random,
    ):
        self._rank = rank
        self._target_ms = target_ms
        self._failure_cost_ms = 0.0
        self._outstanding_by_upstream = outstanding_by_upstream
        self._rng = rng
        self._report_by_upstream: dict[str, GateReport] = {}
        self._excluded: set[str] = set()
        self._same_region_asked = 0
        self._unknown_load_asked = 0
        self._other_region_asked = 0

    def choose_next(
        self,
        candidates: list[Candidate],
        remaining_ms: float,
        cross_region_allowed: bool,
        failure_cost_ms: float = 0.0,
    ) -> SendTo | NoChoice:
        """Return the next gate to send to, or why there is none.

        Parameters
        ----------
        failure_cost_ms : float
            Cost of a failure of the next send, as time. An upstream at risk is chosen
            where all others are later by more than its risk times this cost.
        """
        self._failure_cost_ms = failure_cost_ms
        usable = [c for c in candidates if c.digest.upstream not in self._excluded]
        unasked = [
            c for c in usable if c.digest.upstream not in self._report_by_upstream
        ]
        groups = _Groups(unasked)
        is_only_gate = len(usable) == 1
        if self._same_region_asked < MAX_SAME_REGION_ASKED:
            neighbour_choice = self._choose_unasked(groups.neighbours, remaining_ms)
            if neighbour_choice is not None:
                self._same_region_asked += 1
                return SendTo(neighbour_choice, may_wait=is_only_gate)
        asked_choice = self._choose_asked(usable, remaining_ms)
        sound_choice = self._choose_asked(usable, remaining_ms, max_risk=RISK_THRESHOLD)
        if sound_choice is not None and sound_choice.cost_ms <= self._target_ms:
            return SendTo(sound_choice, may_wait=True)
        if self._unknown_load_asked < MAX_UNKNOWN_LOAD_ASKED:
            unknown_load_choice = self._choose_unasked(
                groups.unknown_load, remaining_ms
            )
            if unknown_load_choice is not None:
                self._unknown_load_asked += 1
                return SendTo(unknown_load_choice, may_wait=is_only_gate)
        if cross_region_allowed and self._other_region_asked < MAX_OTHER_REGION_ASKED:
            other_region_choice = self._choose_unasked(
                groups.other_region, remaining_ms
            )
            if other_region_choice is not None and _costs_less(
                other_region_choice, asked_choice
            ):
                self._other_region_asked += 1
                return SendTo(other_region_choice, may_wait=is_only_gate)
        if asked_choice is not None:
            return SendTo(asked_choice, may_wait=True)
        return NoChoice(_no_choice_reason(usable, cross_region_allowed))

    @property
    def has_asked(self) -> bool:
        """Whether the request was sent to any gate."""
        return bool(self._report_by_upstream or self._excluded)

    def add_report(self, upstream: str, report: GateReport) -> None:
        """Record that a gate had no free slot; the request may still wait there."""
        self._report_by_upstream[upstream] = report

    def exclude(self, upstream: str) -> None:
        """Leave a gate out from now on."""
        self._excluded.add(upstream)

    def min_wait_s(self) -> float:
        """Return the shortest reported wait in seconds, 0 where none was reported."""
        waits = [report.wait_ms for report in self._report_by_upstream.values()]
        return min(waits, default=0.0) / 1000

    def _choose_unasked(
        self, candidates: list[Candidate], remaining_ms: float
    ) -> Choice | None:
        """Return the best choice among gates not asked yet, None if it is too late."""
        if not candidates:
            return None
        choice = choose(
            candidates,
            self._outstanding_by_upstream,
            frozenset(),
            self._rng,
            remaining_ms,
            rank=self._rank,
            failure_cost_ms=self._failure_cost_ms,
        )
        return choice if choice.predicted_ms <= remaining_ms else None

    def _choose_asked(
        self,
        candidates: list[Candidate],
        remaining_ms: float,
        max_risk: float = 1.0,
    ) -> Choice | None:
        """Return the cheapest asked gate up to a risk, None if all are too late."""
        best = None
        best_cost_ms = math.inf
        for candidate in candidates:
            report = self._report_by_upstream.get(candidate.digest.upstream)
            if report is None or report.risk > max_risk:
                continue
            waits = (RankWait(self._rank, report.wait_ms),)
            digest = attrs.evolve(candidate.digest, waits=waits)
            updated = attrs.evolve(candidate, digest=digest)
            predicted_ms = predict_ms(updated, 0, self._rank)
            cost_ms = predicted_ms + report.risk * self._failure_cost_ms
            if predicted_ms <= remaining_ms and cost_ms < best_cost_ms:
                best = Choice(candidate, predicted_ms, cost_ms)
                best_cost_ms = cost_ms
        return best


class _Groups:
    """Gates in the order in which they are asked.

    Attributes
    ----------
    neighbours : list of Candidate
        Gates of the own region that report their load.
    unknown_load : list of Candidate
        Other gates of the own region.
    other_region : list of Candidate
        Gates of other regions.
    """

    def __init__(self, candidates: list[Candidate]):
        self.neighbours: list[Candidate] = []
        self.unknown_load: list[Candidate] = []
        self.other_region: list[Candidate] = []
        for candidate in candidates:
            if candidate.distance == Distance.OTHER_REGION:
                self.other_region.append(candidate)
            elif candidate.load_reported:
                self.neighbours.append(candidate)
            else:
                self.unknown_load.append(candidate)


def _costs_less(choice: Choice, other: Choice | None) -> bool:
    return other is None or choice.cost_ms < other.cost_ms


def _no_choice_reason(
    candidates: list[Candidate], cross_region_allowed: bool
) -> Reason:
    """Return why none of the remaining gates may receive the request."""
    if not candidates:
        return Reason.NO_UPSTREAM
    has_same_region = any(c.distance < Distance.OTHER_REGION for c in candidates)
    return (
        Reason.OVERLOAD
        if has_same_region or cross_region_allowed
        else Reason.REGION_BUDGET
    )
