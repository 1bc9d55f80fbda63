"""In-memory ledger of the orders whose home is this process."""

import enum

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import Headers
from chicorychute.core.outcomes import Reason
from chicorychute.orders.token import TOKEN_LIFETIME_US, HomeToken, OrderKey

ENTRY_LIMIT = 20_000
RUNNING_LIMIT = 512
ANSWER_BYTES_LIMIT = 64 << 10
TOTAL_BYTES_LIMIT = 8 << 20


class OrderState(enum.Enum):
    """Progress of an order at its home."""

    RUNNING = "running"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class StoredAnswer:
    """Complete answer of an order that ran."""

    status: int
    headers: Headers
    body: bytes
    upstream: str = ""

    def size(self) -> int:
        """Return the bytes that the ledger counts for the answer."""
        headers_size = sum(len(name) + len(value) for name, value in self.headers)
        return headers_size + len(self.body)


@attrs.define
class LedgerEntry:
    """Ledger entry of one order.

    Attributes
    ----------
    expires_us : int
        Reading of the home's monotonic clock, in microseconds.
    """

    fingerprint: str
    state: OrderState
    expires_us: int
    answer: StoredAnswer | None = None


@attrs.frozen
class Dispatch:
    """The order was not seen before and may be dispatched now."""


@attrs.frozen
class ReplayAnswer:
    """The order ran; the caller gets the stored answer."""

    answer: StoredAnswer


@attrs.frozen
class AnswerNotKept:
    """The order ran, and its answer is not stored."""


@attrs.frozen
class Wait:
    """The order is still running."""


@attrs.frozen
class OutcomeUnknown:
    """The order was dispatched and its end is not known."""


@attrs.frozen
class Deny:
    """The order may not be dispatched here, and this request did not dispatch it."""

    reason: Reason


OrderDecision = Dispatch | ReplayAnswer | AnswerNotKept | Wait | OutcomeUnknown | Deny


