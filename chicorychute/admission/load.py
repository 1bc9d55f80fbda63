"""Measures the arrival rate and the service time of a rank at one upstream."""

import math

# The arrival rate covers the time that this many requests take at full load.
WINDOW_REQUESTS = 128
WINDOW_MIN_S = 1.0
WINDOW_MAX_S = 10.0
SERVICE_GAIN = 0.1  # weight of the newest service time
# An older estimate may describe an upstream that has recovered since.
SERVICE_MAX_AGE_S = 5.0


class ArrivalRate:
    """Arrivals per second, older ones weighted exponentially less."""

    def __init__(self) -> None:
        self._decayed_count = 0.0
        self._first_s: float | None = None
        self._last_s = 0.0

    def add(self, now_s: float, window_s: float) -> None:
        """Count one arrival."""
        if self._first_s is None:
            self._first_s = self._last_s = now_s
        self._decay(now_s, window_s)
        self._decayed_count += 1

    def per_second(self, now_s: float, window_s: float) -> float:
        """Return the arrivals per second over about the last `window_s` seconds."""
        if self._first_s is None:
            return 0.0
        self._decay(now_s, window_s)
        elapsed_s = max(now_s - self._first_s, WINDOW_MIN_S)
        return self._decayed_count / (window_s * (1 - math.exp(-elapsed_s / window_s)))

    def _decay(self, now_s: float, window_s: float) -> None:
        self._decayed_count *= math.exp((self._last_s - now_s) / window_s)
        self._last_s = now_s


class ServiceTime:
    """Moving average of the time for which requests of a rank occupy a slot."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._last_observed_s = -math.inf

    @property
    def mean_s(self) -> float:
        """Mean of recent requests in seconds, 0 before the first."""
        return self._mean_s

    def observe(self, duration_s: float, now_s: float) -> None:
        """Add the time in seconds for which one request occupied its slot."""
        if self._last_observed_s == -math.inf:
            self._mean_s = duration_s
        error_s = duration_s - self._mean_s
        self._mean_s += SERVICE_GAIN * error_s
        self._deviation_s += SERVICE_GAIN * (abs(error_s) - self._deviation_s)
        self._last_observed_s = now_s

    def upper_estimate_s(self, now_s: float) -> float:
        """Return a time in seconds that most requests stay below, 0 if unknown."""
        if now_s - self._last_observed_s > SERVICE_MAX_AGE_S:
            return 0.0
        return self._mean_s + self._deviation_s


def rate_window_s(service_s: float, slots: int) -> float:
    """Return the time in seconds over which a rank's arrival rate is measured."""
    unclamped_s = WINDOW_REQUESTS * service_s / max(slots, 1)
    return min(max(unclamped_s, WINDOW_MIN_S), WINDOW_MAX_S)
