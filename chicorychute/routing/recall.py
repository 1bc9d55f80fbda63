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

ASK_AFTER_S = 0.25  # most work is done by then, and needs no sign of life
# Turns of a link with the time that a slowed daemon may need for one.
PATIENCE_S = 0.2
FAR_PATIENCE_S = 0.4
AGAIN_S = 0.4  # between two recalls of a request through different helpers
NOTED_S = 1.5  # after a gate has said that the request runs
# Recalls without any reply: one that may be repeated is sooner sent elsewhere.
MOST_RECALLS = 3
MOST_RECALLS_REPEATABLE = 1

SEEN_S = 120.0  # for which a gate knows what it was sent; above any deadline in use
SEEN_LIMIT = 8192  # requests of about as many seconds at 70 a second
KEPT_S = 5.0  # for which an end is kept: several recalls
KEPT_BYTES = 4 << 20
REVOKED_EXTRA_S = 10.0  # beyond its deadline, which a late message is measured by
REVOKED_LIMIT = 4096
SENDERS_LIMIT = 8192

End = AnswerHead | Refusal


class Step(enum.Enum):
    """What to do next about a request that waits for its answer."""

    WAIT = "wait"
    PING = "ping"
    RECALL = "recall"
    GIVE_UP = "give up"


@attrs.define
class LinkSigns:
    """When a link was last heard, and last asked for a sign of life.

    Attributes
    ----------
    far : bool
        Whether the gate is in another region.
    lost : bool
        Whether the link is closed.
    """

    heard_s: float
    pinged_s: float | None = None
    far: bool = False
    lost: bool = False

    def is_mute(self, now_s: float) -> bool:
        """Return whether a sign of life is overdue."""
        if self.lost:
            return True
        if self.pinged_s is None or self.heard_s >= self.pinged_s:
            return False
        patience_s = FAR_PATIENCE_S if self.far else PATIENCE_S
        return now_s - self.pinged_s >= patience_s


@attrs.define
class Recalls:
    """Recalls of one request.

    Attributes
    ----------
    unanswered : int
        Since its gate was last heard of.
    next_s : float
        When it may be asked for again.
    """

    sent_s: float
    repeatable: bool
    unanswered: int = 0
    next_s: float = 0.0

    @property
    def most(self) -> int:
        """Recalls without reply after which no more are sent."""
        return MOST_RECALLS_REPEATABLE if self.repeatable else MOST_RECALLS

    def asked(self, now_s: float) -> None:
        """Note a recall."""
        self.unanswered += 1
        self.next_s = now_s + AGAIN_S

    def noted(self, now_s: float) -> None:
        """Note that the gate runs the request and will tell its end."""
        self.unanswered = 0
        self.next_s = now_s + NOTED_S


def next_step(now_s: float, recalls: Recalls, signs: LinkSigns) -> Step:
    """Return what to do about a request without an answer.

    A request that may be repeated is given up where no recall is replied to: it can
    run elsewhere. Any other waits on, as its link may heal, unless that is closed.
    """
    if signs.is_mute(now_s):
        if now_s < recalls.next_s:
            return Step.WAIT
        if recalls.unanswered < recalls.most:
            return Step.RECALL
        return Step.GIVE_UP if recalls.repeatable or signs.lost else Step.WAIT
    waits_for_sign = signs.pinged_s is not None and signs.heard_s < signs.pinged_s
    silent_s = now_s - max(recalls.sent_s, signs.heard_s, signs.pinged_s or 0.0)
    if not waits_for_sign and silent_s >= ASK_AFTER_S:
        return Step.PING
    return Step.WAIT


class Ruling(enum.Enum):
    """What a gate knows of a request that is recalled."""

    RUNS = "runs"
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
class _Seen:
    at_s: float
    askers: list[Hashable]
    end: End | None = None
    ended: bool = False


