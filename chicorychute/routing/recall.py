"""Decides when the end of a request is asked for over another network path.

Load pattern: the network path to a gate, or the path back, stops delivering while
requests are in flight. No connection breaks, so the entry would wait until the
deadline for an answer that was lost, or for a request that never arrived. Here a link
on which nothing was heard for a while is pinged, and if the ping gets no answer the end
of each request is asked for through a third instance, a *recall*. The gate sends the
end that it stored, or reports that the request never arrived; it then refuses the
request for good, so that the entry can safely send it elsewhere.
"""

import enum
from collections import OrderedDict
from collections.abc import Hashable

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import AnswerHead, Refusal

# Most requests are answered by then, so that no ping is needed.
PING_AFTER_S = 0.25
# Each covers a round trip of a link, with the time that a slowed daemon may need.
PING_TIMEOUT_S = 0.2
OTHER_REGION_PING_TIMEOUT_S = 0.4
# Time between two recalls of a request, which go through different helpers.
RECALL_INTERVAL_S = 0.4
# Time to the next recall after a gate reported that the request runs.
RUNNING_RECALL_INTERVAL_S = 1.5
# Recalls without a reply after which no more are sent. A repeatable request is sent
# elsewhere sooner.
MAX_RECALLS = 3
MAX_RECALLS_REPEATABLE = 1

# Time for which a gate remembers a request; above any deadline in use.
SEEN_RETENTION_S = 120.0
# About the requests of `SEEN_RETENTION_S` at 70 a second.
MAX_SEEN_REQUESTS = 8192
# Long enough for several recalls of one request.
END_RETENTION_S = 5.0
MAX_STORED_END_BYTES = 4 << 20
# Time for which a revocation outlasts the deadline of its request. A message that
# arrives even later is refused by its deadline.
REVOCATION_MARGIN_S = 10.0
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
    """When a peer was last heard on a link, and when it was last pinged.

    Times are readings of the monotonic clock in seconds.

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
        """Return whether the link is closed, or nothing was heard after a ping."""
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
    sent_s : float
        When the request was sent.
    unanswered : int
        Recalls since the gate last replied.
    next_recall_s : float
        When the request may be recalled next.
    """

    sent_s: float
    repeatable: bool
    unanswered: int = 0
    next_recall_s: float = 0.0

    @property
    def max_unanswered(self) -> int:
        """Recalls without a reply after which no more are sent."""
        return MAX_RECALLS_REPEATABLE if self.repeatable else MAX_RECALLS

    def record_sent(self, now_s: float) -> None:
        """Record that a recall was sent."""
        self.unanswered += 1
        self.next_recall_s = now_s + RECALL_INTERVAL_S

    def record_running(self, now_s: float) -> None:
        """Record that the gate runs the request and will send its end."""
        self.unanswered = 0
        self.next_recall_s = now_s + RUNNING_RECALL_INTERVAL_S


def next_step(now_s: float, recalls: Recalls, liveness: LinkLiveness) -> Step:
    """Return what to do about a request without an answer.

    A repeatable request is given up if its recalls get no reply, as it can run
    elsewhere. Any other keeps waiting, as its link may recover, unless that is closed.
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
    """Decision of a gate on a recalled request.

    Attributes
    ----------
    RUNNING
        The request runs; its end will be sent.
    ENDED
        The request ended, and its end is still stored.
    FORGOTTEN
        Whether the request ran is not known any more.
    REVOKED
        The request never arrived, and is refused if it does.
    """

    RUNNING = "runs"
    ENDED = "ended"
    FORGOTTEN = "forgotten"
    REVOKED = "revoked"


@attrs.frozen
class SendKey:
    """Identifies one send of a request: the sending process, and the id it gave."""

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
    """Requests that a gate received, and those that it must not run; not thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock by which requests, ends and revocations expire.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen_by_key: OrderedDict[SendKey, _SeenRequest] = OrderedDict()
        self._stored_s_by_key: OrderedDict[SendKey, float] = OrderedDict()
        self._stored_bytes = 0
        self._revoked_until_s_by_key: OrderedDict[SendKey, float] = OrderedDict()
        # The ids of one sender increase, so that the highest covers all forgotten ones.
        self._highest_forgotten_id_by_sender: OrderedDict[tuple[str, int], int] = (
            OrderedDict()
        )

    def register(self, key: SendKey) -> bool:
        """Record a request; return False if it was revoked and must not run."""
        self._expire()
        if key in self._revoked_until_s_by_key:
            return False
        self._seen_by_key[key] = _SeenRequest(self._clock.monotonic(), [])
        if len(self._seen_by_key) > MAX_SEEN_REQUESTS:
            self._forget(next(iter(self._seen_by_key)))
        return True

    def record_end(self, key: SendKey, end: RequestEnd | None) -> list[Hashable]:
        """Record the end of a request and return the waiters for it.

        Parameters
        ----------
        end : RequestEnd, optional
            None if it is too long to store.
        """
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
        """Decide on a request that its entry recalls; revoke it if it never arrived.

        Parameters
        ----------
        remaining_s : float
            Time until its deadline.
        waiter : hashable
            To whom the end is sent as well, if the request still runs.
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
