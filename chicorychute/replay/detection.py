"""Runs judges over generated traffic and measures detection and ejections."""

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

TICK_S = 0.1
GOSSIP_S = 0.5
PROBE_PART = 0.05  # of an upstream's requests that go on while it is probed
ANSWER_BYTES = 200
FAILED_FACTOR = 0.3  # failures are quicker than answers


class Judge(Protocol):
    """What a judge must offer to be measured."""

    def begin(self, rank: str) -> Attempt:
        """Note a dispatch."""

    def observe(self, observation: Observation, attempt: Attempt) -> None:
        """Add the end of a request."""

    def tick(self) -> None:
        """Decide on requests that still run."""

    def verdict(self) -> Verdict:
        """Return the verdict now."""

    def update_peers(self, peers: list[UpstreamDigest]) -> None:
        """Replace the peers' digests."""

    def digest(self, upstream: str) -> UpstreamDigest:
        """Return what the peers are told."""


JudgeMaker = Callable[[Clock], Judge]


class MeasuredJudge(UpstreamJudge):
    """The judge in force, with the digest that its gate would make."""

    def digest(self, upstream: str) -> UpstreamDigest:
        """Return what the peers are told."""
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
    """An upstream left rotation."""

    upstream: int
    at_s: float
    reason: str


@attrs.frozen
class Measured:
    """What a run showed.

    Attributes
    ----------
    out_s : tuple of float
        Time each upstream spent out of rotation.
    """

    ejections: tuple[Ejection, ...]
    requests: int
    hours: float
    out_s: tuple[float, ...]

    def detection_s(self, fault: Fault) -> float | None:
        """Return the time to the first ejection of a faulty upstream."""
        times = [
            ejection.at_s - fault.start_s
            for ejection in self.ejections
            if ejection.upstream in fault.upstreams and ejection.at_s >= fault.start_s
        ]
        return min(times, default=None)

    def false_ejections(self, faults: tuple[Fault, ...]) -> tuple[Ejection, ...]:
        """Return the ejections of upstreams that no fault names."""
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
    out_since_s: float = 0.0
    out_s: float = 0.0


