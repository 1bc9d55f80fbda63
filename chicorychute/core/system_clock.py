"""Clock of the machine, for the running daemon."""

import time
from datetime import UTC, datetime


class SystemClock:
    """Reads the monotonic and wall clocks of the machine."""

    def monotonic(self) -> float:
        """Return seconds on the machine's monotonic clock."""
        return time.monotonic()

    def utc(self) -> datetime:
        """Return the machine's wall clock in UTC."""
        return datetime.now(UTC)
