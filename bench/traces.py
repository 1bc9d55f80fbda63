"""Writes the traces of the repository: ``python -m bench.traces``.

Each trace states in its outcomes file what has to hold. The bounds are the stated
targets: a sick upstream out within 3 s, no healthy one out, 99 in 100 of the most
urgent rank within its target, 9 in 10 of the others that are not flooding. In a
flood of the most urgent this holds of each rank that asks for no more than its share,
and from 2 s after its start, as in the measurement of the ranks.
"""

import json
import math
import random
from collections.abc import Iterator
from pathlib import Path

import attrs

from chicorychute.core.messages import RankDigest, UpstreamDigest, Verdict
from chicorychute.health.evidence import Result
from chicorychute.replay.trace import (
    Event,
    FloodEvent,
    PeersEvent,
    RequestEvent,
    SickEvent,
    StartEvent,
    TableEvent,
    VerdictEvent,
    to_line,
)
from chicorychute.replay.traffic import Fault, RankLoad, ServiceTime, Tail
from chicorychute.replay.users import PENTAGRAMA, SMRITI, User

FOLDER = Path(__file__).parent.parent / "traces"
SECONDS = 13.0
START_S = 7.0
DETECTION_S = 3.0
UPSTREAMS = ("u0", "u1", "u2", "u3")
RATE = 20.0
ANSWER_BYTES = 200
HANG_MS = 60_000.0
SETTLE_S = 2.0  # start of a flood of the most urgent that no outcome holds
COLD_FACTOR = 9.0  # by which a cold upstream is slower at first
MOST_URGENT_LEVEL = 0.99
OTHER_LEVEL = 0.9


@attrs.frozen
class Scene:
    """One trace: a user, a fault and a flood of one rank.

    Attributes
    ----------
    flood_rank : int
        Place of the rank that floods, -1 for the least urgent.
    slow : float
        Multiplies the service times of all, so that less traffic fills the slots.
    frozen_s : float
        Time from the start of the fault in which the named upstream answers nothing;
        then it goes on with what waited.
    daemon_frozen_s : float
        The same for the daemon of the trace, whose callers wait.
    cold_s : float
        Time from the start of the trace in which the first upstream warms up.
    single : bool
        Whether the trace is that of one daemon.
    stale : bool
        Whether digests of other upstreams come once and never again.
    """

    name: str
    user: User
    seed: int
    fault: Fault = Fault((), 0.0)
    flood_factor: float = 1.0
    flood_rank: int = -1
    slow: float = 1.0
    rate: float = RATE
    seconds: float = SECONDS
    frozen_s: float = 0.0
    daemon_frozen_s: float = 0.0
    cold_s: float = 0.0
    single: bool = False
    stale: bool = False

    def upstreams(self) -> tuple[str, ...]:
        """Return the upstreams of the trace, one where it is of one daemon."""
        return UPSTREAMS[:1] if self.single else UPSTREAMS

    def sick(self) -> tuple[str, ...]:
        """Return the upstreams that ought to leave rotation."""
        hit = self.fault.upstreams
        common = len(hit) == len(UPSTREAMS)
        return () if common else tuple(UPSTREAMS[index] for index in hit)

    def fits_share(self, rank: str) -> bool:
        """Return whether a rank's plain load is within its share of the slots."""
        index = self.user.ranks.index(rank)
        row, load = self.user.parsed_rows()[index], self.user.loads[index]
        asked = self.rate * load.fraction * _mean_s(load.service_time) * self.slow
        return asked <= row.share * row.slots


