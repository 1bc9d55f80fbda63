"""Judges one upstream from first-hand results, relative to its peers."""

import enum

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import Verdict

MIN_EVIDENCE = 8
DECAY = 0.8  # weight kept by older results with each new one
FAILURE_LIMIT = 0.3
SLOW_FACTOR = 4.0
EJECTION_S = 3.0
EJECTION_MAX_S = 60.0


class Result(enum.Enum):
    """How a request at an upstream ended."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    CANCELLED = "cancelled"


@attrs.frozen
class Observation:
    """Result of one request at the upstream.

    Attributes
    ----------
    latency_s : float
        Time between dispatch and the whole answer.
    """

    rank: str
    result: Result
    latency_s: float


class UpstreamJudge:
    """Verdict on one upstream.

    Parameters
    ----------
    sensitivity : float
        Above 1 ejects sooner, below 1 later.
    """

    def __init__(self, clock: Clock, sensitivity: float = 1.0):
        self._clock = clock
        self.sensitivity = sensitivity
        self.latency_s = 0.0
        self.failure_share = 0.0
        self._seen = 0
        self._ejections = 0
        self._ejected_until_s = 0.0
        self._verdict = Verdict.HEALTHY
        self.reason = ""

    def observe(self, observation: Observation, peer_latency_s: float) -> None:
        """Add one result; `peer_latency_s` is the peers' median, 0 if unknown."""
        if observation.result is Result.CANCELLED:
            return
        failed = observation.result is Result.FAILED
        self._seen += 1
        weight = max(1 - DECAY, 1 / self._seen)
        self.failure_share += weight * (failed - self.failure_share)
        self.latency_s += weight * (observation.latency_s - self.latency_s)
        if self._verdict is Verdict.PROBING:
            self._finish_probe(failed, peer_latency_s)
        elif self._verdict is Verdict.HEALTHY and self._seen >= MIN_EVIDENCE:
            self._consider_ejection(peer_latency_s)

    def verdict(self) -> Verdict:
        """Return the verdict now; an ejected upstream comes up for probing."""
        now = self._clock.monotonic()
        if self._verdict is Verdict.SICK and now >= self._ejected_until_s:
            self._verdict = Verdict.PROBING
        return self._verdict

    def _consider_ejection(self, peer_latency_s: float) -> None:
        if self.failure_share * self.sensitivity > FAILURE_LIMIT:
            self._eject(f"{self.failure_share:.0%} of requests failed")
        elif 0 < peer_latency_s * SLOW_FACTOR < self.latency_s * self.sensitivity:
            ratio = self.latency_s / peer_latency_s
            self._eject(f"{ratio:.1f} times as slow as its peers")

    def _finish_probe(self, failed: bool, peer_latency_s: float) -> None:
        slow = 0 < peer_latency_s * SLOW_FACTOR < self.latency_s
        if failed or slow:
            self._eject("probe failed" if failed else "probe was slow")
            return
        self._verdict = Verdict.HEALTHY
        self.reason = ""
        self._seen = 0
        self.failure_share = 0.0

    def _eject(self, reason: str) -> None:
        self._ejections += 1
        hold_s = min(EJECTION_S * 2 ** (self._ejections - 1), EJECTION_MAX_S)
        self._ejected_until_s = self._clock.monotonic() + hold_s
        self._verdict = Verdict.SICK
        self.reason = reason
