"""Picks one gate by predicted completion, nearest first."""

import random

import attrs

from chicorychute.core.messages import Verdict
from chicorychute.routing.candidates import Candidate, Distance

TRAVEL_MS = {
    Distance.LOCAL: 0.0,
    Distance.ZONE: 1.0,
    Distance.REGION: 2.0,
    Distance.BEYOND: 60.0,
}
EJECTED = frozenset((Verdict.SICK, Verdict.PROBING))
SICK_PENALTY = 8.0


@attrs.frozen
class Choice:
    """Chosen gate and the completion predicted for it."""

    candidate: Candidate
    predicted_ms: float


def predict_ms(candidate: Candidate, sent: int) -> float:
    """Return the predicted time to an answer.

    Parameters
    ----------
    sent : int
        Requests that this entry has outstanding at the upstream.
    """
    digest = candidate.digest
    service_ms = max(digest.latency_ms, 1.0)
    ahead = max(digest.queued + digest.in_flight, sent) + 1
    rounds = max(1.0, ahead / max(digest.slots * digest.weight, 1.0))
    predicted = TRAVEL_MS[candidate.distance] + rounds * service_ms
    if digest.verdict in EJECTED:
        predicted *= SICK_PENALTY
    return predicted


def choose(
    candidates: list[Candidate],
    outstanding_by_upstream: dict[str, int],
    tried: frozenset[str],
    rng: random.Random,
) -> Choice | None:
    """Choose the better of two random candidates not tried yet.

    The method is the power of two choices (Mitzenmacher, 2001). An ejected one
    that the floor keeps is a third choice, so that it gets the least work, and one
    on trial is taken at once.
    """
    fresh = [c for c in candidates if c.digest.upstream not in tried]
    if not fresh:
        return None
    trials = [c for c in fresh if c.trial]
    if trials:
        trial = rng.choice(trials)
        return Choice(trial, predict_ms(trial, 0))
    healthy = [c for c in fresh if c.digest.verdict not in EJECTED]
    ejected = [c for c in fresh if c.digest.verdict in EJECTED]
    picked = rng.sample(healthy, min(2, len(healthy)))
    picked += rng.sample(ejected, min(1, len(ejected)))
    choices = [
        Choice(c, predict_ms(c, outstanding_by_upstream.get(c.digest.upstream, 0)))
        for c in picked
    ]
    return min(choices, key=lambda choice: choice.predicted_ms)
