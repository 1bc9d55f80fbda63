"""Requests that crash their upstream, known by their fingerprints.

A request in flight at a crash is a suspect and runs alone from then on, so that
a second crash has one cause. One that was in flight at two crashes, at one of
them alone, is convicted: it is refused until its record expires.
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
LOST_LIMIT = 64
LOST_WITH_CRASH_S = 0.5  # connections of one crash break within it
CRASHES_TO_REFUSE = 2
CRASHES_KEPT = 8  # of one request, enough to convict it
FINGERPRINT_BYTES = 16


class Ruling(enum.Enum):
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
        Names the crash in the whole fleet.
    sole : bool
        Whether the request was the only one in flight.
    """

    id: str
    instance: str
    upstream: str
    sole: bool


@attrs.frozen
class _Lost:
    fingerprint: str
    at_s: float


@attrs.define
class _Suspect:
    expires_s: float
    crash_by_id: dict[str, Crash] = attrs.field(factory=dict)

    @property
    def instances(self) -> set[str]:
        return {crash.instance for crash in self.crash_by_id.values()}

    @property
    def ambiguous(self) -> bool:
        """Whether others were in flight at each of several crashes."""
        return len(self.crash_by_id) >= CRASHES_TO_REFUSE and not self._sole

    @property
    def convicted(self) -> bool:
        return len(self.crash_by_id) >= CRASHES_TO_REFUSE and self._sole

    @property
    def _sole(self) -> bool:
        return any(crash.sole for crash in self.crash_by_id.values())


def fingerprint(service: str, method: str, target: str, body: bytes) -> str:
    """Return what a request sent again has in common with the first one."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f"{service}\n{method} {target}\n".encode())
    digest.update(body)
    return digest.hexdigest()


class Quarantine:
    """Rules on requests by the crashes that they were in flight at.

    Parameters
    ----------
    instance, incarnation
        Identity of this process, which names its crashes.
    """

    def __init__(self, instance: str, incarnation: int, clock: Clock):
        self._instance = instance
        self._prefix = f"{instance}@{incarnation}"
        self._clock = clock
        self._numbers = itertools.count(1)
        self._running_by_upstream: dict[str, dict[int, str]] = {}
        self._lost_by_upstream: dict[str, deque[_Lost]] = {}
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._cleared: OrderedDict[tuple[str, str], None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspect_by_fingerprint)

    def rule(self, fingerprint: str) -> Ruling:
        """Say how a request may run here."""
        suspect = self._suspect(fingerprint)
        if suspect is None:
            return Ruling.FREE
        if suspect.convicted:
            return Ruling.REFUSED
        # A request that is one of several suspects of two crashes may prove itself
        # only on an instance that was lost to it already.
        if suspect.ambiguous and self._instance not in suspect.instances:
            return Ruling.ELSEWHERE
        return Ruling.ALONE

    def started(self, upstream: str, fingerprint: str) -> int:
        """Note a request in flight; returns a number for its end."""
        number = next(self._numbers)
        self._running_by_upstream.setdefault(upstream, {})[number] = fingerprint
        return number

    def ended(self, upstream: str, number: int, answered: bool) -> None:
        """Note the end of a request; a suspect that was answered is cleared."""
        running = self._running_by_upstream.get(upstream, {})
        ended = running.pop(number, None)
        if ended is None:
            return
        if answered:
            self._clear(ended)
            return
        lost = self._lost_by_upstream.setdefault(upstream, deque(maxlen=LOST_LIMIT))
        lost.append(_Lost(ended, self._clock.monotonic()))

    def crashed(self, upstream: str, number: int) -> tuple[QuarantineNotice, ...]:
        """Note that the upstream crashed under a request.

        Returns
        -------
        tuple of QuarantineNotice
            What every peer must hear; empty where this crash is known already.
        """
        running = self._running_by_upstream.get(upstream, {})
        if number not in running:
            return ()
        in_flight = sorted({*running.values(), *self._lost_with_it(upstream)})
        running.clear()
        self._lost_by_upstream.pop(upstream, None)
        id = f"{self._prefix}/{next(self._numbers)}"
        crash = Crash(id, self._instance, upstream, sole=len(in_flight) == 1)
        for suspect in in_flight:
            self._record(suspect, crash, QUARANTINE_S)
        return tuple(_notice(suspect, crash, QUARANTINE_S) for suspect in in_flight)

    def _lost_with_it(self, upstream: str) -> set[str]:
        """Return requests whose connections broke just before the crash was seen."""
        since_s = self._clock.monotonic() - LOST_WITH_CRASH_S
        lost = self._lost_by_upstream.get(upstream, ())
        return {entry.fingerprint for entry in lost if entry.at_s >= since_s}

    def on_notice(self, notice: QuarantineNotice) -> None:
        """Take a crash seen at a peer."""
        if (notice.fingerprint, notice.crash) in self._cleared:
            return
        crash = Crash(notice.crash, notice.instance, notice.upstream, notice.sole)
        remaining_s = min(notice.remaining_s, QUARANTINE_S)
        self._record(notice.fingerprint, crash, remaining_s)

    def notices(self) -> tuple[QuarantineNotice, ...]:
        """Return every crash that still counts, for a peer that missed some."""
        now_s = self._clock.monotonic()
        return tuple(
            _notice(fingerprint, crash, suspect.expires_s - now_s)
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            for crash in suspect.crash_by_id.values()
            if suspect.expires_s > now_s
        )

    def _suspect(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is not None and suspect.expires_s <= self._clock.monotonic():
            del self._suspect_by_fingerprint[fingerprint]
            return None
        return suspect

    def _record(self, fingerprint: str, crash: Crash, remaining_s: float) -> None:
        suspect = self._suspect(fingerprint)
        if suspect is None:
            if len(self._suspect_by_fingerprint) >= SUSPECT_LIMIT:
                self._suspect_by_fingerprint.popitem(last=False)
            suspect = self._suspect_by_fingerprint[fingerprint] = _Suspect(0.0)
        expires_s = self._clock.monotonic() + remaining_s
        suspect.expires_s = max(suspect.expires_s, expires_s)
        if len(suspect.crash_by_id) < CRASHES_KEPT:
            suspect.crash_by_id[crash.id] = crash
        if suspect.convicted:
            self._acquit_beside(fingerprint, suspect)

    def _acquit_beside(self, convicted: str, suspect: _Suspect) -> None:
        """Clear the others of the crashes that a convicted request explains."""
        explained = suspect.crash_by_id.keys()
        for fingerprint, other in list(self._suspect_by_fingerprint.items()):
            if fingerprint == convicted:
                continue
            for id in other.crash_by_id.keys() & explained:
                self._remember_cleared(fingerprint, other.crash_by_id.pop(id))
            if not other.crash_by_id:
                del self._suspect_by_fingerprint[fingerprint]

    def _clear(self, fingerprint: str) -> None:
        suspect = self._suspect(fingerprint)
        if suspect is None or suspect.convicted:
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
