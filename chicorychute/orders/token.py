"""Home tokens: which incarnation alone may dispatch an order, and until when."""

import attrs
from result import Err, Ok, Result

from chicorychute.core.outcomes import Reason

TOKEN_LIFE_S = 3600.0


@attrs.frozen
class HomeToken:
    """Names the only process that may dispatch orders placed under it.

    Attributes
    ----------
    minted_s : int
        Reading of the home's own monotonic clock, in whole seconds.
    """

    instance: str
    incarnation: int
    minted_s: int

    def __str__(self) -> str:
        return f"{self.instance}@{self.incarnation}.{self.minted_s}"

    def expired(self, now_s: float) -> bool:
        """Return whether the home's clock reading `now_s` is past its life."""
        return now_s - self.minted_s > TOKEN_LIFE_S


@attrs.frozen
class OrderKey:
    """Idempotency key of an order: a home token and the caller's unique part."""

    home: HomeToken
    unique: str

    def __str__(self) -> str:
        return f"{self.home}/{self.unique}"


def parse_key(text: str) -> Result[OrderKey, Reason]:
    """Read an ``Idempotency-Key`` header; Err says what to tell the caller."""
    token, _, unique = text.partition("/")
    instance, _, reading = token.rpartition("@")
    incarnation, _, minted = reading.partition(".")
    if not (instance and unique and incarnation.isdecimal() and minted.isdecimal()):
        return Err(Reason.KEY_REQUIRED)
    return Ok(OrderKey(HomeToken(instance, int(incarnation), int(minted)), unique))
