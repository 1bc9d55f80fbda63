"""Cumulative sums of log-likelihood ratios (Page, 1954), one for each channel."""

from chicorychute.health.evidence import Channel

CHANNELS = len(Channel)
SUSPECT_LEVEL = 0.4  # share of the limit at which a peer counts as suspect


class CusumSet:
    """Sums that never fall below zero, and when each last became suspect.

    Under healthy traffic the mean number of observations until a sum passes `h`
    is at least ``exp(h)``, whatever the distribution, as long as the ratios are
    of probabilities that bound it.
    """

    __slots__ = ("values", "suspect_since_s")

    def __init__(self) -> None:
        self.values = [0.0] * CHANNELS
        self.suspect_since_s = [0.0] * CHANNELS

    def add(self, channel: Channel, ratio: float, now_s: float, limit: float) -> bool:
        """Add one ratio; the sum stays at or below `limit`.

        Returns
        -------
        bool
            Whether the sum is at the limit.
        """
        values = self.values
        before = values[channel]
        value = before + ratio
        if value <= 0.0:
            values[channel] = 0.0
            return False
        if before < SUSPECT_LEVEL * limit <= value:
            self.suspect_since_s[channel] = now_s
        if value < limit:
            values[channel] = value
            return False
        values[channel] = limit
        return True

    def clear(self) -> None:
        """Forget all evidence."""
        self.values = [0.0] * CHANNELS

    def highest(self) -> tuple[float, Channel]:
        """Return the greatest sum and its channel."""
        value = max(self.values)
        return value, Channel(self.values.index(value))
