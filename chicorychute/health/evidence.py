"""Observations of one upstream and their evidence relative to its peers.

A latency counts only by its bin among the latencies that the peers report for the
same rank. The log-likelihood ratio of a bin is bounded, so that one extreme latency
of a heavy tail can't decide a verdict.
"""

import enum
import math
import statistics
from bisect import bisect_right
from collections.abc import Iterable

import attrs

from chicorychute.core.messages import RankDigest, UpstreamDigest, Verdict

BYTES_UNKNOWN = -1
MIN_PEER_SAMPLES = 16
LATENCY_TOLERANCE = 1.25  # factor by which healthy instances differ
LATENCY_SLACK_S = 0.005  # scheduling noise, for which no upstream is to blame
MIN_SPREAD_RATIO = 1.5  # ratio of the 90th to the 50th percentile
# Edges of the tail bins, in multiples of the 90th percentile.
TAIL_FACTORS = (1.0, 3.0, 10.0, 30.0, 100.0)

# Probabilities of the bins. The tail of a healthy upstream is that of a Pareto
# distribution with exponent 1.2, heavier than that of most services.
_HEALTHY = (0.5, 0.4, 0.073, 0.0207, 0.0046, 0.0013, 0.0004)
_SLOW = (0.245, 0.475, 0.204, 0.0579, 0.0129, 0.0036, 0.0011)  # twice as slow
_FAR_SLOWER = (0.02, 0.13, 0.35, 0.35, 0.11, 0.03, 0.01)  # ten times as slow
_STALLED = (0.3, 0.25, 0.05, 0.05, 0.15, 0.1, 0.1)  # three in ten requests hang
FIRST_TAIL_BIN = 2

UNKNOWN_FAILURE_FRACTION = 0.05  # assumed for peers that have sent no digest
MIN_SICK_FRACTION = 0.25  # smallest fraction of bad results that the test looks for
SICK_FACTOR = 4.0
# Above this, too many of the peers' results are bad to judge an upstream.
MAX_HEALTHY_FRACTION = 0.5
MAX_SICK_FRACTION = 0.95


class Result(enum.Enum):
    """How a request at an upstream ended.

    A request is TIMED_OUT if its own deadline came first, which shows no more than
    how long it ran, and EMPTY if a good status came without a body.
    """

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    EMPTY = "empty"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class Channel(enum.IntEnum):
    """Kind of sickness, each detected by a sequential test of its own."""

    FAILED = 0
    SHED = 1
    EMPTY = 2
    SLOW = 3
    FAR_SLOWER = 4
    STALLED = 5


@attrs.frozen
class Observation:
    """Result of one request at the upstream.

    Attributes
    ----------
    latency_s : float
        Time from dispatch to the complete answer.
    bytes : int
        Length of the answer's body, ``BYTES_UNKNOWN`` where it is no evidence.
    """

    rank: str
    result: Result
    latency_s: float
    bytes: int = BYTES_UNKNOWN


def effective_result(observation: Observation) -> Result:
    """Return the result, EMPTY for a good answer without a body."""
    if observation.result is Result.OK and observation.bytes == 0:
        return Result.EMPTY
    return observation.result


@attrs.frozen
class FractionTest:
    """Increments of a sequential test on the fraction of bad results.

    Attributes
    ----------
    bad, good : float
        Log-likelihood ratios that a bad and a good result add.
    """

    bad: float
    good: float


NO_TEST = FractionTest(0.0, 0.0)


def fraction_test(peer_fraction: float, margin: float) -> FractionTest:
    """Return the test against the peers' fraction of bad results.

    Parameters
    ----------
    margin : float
        Excess over the peers' fraction that is still healthy.
    """
    healthy = 1.5 * peer_fraction + margin
    if healthy > MAX_HEALTHY_FRACTION:
        return NO_TEST
    sick = min(max(MIN_SICK_FRACTION, SICK_FACTOR * healthy), MAX_SICK_FRACTION)
    return FractionTest(
        math.log(sick / healthy),
        math.log((1 - sick) / (1 - healthy)),
    )


def _log_ratios(sick: tuple[float, ...]) -> tuple[float, ...]:
    return tuple(math.log(s / h) for s, h in zip(sick, _HEALTHY, strict=True))


LATENCY_LOG_RATIOS = (
    (Channel.SLOW, _log_ratios(_SLOW)),
    (Channel.FAR_SLOWER, _log_ratios(_FAR_SLOWER)),
    (Channel.STALLED, _log_ratios(_STALLED)),
)


@attrs.frozen
class Baseline:
    """Results to expect of one rank, from the digests of the peers.

    Attributes
    ----------
    bin_edges_s : tuple of float
        Latencies that separate the bins, empty if the peers report none.
    """

    bin_edges_s: tuple[float, ...]
    failed: FractionTest
    shed: FractionTest
    empty: FractionTest

    def bin_index(self, latency_s: float) -> int:
        """Return the bin of a latency among those of the peers."""
        return bisect_right(self.bin_edges_s, latency_s)


UNKNOWN_BASELINE = Baseline(
    (), fraction_test(UNKNOWN_FAILURE_FRACTION, 0.02), NO_TEST, NO_TEST
)


def baselines(peers: Iterable[UpstreamDigest]) -> dict[str, Baseline]:
    """Return the baseline of each rank that healthy peers report."""
    digests_by_rank: dict[str, list[RankDigest]] = {}
    for peer in peers:
        if peer.verdict is not Verdict.HEALTHY:
            continue
        for digest in peer.ranks:
            if digest.count >= MIN_PEER_SAMPLES:
                digests_by_rank.setdefault(digest.rank, []).append(digest)
    return {rank: _baseline(digests) for rank, digests in digests_by_rank.items()}


def _baseline(digests: list[RankDigest]) -> Baseline:
    return Baseline(
        _bin_edges_s([d for d in digests if d.p50_ms > 0]),
        fraction_test(statistics.median(d.failure_share for d in digests), 0.02),
        fraction_test(statistics.median(d.shed_share for d in digests), 0.05),
        fraction_test(statistics.median(d.empty_share for d in digests), 0.02),
    )


def _bin_edges_s(digests: list[RankDigest]) -> tuple[float, ...]:
    if not digests:
        return ()
    p50_s = statistics.median(d.p50_ms for d in digests) / 1000
    p90_s = statistics.median(d.p90_ms for d in digests) / 1000
    p50_s = LATENCY_TOLERANCE * p50_s + LATENCY_SLACK_S
    p90_s = max(LATENCY_TOLERANCE * p90_s + LATENCY_SLACK_S, MIN_SPREAD_RATIO * p50_s)
    return (p50_s, *(factor * p90_s for factor in TAIL_FACTORS))
