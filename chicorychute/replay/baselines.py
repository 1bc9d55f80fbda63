"""Plain judges that the judge in force is measured against."""

from collections import deque

from chicorychute.core.clock import Clock
from chicorychute.core.messages import RankDigest, UpstreamDigest, Verdict
from chicorychute.health.evidence import Observation, Result
from chicorychute.health.judge import Attempt

MIN_EVIDENCE = 8
HOLD_S = 3.0
DECAY = 0.8
WINDOW = 20
BAD_RESULTS = frozenset((Result.FAILED, Result.SHED, Result.TIMED_OUT))


class PlainJudge:
    """Part that the plain judges share: a fixed time out, then back in full.

    Attributes
    ----------
    sensitivity : float
        Taken from the table and without effect, as is a cold start.
    """

    reason = "plain limit"
    failure_share = 0.0
    weight = 1.0
    suspicion = 0.0

    def __init__(self, clock: Clock, cold: bool = False):
        self.sensitivity = 1.0
        self._clock = clock
        self._verdict = Verdict.HEALTHY
        self._until_s = 0.0
        self._latency_s = 0.0
        self._peer_latency_s = 0.0

    def begin(self, rank: str) -> Attempt:
        """Note a dispatch."""
        return Attempt(rank, self._clock.monotonic())

    def tick(self) -> None:
        """Do nothing: only ended requests count."""

    def verdict(self) -> Verdict:
        """Return the verdict; the time out ends by itself."""
        if self._verdict is Verdict.SICK and self._clock.monotonic() >= self._until_s:
            self._verdict = Verdict.HEALTHY
        return self._verdict

    def update_peers(self, peers: list[UpstreamDigest]) -> None:
        """Keep the median latency of the healthy peers."""
        known = sorted(
            peer.latency_ms / 1000
            for peer in peers
            if peer.verdict is Verdict.HEALTHY and peer.latency_ms > 0
        )
        self._peer_latency_s = known[len(known) // 2] if known else 0.0

    @property
    def latency_s(self) -> float:
        """Latency that the peers are told, 0 where none is kept."""
        return self._latency_s

    def rank_digests(self) -> tuple[RankDigest, ...]:
        """Return no detail by rank: plain judges keep none."""
        return ()

    def digest(self, upstream: str) -> UpstreamDigest:
        """Return what the peers are told."""
        latency_ms = self._latency_s * 1000
        verdict = self.verdict()
        return UpstreamDigest(upstream, "", verdict, 1, 0, 0, latency_ms, 0.0, 1.0)

    def _eject(self) -> None:
        self._verdict = Verdict.SICK
        self._until_s = self._clock.monotonic() + HOLD_S


class MovingAverageJudge(PlainJudge):
    """Compares moving averages of latency and failures with fixed factors.

    Parameters
    ----------
    slow_factor : float
        Ratio to the peers' average that ejects.
    """

    def __init__(self, clock: Clock, slow_factor: float = 4.0, cold: bool = False):
        super().__init__(clock, cold)
        self._slow_factor = slow_factor
        self._failure_limit = 0.075 * slow_factor
        self._failure_share = 0.0
        self._seen = 0

    def observe(self, observation: Observation, attempt: Attempt) -> None:
        """Add one result."""
        self._seen += 1
        weight = max(1 - DECAY, 1 / self._seen)
        failed = observation.result in BAD_RESULTS
        self._failure_share += weight * (failed - self._failure_share)
        self._latency_s += weight * (observation.latency_s - self._latency_s)
        if self.verdict() is Verdict.SICK or self._seen < MIN_EVIDENCE:
            return
        slow = 0 < self._peer_latency_s * self._slow_factor < self._latency_s
        if slow or self._failure_share > self._failure_limit:
            self._seen = 0
            self._failure_share = 0.0
            self._eject()


class FixedThresholdJudge(PlainJudge):
    """Ejects where too many of the last results failed or passed a fixed time.

    Parameters
    ----------
    limit_s : float
        Latency above which a result is bad.
    bad_share : float
        Share of the last results that ejects.
    """

    def __init__(
        self,
        clock: Clock,
        limit_s: float = 0.2,
        bad_share: float = 0.3,
        cold: bool = False,
    ):
        super().__init__(clock, cold)
        self._limit_s = limit_s
        self._bad_share = bad_share
        self._recent: deque[bool] = deque(maxlen=WINDOW)

    def observe(self, observation: Observation, attempt: Attempt) -> None:
        """Add one result."""
        slow = observation.latency_s > self._limit_s
        self._recent.append(slow or observation.result in BAD_RESULTS)
        if self.verdict() is Verdict.SICK or len(self._recent) < WINDOW:
            return
        if sum(self._recent) >= self._bad_share * WINDOW:
            self._recent.clear()
            self._eject()
