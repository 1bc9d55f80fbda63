"""Writes the traces of the repository: ``python -m bench.traces``.

Each trace states in its outcomes file what has to hold. The bounds are the stated
targets: a sick upstream out within 3 s, no healthy one out, 99 in 100 of the most
urgent rank within its target, 9 in 10 of the others that are not flooding.
"""

import json
import random
from collections.abc import Iterator
from pathlib import Path

import attrs

from chicorychute.health.evidence import Result
from chicorychute.replay.trace import (
    Event,
    FloodEvent,
    RequestEvent,
    SickEvent,
    Start,
    TableEvent,
    to_line,
)
from chicorychute.replay.traffic import Fault, RankLoad
from chicorychute.replay.users import PENTAGRAMA, SMRITI, User

FOLDER = Path(__file__).parent.parent / "traces"
SECONDS = 13.0
START_S = 7.0
DETECTION_S = 3.0
UPSTREAMS = ("u0", "u1", "u2", "u3")
RATE = 20.0
ANSWER_BYTES = 200
HANG_MS = 60_000.0


@attrs.frozen
class Scene:
    """One trace: a user, a fault and a flood of the least urgent rank."""

    name: str
    user: User
    seed: int
    fault: Fault = Fault((), 0.0)
    flood_factor: float = 1.0

    def sick(self) -> tuple[str, ...]:
        """Return the upstreams that ought to leave rotation."""
        hit = self.fault.upstreams
        common = len(hit) == len(UPSTREAMS)
        return () if common else tuple(UPSTREAMS[index] for index in hit)


ALL = tuple(range(len(UPSTREAMS)))
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
)


def events(scene: Scene) -> Iterator[tuple[float, Event]]:
    """Yield the events of a scene in the order of their times."""
    rng = random.Random(scene.seed)
    user = scene.user
    drawn: list[tuple[float, Event]] = []
    for index, name in enumerate(UPSTREAMS):
        for load in user.loads:
            drawn.extend(_requests(scene, index, name, load, rng))
    drawn.extend((START_S, SickEvent(name, True)) for name in scene.sick())
    if scene.flood_factor > 1:
        drawn.append((START_S, FloodEvent(user.ranks[-1], True)))
    yield 0.0, Start(tuple((name, user.service) for name in UPSTREAMS), True)
    yield 0.0, TableEvent(user.table())
    yield from sorted(drawn, key=lambda pair: pair[0])


def _requests(
    scene: Scene, index: int, name: str, load: RankLoad, rng: random.Random
) -> Iterator[tuple[float, Event]]:
    deadline_ms = 4000.0 if load.rank == "commission" else 2000.0
    floods = load.rank == scene.user.ranks[-1]
    now_s = 0.0
    while True:
        rate = RATE * load.part
        if floods and now_s >= START_S:
            rate *= scene.flood_factor
        now_s += rng.expovariate(rate)
        if now_s >= SECONDS:
            return
        healthy_ms = load.service_time.draw(rng) * 1000
        service_ms, result, size = healthy_ms, Result.OK, ANSWER_BYTES
        fault = scene.fault
        if fault.hits(index, load.rank, now_s):
            service_ms *= fault.slow_factor
            if rng.random() < fault.fail_share:
                result = Result.FAILED
            if rng.random() < fault.empty_share:
                size = 0
            if rng.random() < fault.hang_share:
                service_ms = HANG_MS
        changed = service_ms != healthy_ms
        healthy_ms = healthy_ms if changed else -1.0
        yield (
            now_s,
            RequestEvent(
                name, load.rank, deadline_ms, service_ms, result, size, healthy_ms
            ),
        )


def outcomes(scene: Scene) -> list[dict]:
    """Return the stated outcomes of a scene."""
    stated = [{"measure": "false_ejections", "bound": 0}]
    stated.extend(
        {"measure": "detection_s", "of": name, "bound": DETECTION_S}
        for name in scene.sick()
    )
    if scene.flood_factor > 1:
        first, second, _ = scene.user.ranks
        stated.append({"measure": "flood_level", "of": first, "bound": 0.99})
        stated.append({"measure": "flood_level", "of": second, "bound": 0.9})
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
