"""Throughput and memory use of the decisions."""

import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from chicorychute.bench.figures import NOISY_RATIO, Better, Figure
from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    MemberRecord,
    MemberStatus,
    RankDigest,
    UpstreamDigest,
    Verdict,
)
from chicorychute.core.system_clock import SystemClock
from chicorychute.health.evidence import Observation, Result
from chicorychute.health.judge import UpstreamJudge
from chicorychute.replay.users import TABLE_HEADER
from chicorychute.routing.candidates import Candidate, Distance, eligible
from chicorychute.routing.choice import choose
from chicorychute.services.recorder import Recorder
from chicorychute.table.parse import parse_table

DECISION_COUNT = 20_000
ITEM_COUNT = 500
UPSTREAM_COUNT = 12
MAX_TRACE_BYTES = 1 << 30
FAR_DEADLINE_S = 1e6
RANKS = ("first", "second", "third")


def measure_rates() -> list[Figure]:
    """Return decisions per second of the judge, the choice and the recorder.

    The length of a recorded request is given in bytes.
    """
    judge = UpstreamJudge(SystemClock())
    judge.update_peers([make_digest(index) for index in range(UPSTREAM_COUNT)])
    rng = random.Random(1)
    observations = [
        Observation(rng.choice(RANKS), Result.OK, rng.lognormvariate(-4, 1), 100)
        for _ in range(1000)
    ]
    candidates = [
        Candidate(str(index), make_digest(index), Distance.SAME_ZONE)
        for index in range(UPSTREAM_COUNT)
    ]

    def observe(index: int) -> None:
        observation = observations[index % len(observations)]
        judge.observe(observation, judge.begin(observation.rank))

    def route(index: int) -> None:
        choose(eligible(candidates, 0.5, rng.random()), {}, frozenset(), rng)

    with tempfile.TemporaryDirectory(prefix="chute-bench-") as folder:
        path = Path(folder) / "trace.jsonl"
        recorder = Recorder(path, (("u0", "s"),), SystemClock(), MAX_TRACE_BYTES)

        def record(index: int) -> None:
            observation = observations[index % len(observations)]
            recorder.record_arrival("u0", observation.rank, index + FAR_DEADLINE_S)
            recorder.record_end("u0", index + FAR_DEADLINE_S, observation)

        recorded = _rate_figure("recorded requests", record)
        recorder.close()
        bytes_per_request = path.stat().st_size / DECISION_COUNT
    return [
        recorded,
        Figure(
            "rates | length of a recorded request",
            bytes_per_request,
            "bytes",
            allowed_ratio=1.1,
        ),
        _rate_figure("judge", observe),
        _rate_figure(f"floor and choice of {UPSTREAM_COUNT}", route),
    ]


def measure_memory() -> list[Figure]:
    """Return the memory of a judge, an instance record and a table row, in bytes."""
    return [
        _memory_figure("judge of 3 ranks", _make_judge),
        _memory_figure("record of an instance with 1 upstream", make_record),
        _memory_figure("row of the table", _parse_rows, ITEM_COUNT),
    ]


def _rate_figure(name: str, decide: Callable[[int], None]) -> Figure:
    start_s = time.perf_counter()
    for index in range(DECISION_COUNT):
        decide(index)
    rate = DECISION_COUNT / (time.perf_counter() - start_s)
    return Figure(f"rates | {name}", rate, "per second", Better.HIGHER, NOISY_RATIO)


def _memory_figure(
    name: str, make: Callable[[int], object], items_per_object: int = 1
) -> Figure:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    objects = [
        make(index) for index in range(ITEM_COUNT if items_per_object == 1 else 1)
    ]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    count = len(objects) * items_per_object
    return Figure(
        f"memory | {name}", (after - before) / count, "bytes", allowed_ratio=1.1
    )


def _make_judge(index: int) -> UpstreamJudge:
    clock = ManualClock()
    judge = UpstreamJudge(clock)
    for rank in RANKS:
        for number in range(100):
            judge.observe(Observation(rank, Result.OK, number / 1000, 100))
    return judge


def make_digest(index: int) -> UpstreamDigest:
    """Return the digest of a healthy upstream that serves three ranks."""
    ranks = tuple(
        RankDigest(rank, 100 + index, 15.0 + index, 50.0 + index, 0.01, 0.0, 0.0)
        for rank in RANKS
    )
    name = f"upstream-{index}"
    verdict = Verdict.HEALTHY
    return UpstreamDigest(
        name, "service", verdict, 4, 1, 0, 15.0 + index, 0.01, 1.0, 0.0, ranks
    )


def make_record(index: int) -> MemberRecord:
    """Return the record of an instance with one upstream."""
    return MemberRecord(
        f"instance-{index}",
        1_700_000_000_000 + index,
        1000 + index,
        MemberStatus.ALIVE,
        f"10.0.{index // 256}.{index % 256}",
        8081,
        "zone",
        "region",
        1,
        (make_digest(index),),
    )


def make_rows(count: int) -> str:
    """Return the text of a table with `count` rows."""
    cells = "1,0.3,300,4000,idempotent,0.1,4,0.5,1,0,1000"
    rows = [f"s{number},read,GET /s{number}/*,{cells}" for number in range(count)]
    return "\n".join([TABLE_HEADER, *rows])


def _parse_rows(index: int) -> object:
    return parse_table(1, make_rows(ITEM_COUNT)).ok_value
