"""Slots in use at an upstream, fewer while it sheds, slows or warms up."""

from chicorychute.core.clock import Clock

MIN_LIMIT = 1.0
SHED_FACTOR = 0.7
SLOW_FACTOR = 0.9
SLOW_RATIO = 2.0  # service time beside the usual one of the rank
RATIO_GAIN = 0.2
BASELINE_GAIN = 0.01
MIN_BASELINE_SAMPLES = 20  # results of a rank before its usual service time is known
DECREASE_INTERVAL_S = (
    0.1  # results of requests sent before a decrease do not decrease again
)


class AdaptiveLimit:
    """Raises the limit by about one a round of answers, and lowers it by a factor.

    Parameters
    ----------
    slots : int
        The table's limit, never exceeded.

    Attributes
    ----------
    told : bool
        Whether the upstream itself told its slots. Only its gate sends to it, so a
        rejection or a slow answer within them is no sign of too much work, and a
        lower limit would leave slots empty; only a restart still lowers it.
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
        """Take the slots of a new table; a limit at its ceiling moves with it."""
        if self._limit >= self._slots or self._limit > slots:
            self._limit = float(slots)
        self._slots = slots

    def reset_to_min(self) -> None:
        """Begin at the least for an upstream that was gone."""
        self._limit = min(MIN_LIMIT, self._slots)
        self._slowdown_ratio = 1.0

    def record_answer(self, rank: str, service_s: float) -> None:
        """Add a good answer."""
        if self._record_service_time(rank, service_s) and not self.slots_reported:
            self._decrease(SLOW_FACTOR)
        else:
            self._limit = min(
                self._limit + 1 / max(self._limit, MIN_LIMIT), self._slots
            )

    def record_shed(self) -> None:
        """Add an answer by which the upstream turned a request away."""
        self._decrease(SHED_FACTOR)

    def _decrease(self, factor: float) -> None:
        now_s = self._clock.monotonic()
        if self.slots_reported or now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = now_s
        self._limit = min(max(self._limit * factor, MIN_LIMIT), self._slots)

    def _record_service_time(self, rank: str, service_s: float) -> bool:
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
