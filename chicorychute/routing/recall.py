"""Decides when a request that was sent to a gate is asked for by another way.

Load pattern: the way to a gate, or the way back, goes dark while requests are under
way. No connection breaks, so the entry would wait until the deadline for an answer
that was lost, or for a request that never came. Here a silent link is asked for a
sign of life, and without one the end of each request is asked for through a third
instance, a *recall*. The gate tells the end that it kept, or that the request never
came; it then refuses the request for good, so that it can safely be sent elsewhere.
"""

import enum
from collections import OrderedDict
from collections.abc import Hashable

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import AnswerHead, Refusal

PING_AFTER_S = 0.25  # most work is done by then, and needs no sign of life
# Turns of a link with the time that a slowed daemon may need for one.
PING_TIMEOUT_S = 0.2
OTHER_REGION_PING_TIMEOUT_S = 0.4
RECALL_INTERVAL_S = 0.4  # between two recalls of a request through different helpers
RUNNING_RECALL_INTERVAL_S = 1.5  # after a gate has said that the request runs
# Recalls without any reply: one that may be repeated is sooner sent elsewhere.
MAX_RECALLS = 3
MAX_RECALLS_REPEATABLE = 1

# For which a gate knows what it was sent; above any deadline in use.
SEEN_RETENTION_S = 120.0
MAX_SEEN_REQUESTS = 8192  # requests of about as many seconds at 70 a second
END_RETENTION_S = 5.0  # for which an end is kept: several recalls
MAX_STORED_END_BYTES = 4 << 20
REVOCATION_MARGIN_S = 10.0  # beyond its deadline, which a late message is measured by
MAX_REVOKED_REQUESTS = 4096
MAX_SENDERS = 8192

RequestEnd = AnswerHead | Refusal


class Step(enum.Enum):
    """What to do next about a request that waits for its answer."""

    WAIT = "wait"
    PING = "ping"
    RECALL = "recall"
    GIVE_UP = "give up"


