"""Budgets of a service: retries, and bytes beyond the region."""

from chicorychute.core.clock import Clock

MAX_SAVED_RETRIES = 10.0
BYTES_PER_KILOBYTE = 1000
REGION_BURST_S = 1.0  # time in which an idle daemon saves up its budget


class RetryBudget:
    """Token bucket that each request fills by the table's share.

    Parameters
    ----------
    most : float
        Retries that may be saved up, and the ones at the start.
    """

    def __init__(self, most: float = MAX_SAVED_RETRIES) -> None:
        self._tokens = most

    def deposit(self, share: float, most: float = MAX_SAVED_RETRIES) -> None:
        """Credit one request."""
        self._tokens = min(self._tokens + share, most)

    def withdraw(self) -> bool:
        """Take one retry; returns False when the budget is spent."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RegionBudget:
    """Token bucket of the bytes that one service may send beyond the region.

    The length of an answer is not known before it comes, so a request may
    overdraw the budget; the next one then waits until it is paid back.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._filled_s = clock.monotonic() - REGION_BURST_S
        self._bytes = 0.0

    def allows(self, kbps: float) -> bool:
        """Return whether more may be sent, at a budget of `kbps` kilobytes a second."""
        self._fill(kbps)
        return self._bytes > 0

    def spend(self, size: int) -> None:
        """Take bytes that crossed the region's border."""
        self._bytes -= size

    def _fill(self, kbps: float) -> None:
        now_s = self._clock.monotonic()
        rate = kbps * BYTES_PER_KILOBYTE
        saved = self._bytes + (now_s - self._filled_s) * rate
        self._bytes = min(saved, rate * REGION_BURST_S)
        self._filled_s = now_s
