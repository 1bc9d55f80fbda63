"""Quarantine of requests that crash their upstream, identified by fingerprint.

A request in flight at a crash is a suspect and runs alone from then on, so that
a second crash has one cause. A request that was in flight at two crashes, at one of
them alone, is a confirmed cause: it is refused until its record expires.
"""

import enum
import hashlib
import itertools
from collections import OrderedDict, deque

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import QuarantineNotice

QUARANTINE_S = 600.0
SUSPECT_LIMIT = 1000
CLEARED_LIMIT = 1000
UNANSWERED_LIMIT = 64
CRASH_WINDOW_S = 0.5  # time within which the connections of one crash break
CRASHES_TO_REFUSE = 2
CRASH_LIMIT_PER_SUSPECT = 8  # enough to confirm a cause
FINGERPRINT_BYTES = 16


class QuarantineDecision(enum.Enum):
    """How a request may run at this gate."""

    FREE = "free"
    ALONE = "alone"
    ELSEWHERE = "elsewhere"
    REFUSED = "refused"


@attrs.frozen
class Crash:
    """One crash at which a request was in flight.

    Attributes
    ----------
    id : str
        Identifier of the crash, unique in the fleet.
    sole : bool
        Whether the request was the only one in flight.
    """

    id: str
    instance: str
    upstream: str
    sole: bool


@attrs.frozen
class _Unanswered:
    fingerprint: str
    ended_s: float


@attrs.define
class _Suspect:
    expires_s: float
    crash_by_id: dict[str, Crash] = attrs.field(factory=dict)

    @property
    def instances(self) -> set[str]:
        return {crash.instance for crash in self.crash_by_id.values()}

    @property
    def is_ambiguous(self) -> bool:
        """Whether other requests were in flight at each of several crashes."""
        return len(self.crash_by_id) >= CRASHES_TO_REFUSE and not self._has_sole_crash

    @property
    def is_confirmed_cause(self) -> bool:
        return len(self.crash_by_id) >= CRASHES_TO_REFUSE and self._has_sole_crash

    @property
    def _has_sole_crash(self) -> bool:
        return any(crash.sole for crash in self.crash_by_id.values())


