"""Home tokens: which incarnation alone may dispatch an order, and until when."""

import re

import attrs
from result import Err, Ok, Result

from chicorychute.core.outcomes import Reason

TOKEN_LIFETIME_US = 1_800_000_000
MAX_KEY_CHARS = 200
KEY_PATTERN = re.compile(
    r"(?P<instance>[^/\s]+)@(?P<incarnation>[0-9]{1,18})\.(?P<minted>[0-9]{1,18})"
    r"/(?P<unique>[A-Za-z0-9._~:-]{1,64})"
)

NAMES_HOME_PATTERN = re.compile(r".+@[0-9]+\.[0-9]+/.+", re.DOTALL)


@attrs.frozen
class HomeToken:
    """Identifies the only process that may dispatch orders placed under it.

    Attributes
    ----------
    minted_us : int
        Reading of the home's own monotonic clock, in microseconds; no two
        tokens of one incarnation share it.
    """

    instance: str
    incarnation: int
    minted_us: int

    def __str__(self) -> str:
        return f"{self.instance}@{self.incarnation}.{self.minted_us}"

    def is_expired(self, now_us: int) -> bool:
        """Return whether the token has expired at the home's clock reading `now_us`."""
        return now_us - self.minted_us > TOKEN_LIFETIME_US


@attrs.frozen
class OrderKey:
    """Idempotency key of an order: a home token and the caller's unique part."""

    home: HomeToken
    unique: str

    def __str__(self) -> str:
        return f"{self.home}/{self.unique}"


def parse_key(text: str) -> Result[OrderKey, Reason]:
    """Parse an ``Idempotency-Key`` header; Err holds the reason for a refusal.

    A text that names a home but breaks the syntax of a key is refused as one whose
    home is lost: another release may have accepted it.
    """
    match = KEY_PATTERN.fullmatch(text)
    if match is None or len(text) > MAX_KEY_CHARS:
        names_home = NAMES_HOME_PATTERN.fullmatch(text)
        return Err(Reason.HOME_LOST if names_home else Reason.KEY_REQUIRED)
    token = HomeToken(
        match["instance"], int(match["incarnation"]), int(match["minted"])
    )
    return Ok(OrderKey(token, match["unique"]))


def may_name_order(text: str) -> bool:
    """Return whether an order may have run under this ``Idempotency-Key``.

    A text that names no home is not a key in any release: nothing ran under it.
    """
    return parse_key(text) != Err(Reason.KEY_REQUIRED)
