"""Limit on the slots in use, lowered while the upstream sheds, slows or warms up."""

from chicorychute.core.clock import Clock

MIN_LIMIT = 1.0
SHED_FACTOR = 0.7
SLOW_FACTOR = 0.9
SLOW_RATIO = 2.0  # service time relative to the baseline of the rank
RATIO_GAIN = 0.2
BASELINE_GAIN = 0.01
# Answers of a rank count as slow only once its baseline has this many samples.
MIN_BASELINE_SAMPLES = 20
# Results of requests sent before a decrease must not decrease the limit again.
DECREASE_INTERVAL_S = 0.1


class AdaptiveLimit:
    """Limit with additive increase and multiplicative decrease.

    Each round of good answers raises the limit by about one. A rejection or slow
    answers multiply it by a factor below 1.

    Parameters
    ----------
    slots : int
        Limit set by the table, never exceeded.

    Attributes
    ----------
    slots_reported : bool
        Whether the upstream itself reported its slots. Only its gate sends to it, so
        that a rejection or a slow answer within them is no sign of overload, and a
        lower limit would leave slots empty. Only a restart lowers the limit then.
    """

    def __init__(self, slots: int, clock: Clock):
        self._clock = clock
        self.slots_reported = False
        self._slots = slots
        self._limit = float(slots)
        self._slowdown_ratio = 1.0
        self._baseline_s_by_rank: dict[str, float] = {}
        self._sample_count_by_rank: dict[str, int] = {}
        self._decreased_s = 0.0

    @property
    def slots(self) -> int:
        """Requests that may run at a time."""
        return min(int(self._limit), self._slots)

    def configure(self, slots: int) -> None:
        """Apply the slots of a new table; a limit at its maximum moves with it."""
        if self._limit >= self._slots or self._limit > slots:
            self._limit = float(slots)
        self._slots = slots

    def reset_to_min(self) -> None:
        """Reset the limit to the minimum, for an upstream that was unreachable."""
        self._limit = min(MIN_LIMIT, self._slots)
        self._slowdown_ratio = 1.0

    def record_answer(self, rank: str, service_s: float) -> None:
        """Record a good answer and the time in seconds that it took."""
        if self._record_service_time(rank, service_s) and not self.slots_reported:
            self._decrease(SLOW_FACTOR)
        else:
            self._limit = min(
                self._limit + 1 / max(self._limit, MIN_LIMIT), self._slots
            )

    def record_shed(self) -> None:
        """Record an answer by which the upstream rejected a request."""
        self._decrease(SHED_FACTOR)

    def _decrease(self, factor: float) -> None:
        now_s = self._clock.monotonic()
        if self.slots_reported or now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = now_s
        self._limit = min(max(self._limit * factor, MIN_LIMIT), self._slots)

    def _record_service_time(self, rank: str, service_s: float) -> bool:
        """Update the baseline of the rank; return whether the upstream is slow."""
        sample_count = self._sample_count_by_rank.get(rank, 0) + 1
        baseline_s = self._baseline_s_by_rank.get(rank, service_s)
        self._sample_count_by_rank[rank] = sample_count
        gain = max(BASELINE_GAIN, 1 / sample_count)
        self._baseline_s_by_rank[rank] = baseline_s + gain * (service_s - baseline_s)
        if sample_count < MIN_BASELINE_SAMPLES or baseline_s <= 0:
            return False
        self._slowdown_ratio += RATIO_GAIN * (
            service_s / baseline_s - self._slowdown_ratio
        )
        return self._slowdown_ratio > SLOW_RATIO
