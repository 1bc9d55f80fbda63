"""Judges one upstream by first-hand results, relative to its peers."""

from collections.abc import Iterable

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import RankDigest, UpstreamDigest, Verdict
from chicorychute.health.cusum import SUSPICION_FRACTION, CusumSet
from chicorychute.health.evidence import (
    FIRST_TAIL_BIN,
    LATENCY_LOG_RATIOS,
    UNKNOWN_BASELINE,
    Baseline,
    Channel,
    Observation,
    Result,
    baselines,
    effective_result,
)
from chicorychute.health.probe import FAST_PROBE_PERIOD_S, PROBE_PERIOD_S, PROBE_RANK
from chicorychute.health.recent import RecentResults
from chicorychute.health.rotation import Rotation

THRESHOLD = 14.0  # log-likelihood ratio that ejects, at sensitivity 1
MIN_THRESHOLD = 4.0
MIN_SUSPICION_S = 1.5  # gives the peers' digests time to show the same cause
# The cause is common if more than this fraction of the peers is suspicious.
COMMON_CAUSE_FRACTION = 0.5
COMMON_CAUSE_S = 5.0  # gives the peers' digests time to show the change in full
RETURN_THRESHOLD_FACTOR = 0.5  # applies while an upstream returns
# Suspicion from which an idle upstream is probed more often. One failure suffices.
PROBE_SUSPICION = 0.05
PROBE_THRESHOLD = 5.0
PROBE_GOOD_RESULTS = 5
MAX_TICK_GAP_S = 1.0  # a longer gap means that the daemon itself was paused

TIMED_RESULTS = frozenset((Result.OK, Result.TIMED_OUT))
LATENCY_CHANNELS = frozenset(channel for channel, _ in LATENCY_LOG_RATIOS)
REASON_BY_CHANNEL = {
    Channel.FAILED: "fails more often than its peers",
    Channel.SHED: "sheds while its peers don't",
    Channel.EMPTY: "answers without a body while its peers don't",
    Channel.SLOW: "slower than its peers",
    Channel.FAR_SLOWER: "far slower than its peers",
    Channel.STALLED: "requests stand still",
}


@attrs.define(eq=False)
class Attempt:
    """Request that runs at the upstream.

    Attributes
    ----------
    counted_bin : int
        Tail bin that already counts as evidence, 0 for none.
    """

    rank: str
    started_s: float
    counted_bin: int = 0


@attrs.define(eq=False)
class _RankEvidence:
    recent: RecentResults
    sums: CusumSet


