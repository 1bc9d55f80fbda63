"""Risk that the next request at an upstream fails, from its last few results.

Load pattern: upstreams that fail most of their requests for a few seconds at a time,
while their health check passes. Such an episode is over before a sequential test
could decide, so its probability is estimated instead, by a hidden Markov model with
the states normal and gray. Its filter (Rabiner, 1989) takes one step for each result.
Without results, it drifts towards the long-run fraction of gray time.

The first request after the drift is a trial that fails while the episode lasts. A
request that may not be repeated is lost by it, so such requests wait until another one
has succeeded, or until most episodes are over.
"""

import math

from chicorychute.core.clock import Clock

# Mean durations of the two states. The pages of the platform state "several seconds"
# of failures "at any time".
NORMAL_MEAN_S = 8.0
GRAY_MEAN_S = 3.0
# Failed fraction of an upstream's answers on a normal day, from the site files.
NORMAL_FAILURE_FRACTION = 0.012
GRAY_FAILURE_FRACTION = 0.75  # most, not all, requests of an episode fail
# Likelihoods of an overdue result, which is no failure yet, in the two states.
NORMAL_OVERDUE_LIKELIHOOD = 0.05
GRAY_OVERDUE_LIKELIHOOD = 0.3

# A failure after the typical time of an answer is mostly that of a call made by the
# upstream.
NORMAL_LATE_FAILURE_LIKELIHOOD = 0.012
GRAY_LATE_FAILURE_LIKELIHOOD = 0.05
# Fraction of the typical time of an answer. Failures of an episode come at once.
QUICK_FAILURE_FRACTION = 0.25

# Risk from which requests avoid an upstream: just above the long-run fraction of
# failures of an idle one.
RISK_THRESHOLD = 0.3
# Time after a failure in which no success is expected without a trial. On recorded days
# of the platform, few episodes last longer.
UNPROVEN_S = 10.0

_GRAY_TIME_FRACTION = GRAY_MEAN_S / (GRAY_MEAN_S + NORMAL_MEAN_S)
_DRIFT_PER_S = 1 / NORMAL_MEAN_S + 1 / GRAY_MEAN_S


class GrayEstimate:
    """Probability that one upstream is in a gray episode."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._gray_probability = 0.0
        self._updated_s = clock.monotonic()
        self._failed_s: float | None = None

    def observe(self, failed: bool) -> None:
        """Update the estimate with the end of a request."""
        if failed:
            self._update(GRAY_FAILURE_FRACTION, NORMAL_FAILURE_FRACTION)
            self._failed_s = self._updated_s
        else:
            self._failed_s = None
            self._update(1 - GRAY_FAILURE_FRACTION, 1 - NORMAL_FAILURE_FRACTION)

    def observe_late_failure(self) -> None:
        """Update it with a failure after about the typical time of an answer."""
        self._update(GRAY_LATE_FAILURE_LIKELIHOOD, NORMAL_LATE_FAILURE_LIKELIHOOD)

    def observe_overdue(self) -> None:
        """Update the estimate with a request that runs far longer than most."""
        self._update(GRAY_OVERDUE_LIKELIHOOD, NORMAL_OVERDUE_LIKELIHOOD)

    def reset(self) -> None:
        """Discard the evidence of an earlier start of the upstream."""
        self._gray_probability = 0.0
        self._updated_s = self._clock.monotonic()
        self._failed_s = None

    def is_unproven(self) -> bool:
        """Return whether the latest result is a failure of the last `UNPROVEN_S`."""
        return (
            self._failed_s is not None
            and self._clock.monotonic() - self._failed_s < UNPROVEN_S
        )

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
    """Return the probability of the gray state after `idle_s` without evidence."""
    return _GRAY_TIME_FRACTION + (gray - _GRAY_TIME_FRACTION) * math.exp(
        -_DRIFT_PER_S * idle_s
    )
