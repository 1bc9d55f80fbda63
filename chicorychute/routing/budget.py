"""Retry budget of a service as a share of its requests."""

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Token bucket that each request fills by the table's share."""

    def __init__(self) -> None:
        self._tokens = MAX_SAVED_RETRIES

    def deposit(self, share: float) -> None:
        """Credit one request."""
        self._tokens = min(self._tokens + share, MAX_SAVED_RETRIES)

    def withdraw(self) -> bool:
        """Take one retry; returns False when the budget is spent."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
