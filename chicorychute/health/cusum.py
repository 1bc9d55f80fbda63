"""Cumulative sums of log-likelihood ratios (Page, 1954), one for each channel."""

from chicorychute.health.evidence import Channel

CHANNEL_COUNT = len(Channel)
# Fraction of the limit from which an upstream counts as suspicious.
SUSPICION_FRACTION = 0.4


class CusumSet:
    """Sums that never fall below zero, and when each last became suspicious.

    Under healthy traffic the mean number of observations until a sum passes `h`
    is at least ``exp(h)``, whatever the distribution, as long as the ratios are
    of probabilities that bound it.
    """

    __slots__ = ("values", "suspicious_since_s")

    def __init__(self) -> None:
        self.values = [0.0] * CHANNEL_COUNT
        self.suspicious_since_s = [0.0] * CHANNEL_COUNT

    def add(
        self, channel: Channel, log_ratio: float, now_s: float, limit: float
    ) -> bool:
        """Add one log-likelihood ratio; the sum stays at or below `limit`.

        Returns
        -------
        bool
            Whether the sum is at the limit.
        """
        values = self.values
        previous = values[channel]
        value = previous + log_ratio
        if value <= 0.0:
            values[channel] = 0.0
            return False
        if previous < SUSPICION_FRACTION * limit <= value:
            self.suspicious_since_s[channel] = now_s
        if value < limit:
            values[channel] = value
            return False
        values[channel] = limit
        return True

    def clear(self) -> None:
        """Discard all evidence."""
        self.values = [0.0] * CHANNEL_COUNT

    def highest(self) -> tuple[float, Channel]:
        """Return the greatest sum and its channel."""
        value = max(self.values)
        return value, Channel(self.values.index(value))
