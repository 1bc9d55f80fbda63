"""Budgets of a service: retries, and bytes to and from other regions."""

from chicorychute.core.clock import Clock

MAX_SAVED_RETRIES = 10.0
BYTES_PER_KILOBYTE = 1000
# An idle daemon saves up no more than the budget of this time.
CROSS_REGION_BURST_S = 1.0


class RetryBudget:
    """Token bucket that each request fills by the retry share of the table.

    Parameters
    ----------
    max_retries : float
        Retries that may be saved up; the bucket starts full.
    """

    def __init__(self, max_retries: float = MAX_SAVED_RETRIES) -> None:
        self._tokens = max_retries

    def deposit(
        self, retry_share: float, max_retries: float = MAX_SAVED_RETRIES
    ) -> None:
        """Credit one request with `retry_share` retries, up to `max_retries`."""
        self._tokens = min(self._tokens + retry_share, max_retries)

    def allows(self, retries: int) -> bool:
        """Return whether at least this number of retries is left."""
        return self._tokens >= retries

    def withdraw(self) -> bool:
        """Take one retry; return False if less than one is left."""
        if not self.allows(1):
            return False
        self._tokens -= 1
        return True


def burst_of_one(row_burst: float, fleet_burst: float, daemons: int) -> float:
    """Return the retries that one daemon may save up.

    Load pattern: a fault that many daemons see at the same moment, so that each spends
    at once what it has saved up. What they spend together must not exceed the retries
    that the fleet may spend, however many daemons there are.

    Parameters
    ----------
    row_burst : float
        Limit of the table for each daemon.
    fleet_burst : float
        Retries that all daemons together may save up, 0 for no limit.
    daemons : int
        Number of daemons in the fleet.

    Returns
    -------
    float
        At least 1, as a smaller budget would never allow a retry.
    """
    if not fleet_burst:
        return row_burst
    return max(1.0, min(row_burst, fleet_burst / max(daemons, 1)))


class CrossRegionBudget:
    """Token bucket of the bytes that one service may exchange with other regions.

    The length of an answer is not known before it arrives, so a request may
    overdraw the budget; no other is allowed until the overdraft is paid back.
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
        """Take `size` bytes that crossed the border of the region."""
        self._available_bytes -= size

    def _refill(self, kbps: float) -> None:
        now_s = self._clock.monotonic()
        bytes_per_s = kbps * BYTES_PER_KILOBYTE
        balance_bytes = self._available_bytes + (now_s - self._refilled_s) * bytes_per_s
        self._available_bytes = min(balance_bytes, bytes_per_s * CROSS_REGION_BURST_S)
        self._refilled_s = now_s
