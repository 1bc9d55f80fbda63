"""Simulates judges on generated traffic and measures detection and ejections."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs

from chicorychute.core.clock import Clock, ManualClock
from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.health.evidence import Observation, Result
from chicorychute.health.judge import Attempt, UpstreamJudge
from chicorychute.replay.traffic import Fault, RankLoad, Traffic

TICK_INTERVAL_S = 0.1
GOSSIP_INTERVAL_S = 0.5
PROBE_FRACTION = 0.05  # Requests that an upstream still gets while it is probed.
ANSWER_BYTES = 200
FAILURE_LATENCY_RATIO = 0.3  # Failures return faster than answers.


class Judge(Protocol):
    """Interface that a judge needs to be measured."""

    def begin(self, rank: str) -> Attempt:
        """Start an attempt at a request."""

    def observe(self, observation: Observation, attempt: Attempt) -> None:
        """Add the end of a request."""

    def tick(self) -> None:
        """Update the verdict from requests that are still running."""

    def verdict(self) -> Verdict:
        """Return the current verdict."""

    def update_peers(self, peers: list[UpstreamDigest]) -> None:
        """Replace the peers' digests."""

    def digest(self, upstream: str) -> UpstreamDigest:
        """Return the digest reported to the peers."""


JudgeFactory = Callable[[Clock], Judge]


class MeasuredJudge(UpstreamJudge):
    """The judge in force, with the digest that its gate would build."""

    def digest(self, upstream: str) -> UpstreamDigest:
        """Return the digest reported to the peers."""
        return UpstreamDigest(
            upstream,
            "service",
            self.verdict(),
            1,
            0,
            0,
            0.0,
            0.0,
            self.weight,
            self.suspicion,
            self.rank_digests(),
        )


@attrs.frozen
class Ejection:
    """Removal of an upstream from rotation."""

    upstream: int
    at_s: float
    reason: str


@attrs.frozen
class SimulationResult:
    """Result of a simulation.

    Attributes
    ----------
    requests : int
        Requests that were sent to an upstream.
    instance_hours : float
        Simulated time, summed over the upstreams.
    out_of_rotation_s : tuple of float
        Time that each upstream spent out of rotation.
    """

    ejections: tuple[Ejection, ...]
    requests: int
    instance_hours: float
    out_of_rotation_s: tuple[float, ...]

    def detection_s(self, fault: Fault) -> float | None:
        """Return the time until a faulty upstream is first ejected, or None."""
        times = [
            ejection.at_s - fault.start_s
            for ejection in self.ejections
            if ejection.upstream in fault.upstreams and ejection.at_s >= fault.start_s
        ]
        return min(times, default=None)

    def false_ejections(self, faults: tuple[Fault, ...]) -> tuple[Ejection, ...]:
        """Return the ejections of upstreams that have no fault."""
        faulty = {upstream for fault in faults for upstream in fault.upstreams}
        return tuple(e for e in self.ejections if e.upstream not in faulty)


@attrs.define
class _Upstream:
    index: int
    judge: Judge
    speed: float
    waiting: deque[tuple[RankLoad, float]] = attrs.field(factory=deque)
    running: int = 0
    verdict: Verdict = Verdict.HEALTHY
    out_of_rotation_since_s: float = 0.0
    out_of_rotation_s: float = 0.0