class OrderLedger:
    """Decides for each key whether its order may be dispatched.

    A key that was once refused as not run is closed: it never runs afterwards, so a
    caller may place the order under a new key while an earlier send of the first key
    is still in transit. Each closed key takes an entry until the ledger is full; then
    every unused token minted so far is closed at once, and these entries are dropped.

    Parameters
    ----------
    instance, incarnation
        Identity of this process; keys of any other home are denied.
    """

    def __init__(self, instance: str, incarnation: int, clock: Clock):
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._entry_by_key: dict[OrderKey, LedgerEntry] = {}
        self._last_minted_us = -1
        self._closed_until_us = -1
        self._leaving = False
        self.running = 0
        self.answer_bytes = 0

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def mint(self) -> HomeToken | None:
        """Return a new token for callers, None once the home is leaving."""
        if self._leaving:
            return None
        self._last_minted_us = max(self._now_us(), self._last_minted_us + 1)
        return HomeToken(self._instance, self._incarnation, self._last_minted_us)

    def leave(self) -> None:
        """Mint no more tokens and close every key not seen yet."""
        self._leaving = True

    def owns(self, key: OrderKey) -> bool:
        """Return whether this process is the home of `key`."""
        return (key.home.instance, key.home.incarnation) == (
            self._instance,
            self._incarnation,
        )

    def begin(self, key: OrderKey, fingerprint: str) -> OrderDecision:
        """Decide on a request to run an order; on Dispatch it is marked as running."""
        if not self.owns(key):
            return Deny(Reason.HOME_LOST)
        self._drop_expired()
        entry = self._entry_by_key.get(key)
        if entry is not None:
            return _decide_known(entry, fingerprint)
        reason = self._closed_reason(key)
        if reason is not None:
            return Deny(reason)
        if self._is_full():
            self._close_unused_tokens()
            return Deny(Reason.LEDGER_FULL)
        if self.running >= RUNNING_LIMIT:
            self._add(key, fingerprint, OrderState.NOT_RUN)
            return Deny(Reason.OVERLOAD)
        self._add(key, fingerprint, OrderState.RUNNING)
        self.running += 1
        return Dispatch()

    def close(self, key: OrderKey) -> bool:
        """Close a key; return False if its order may have run."""
        if not self.owns(key):
            return False
        self._drop_expired()
        entry = self._entry_by_key.get(key)
        if entry is not None:
            return entry.state is OrderState.NOT_RUN
        reason = self._closed_reason(key)
        if reason is not None:
            return reason is not Reason.KEY_EXPIRED
        if self._is_full():
            self._close_unused_tokens()
        else:
            self._add(key, "", OrderState.NOT_RUN)
        return True

    def record_not_run(self, key: OrderKey) -> None:
        """Close the key of a dispatched order that is proved not to have run."""
        self._end(key, OrderState.NOT_RUN)

    def record_ran(self, key: OrderKey, answer: StoredAnswer) -> None:
        """Record that an order ran, and store its answer if there is room."""
        entry = self._end(key, OrderState.RAN)
        size = answer.size()
        if size <= ANSWER_BYTES_LIMIT and self.answer_bytes + size <= TOTAL_BYTES_LIMIT:
            entry.answer = answer
            self.answer_bytes += size

    def record_ran_without_answer(self, key: OrderKey) -> None:
        """Record that an order ran and that there is no answer to store."""
        self._end(key, OrderState.RAN)

    def record_unknown(self, key: OrderKey) -> None:
        """Record that the end of an order can't be known."""
        self._end(key, OrderState.UNKNOWN)

    def _now_us(self) -> int:
        return int(self._clock.monotonic() * 1_000_000)

    def _closed_reason(self, key: OrderKey) -> Reason | None:
        """Return why a key without an entry may not be dispatched, None if it may."""
        minted_us = key.home.minted_us
        if minted_us > self._last_minted_us:
            return Reason.KEY_REQUIRED
        if key.home.is_expired(self._now_us()):
            return Reason.KEY_EXPIRED
        if minted_us <= self._closed_until_us:
            return Reason.KEY_CLOSED
        return Reason.LEAVING if self._leaving else None

    def _is_full(self) -> bool:
        return len(self) >= ENTRY_LIMIT or self.answer_bytes >= TOTAL_BYTES_LIMIT

    def _add(self, key: OrderKey, fingerprint: str, state: OrderState) -> None:
        # A token may be ahead of the clock when many are minted at once.
        begun_us = max(self._now_us(), key.home.minted_us)
        entry = LedgerEntry(fingerprint, state, begun_us + TOKEN_LIFETIME_US)
        self._entry_by_key[key] = entry

    def _end(self, key: OrderKey, state: OrderState) -> LedgerEntry:
        entry = self._entry_by_key[key]
        entry.state = state
        self.running -= 1
        return entry

    def _close_unused_tokens(self) -> None:
        self._closed_until_us = self._last_minted_us
        self._entry_by_key = {
            key: entry
            for key, entry in self._entry_by_key.items()
            if entry.state is not OrderState.NOT_RUN
        }

    def _drop_expired(self) -> None:
        """Drop the oldest entries that expired; their tokens expired before them."""
        now_us = self._now_us()
        expired = []
        for key, entry in self._entry_by_key.items():
            if entry.expires_us >= now_us or entry.state is OrderState.RUNNING:
                break
            expired.append(key)
        for key in expired:
            entry = self._entry_by_key.pop(key)
            if entry.answer is not None:
                self.answer_bytes -= entry.answer.size()


def _decide_known(entry: LedgerEntry, fingerprint: str) -> OrderDecision:
    if entry.state is OrderState.NOT_RUN:
        return Deny(Reason.KEY_CLOSED)
    if entry.fingerprint != fingerprint:
        return Deny(Reason.KEY_MISMATCH)
    match entry.state:
        case OrderState.RUNNING:
            return Wait()
        case OrderState.RAN if entry.answer is None:
            return AnswerNotKept()
        case OrderState.RAN:
            return ReplayAnswer(entry.answer)
        case _:
            return OutcomeUnknown()