ALL = tuple(range(len(UPSTREAMS)))
FLAPS = Fault((1,), START_S, fail_share=1.0, period_s=2.0)
SHORT_S = 10.5
LONG_S = 17.0
SCENES = (
    Scene("healthy", SMRITI, 1),
    Scene("all-slow", SMRITI, 2, Fault(ALL, START_S, slow_factor=4)),
    Scene("ten-times-slow", SMRITI, 3, Fault((1,), START_S, slow_factor=10)),
    Scene("third-fails", SMRITI, 4, Fault((2,), START_S, fail_share=1 / 3)),
    Scene("empty-answers", SMRITI, 5, Fault((0,), START_S, empty_share=1 / 3)),
    Scene("flood", PENTAGRAMA, 6, flood_factor=25),
    Scene("ten-times-slow", PENTAGRAMA, 7, Fault((3,), START_S, slow_factor=10)),
    Scene("hangs", PENTAGRAMA, 8, Fault((1,), START_S, hang_share=1.0)),
    Scene(
        "flood-and-failures",
        PENTAGRAMA,
        9,
        Fault((1,), START_S, fail_share=1 / 3),
        flood_factor=20,
    ),
    Scene("flaps", SMRITI, 10, FLAPS, seconds=SHORT_S),
    Scene("flaps", PENTAGRAMA, 11, FLAPS, seconds=SHORT_S),
    Scene("flood", SMRITI, 12, flood_factor=30, slow=2, single=True),
    Scene(
        "urgent-flood",
        SMRITI,
        13,
        flood_factor=30,
        flood_rank=0,
        slow=4,
        seconds=LONG_S,
        single=True,
    ),
    Scene(
        "urgent-flood",
        PENTAGRAMA,
        14,
        flood_factor=15,
        flood_rank=0,
        slow=4,
        seconds=LONG_S,
        single=True,
    ),
    Scene(
        "mild-urgent-flood",
        PENTAGRAMA,
        21,
        flood_factor=6,
        flood_rank=0,
        slow=5,
        single=True,
    ),
    Scene(
        "two-fail",
        SMRITI,
        15,
        Fault((1, 2), START_S, fail_share=1 / 3),
        slow=4,
        rate=40.0,
        seconds=SHORT_S,
    ),
    Scene("upstream-freezes", SMRITI, 16, Fault((1,), START_S), frozen_s=4.0),
    Scene("daemon-freezes", SMRITI, 17, daemon_frozen_s=4.0, single=True),
    Scene("daemon-freezes", PENTAGRAMA, 18, daemon_frozen_s=4.0, single=True),
    Scene(
        "stale-reports",
        PENTAGRAMA,
        19,
        Fault(ALL, START_S, slow_factor=10),
        seconds=SHORT_S,
        stale=True,
    ),
    Scene("cold-start", PENTAGRAMA, 20, cold_s=6.0, seconds=8.0),
)


def events(scene: Scene) -> Iterator[tuple[float, Event]]:
    """Yield the events of a scene in the order of their times."""
    rng = random.Random(scene.seed)
    user = scene.user
    names = scene.upstreams()
    drawn: list[tuple[float, Event]] = []
    for index, name in enumerate(names):
        for load in user.loads:
            drawn.extend(_requests(scene, index, name, load, rng))
    drawn.extend(_statements(scene))
    whole = len(names) > 1
    yield 0.0, StartEvent(tuple((name, user.service) for name in names), whole)
    yield 0.0, TableEvent(user.table_csv())
    if scene.cold_s:
        yield 0.0, VerdictEvent(names[0], Verdict.COLD, "")
    if scene.stale:
        yield 0.0, PeersEvent(user.service, _stale_digests(user))
    yield from sorted(drawn, key=lambda pair: pair[0])


def _statements(scene: Scene) -> Iterator[tuple[float, Event]]:
    for name in scene.sick():
        yield START_S, SickEvent(name, True)
        if scene.frozen_s:
            yield START_S + scene.frozen_s, SickEvent(name, False)
    if scene.flood_factor > 1:
        flood_s = START_S + (SETTLE_S if scene.flood_rank == 0 else 0.0)
        yield flood_s, FloodEvent(scene.user.ranks[scene.flood_rank], True)


def _stale_digests(user: User) -> tuple[UpstreamDigest, ...]:
    """Return digests of two upstreams elsewhere, as quick as before the fault."""
    ranks = tuple(
        RankDigest(
            load.rank,
            100,
            load.service_time.median_s * 1000,
            load.service_time.median_s * 3600,
            0.0,
            0.0,
            0.0,
        )
        for load in user.loads
    )
    return tuple(
        UpstreamDigest(
            name, user.service, Verdict.HEALTHY, 4, 1, 0, 12.0, 0.0, 1.0, 0.0, ranks
        )
        for name in ("far-0", "far-1")
    )


