"""Recent results of one rank of work at one upstream."""

from array import array

from chicorychute.core.messages import RankDigest
from chicorychute.health.evidence import Result

LATENCIES_KEPT = 64
SHARE_WEIGHT = 1 / 32  # weight of the newest result in a share


class RecentResults:
    """Latest latencies and decayed shares of bad results."""

    __slots__ = ("rank", "count", "failed", "shed", "empty", "_latencies", "_next")

    def __init__(self, rank: str):
        self.rank = rank
        self.count = 0
        self.failed = 0.0
        self.shed = 0.0
        self.empty = 0.0
        self._latencies = array("f")
        self._next = 0

    def add(self, result: Result, latency_s: float) -> None:
        """Add one result; the latency of a bad one is not kept."""
        self.count += 1
        weight = max(SHARE_WEIGHT, 1 / self.count)
        self.failed += weight * ((result is Result.FAILED) - self.failed)
        self.shed += weight * ((result is Result.SHED) - self.shed)
        self.empty += weight * ((result is Result.EMPTY) - self.empty)
        if result is not Result.OK and result is not Result.TIMED_OUT:
            return
        if len(self._latencies) < LATENCIES_KEPT:
            self._latencies.append(latency_s)
        else:
            self._latencies[self._next] = latency_s
            self._next = (self._next + 1) % LATENCIES_KEPT

    def digest(self) -> RankDigest:
        """Return the summary that peers compare themselves with."""
        ordered = sorted(self._latencies)
        return RankDigest(
            self.rank,
            self.count,
            _quantile_ms(ordered, 0.5),
            _quantile_ms(ordered, 0.9),
            self.failed,
            self.shed,
            self.empty,
        )


def _quantile_ms(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] * 1000
