"""Picks one gate by predicted completion time, in the same region if possible."""

import math
import random
from collections.abc import Mapping

import attrs

from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.core.outcomes import Reason
from chicorychute.routing.candidates import Candidate, Distance

ROUND_TRIP_MS_BY_DISTANCE = {
    Distance.LOCAL: 0.0,
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 2.0,
    Distance.OTHER_REGION: 60.0,
}
EJECTED_VERDICTS = (Verdict.SICK, Verdict.PROBING)
EJECTED_PENALTY_FACTOR = 8.0
SAMPLE_COUNT = 2
# Fraction of the remaining time that a gate of the same region may be predicted to
# need. Predictions rest on loads that were reported some time ago.
SAME_REGION_TIME_FRACTION = 0.5


@attrs.frozen
class Choice:
    """Chosen gate and the completion time predicted for it.

    Attributes
    ----------
    cost_ms : float
        Predicted time plus the risk of failure times the cost of a failure.
    """

    candidate: Candidate
    predicted_ms: float
    cost_ms: float = 0.0


@attrs.frozen
class NoChoice:
    """No gate may receive the request."""

    reason: Reason


def predict_ms(candidate: Candidate, outstanding: int, rank: str = "") -> float:
    """Return the predicted time to an answer, in milliseconds.

    Parameters
    ----------
    outstanding : int
        Requests of the rank that this entry has outstanding at the upstream.
    rank : str
        Rank whose reported wait counts; where none is reported, the whole queue does.
    """
    digest = candidate.digest
    service_ms = max(digest.latency_ms, 1.0)
    capacity = max(digest.slots * digest.weight, 1.0)
    wait_ms = _reported_wait_ms(digest, rank)
    if wait_ms is None:
        ahead = max(digest.queued + digest.in_flight, outstanding) + 1
        wait_ms = max(0.0, ahead / capacity - 1) * service_ms
    else:
        wait_ms = max(wait_ms, max(0.0, (outstanding + 1) / capacity - 1) * service_ms)
    total_ms = ROUND_TRIP_MS_BY_DISTANCE[candidate.distance] + wait_ms + service_ms
    if digest.verdict in EJECTED_VERDICTS:
        total_ms *= EJECTED_PENALTY_FACTOR
    return total_ms


def _reported_wait_ms(digest: UpstreamDigest, rank: str) -> float | None:
    for wait in digest.waits:
        if wait.rank == rank:
            return wait.wait_ms
    return None


def choose(
    candidates: list[Candidate],
    outstanding_by_upstream: Mapping[str, int],
    tried: frozenset[str],
    rng: random.Random,
    remaining_ms: float = math.inf,
    cross_region_allowed: bool = True,
    rank: str = "",
    failure_cost_ms: float = 0.0,
) -> Choice | NoChoice:
    """Choose a gate that was not tried yet.

    The better of two random candidates of the same region is taken if it can answer
    in time; the local upstream is always among those compared. Otherwise the best of
    the region is taken, and one in another region only if none of the same region
    meets the deadline. Sampling two is the power of two choices (Mitzenmacher, 2001).
    An ejected upstream that the floor keeps in rotation is compared as a third, so
    that it gets the least work, and one on trial is taken at once.

    Parameters
    ----------
    remaining_ms : float
        Time left before the deadline.
    cross_region_allowed : bool
        Whether the cross-region budget of the service has bytes left.
    rank : str
        Rank of the request; each gate reports the wait of each rank.
    failure_cost_ms : float
        Cost of a failure, as time; added in full for a gate whose risk is 1.
    """
    predictor = _Predictor(outstanding_by_upstream, rank, failure_cost_ms)
    same_region = []
    other_region = []
    for candidate in candidates:
        if candidate.digest.upstream in tried:
            continue
        if candidate.distance == Distance.OTHER_REGION:
            other_region.append(candidate)
        else:
            same_region.append(candidate)
    if not same_region:
        return _choose_other_region(other_region, predictor, rng, cross_region_allowed)
    trials = [c for c in same_region if c.trial]
    if trials:
        return predictor.best([rng.choice(trials)])
    same_region_limit_ms = remaining_ms * SAME_REGION_TIME_FRACTION
    choice = predictor.best(_sample(same_region, rng))
    if choice.predicted_ms <= same_region_limit_ms:
        return choice
    choice = predictor.best(same_region)
    if choice.predicted_ms <= same_region_limit_ms or not (
        other_region and cross_region_allowed
    ):
        return choice
    other_choice = predictor.best(_sample(other_region, rng))
    in_time = other_choice.predicted_ms <= remaining_ms
    return (
        other_choice
        if in_time and other_choice.predicted_ms < choice.predicted_ms
        else choice
    )


def _choose_other_region(
    other_region: list[Candidate],
    predictor: "_Predictor",
    rng: random.Random,
    cross_region_allowed: bool,
) -> Choice | NoChoice:
    if not other_region:
        return NoChoice(Reason.NO_UPSTREAM)
    if not cross_region_allowed:
        return NoChoice(Reason.REGION_BUDGET)
    trials = [c for c in other_region if c.trial]
    if trials:
        return predictor.best([rng.choice(trials)])
    return predictor.best(_sample(other_region, rng))


def _sample(candidates: list[Candidate], rng: random.Random) -> list[Candidate]:
    if len(candidates) <= SAMPLE_COUNT:
        return candidates
    healthy = [c for c in candidates if c.digest.verdict not in EJECTED_VERDICTS]
    ejected = [c for c in candidates if c.digest.verdict in EJECTED_VERDICTS]
    picked = rng.sample(healthy, min(SAMPLE_COUNT, len(healthy)))
    picked += rng.sample(ejected, min(1, len(ejected)))
    picked += [c for c in healthy if c.distance == Distance.LOCAL]
    return picked


class _Predictor:
    """Compares candidates for one request."""

    def __init__(
        self,
        outstanding_by_upstream: Mapping[str, int],
        rank: str,
        failure_cost_ms: float,
    ):
        self._failure_cost_ms = failure_cost_ms
        self._outstanding_by_upstream = outstanding_by_upstream
        self._rank = rank

    def best(self, candidates: list[Candidate]) -> Choice:
        """Return the choice of the lowest cost."""
        best = None
        best_cost_ms = math.inf
        for candidate in candidates:
            outstanding = self._outstanding_by_upstream.get(
                candidate.digest.upstream, 0
            )
            predicted_ms = predict_ms(candidate, outstanding, self._rank)
            cost_ms = predicted_ms + candidate.digest.risk * self._failure_cost_ms
            if best is None or cost_ms < best_cost_ms:
                best = Choice(candidate, predicted_ms, cost_ms)
                best_cost_ms = cost_ms
        return best