class UpstreamJudge:
    """Verdict on one upstream.

    Call `begin` and `observe` at the start and end of each request, `tick` at regular
    intervals, and `update_peers` with the digests that it is compared with.

    Parameters
    ----------
    sensitivity : float
        Above 1 ejects sooner, below 1 later.
    cold : bool
        Whether the upstream must warm up before its speed is judged.
    """

    def __init__(self, clock: Clock, sensitivity: float = 1.0, cold: bool = False):
        self._clock = clock
        self.sensitivity = sensitivity
        self.reason = ""
        self._all_sums = CusumSet()
        self._evidence_by_rank: dict[str, _RankEvidence] = {}
        self._baseline_by_rank: dict[str, Baseline] = {}
        self._attempts: set[Attempt] = set()
        self._rotation = Rotation(clock.monotonic(), cold)
        self._common_cause_until_s: float | None = None
        self._valid_from_s = clock.monotonic()
        self._last_dispatch_s = clock.monotonic()
        self._last_tick_s: float | None = None
        self._good_results = 0
        self._ejected_by_probe = False
        self._last_rank = ""
        self._threshold_reached = False

    @property
    def latency_s(self) -> float:
        """Median service time in seconds of the most used rank, 0 if unknown."""
        digests = self.rank_digests()
        return max(digests, key=_sample_count).p50_ms / 1000 if digests else 0.0

    @property
    def failure_share(self) -> float:
        """Fraction of recent requests that failed, 0 to 1."""
        digests = self.rank_digests()
        total = sum(digest.count for digest in digests)
        failed = sum(digest.failure_share * digest.count for digest in digests)
        return failed / total if total else 0.0

    @property
    def suspicion(self) -> float:
        """Greatest evidence as a fraction of the ejection threshold, 0 to 1."""
        threshold = self._threshold(self._clock.monotonic())
        return min(self._highest()[0] / threshold, 1.0)

    @property
    def weight(self) -> float:
        """Fraction of its slots that a returning upstream should be given."""
        return self._rotation.weight(self._clock.monotonic())

    @property
    def ejections(self) -> int:
        """Ejections since the start."""
        return self._rotation.ejections

    def rank_digests(self) -> tuple[RankDigest, ...]:
        """Return the digest of each rank, for the digest of this upstream."""
        return tuple(e.recent.digest() for e in self._evidence_by_rank.values())

    def update_peers(self, peers: Iterable[UpstreamDigest]) -> None:
        """Replace the digests of the service's other upstreams."""
        warm = [peer for peer in peers if peer.verdict is not Verdict.COLD]
        self._baseline_by_rank = baselines(warm)
        suspicious_count = sum(
            peer.verdict is Verdict.SICK or peer.suspicion >= SUSPICION_FRACTION
            for peer in warm
        )
        if suspicious_count > COMMON_CAUSE_FRACTION * len(warm):
            self._common_cause_until_s = self._clock.monotonic() + COMMON_CAUSE_S

    def verdict(self) -> Verdict:
        """Return the current verdict; ejection turns into probing after its time."""
        now_s = self._clock.monotonic()
        if self._rotation.advance(now_s):
            self._discard_evidence(now_s)
        return self._rotation.verdict

    def begin(self, rank: str) -> Attempt:
        """Record the dispatch of a request."""
        attempt = Attempt(rank, self._clock.monotonic())
        self._last_dispatch_s = attempt.started_s
        self._attempts.add(attempt)
        return attempt

    def probe_due(self) -> bool:
        """Return whether the upstream should be probed now."""
        if self.verdict() is Verdict.SICK:
            return False
        probing = self._rotation.verdict is Verdict.PROBING
        suspicious = probing or self.suspicion >= PROBE_SUSPICION
        period_s = FAST_PROBE_PERIOD_S if suspicious else PROBE_PERIOD_S
        return self._clock.monotonic() - self._last_dispatch_s >= period_s

    def record_answer_start(self, attempt: Attempt) -> None:
        """Stop timing a request whose answer has begun.

        The rest of the answer depends on its reader too.
        """
        self._attempts.discard(attempt)

    def tick(self) -> None:
        """Count requests that run longer than those of the peers, and decide."""
        now_s = self._clock.monotonic()
        self._discard_after_pause(now_s)
        self._last_tick_s = now_s
        self.verdict()
        for attempt in self._attempts:
            if attempt.started_s >= self._valid_from_s:
                self._add_running(attempt, now_s - attempt.started_s)
        self._decide(now_s)

    def observe(self, observation: Observation, attempt: Attempt | None = None) -> None:
        """Record the end of a request."""
        now_s = self._clock.monotonic()
        self._discard_after_pause(now_s)
        counted_bin = 0
        started_s = now_s - observation.latency_s
        if attempt is not None:
            self._attempts.discard(attempt)
            counted_bin = attempt.counted_bin
            started_s = attempt.started_s
        result = effective_result(observation)
        if result is Result.CANCELLED or started_s < self._valid_from_s:
            return
        evidence = self._evidence(observation.rank)
        evidence.recent.add(result, observation.latency_s)
        if self.verdict() is Verdict.SICK:
            return
        self._add_result(evidence, observation.latency_s, result, counted_bin)
        if self._proves_health(observation, result):
            self._good_results += 1
        self._decide(now_s)

    def _proves_health(self, observation: Observation, result: Result) -> bool:
        """Return whether a result counts towards a return.

        An upstream may answer its probe path and fail all other requests, so good
        probes only restore an upstream that was ejected by probes.
        """
        if result is not Result.OK:
            return False
        if observation.rank == PROBE_RANK and not self._ejected_by_probe:
            return False
        latency_bin = self._baseline(observation.rank).bin_index(observation.latency_s)
        return latency_bin < FIRST_TAIL_BIN

    def _add_result(
        self,
        evidence: _RankEvidence,
        latency_s: float,
        result: Result,
        counted_bin: int,
    ) -> None:
        baseline = self._baseline(evidence.recent.rank)
        if result is not Result.TIMED_OUT:
            for channel, bad, test in (
                (Channel.FAILED, Result.FAILED, baseline.failed),
                (Channel.SHED, Result.SHED, baseline.shed),
                (Channel.EMPTY, Result.EMPTY, baseline.empty),
            ):
                self._add(evidence, channel, test.bad if result is bad else test.good)
        if not baseline.bin_edges_s or result not in TIMED_RESULTS:
            return
        latency_bin = baseline.bin_index(latency_s)
        if result is Result.TIMED_OUT and latency_bin < FIRST_TAIL_BIN:
            return
        self._add_latency(evidence, latency_bin, counted_bin)

    def _add_running(self, attempt: Attempt, elapsed_s: float) -> None:
        baseline = self._baseline(attempt.rank)
        latency_bin = baseline.bin_index(elapsed_s)
        if latency_bin >= FIRST_TAIL_BIN and latency_bin > attempt.counted_bin:
            self._add_latency(
                self._evidence(attempt.rank), latency_bin, attempt.counted_bin
            )
            attempt.counted_bin = latency_bin

    def _add_latency(
        self, evidence: _RankEvidence, latency_bin: int, counted_bin: int
    ) -> None:
        """Add the evidence of a bin, less that counted while the request ran."""
        for channel, log_ratios in LATENCY_LOG_RATIOS:
            log_ratio = (
                log_ratios[latency_bin] - log_ratios[counted_bin]
                if counted_bin
                else log_ratios[latency_bin]
            )
            self._add(evidence, channel, log_ratio)

    def _add(self, evidence: _RankEvidence, channel: Channel, log_ratio: float) -> None:
        if log_ratio < 0.0 and not self._all_sums.values[channel]:
            if not evidence.sums.values[channel]:
                return
        elif log_ratio == 0.0:
            return
        self._last_rank = evidence.recent.rank
        now_s = self._clock.monotonic()
        limit = self._threshold(now_s)
        self._threshold_reached |= self._all_sums.add(channel, log_ratio, now_s, limit)
        if len(self._evidence_by_rank) > 1:
            self._threshold_reached |= evidence.sums.add(
                channel, log_ratio, now_s, limit
            )

    def _decide(self, now_s: float) -> None:
        match self._rotation.verdict:
            case Verdict.HEALTHY | Verdict.COLD if self._threshold_reached:
                self._consider_ejection(now_s)
            case Verdict.PROBING:
                self._consider_return(now_s)

    def _consider_ejection(self, now_s: float) -> None:
        """Eject if the evidence has lasted until the peers' digests could arrive."""
        threshold = self._threshold(now_s)
        highest = [(sums, *sums.highest()) for sums in self._sums()]
        reached = [
            (sums, channel) for sums, value, channel in highest if value >= threshold
        ]
        self._threshold_reached = bool(reached)
        if self._is_common_cause(now_s):
            return
        for sums, channel in reached:
            if self._rotation.verdict is Verdict.COLD and channel in LATENCY_CHANNELS:
                continue
            if now_s - sums.suspicious_since_s[channel] >= MIN_SUSPICION_S:
                self._ejected_by_probe = self._last_rank == PROBE_RANK
                self._eject(REASON_BY_CHANNEL[channel], now_s)
                return

    def _is_common_cause(self, now_s: float) -> bool:
        """Return whether the cause is common; discard its evidence at the end."""
        if self._common_cause_until_s is None:
            return False
        if now_s >= self._common_cause_until_s:
            self._common_cause_until_s = None
            self._discard_evidence(now_s)
        return True

    def _consider_return(self, now_s: float) -> None:
        value, channel = self._highest()
        if value >= PROBE_THRESHOLD:
            self._eject(f"probe: {REASON_BY_CHANNEL[channel]}", now_s)
        elif (
            self._good_results >= PROBE_GOOD_RESULTS
            or self._rotation.is_probe_wait_over(now_s)
        ):
            self._rotation.restore(now_s)
            self.reason = ""
            self._discard_evidence(now_s)

    def _eject(self, reason: str, now_s: float) -> None:
        self._rotation.eject(now_s)
        self.reason = reason
        self._discard_evidence(now_s)

    def _discard_evidence(self, now_s: float) -> None:
        """Discard the evidence of requests dispatched before now."""
        self._valid_from_s = now_s
        self._good_results = 0
        for sums in self._sums():
            sums.clear()

    def _discard_after_pause(self, now_s: float) -> None:
        if self._last_tick_s is not None and now_s - self._last_tick_s > MAX_TICK_GAP_S:
            self._last_tick_s = now_s
            self._discard_evidence(now_s)

    def _threshold(self, now_s: float) -> float:
        threshold = max(THRESHOLD / self.sensitivity, MIN_THRESHOLD)
        if self._rotation.is_returning(now_s):
            return threshold * RETURN_THRESHOLD_FACTOR
        return threshold

    def _sums(self) -> list[CusumSet]:
        return [self._all_sums, *(e.sums for e in self._evidence_by_rank.values())]

    def _highest(self) -> tuple[float, Channel]:
        return max(sums.highest() for sums in self._sums())

    def _evidence(self, rank: str) -> _RankEvidence:
        evidence = self._evidence_by_rank.get(rank)
        if evidence is None:
            evidence = _RankEvidence(RecentResults(rank), CusumSet())
            self._evidence_by_rank[rank] = evidence
        return evidence

    def _baseline(self, rank: str) -> Baseline:
        return self._baseline_by_rank.get(rank, UNKNOWN_BASELINE)


def _sample_count(digest: RankDigest) -> int:
    return digest.count
