"""Picks one gate by predicted completion, within the region where it can."""

import math
import random
from collections.abc import Mapping

import attrs

from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.core.outcomes import Reason
from chicorychute.routing.candidates import Candidate, Distance

TRAVEL_MS = {
    Distance.LOCAL: 0.0,
    Distance.ZONE: 1.0,
    Distance.REGION: 2.0,
    Distance.BEYOND: 60.0,
}
EJECTED = (Verdict.SICK, Verdict.PROBING)
SICK_PENALTY = 8.0
SAMPLES = 2
REGION_SHARE = 0.5  # of the time left; predictions rest on loads told some time ago


@attrs.frozen
class Choice:
    """Chosen gate and the completion predicted for it.

    Attributes
    ----------
    cost_ms : float
        Completion with the time that a likely failure is worth.
    """

    candidate: Candidate
    predicted_ms: float
    cost_ms: float = 0.0


@attrs.frozen
class NoChoice:
    """No gate may be sent to."""

    reason: Reason


def predict_ms(candidate: Candidate, sent: int, rank: str = "") -> float:
    """Return the predicted time to an answer.

    Parameters
    ----------
    sent : int
        Requests of the rank that this entry has outstanding at the upstream.
    rank : str
        Rank whose wait counts; where the gate tells none, the whole queue does.
    """
    digest = candidate.digest
    service_ms = max(digest.latency_ms, 1.0)
    capacity = max(digest.slots * digest.weight, 1.0)
    wait_ms = _told_wait_ms(digest, rank)
    if wait_ms is None:
        ahead = max(digest.queued + digest.in_flight, sent) + 1
        wait_ms = max(0.0, ahead / capacity - 1) * service_ms
    else:
        wait_ms = max(wait_ms, max(0.0, (sent + 1) / capacity - 1) * service_ms)
    predicted = TRAVEL_MS[candidate.distance] + wait_ms + service_ms
    if digest.verdict in EJECTED:
        predicted *= SICK_PENALTY
    return predicted


def _told_wait_ms(digest: UpstreamDigest, rank: str) -> float | None:
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
    beyond_allowed: bool = True,
    rank: str = "",
    risk_ms: float = 0.0,
) -> Choice | NoChoice:
    """Choose a gate not tried yet.

    The better of two random candidates of the region, the local one always
    among those compared, is taken if it can answer in time. Otherwise the best
    of the region, and beyond the region only if no other keeps the deadline.
    Sampling two is the power of two choices (Mitzenmacher, 2001). An ejected one
    that the floor keeps is a third choice, so that it gets the least work, and one
    on trial is taken at once.

    Parameters
    ----------
    remaining_ms : float
        Time left before the deadline.
    beyond_allowed : bool
        Whether the budget of bytes beyond the region has something left.
    rank : str
        Rank of the request, whose wait each gate tells.
    risk_ms : float
        Time that a certain failure is worth.
    """
    predict = _Predictor(outstanding_by_upstream, rank, risk_ms)
    near = []
    far = []
    for candidate in candidates:
        if candidate.digest.upstream in tried:
            continue
        if candidate.distance == Distance.BEYOND:
            far.append(candidate)
        else:
            near.append(candidate)
    if not near:
        return _choose_far(far, predict, rng, beyond_allowed)
    trials = [c for c in near if c.trial]
    if trials:
        return predict.best([rng.choice(trials)])
    enough_ms = remaining_ms * REGION_SHARE
    choice = predict.best(_sample(near, rng))
    if choice.predicted_ms <= enough_ms:
        return choice
    choice = predict.best(near)
    if choice.predicted_ms <= enough_ms or not (far and beyond_allowed):
        return choice
    beyond = predict.best(_sample(far, rng))
    in_time = beyond.predicted_ms <= remaining_ms
    return beyond if in_time and beyond.predicted_ms < choice.predicted_ms else choice


def _choose_far(
    far: list[Candidate],
    predict: "_Predictor",
    rng: random.Random,
    beyond_allowed: bool,
) -> Choice | NoChoice:
    if not far:
        return NoChoice(Reason.NO_UPSTREAM)
    if not beyond_allowed:
        return NoChoice(Reason.REGION_BUDGET)
    trials = [c for c in far if c.trial]
    if trials:
        return predict.best([rng.choice(trials)])
    return predict.best(_sample(far, rng))


def _sample(candidates: list[Candidate], rng: random.Random) -> list[Candidate]:
    if len(candidates) <= SAMPLES:
        return candidates
    healthy = [c for c in candidates if c.digest.verdict not in EJECTED]
    ejected = [c for c in candidates if c.digest.verdict in EJECTED]
    picked = rng.sample(healthy, min(SAMPLES, len(healthy)))
    picked += rng.sample(ejected, min(1, len(ejected)))
    picked += [c for c in healthy if c.distance == Distance.LOCAL]
    return picked


class _Predictor:
    """Compares candidates for one request."""

    def __init__(
        self, outstanding_by_upstream: Mapping[str, int], rank: str, risk_ms: float
    ):
        self._risk_ms = risk_ms
        self._outstanding_by_upstream = outstanding_by_upstream
        self._rank = rank

    def best(self, candidates: list[Candidate]) -> Choice:
        """Return the candidate predicted to answer first."""
        best = None
        best_cost_ms = math.inf
        for candidate in candidates:
            sent = self._outstanding_by_upstream.get(candidate.digest.upstream, 0)
            predicted_ms = predict_ms(candidate, sent, self._rank)
            cost_ms = predicted_ms + candidate.digest.risk * self._risk_ms
            if best is None or cost_ms < best_cost_ms:
                best = Choice(candidate, predicted_ms, cost_ms)
                best_cost_ms = cost_ms
        return best
