"""Slots in use at an upstream, fewer while it sheds, slows or warms up."""

from chicorychute.core.clock import Clock

LEAST = 1.0
SHED_FACTOR = 0.7
SLOW_FACTOR = 0.9
SLOW_RATIO = 2.0  # service time beside the usual one of the rank
RATIO_GAIN = 0.2
USUAL_GAIN = 0.01
MIN_EVIDENCE = 20  # results of a rank before its usual service time is known
PAUSE_S = 0.1  # results of requests sent before a decrease do not decrease again


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
        self.told = False
        self._slots = slots
        self._limit = float(slots)
        self._ratio = 1.0
        self._usual_s_by_rank: dict[str, float] = {}
        self._seen_by_rank: dict[str, int] = {}
        self._lowered_s = 0.0

    @property
    def slots(self) -> int:
        """Requests that may run at a time."""
        return min(int(self._limit), self._slots)

    def configure(self, slots: int) -> None:
        """Take the slots of a new table; a limit at its ceiling moves with it."""
        if self._limit >= self._slots or self._limit > slots:
            self._limit = float(slots)
        self._slots = slots

    def restarted(self) -> None:
        """Begin at the least for an upstream that was gone."""
        self._limit = min(LEAST, self._slots)
        self._ratio = 1.0

    def answered(self, rank: str, service_s: float) -> None:
        """Add a good answer."""
        if self._slower(rank, service_s) and not self.told:
            self._lower(SLOW_FACTOR)
        else:
            self._limit = min(self._limit + 1 / max(self._limit, LEAST), self._slots)

    def shed(self) -> None:
        """Add an answer by which the upstream turned a request away."""
        self._lower(SHED_FACTOR)

    def _lower(self, factor: float) -> None:
        now_s = self._clock.monotonic()
        if self.told or now_s - self._lowered_s < PAUSE_S:
            return
        self._lowered_s = now_s
        self._limit = min(max(self._limit * factor, LEAST), self._slots)

    def _slower(self, rank: str, service_s: float) -> bool:
        seen = self._seen_by_rank.get(rank, 0) + 1
        usual_s = self._usual_s_by_rank.get(rank, service_s)
        self._seen_by_rank[rank] = seen
        gain = max(USUAL_GAIN, 1 / seen)
        self._usual_s_by_rank[rank] = usual_s + gain * (service_s - usual_s)
        if seen < MIN_EVIDENCE or usual_s <= 0:
            return False
        self._ratio += RATIO_GAIN * (service_s / usual_s - self._ratio)
        return self._ratio > SLOW_RATIO
