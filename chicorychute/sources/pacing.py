"""Pacing of reads of the platform: spread at start, backoff while it is down."""

import math
import random

from chicorychute.core.clock import Clock

MIN_FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 30.0


class ReadPace:
    """Decides when the next read may start.

    Parameters
    ----------
    interval_s : float
        Pause in seconds between reads that succeed, varied by up to a quarter.
    spread_s : float
        Time in seconds over which the first reads are spread if a whole fleet starts
        at the same time; the backoff after a failure starts at half of it or more.
    max_pause_s : float
        Longest pause in seconds between reads that fail.
    """

    def __init__(
        self,
        interval_s: float,
        spread_s: float,
        clock: Clock,
        rng: random.Random,
        max_pause_s: float = MAX_PAUSE_S,
    ):
        self._max_pause_s = max_pause_s
        self._interval_s = interval_s
        self._last_failure_s = -math.inf
        self._clock = clock
        self._rng = rng
        self._first_pause_s = max(MIN_FIRST_PAUSE_S, spread_s / 2)
        self._pause_s = self._first_pause_s
        self._next_s = clock.monotonic() + rng.uniform(0, spread_s)

    @property
    def since_failure_s(self) -> float:
        """Seconds since the last read that failed, infinite if none did."""
        return self._clock.monotonic() - self._last_failure_s

    @property
    def until_next_s(self) -> float:
        """Seconds until the next read may start, 0 or less if it may start now."""
        return self._next_s - self._clock.monotonic()

    def due(self) -> bool:
        """Return whether a read may start now."""
        return self.until_next_s <= 0

    def record_success(self) -> None:
        """Schedule the read after one that succeeded."""
        self._pause_s = self._first_pause_s
        self._wait(self._interval_s * self._rng.uniform(0.75, 1.25))

    def postpone(self, seconds: float) -> None:
        """Schedule the next read, or the next check whether to read, in `seconds`."""
        self._wait(seconds)

    def record_failure(self) -> None:
        """Schedule the read after one that failed or returned nothing usable."""
        self._last_failure_s = self._clock.monotonic()
        self._wait(self._rng.uniform(self._pause_s / 2, self._pause_s))
        self._pause_s = min(self._max_pause_s, self._pause_s * 2)

    def _wait(self, seconds: float) -> None:
        self._next_s = self._clock.monotonic() + seconds