@attrs.define
class LinkLiveness:
    """When a link was last heard, and last asked for a sign of life.

    Attributes
    ----------
    other_region : bool
        Whether the gate is in another region.
    link_closed : bool
        Whether the link is closed.
    """

    last_heard_s: float
    last_pinged_s: float | None = None
    other_region: bool = False
    link_closed: bool = False

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether a sign of life is overdue."""
        if self.link_closed:
            return True
        if self.last_pinged_s is None or self.last_heard_s >= self.last_pinged_s:
            return False
        timeout_s = OTHER_REGION_PING_TIMEOUT_S if self.other_region else PING_TIMEOUT_S
        return now_s - self.last_pinged_s >= timeout_s


@attrs.define
class Recalls:
    """Recalls of one request.

    Attributes
    ----------
    unanswered : int
        Since its gate was last heard of.
    next_recall_s : float
        When it may be asked for again.
    """

    sent_s: float
    repeatable: bool
    unanswered: int = 0
    next_recall_s: float = 0.0

    @property
    def max_unanswered(self) -> int:
        """Recalls without reply after which no more are sent."""
        return MAX_RECALLS_REPEATABLE if self.repeatable else MAX_RECALLS

    def record_sent(self, now_s: float) -> None:
        """Note a recall."""
        self.unanswered += 1
        self.next_recall_s = now_s + RECALL_INTERVAL_S

    def record_running(self, now_s: float) -> None:
        """Note that the gate runs the request and will tell its end."""
        self.unanswered = 0
        self.next_recall_s = now_s + RUNNING_RECALL_INTERVAL_S


def next_step(now_s: float, recalls: Recalls, liveness: LinkLiveness) -> Step:
    """Return what to do about a request without an answer.

    A request that may be repeated is given up where no recall is replied to: it can
    run elsewhere. Any other waits on, as its link may heal, unless that is closed.
    """
    if liveness.is_unresponsive(now_s):
        if now_s < recalls.next_recall_s:
            return Step.WAIT
        if recalls.unanswered < recalls.max_unanswered:
            return Step.RECALL
        return Step.GIVE_UP if recalls.repeatable or liveness.link_closed else Step.WAIT
    ping_outstanding = (
        liveness.last_pinged_s is not None
        and liveness.last_heard_s < liveness.last_pinged_s
    )
    silent_s = now_s - max(
        recalls.sent_s, liveness.last_heard_s, liveness.last_pinged_s or 0.0
    )
    if not ping_outstanding and silent_s >= PING_AFTER_S:
        return Step.PING
    return Step.WAIT


class RecallDecision(enum.Enum):
    """What a gate knows of a request that is recalled."""

    RUNNING = "runs"
    ENDED = "ended"
    FORGOTTEN = "forgotten"
    REVOKED = "revoked"


@attrs.frozen
class SendKey:
    """Names one send of a request: the process that sent it, and its number there."""

    instance: str
    incarnation: int
    id: int


@attrs.define
class _SeenRequest:
    received_s: float
    waiters: list[Hashable]
    end: RequestEnd | None = None
    ended: bool = False


class RecallRegistry:
    """What a gate was sent, and what it must not run any more; not thread-safe.

    Parameters
    ----------
    clock : Clock
        Its readings age what is kept.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen_by_key: OrderedDict[SendKey, _SeenRequest] = OrderedDict()
        self._stored_s_by_key: OrderedDict[SendKey, float] = OrderedDict()
        self._stored_bytes = 0
        self._revoked_until_s_by_key: OrderedDict[SendKey, float] = OrderedDict()
        # Numbers of one sender rise, so that one number tells all forgotten ones.
        self._highest_forgotten_id_by_sender: OrderedDict[tuple[str, int], int] = (
            OrderedDict()
        )

    def register(self, key: SendKey) -> bool:
        """Note a request; returns False if it was revoked and must not run."""
        self._expire()
        if key in self._revoked_until_s_by_key:
            return False
        self._seen_by_key[key] = _SeenRequest(self._clock.monotonic(), [])
        if len(self._seen_by_key) > MAX_SEEN_REQUESTS:
            self._forget(next(iter(self._seen_by_key)))
        return True

    def record_end(self, key: SendKey, end: RequestEnd | None) -> list[Hashable]:
        """Note an end, None if it is too long to keep; returns who has asked for it."""
        seen = self._seen_by_key.get(key)
        if seen is None:
            return []
        seen.ended = True
        to_notify, seen.waiters = seen.waiters, []
        if end is not None:
            seen.end = end
            self._stored_s_by_key[key] = self._clock.monotonic()
            self._stored_bytes += _body_size(end)
            while self._stored_bytes > MAX_STORED_END_BYTES:
                self._drop_end(next(iter(self._stored_s_by_key)))
        return to_notify

    def recall(
        self, key: SendKey, remaining_s: float, waiter: Hashable
    ) -> tuple[RecallDecision, RequestEnd | None]:
        """Rule on a request that its entry asks for.

        Parameters
        ----------
        remaining_s : float
            Time until its deadline.
        waiter : hashable
            Where its end is told too, if it still runs.
        """
        self._expire()
        seen = self._seen_by_key.get(key)
        if seen is not None and not seen.ended:
            if waiter not in seen.waiters:
                seen.waiters.append(waiter)
            return RecallDecision.RUNNING, None
        if seen is not None:
            decision = (
                RecallDecision.FORGOTTEN if seen.end is None else RecallDecision.ENDED
            )
            return decision, seen.end
        if key in self._revoked_until_s_by_key:
            return RecallDecision.REVOKED, None
        sender = (key.instance, key.incarnation)
        forgotten = key.id <= self._highest_forgotten_id_by_sender.get(sender, -1)
        if forgotten or len(self._revoked_until_s_by_key) >= MAX_REVOKED_REQUESTS:
            return RecallDecision.FORGOTTEN, None
        revoked_until_s = (
            self._clock.monotonic() + max(remaining_s, 0.0) + REVOCATION_MARGIN_S
        )
        self._revoked_until_s_by_key[key] = revoked_until_s
        return RecallDecision.REVOKED, None

    def _expire(self) -> None:
        now_s = self._clock.monotonic()
        while self._stored_s_by_key:
            key, stored_s = next(iter(self._stored_s_by_key.items()))
            if now_s - stored_s <= END_RETENTION_S:
                break
            self._drop_end(key)
        while self._seen_by_key:
            key, seen = next(iter(self._seen_by_key.items()))
            if now_s - seen.received_s <= SEEN_RETENTION_S:
                break
            self._forget(key)
        while self._revoked_until_s_by_key:
            key, revoked_until_s = next(iter(self._revoked_until_s_by_key.items()))
            if now_s < revoked_until_s:
                break
            del self._revoked_until_s_by_key[key]

    def _forget(self, key: SendKey) -> None:
        if key in self._stored_s_by_key:
            self._drop_end(key)
        del self._seen_by_key[key]
        sender = (key.instance, key.incarnation)
        highest = max(key.id, self._highest_forgotten_id_by_sender.pop(sender, -1))
        self._highest_forgotten_id_by_sender[sender] = highest
        if len(self._highest_forgotten_id_by_sender) > MAX_SENDERS:
            self._highest_forgotten_id_by_sender.popitem(last=False)

    def _drop_end(self, key: SendKey) -> None:
        del self._stored_s_by_key[key]
        seen = self._seen_by_key[key]
        self._stored_bytes -= _body_size(seen.end)
        seen.end = None


def _body_size(end: RequestEnd) -> int:
    return len(end.body) if isinstance(end, AnswerHead) else 0