def fingerprint(service: str, method: str, target: str, body: bytes) -> str:
    """Return a hash that a request has again when it is repeated."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f"{service}\n{method} {target}\n".encode())
    digest.update(body)
    return digest.hexdigest()


class Quarantine:
    """Decides how requests may run, by the crashes at which they were in flight.

    Parameters
    ----------
    instance, incarnation
        Identity of this process, the prefix of its crash identifiers.
    """

    def __init__(self, instance: str, incarnation: int, clock: Clock):
        self._instance = instance
        self._crash_id_prefix = f"{instance}@{incarnation}"
        self._clock = clock
        self._sequence = itertools.count(1)
        self._running_by_upstream: dict[str, dict[int, str]] = {}
        self._unanswered_by_upstream: dict[str, deque[_Unanswered]] = {}
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._cleared: OrderedDict[tuple[str, str], None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspect_by_fingerprint)

    def decide(self, fingerprint: str) -> QuarantineDecision:
        """Return how a request may run at this gate."""
        suspect = self._find_suspect(fingerprint)
        if suspect is None:
            return QuarantineDecision.FREE
        if suspect.is_confirmed_cause:
            return QuarantineDecision.REFUSED
        # An ambiguous suspect may run, to be cleared or confirmed, only on an instance
        # that has already crashed with it in flight, so that no other one is lost.
        if suspect.is_ambiguous and self._instance not in suspect.instances:
            return QuarantineDecision.ELSEWHERE
        return QuarantineDecision.ALONE

    def record_start(self, upstream: str, fingerprint: str) -> int:
        """Record a request in flight; return the number to report its end with."""
        number = next(self._sequence)
        self._running_by_upstream.setdefault(upstream, {})[number] = fingerprint
        return number

    def record_end(self, upstream: str, number: int, answered: bool) -> None:
        """Record the end of a request; a suspect that was answered is cleared."""
        running = self._running_by_upstream.get(upstream, {})
        ended_fingerprint = running.pop(number, None)
        if ended_fingerprint is None:
            return
        if answered:
            self._clear(ended_fingerprint)
            return
        unanswered = self._unanswered_by_upstream.setdefault(
            upstream, deque(maxlen=UNANSWERED_LIMIT)
        )
        unanswered.append(_Unanswered(ended_fingerprint, self._clock.monotonic()))

    def record_crash(self, upstream: str, number: int) -> tuple[QuarantineNotice, ...]:
        """Record that the upstream crashed while a request was in flight.

        Returns
        -------
        tuple of QuarantineNotice
            Notices to send to every peer, empty if this crash is already recorded.
        """
        running = self._running_by_upstream.get(upstream, {})
        if number not in running:
            return ()
        in_flight = sorted(
            {*running.values(), *self._unanswered_before_crash(upstream)}
        )
        running.clear()
        self._unanswered_by_upstream.pop(upstream, None)
        id = f"{self._crash_id_prefix}/{next(self._sequence)}"
        crash = Crash(id, self._instance, upstream, sole=len(in_flight) == 1)
        for suspect in in_flight:
            self._record_suspect(suspect, crash, QUARANTINE_S)
        return tuple(_notice(suspect, crash, QUARANTINE_S) for suspect in in_flight)

    def _unanswered_before_crash(self, upstream: str) -> set[str]:
        """Return requests whose connections broke just before the crash was noticed."""
        since_s = self._clock.monotonic() - CRASH_WINDOW_S
        unanswered = self._unanswered_by_upstream.get(upstream, ())
        return {
            request.fingerprint for request in unanswered if request.ended_s >= since_s
        }

    def on_notice(self, notice: QuarantineNotice) -> None:
        """Record a crash reported by a peer."""
        if (notice.fingerprint, notice.crash_id) in self._cleared:
            return
        crash = Crash(notice.crash_id, notice.instance, notice.upstream, notice.sole)
        remaining_s = min(notice.remaining_s, QUARANTINE_S)
        self._record_suspect(notice.fingerprint, crash, remaining_s)

    def notices(self) -> tuple[QuarantineNotice, ...]:
        """Return notices of all unexpired crashes, for a peer that missed some."""
        now_s = self._clock.monotonic()
        return tuple(
            _notice(fingerprint, crash, suspect.expires_s - now_s)
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            for crash in suspect.crash_by_id.values()
            if suspect.expires_s > now_s
        )

    def _find_suspect(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is not None and suspect.expires_s <= self._clock.monotonic():
            del self._suspect_by_fingerprint[fingerprint]
            return None
        return suspect

    def _record_suspect(
        self, fingerprint: str, crash: Crash, remaining_s: float
    ) -> None:
        suspect = self._find_suspect(fingerprint)
        if suspect is None:
            if len(self._suspect_by_fingerprint) >= SUSPECT_LIMIT:
                self._suspect_by_fingerprint.popitem(last=False)
            suspect = self._suspect_by_fingerprint[fingerprint] = _Suspect(0.0)
        expires_s = self._clock.monotonic() + remaining_s
        suspect.expires_s = max(suspect.expires_s, expires_s)
        if len(suspect.crash_by_id) < CRASH_LIMIT_PER_SUSPECT:
            suspect.crash_by_id[crash.id] = crash
        if suspect.is_confirmed_cause:
            self._clear_others(fingerprint, suspect)

    def _clear_others(self, confirmed: str, suspect: _Suspect) -> None:
        """Clear the other suspects of the crashes that a confirmed cause explains."""
        confirmed_crashes = suspect.crash_by_id.keys()
        for fingerprint, other in list(self._suspect_by_fingerprint.items()):
            if fingerprint == confirmed:
                continue
            for id in other.crash_by_id.keys() & confirmed_crashes:
                self._remember_cleared(fingerprint, other.crash_by_id.pop(id))
            if not other.crash_by_id:
                del self._suspect_by_fingerprint[fingerprint]

    def _clear(self, fingerprint: str) -> None:
        suspect = self._find_suspect(fingerprint)
        if suspect is None or suspect.is_confirmed_cause:
            return
        del self._suspect_by_fingerprint[fingerprint]
        for crash in suspect.crash_by_id.values():
            self._remember_cleared(fingerprint, crash)

    def _remember_cleared(self, fingerprint: str, crash: Crash) -> None:
        self._cleared[fingerprint, crash.id] = None
        if len(self._cleared) > CLEARED_LIMIT:
            self._cleared.popitem(last=False)


def _notice(fingerprint: str, crash: Crash, remaining_s: float) -> QuarantineNotice:
    return QuarantineNotice(
        fingerprint, crash.upstream, remaining_s, crash.instance, crash.id, crash.sole
    )
