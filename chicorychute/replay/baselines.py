"""Baseline judges that the judge in force is compared with."""

from collections import deque

from chicorychute.core.clock import Clock
from chicorychute.core.messages import RankDigest, UpstreamDigest, Verdict
from chicorychute.health.evidence import Observation, Result
from chicorychute.health.judge import Attempt

MIN_RESULTS = 8
EJECTION_S = 3.0
AVERAGE_DECAY = 0.8  # Weight of the previous average when a result is added.
WINDOW_RESULTS = 20
BAD_RESULTS = frozenset((Result.FAILED, Result.SHED, Result.TIMED_OUT))


class BaselineJudge:
    """Base of the baseline judges: ejects for a fixed time, then returns in full.

    Attributes
    ----------
    sensitivity : float
        Set from the table but without effect, like the parameter `cold`.
    """

    reason = "plain limit"
    failure_share = 0.0
    weight = 1.0
    suspicion = 0.0

    def __init__(self, clock: Clock, cold: bool = False):
        self.sensitivity = 1.0
        self._clock = clock
        self._verdict = Verdict.HEALTHY
        self._ejected_until_s = 0.0
        self._latency_s = 0.0
        self._peer_latency_s = 0.0

    def begin(self, rank: str) -> Attempt:
        """Return an attempt that starts now."""
        return Attempt(rank, self._clock.monotonic())

    def tick(self) -> None:
        """Do nothing: only finished requests count."""

    def verdict(self) -> Verdict:
        """Return the verdict; an ejection ends after `EJECTION_S`."""
        if (
            self._verdict is Verdict.SICK
            and self._clock.monotonic() >= self._ejected_until_s
        ):
            self._verdict = Verdict.HEALTHY
        return self._verdict

    def update_peers(self, peers: list[UpstreamDigest]) -> None:
        """Store the median latency of the healthy peers."""
        latencies_s = sorted(
            peer.latency_ms / 1000
            for peer in peers
            if peer.verdict is Verdict.HEALTHY and peer.latency_ms > 0
        )
        self._peer_latency_s = (
            latencies_s[len(latencies_s) // 2] if latencies_s else 0.0
        )

    @property
    def latency_s(self) -> float:
        """Latency reported to the peers in seconds, 0 if none is measured."""
        return self._latency_s

    def rank_digests(self) -> tuple[RankDigest, ...]:
        """Return no digests: baseline judges keep no state by rank."""
        return ()

    def digest(self, upstream: str) -> UpstreamDigest:
        """Return the digest reported to the peers."""
        latency_ms = self._latency_s * 1000
        verdict = self.verdict()
        return UpstreamDigest(upstream, "", verdict, 1, 0, 0, latency_ms, 0.0, 1.0)

    def _eject(self) -> None:
        self._verdict = Verdict.SICK
        self._ejected_until_s = self._clock.monotonic() + EJECTION_S


class MovingAverageJudge(BaselineJudge):
    """Compares moving averages of latency and failures with fixed limits.

    Parameters
    ----------
    slow_factor : float
        Ratio to the peers' median latency above which an upstream is ejected.
        The limit on failures is proportional to it.
    """

    def __init__(self, clock: Clock, slow_factor: float = 4.0, cold: bool = False):
        super().__init__(clock, cold)
        self._slow_factor = slow_factor
        self._failure_fraction_limit = 0.075 * slow_factor
        self._failure_fraction = 0.0
        self._result_count = 0

    def observe(self, observation: Observation, attempt: Attempt) -> None:
        """Add the result of a request."""
        self._result_count += 1
        weight = max(1 - AVERAGE_DECAY, 1 / self._result_count)
        failed = observation.result in BAD_RESULTS
        self._failure_fraction += weight * (failed - self._failure_fraction)
        self._latency_s += weight * (observation.latency_s - self._latency_s)
        if self.verdict() is Verdict.SICK or self._result_count < MIN_RESULTS:
            return
        is_slow = 0 < self._peer_latency_s * self._slow_factor < self._latency_s
        if is_slow or self._failure_fraction > self._failure_fraction_limit:
            self._result_count = 0
            self._failure_fraction = 0.0
            self._eject()


class FixedThresholdJudge(BaselineJudge):
    """Ejects if too many of the last results failed or exceeded a fixed latency.

    Parameters
    ----------
    latency_limit_s : float
        Latency above which a result is bad, in seconds.
    bad_fraction : float
        Fraction of bad results in the window at which an upstream is ejected.
    """

    def __init__(
        self,
        clock: Clock,
        latency_limit_s: float = 0.2,
        bad_fraction: float = 0.3,
        cold: bool = False,
    ):
        super().__init__(clock, cold)
        self._latency_limit_s = latency_limit_s
        self._bad_fraction = bad_fraction
        self._recent_bad: deque[bool] = deque(maxlen=WINDOW_RESULTS)

    def observe(self, observation: Observation, attempt: Attempt) -> None:
        """Add the result of a request."""
        is_slow = observation.latency_s > self._latency_limit_s
        self._recent_bad.append(is_slow or observation.result in BAD_RESULTS)
        if self.verdict() is Verdict.SICK or len(self._recent_bad) < WINDOW_RESULTS:
            return
        if sum(self._recent_bad) >= self._bad_fraction * WINDOW_RESULTS:
            self._recent_bad.clear()
            self._eject()