class RecallBook:
    """What a gate was sent, and what it must not run any more; not thread-safe.

    Parameters
    ----------
    clock : Clock
        Its readings age what is kept.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen_by_key: OrderedDict[SendKey, _Seen] = OrderedDict()
        self._kept_s_by_key: OrderedDict[SendKey, float] = OrderedDict()
        self._kept_bytes = 0
        self._until_s_by_revoked: OrderedDict[SendKey, float] = OrderedDict()
        # Numbers of one sender rise, so that one number tells all forgotten ones.
        self._forgotten_id_by_sender: OrderedDict[tuple[str, int], int] = OrderedDict()

    def came(self, key: SendKey) -> bool:
        """Note a request; returns False if it was revoked and must not run."""
        self._age()
        if key in self._until_s_by_revoked:
            return False
        self._seen_by_key[key] = _Seen(self._clock.monotonic(), [])
        if len(self._seen_by_key) > SEEN_LIMIT:
            self._forget(next(iter(self._seen_by_key)))
        return True

    def ended(self, key: SendKey, end: End | None) -> list[Hashable]:
        """Note an end, None if it is too long to keep; returns who has asked for it."""
        seen = self._seen_by_key.get(key)
        if seen is None:
            return []
        seen.ended = True
        asked, seen.askers = seen.askers, []
        if end is not None:
            seen.end = end
            self._kept_s_by_key[key] = self._clock.monotonic()
            self._kept_bytes += _size(end)
            while self._kept_bytes > KEPT_BYTES:
                self._drop_end(next(iter(self._kept_s_by_key)))
        return asked

    def recall(
        self, key: SendKey, left_s: float, asker: Hashable
    ) -> tuple[Ruling, End | None]:
        """Rule on a request that its entry asks for.

        Parameters
        ----------
        left_s : float
            Time until its deadline.
        asker : hashable
            Where its end is told too, if it still runs.
        """
        self._age()
        seen = self._seen_by_key.get(key)
        if seen is not None and not seen.ended:
            if asker not in seen.askers:
                seen.askers.append(asker)
            return Ruling.RUNS, None
        if seen is not None:
            ruling = Ruling.FORGOTTEN if seen.end is None else Ruling.ENDED
            return ruling, seen.end
        if key in self._until_s_by_revoked:
            return Ruling.REVOKED, None
        sender = (key.instance, key.incarnation)
        forgotten = key.id <= self._forgotten_id_by_sender.get(sender, -1)
        if forgotten or len(self._until_s_by_revoked) >= REVOKED_LIMIT:
            return Ruling.FORGOTTEN, None
        until_s = self._clock.monotonic() + max(left_s, 0.0) + REVOKED_EXTRA_S
        self._until_s_by_revoked[key] = until_s
        return Ruling.REVOKED, None

    def _age(self) -> None:
        now_s = self._clock.monotonic()
        while self._kept_s_by_key:
            key, kept_s = next(iter(self._kept_s_by_key.items()))
            if now_s - kept_s <= KEPT_S:
                break
            self._drop_end(key)
        while self._seen_by_key:
            key, seen = next(iter(self._seen_by_key.items()))
            if now_s - seen.at_s <= SEEN_S:
                break
            self._forget(key)
        while self._until_s_by_revoked:
            key, until_s = next(iter(self._until_s_by_revoked.items()))
            if now_s < until_s:
                break
            del self._until_s_by_revoked[key]

    def _forget(self, key: SendKey) -> None:
        if key in self._kept_s_by_key:
            self._drop_end(key)
        del self._seen_by_key[key]
        sender = (key.instance, key.incarnation)
        highest = max(key.id, self._forgotten_id_by_sender.pop(sender, -1))
        self._forgotten_id_by_sender[sender] = highest
        if len(self._forgotten_id_by_sender) > SENDERS_LIMIT:
            self._forgotten_id_by_sender.popitem(last=False)

    def _drop_end(self, key: SendKey) -> None:
        del self._kept_s_by_key[key]
        seen = self._seen_by_key[key]
        self._kept_bytes -= _size(seen.end)
        seen.end = None


def _size(end: End) -> int:
    return len(end.body) if isinstance(end, AnswerHead) else 0