def _requests(
    scene: Scene, index: int, name: str, load: RankLoad, rng: random.Random
) -> Iterator[tuple[float, Event]]:
    deadline_ms = 4000.0 if load.rank == "commission" else 2000.0
    floods = load.rank == scene.user.ranks[scene.flood_rank]
    now_s = 0.0
    while True:
        rate = scene.rate * load.fraction
        if floods and now_s >= START_S:
            rate *= scene.flood_factor
        now_s += rng.expovariate(rate)
        if now_s >= scene.seconds:
            return
        healthy_ms = load.service_time.draw(rng) * 1000 * scene.slow
        service_ms, result, size = healthy_ms, Result.OK, ANSWER_BYTES
        fault = scene.fault
        if fault.affects(index, load.rank, now_s):
            service_ms *= fault.slow_factor
            if rng.random() < fault.fail_share:
                result = Result.FAILED
            if rng.random() < fault.empty_share:
                size = 0
            if rng.random() < fault.hang_share:
                service_ms = HANG_MS
            service_ms += _left_ms(now_s, scene.frozen_s)
        if index == 0 and now_s < scene.cold_s:
            service_ms *= 1 + COLD_FACTOR * (1 - now_s / scene.cold_s)
        changed = service_ms != healthy_ms
        waited_ms = _left_ms(now_s, scene.daemon_frozen_s)
        yield (
            now_s + waited_ms / 1000,
            RequestEvent(
                name,
                load.rank,
                max(deadline_ms - waited_ms, 1.0),
                service_ms,
                result,
                size,
                healthy_ms if changed else -1.0,
            ),
        )


def _mean_s(service_time: ServiceTime) -> float:
    """Return the mean of a distribution of service times."""
    median_s, shape = service_time.median_s, service_time.shape
    match service_time.tail:
        case Tail.LOGNORMAL:
            return median_s * math.exp(shape**2 / 2)
        case Tail.PARETO:
            return median_s * 0.5 ** (1 / shape) * shape / (shape - 1)


def _left_ms(now_s: float, frozen_s: float) -> float:
    """Return how long a process that froze at the start of the fault still stands."""
    if now_s < START_S:
        return 0.0
    return max(START_S + frozen_s - now_s, 0.0) * 1000


def outcomes(scene: Scene) -> list[dict]:
    """Return the stated outcomes of a scene."""
    stated = [{"measure": "false_ejections", "bound": 0}]
    stated.extend(
        {"measure": "detection_s", "of": name, "bound": DETECTION_S}
        for name in scene.sick()
    )
    if scene.flood_factor > 1:
        flooding = scene.user.ranks[scene.flood_rank]
        others = [rank for rank in scene.user.ranks if rank != flooding]
        for rank in filter(scene.fits_share, others):
            bound = MOST_URGENT_LEVEL if rank == scene.user.ranks[0] else OTHER_LEVEL
            stated.append({"measure": "flood_level", "of": rank, "bound": bound})
    if len(scene.sick()) > 1:
        stated.extend(
            {"measure": "service_level", "of": rank, "bound": OTHER_LEVEL}
            for rank in scene.user.ranks[1:]
        )
    return stated


def main() -> None:
    """Write every trace with its outcomes."""
    FOLDER.mkdir(exist_ok=True)
    for scene in SCENES:
        name = f"{scene.user.name}-{scene.name}"
        lines = [to_line(at_s, event) for at_s, event in events(scene)]
        (FOLDER / f"{name}.jsonl").write_text("\n".join(lines) + "\n", "utf-8")
        text = json.dumps({"outcomes": outcomes(scene)}, indent=1)
        (FOLDER / f"{name}.outcomes.json").write_text(text + "\n", "utf-8")


if __name__ == "__main__":
    main()
