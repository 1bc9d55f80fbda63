"""Risk that the next request at an upstream fails, from its last few results.

Load pattern: upstreams that fail most of their requests for a few seconds at a time,
while their health check passes. Such an episode is over before a sequential test
could decide, so it is estimated instead: a hidden Markov model with the states calm
and gray, whose filter (Rabiner, 1989) takes one step for each result and drifts
towards the long-run share of gray time while there is none.
"""

import math

from chicorychute.core.clock import Clock

CALM_MEAN_S = 8.0  # platform pages: "several seconds" of failures "at any time"
GRAY_MEAN_S = 3.0  # same pages
FAIL_SHARE_CALM = 0.012  # of an upstream's answers on a calm day, by the site files
FAIL_SHARE_GRAY = 0.75  # most, not all, requests of an episode fail
# A result that is overdue is no failure yet: likelihoods in the two states.
OVERDUE_CALM = 0.05
OVERDUE_GRAY = 0.3

# A failure after the usual time is mostly that of a call which the upstream made.
LATE_FAIL_CALM = 0.012
LATE_FAIL_GRAY = 0.05
QUICK_SHARE = 0.25  # of the usual time; failures of an episode come at once

_GRAY_SHARE = GRAY_MEAN_S / (GRAY_MEAN_S + CALM_MEAN_S)
_DRIFT_PER_S = 1 / CALM_MEAN_S + 1 / GRAY_MEAN_S


class GrayEstimate:
    """Probability that one upstream is in a gray episode."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._gray = 0.0
        self._at_s = clock.monotonic()

    def observe(self, failed: bool) -> None:
        """Take the end of a request."""
        if failed:
            self._weigh(FAIL_SHARE_GRAY, FAIL_SHARE_CALM)
        else:
            self._weigh(1 - FAIL_SHARE_GRAY, 1 - FAIL_SHARE_CALM)

    def observe_late_failure(self) -> None:
        """Take a failure that came after about the usual time of an answer."""
        self._weigh(LATE_FAIL_GRAY, LATE_FAIL_CALM)

    def observe_overdue(self) -> None:
        """Take a request that runs far longer than most."""
        self._weigh(OVERDUE_GRAY, OVERDUE_CALM)

    def restart(self) -> None:
        """Forget what an earlier start of the upstream showed."""
        self._gray = 0.0
        self._at_s = self._clock.monotonic()

    def gray(self) -> float:
        """Return the probability of a gray episode now, 0 to 1."""
        idle_s = self._clock.monotonic() - self._at_s
        return drifted(self._gray, idle_s)

    def risk(self) -> float:
        """Return the probability that a request sent now fails, 0 to 1."""
        gray = self.gray()
        return gray * FAIL_SHARE_GRAY + (1 - gray) * FAIL_SHARE_CALM

    def _weigh(self, in_gray: float, in_calm: float) -> None:
        gray = self.gray() * in_gray
        self._gray = gray / (gray + (1 - self.gray()) * in_calm)
        self._at_s = self._clock.monotonic()


def drifted(gray: float, idle_s: float) -> float:
    """Return a probability of gray after a time without evidence."""
    return _GRAY_SHARE + (gray - _GRAY_SHARE) * math.exp(-_DRIFT_PER_S * idle_s)
