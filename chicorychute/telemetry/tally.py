"""Thread-safe counts and latencies by label, read when metrics are collected."""

import threading
from bisect import bisect_left

import attrs

Labels = tuple[str, ...]

LATENCY_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class Tally:
    """Monotonic counters by label values."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_labels: dict[Labels, int] = {}

    def add(self, *labels: str, count: int = 1) -> None:
        """Increase the counter of `labels` by `count`."""
        with self._lock:
            self._count_by_labels[labels] = self._count_by_labels.get(labels, 0) + count

    def items(self) -> list[tuple[Labels, int]]:
        """Return the label values and count of each counter."""
        with self._lock:
            return list(self._count_by_labels.items())


@attrs.define
class Distribution:
    """Histogram over `LATENCY_BOUNDS_S`; the last bucket has no upper bound."""

    buckets: list[int] = attrs.field(factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1))
    total_s: float = 0.0
    min_s: float = float("inf")
    max_s: float = 0.0

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return sum(self.buckets)


class LatencyTally:
    """Latency histograms by label values."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._distribution_by_labels: dict[Labels, Distribution] = {}

    def add(self, labels: Labels, latency_s: float) -> None:
        """Record one latency."""
        bucket = bisect_left(LATENCY_BOUNDS_S, latency_s)
        with self._lock:
            distribution = self._distribution_by_labels.get(labels)
            if distribution is None:
                distribution = self._distribution_by_labels[labels] = Distribution()
            distribution.buckets[bucket] += 1
            distribution.total_s += latency_s
            distribution.min_s = min(distribution.min_s, latency_s)
            distribution.max_s = max(distribution.max_s, latency_s)

    def items(self) -> list[tuple[Labels, Distribution]]:
        """Return the label values and a copy of each distribution."""
        with self._lock:
            return [
                (labels, attrs.evolve(distribution, buckets=list(distribution.buckets)))
                for labels, distribution in self._distribution_by_labels.items()
            ]
