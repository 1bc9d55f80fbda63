"""Risk that the next request at an upstream fails, from its last few results.

Load pattern: upstreams that fail most of their requests for a few seconds at a time,
while their health check passes. Such an episode is over before a sequential test
could decide, so it is estimated instead: a hidden Markov model with the states calm
and gray, whose filter (Rabiner, 1989) takes one step for each result and drifts
towards the long-run share of gray time while there is none.
"""

import math

from chicorychute.core.clock import Clock

NORMAL_MEAN_S = 8.0  # platform pages: "several seconds" of failures "at any time"
GRAY_MEAN_S = 3.0  # same pages
NORMAL_FAILURE_FRACTION = (
    0.012  # of an upstream's answers on a calm day, by the site files
)
GRAY_FAILURE_FRACTION = 0.75  # most, not all, requests of an episode fail
# A result that is overdue is no failure yet: likelihoods in the two states.
NORMAL_OVERDUE_LIKELIHOOD = 0.05
GRAY_OVERDUE_LIKELIHOOD = 0.3

# A failure after the usual time is mostly that of a call which the upstream made.
NORMAL_LATE_FAILURE_LIKELIHOOD = 0.012
GRAY_LATE_FAILURE_LIKELIHOOD = 0.05
QUICK_FAILURE_FRACTION = 0.25  # of the usual time; failures of an episode come at once

_GRAY_TIME_FRACTION = GRAY_MEAN_S / (GRAY_MEAN_S + NORMAL_MEAN_S)
_DRIFT_PER_S = 1 / NORMAL_MEAN_S + 1 / GRAY_MEAN_S


class GrayEstimate:
    """Probability that one upstream is in a gray episode."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._gray_probability = 0.0
        self._updated_s = clock.monotonic()

    def observe(self, failed: bool) -> None:
        """Take the end of a request."""
        if failed:
            self._update(GRAY_FAILURE_FRACTION, NORMAL_FAILURE_FRACTION)
        else:
            self._update(1 - GRAY_FAILURE_FRACTION, 1 - NORMAL_FAILURE_FRACTION)

    def observe_late_failure(self) -> None:
        """Take a failure that came after about the usual time of an answer."""
        self._update(GRAY_LATE_FAILURE_LIKELIHOOD, NORMAL_LATE_FAILURE_LIKELIHOOD)

    def observe_overdue(self) -> None:
        """Take a request that runs far longer than most."""
        self._update(GRAY_OVERDUE_LIKELIHOOD, NORMAL_OVERDUE_LIKELIHOOD)

    def reset(self) -> None:
        """Forget what an earlier start of the upstream showed."""
        self._gray_probability = 0.0
        self._updated_s = self._clock.monotonic()

    def gray_probability(self) -> float:
        """Return the probability of a gray episode now, 0 to 1."""
        idle_s = self._clock.monotonic() - self._updated_s
        return drift(self._gray_probability, idle_s)

    def risk(self) -> float:
        """Return the probability that a request sent now fails, 0 to 1."""
        gray = self.gray_probability()
        return gray * GRAY_FAILURE_FRACTION + (1 - gray) * NORMAL_FAILURE_FRACTION

    def _update(self, gray_likelihood: float, normal_likelihood: float) -> None:
        gray = self.gray_probability() * gray_likelihood
        self._gray_probability = gray / (
            gray + (1 - self.gray_probability()) * normal_likelihood
        )
        self._updated_s = self._clock.monotonic()


def drift(gray: float, idle_s: float) -> float:
    """Return a probability of gray after a time without evidence."""
    return _GRAY_TIME_FRACTION + (gray - _GRAY_TIME_FRACTION) * math.exp(
        -_DRIFT_PER_S * idle_s
    )
