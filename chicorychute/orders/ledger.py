"""In-memory ledger of the orders whose home is this process."""

import enum

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import Headers
from chicorychute.core.outcomes import Reason
from chicorychute.orders.token import HomeToken, OrderKey

LEDGER_LIMIT = 20_000


class OrderState(enum.Enum):
    """Progress of an order at its home."""

    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"


@attrs.frozen
class StoredAnswer:
    """Whole answer of an order that ran."""

    status: int
    headers: Headers
    body: bytes


@attrs.define
class Entry:
    """Ledger entry of one order."""

    fingerprint: str
    state: OrderState
    expires_s: float
    answer: StoredAnswer | None = None


@attrs.frozen
class Dispatch:
    """The order was never seen and may be dispatched now."""


@attrs.frozen
class Repeat:
    """The order ran; the caller gets the stored answer."""

    answer: StoredAnswer


@attrs.frozen
class Wait:
    """The order is running."""


@attrs.frozen
class Lost:
    """The order was dispatched and its end is not known."""


@attrs.frozen
class Deny:
    """The order may not be dispatched here, and was not by this request."""

    reason: Reason


Ruling = Dispatch | Repeat | Wait | Lost | Deny


class OrderLedger:
    """Says for each key whether it may be dispatched.

    Parameters
    ----------
    instance, incarnation
        Identity of this process; keys of any other home are denied.
    """

    def __init__(self, instance: str, incarnation: int, clock: Clock):
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._entry_by_key: dict[OrderKey, Entry] = {}

    def mint(self) -> HomeToken:
        """Return a token under which callers may place orders here."""
        now_s = int(self._clock.monotonic())
        return HomeToken(self._instance, self._incarnation, now_s)

    def owns(self, key: OrderKey) -> bool:
        """Return whether this process is the home of `key`."""
        return (key.home.instance, key.home.incarnation) == (
            self._instance,
            self._incarnation,
        )

    def begin(self, key: OrderKey, fingerprint: str) -> Ruling:
        """Rule on a request to run an order, marking it running on Dispatch."""
        if not self.owns(key):
            return Deny(Reason.HOME_LOST)
        entry = self._entry_by_key.get(key)
        if entry is not None:
            return _rule_on_known(entry, fingerprint)
        if key.home.expired(self._clock.monotonic()):
            return Deny(Reason.KEY_EXPIRED)
        if len(self._entry_by_key) >= LEDGER_LIMIT:
            self._drop_expired()
        if len(self._entry_by_key) >= LEDGER_LIMIT:
            return Deny(Reason.LEDGER_FULL)
        expires_s = self._clock.monotonic() + 2 * 3600
        self._entry_by_key[key] = Entry(fingerprint, OrderState.RUNNING, expires_s)
        return Dispatch()

    def not_run(self, key: OrderKey) -> None:
        """Forget a dispatch that is proved not to have run."""
        self._entry_by_key.pop(key, None)

    def ran(self, key: OrderKey, answer: StoredAnswer) -> None:
        """Keep the answer of an order that ran."""
        entry = self._entry_by_key[key]
        entry.state = OrderState.RAN
        entry.answer = answer

    def lost(self, key: OrderKey) -> None:
        """Mark an order whose end can't be known."""
        self._entry_by_key[key].state = OrderState.UNKNOWN

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        self._entry_by_key = {
            key: entry
            for key, entry in self._entry_by_key.items()
            if entry.expires_s > now or entry.state is OrderState.RUNNING
        }


def _rule_on_known(entry: Entry, fingerprint: str) -> Ruling:
    if entry.fingerprint != fingerprint:
        return Deny(Reason.KEY_MISMATCH)
    match entry.state:
        case OrderState.RUNNING:
            return Wait()
        case OrderState.RAN:
            return Repeat(entry.answer)
        case OrderState.UNKNOWN:
            return Lost()
