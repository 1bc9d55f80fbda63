"""Budgets of a service: retries, and bytes beyond the region."""

from chicorychute.core.clock import Clock

MAX_SAVED_RETRIES = 10.0
BYTES_PER_KILOBYTE = 1000
CROSS_REGION_BURST_S = 1.0  # time in which an idle daemon saves up its budget


class RetryBudget:
    """Token bucket that each request fills by the table's share.

    Parameters
    ----------
    max_retries : float
        Retries that may be saved up, and the ones at the start.
    """

    def __init__(self, max_retries: float = MAX_SAVED_RETRIES) -> None:
        self._tokens = max_retries

    def deposit(
        self, retry_share: float, max_retries: float = MAX_SAVED_RETRIES
    ) -> None:
        """Credit one request."""
        self._tokens = min(self._tokens + retry_share, max_retries)

    def withdraw(self) -> bool:
        """Take one retry; returns False when the budget is spent."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CrossRegionBudget:
    """Token bucket of the bytes that one service may send beyond the region.

    The length of an answer is not known before it comes, so a request may
    overdraw the budget; the next one then waits until it is paid back.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._refilled_s = clock.monotonic() - CROSS_REGION_BURST_S
        self._available_bytes = 0.0

    def allows(self, kbps: float) -> bool:
        """Return whether more may be sent, at a budget of `kbps` kilobytes a second."""
        self._refill(kbps)
        return self._available_bytes > 0

    def spend(self, size: int) -> None:
        """Take bytes that crossed the region's border."""
        self._available_bytes -= size

    def _refill(self, kbps: float) -> None:
        now_s = self._clock.monotonic()
        bytes_per_s = kbps * BYTES_PER_KILOBYTE
        balance_bytes = self._available_bytes + (now_s - self._refilled_s) * bytes_per_s
        self._available_bytes = min(balance_bytes, bytes_per_s * CROSS_REGION_BURST_S)
        self._refilled_s = now_s