class JudgeSimulation:
    """Simulation of a service's judges on a virtual clock.

    Every `GOSSIP_INTERVAL_S`, each judge is sent the digests of all other upstreams,
    which arrive delayed as they do between daemons.
    """

    def __init__(
        self,
        traffic: Traffic,
        faults: tuple[Fault, ...],
        make_judge: JudgeFactory,
        seed: int,
    ):
        self._traffic = traffic
        self._faults = faults
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._scheduled: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = itertools.count()
        self._ejections: list[Ejection] = []
        self._requests = 0
        self._loads = traffic.loads
        self._cumulative_fractions = list(
            itertools.accumulate(load.fraction for load in traffic.loads)
        )
        self._upstreams = [
            _Upstream(index, make_judge(self._clock), self._draw_speed())
            for index in range(traffic.upstreams)
        ]

    def measure(self, seconds: float) -> SimulationResult:
        """Run for a simulated time and return the result."""
        for upstream in self._upstreams:
            self._schedule(self._rng.random(), self._arrive, upstream)
        self._schedule(TICK_INTERVAL_S, self._tick)
        self._schedule(GOSSIP_INTERVAL_S, self._gossip)
        while self._scheduled[0][0] <= seconds:
            at_s, _, action, arguments = heapq.heappop(self._scheduled)
            self._clock.advance(max(at_s - self._clock.monotonic(), 0.0))
            action(*arguments)
        for upstream in self._upstreams:
            if upstream.verdict is not Verdict.HEALTHY:
                upstream.out_of_rotation_s += seconds - upstream.out_of_rotation_since_s
        instance_hours = seconds * len(self._upstreams) / 3600
        out_of_rotation_s = tuple(
            upstream.out_of_rotation_s for upstream in self._upstreams
        )
        return SimulationResult(
            tuple(self._ejections), self._requests, instance_hours, out_of_rotation_s
        )

    def _schedule(self, at_s: float, action: Callable, *arguments) -> None:
        heapq.heappush(self._scheduled, (at_s, next(self._sequence), action, arguments))

    def _draw_speed(self) -> float:
        spread = self._traffic.speed_spread
        return self._rng.uniform(1 - spread, 1 + spread)

    def _arrive(self, upstream: _Upstream) -> None:
        now_s = self._clock.monotonic()
        gap_s = self._rng.expovariate(self._traffic.rate_at(now_s))
        self._schedule(now_s + gap_s, self._arrive, upstream)
        if upstream.verdict is Verdict.SICK:
            return
        if upstream.verdict is Verdict.PROBING and self._rng.random() > PROBE_FRACTION:
            return
        self._requests += 1
        load = self._loads[self._draw_load_index()]
        upstream.waiting.append((load, now_s + self._traffic.deadline_s))
        self._dispatch(upstream)

    def _draw_load_index(self) -> int:
        draw = self._rng.random() * self._cumulative_fractions[-1]
        return next(
            i for i, limit in enumerate(self._cumulative_fractions) if draw <= limit
        )

    def _dispatch(self, upstream: _Upstream) -> None:
        now_s = self._clock.monotonic()
        while upstream.waiting and upstream.running < self._traffic.slots:
            load, deadline_s = upstream.waiting.popleft()
            if now_s < deadline_s:
                self._start_request(upstream, load, deadline_s - now_s)

    def _start_request(
        self, upstream: _Upstream, load: RankLoad, remaining_s: float
    ) -> None:
        result, latency_s = self._draw_result(upstream, load)
        if latency_s > remaining_s:
            result, latency_s = Result.TIMED_OUT, remaining_s
        size = 0 if result is Result.EMPTY else ANSWER_BYTES
        if result is Result.EMPTY:
            result = Result.OK
        upstream.running += 1
        attempt = upstream.judge.begin(load.rank)
        observation = Observation(load.rank, result, latency_s, size)
        end_s = self._clock.monotonic() + latency_s
        self._schedule(end_s, self._finish_request, upstream, observation, attempt)

    def _finish_request(
        self, upstream: _Upstream, observation: Observation, attempt: Attempt
    ) -> None:
        upstream.running -= 1
        upstream.judge.observe(observation, attempt)
        self._record_verdict(upstream)
        self._dispatch(upstream)

    def _draw_result(self, upstream: _Upstream, load: RankLoad) -> tuple[Result, float]:
        """Draw the result and the service time of one request."""
        rng = self._rng
        latency_s = load.service_time.draw(rng) * upstream.speed
        result = Result.OK
        if rng.random() < self._traffic.failure_share:
            result = Result.FAILED
        now_s = self._clock.monotonic()
        for fault in self._faults:
            if not fault.affects(upstream.index, load.rank, now_s):
                continue
            latency_s *= fault.slow_factor
            for probability, bad_result in (
                (fault.fail_share, Result.FAILED),
                (fault.empty_share, Result.EMPTY),
                (fault.shed_share, Result.SHED),
            ):
                if probability and rng.random() < probability:
                    result = bad_result
            if fault.hang_share and rng.random() < fault.hang_share:
                return Result.OK, float("inf")
        if result in (Result.FAILED, Result.SHED):
            latency_s *= FAILURE_LATENCY_RATIO
        return result, latency_s

    def _tick(self) -> None:
        self._schedule(self._clock.monotonic() + TICK_INTERVAL_S, self._tick)
        for upstream in self._upstreams:
            upstream.judge.tick()
            self._record_verdict(upstream)

    def _gossip(self) -> None:
        now_s = self._clock.monotonic()
        self._schedule(now_s + GOSSIP_INTERVAL_S, self._gossip)
        digests = [u.judge.digest(str(u.index)) for u in self._upstreams]
        self._schedule(
            now_s + self._traffic.digest_delay_s, self._deliver_digests, digests
        )

    def _deliver_digests(self, digests: list[UpstreamDigest]) -> None:
        for upstream in self._upstreams:
            own_id = str(upstream.index)
            upstream.judge.update_peers([d for d in digests if d.upstream != own_id])

    def _record_verdict(self, upstream: _Upstream) -> None:
        verdict = upstream.judge.verdict()
        previous, upstream.verdict = upstream.verdict, verdict
        if verdict is previous:
            return
        now_s = self._clock.monotonic()
        if verdict is Verdict.SICK:
            reason = getattr(upstream.judge, "reason", "")
            self._ejections.append(Ejection(upstream.index, now_s, reason))
            upstream.waiting.clear()
        if previous is Verdict.HEALTHY:
            upstream.out_of_rotation_since_s = now_s
        elif verdict is Verdict.HEALTHY:
            upstream.out_of_rotation_s += now_s - upstream.out_of_rotation_since_s
