"""Recent results of one rank at one upstream."""

from array import array

from chicorychute.core.messages import RankDigest
from chicorychute.health.evidence import Result

LATENCY_LIMIT = 64
MIN_RESULT_WEIGHT = 1 / 32  # weight of the newest result in a fraction


class RecentResults:
    """Latest latencies and decayed fractions of bad results."""

    __slots__ = (
        "rank",
        "count",
        "failed_fraction",
        "shed_fraction",
        "empty_fraction",
        "_latencies",
        "_next_index",
    )

    def __init__(self, rank: str):
        self.rank = rank
        self.count = 0
        self.failed_fraction = 0.0
        self.shed_fraction = 0.0
        self.empty_fraction = 0.0
        self._latencies = array("f")
        self._next_index = 0

    def add(self, result: Result, latency_s: float) -> None:
        """Add one result; the latency is kept if it is OK or TIMED_OUT."""
        self.count += 1
        weight = max(MIN_RESULT_WEIGHT, 1 / self.count)
        self.failed_fraction += weight * (
            (result is Result.FAILED) - self.failed_fraction
        )
        self.shed_fraction += weight * ((result is Result.SHED) - self.shed_fraction)
        self.empty_fraction += weight * ((result is Result.EMPTY) - self.empty_fraction)
        if result is not Result.OK and result is not Result.TIMED_OUT:
            return
        if len(self._latencies) < LATENCY_LIMIT:
            self._latencies.append(latency_s)
        else:
            self._latencies[self._next_index] = latency_s
            self._next_index = (self._next_index + 1) % LATENCY_LIMIT

    def digest(self) -> RankDigest:
        """Return the digest that peers compare themselves with."""
        ordered = sorted(self._latencies)
        return RankDigest(
            self.rank,
            self.count,
            _quantile_ms(ordered, 0.5),
            _quantile_ms(ordered, 0.9),
            self.failed_fraction,
            self.shed_fraction,
            self.empty_fraction,
        )


def _quantile_ms(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)] * 1000