class Run:
    """One run of a service's judges on a virtual clock.

    The judges of all upstreams see each other's digests, each `GOSSIP_S` seconds
    and delayed, as they do between daemons.
    """

    def __init__(
        self,
        traffic: Traffic,
        faults: tuple[Fault, ...],
        make_judge: JudgeMaker,
        seed: int,
    ):
        self._traffic = traffic
        self._faults = faults
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()
        self._ejections: list[Ejection] = []
        self._requests = 0
        self._loads = traffic.loads
        self._parts = list(itertools.accumulate(load.part for load in traffic.loads))
        self._upstreams = [
            _Upstream(index, make_judge(self._clock), self._draw_speed())
            for index in range(traffic.upstreams)
        ]

    def measure(self, seconds: float) -> Measured:
        """Run for a time and return what was seen."""
        for upstream in self._upstreams:
            self._at(self._rng.random(), self._arrive, upstream)
        self._at(TICK_S, self._tick)
        self._at(GOSSIP_S, self._gossip)
        while self._events[0][0] <= seconds:
            at_s, _, action, arguments = heapq.heappop(self._events)
            self._clock.advance(max(at_s - self._clock.monotonic(), 0.0))
            action(*arguments)
        for upstream in self._upstreams:
            if upstream.verdict is not Verdict.HEALTHY:
                upstream.out_s += seconds - upstream.out_since_s
        hours = seconds * len(self._upstreams) / 3600
        out_s = tuple(upstream.out_s for upstream in self._upstreams)
        return Measured(tuple(self._ejections), self._requests, hours, out_s)

    def _at(self, at_s: float, action: Callable, *arguments) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action, arguments))

    def _draw_speed(self) -> float:
        spread = self._traffic.unevenness
        return self._rng.uniform(1 - spread, 1 + spread)

    def _arrive(self, upstream: _Upstream) -> None:
        now_s = self._clock.monotonic()
        gap_s = self._rng.expovariate(self._traffic.rate_at(now_s))
        self._at(now_s + gap_s, self._arrive, upstream)
        if upstream.verdict is Verdict.SICK:
            return
        if upstream.verdict is Verdict.PROBING and self._rng.random() > PROBE_PART:
            return
        self._requests += 1
        load = self._loads[self._pick()]
        upstream.waiting.append((load, now_s + self._traffic.deadline_s))
        self._dispatch(upstream)

    def _pick(self) -> int:
        draw = self._rng.random() * self._parts[-1]
        return next(i for i, part in enumerate(self._parts) if draw <= part)

    def _dispatch(self, upstream: _Upstream) -> None:
        now_s = self._clock.monotonic()
        while upstream.waiting and upstream.running < self._traffic.slots:
            load, deadline_s = upstream.waiting.popleft()
            if now_s < deadline_s:
                self._start(upstream, load, deadline_s - now_s)

    def _start(self, upstream: _Upstream, load: RankLoad, left_s: float) -> None:
        result, latency_s = self._serve(upstream, load)
        if latency_s > left_s:
            result, latency_s = Result.TIMED_OUT, left_s
        size = 0 if result is Result.EMPTY else ANSWER_BYTES
        if result is Result.EMPTY:
            result = Result.OK
        upstream.running += 1
        attempt = upstream.judge.begin(load.rank)
        observation = Observation(load.rank, result, latency_s, size)
        end_s = self._clock.monotonic() + latency_s
        self._at(end_s, self._end, upstream, observation, attempt)

    def _end(
        self, upstream: _Upstream, observation: Observation, attempt: Attempt
    ) -> None:
        upstream.running -= 1
        upstream.judge.observe(observation, attempt)
        self._note(upstream)
        self._dispatch(upstream)

    def _serve(self, upstream: _Upstream, load: RankLoad) -> tuple[Result, float]:
        """Draw the result and the service time of one request."""
        rng = self._rng
        latency_s = load.service_time.draw(rng) * upstream.speed
        result = Result.OK
        if rng.random() < self._traffic.failure_share:
            result = Result.FAILED
        now_s = self._clock.monotonic()
        for fault in self._faults:
            if not fault.hits(upstream.index, load.rank, now_s):
                continue
            latency_s *= fault.slow_factor
            for share, bad in (
                (fault.fail_share, Result.FAILED),
                (fault.empty_share, Result.EMPTY),
                (fault.shed_share, Result.SHED),
            ):
                if share and rng.random() < share:
                    result = bad
            if fault.hang_share and rng.random() < fault.hang_share:
                return Result.OK, float("inf")
        if result in (Result.FAILED, Result.SHED):
            latency_s *= FAILED_FACTOR
        return result, latency_s

    def _tick(self) -> None:
        self._at(self._clock.monotonic() + TICK_S, self._tick)
        for upstream in self._upstreams:
            upstream.judge.tick()
            self._note(upstream)

    def _gossip(self) -> None:
        now_s = self._clock.monotonic()
        self._at(now_s + GOSSIP_S, self._gossip)
        digests = [u.judge.digest(str(u.index)) for u in self._upstreams]
        self._at(now_s + self._traffic.digest_delay_s, self._hear, digests)

    def _hear(self, digests: list[UpstreamDigest]) -> None:
        for upstream in self._upstreams:
            own = str(upstream.index)
            upstream.judge.update_peers([d for d in digests if d.upstream != own])

    def _note(self, upstream: _Upstream) -> None:
        verdict = upstream.judge.verdict()
        before, upstream.verdict = upstream.verdict, verdict
        if verdict is before:
            return
        now_s = self._clock.monotonic()
        if verdict is Verdict.SICK:
            reason = getattr(upstream.judge, "reason", "")
            self._ejections.append(Ejection(upstream.index, now_s, reason))
            upstream.waiting.clear()
        if before is Verdict.HEALTHY:
            upstream.out_since_s = now_s
        elif verdict is Verdict.HEALTHY:
            upstream.out_s += now_s - upstream.out_since_s
