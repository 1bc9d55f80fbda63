"""Measures the time that daemons add to a request.

Sends the same call straight to an upstream, through one daemon and through two,
interleaved in one run, so that noise of the machine falls on all three alike.
"""

import argparse
import json
import os
import random
import sys
import threading
import time
from pathlib import Path

import attrs
import urllib3

from standins.fleet import TABLE_HEADER, Fleet, Node

WAYS = ("direct", "one hop", "two hops")
CALLERS = 4
WARM_UP_CALLS = 200
TARGET_P99_MS = 1.2
MICROSECONDS = 1e6
PATH_BY_WAY = {"one hop": "/near", "two hops": "/far"}


@attrs.frozen
class Result:
    """Latencies of one way, in milliseconds."""

    way: str
    latencies_ms: list[float]

    def quantile(self, share: float) -> float:
        """Return the latency that `share` of the calls stay under."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def make_table() -> str:
    """Return a table of two services that share nothing."""
    cells = "1,0.5,100,2000,idempotent,0.1,64,0.5,1,0,1000"
    rows = [f"near,read,GET /near,{cells}", f"far,read,GET /far,{cells}"]
    return "\n".join([TABLE_HEADER, *rows]) + "\n"


def url_of(way: str, near: Node, far: Node) -> str:
    """Return where a call of `way` goes."""
    match way:
        case "direct":
            return far.upstream_url + "/far"
        case _:
            return near.edge_url + PATH_BY_WAY[way]


def measure(fleet: Fleet, calls: int, rate: float, seed: int) -> list[Result]:
    """Send `calls` calls of each way at `rate` a second for each way."""
    near, far = fleet.nodes
    latencies: dict[str, list[float]] = {way: [] for way in WAYS}
    lock = threading.Lock()

    def run(number: int) -> None:
        rng = random.Random(seed + number)
        http = urllib3.PoolManager(maxsize=4, retries=False)
        plan = [way for way in WAYS for _ in range(calls // CALLERS)]
        rng.shuffle(plan)
        for index, way in enumerate(plan):
            time.sleep(rng.expovariate(rate * len(WAYS) / CALLERS))
            start_s = time.perf_counter()
            answer = http.request("GET", url_of(way, near, far))
            took_ms = (time.perf_counter() - start_s) * 1000
            if answer.status != 200:
                raise RuntimeError(f"{way} answered {answer.status}")
            if index >= WARM_UP_CALLS // CALLERS:
                with lock:
                    latencies[way].append(took_ms)

    _run_threads([threading.Thread(target=run, args=(n,)) for n in range(CALLERS)])
    return [Result(way, latencies[way]) for way in WAYS]


def saturate(node: Node, path: str, seconds: float) -> float:
    """Return calls a second through one daemon with callers that never pause."""
    end_s = time.perf_counter() + seconds
    counts = []

    def run() -> None:
        http = urllib3.PoolManager(maxsize=1, retries=False)
        count = 0
        while time.perf_counter() < end_s:
            http.request("GET", node.edge_url + path)
            count += 1
        counts.append(count)

    _run_threads([threading.Thread(target=run) for _ in range(CALLERS)])
    return sum(counts) / seconds


def cpu_s(node: Node) -> float:
    """Return the processor time that a node's daemon has used, in seconds."""
    stat = Path(f"/proc/{node.daemon.pid}/stat").read_text("ascii")
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Cost:
    """What the daemons spend on the calls of one way.

    Attributes
    ----------
    calls_per_s : float
        Calls a second through one entry, by callers that never pause.
    entry_us, gate_us : float
        Processor time for a call of the entry's daemon and of the other one; over
        one hop the other one only idles.
    """

    way: str
    calls_per_s: float
    entry_us: float
    gate_us: float

    @property
    def total_us(self) -> float:
        """Processor time of all daemons for a call."""
        return self.entry_us + self.gate_us

    @property
    def calls_per_core(self) -> float:
        """Calls a second for each core that the daemons have."""
        return MICROSECONDS / self.total_us

    def __str__(self) -> str:
        return (
            f"{self.way}: {self.calls_per_s:.0f} calls/s, {self.total_us:.0f} µs of "
            f"daemons a call (entry {self.entry_us:.0f}, gate {self.gate_us:.0f}), "
            f"{self.calls_per_core:.0f} calls/s for each core"
        )


def cost(fleet: Fleet, way: str, path: str, seconds: float) -> Cost:
    """Measure the processor time of a call with callers that never pause."""
    before_s = [cpu_s(node) for node in fleet.nodes]
    rate = saturate(fleet.nodes[0], path, seconds)
    calls = rate * seconds
    entry_us, gate_us = (
        (cpu_s(node) - start_s) / calls * MICROSECONDS
        for node, start_s in zip(fleet.nodes, before_s, strict=True)
    )
    return Cost(way, rate, entry_us, gate_us)


def _run_threads(threads: list[threading.Thread]) -> None:
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _print_figures(results: list[Result]) -> dict[str, dict[str, float]]:
    direct = results[0]
    figures = {}
    print(
        f"{'way':<10} {'p50 ms':>8} {'p99 ms':>8} {'added p50':>10} {'added p99':>10}"
    )
    for result in results:
        p50 = result.quantile(0.5)
        p99 = result.quantile(0.99)
        added50 = p50 - direct.quantile(0.5)
        added99 = p99 - direct.quantile(0.99)
        figures[result.way] = {
            "p50_ms": p50,
            "p99_ms": p99,
            "added_p50_ms": added50,
            "added_p99_ms": added99,
        }
        times = f"{p50:>8.2f} {p99:>8.2f} {added50:>10.2f} {added99:>10.2f}"
        print(f"{result.way:<10} {times}")
    return figures


def main() -> int:
    """Print the figures; returns 1 where the target does not hold."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=1500, help="calls of each way")
    parser.add_argument("--rate", type=float, default=37.5, help="a second, each way")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", help="write the figures to this file")
    parser.add_argument("--saturate-s", type=float, default=3.0)
    options = parser.parse_args()
    places = [("r1", "r1-a", "near"), ("r1", "r1-a", "far")]
    with Fleet(places, make_table(), service_ms=0.0) as fleet:
        results = measure(fleet, options.calls, options.rate, options.seed)
        figures = _print_figures(results)
        if options.saturate_s:
            for way, path in PATH_BY_WAY.items():
                spent = cost(fleet, way, path, options.saturate_s)
                figures[way] |= attrs.asdict(spent)
                print(spent)
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=2)
    held = figures["two hops"]["added_p99_ms"] <= TARGET_P99_MS
    verdict = "held" if held else "not held"
    print(f"target {TARGET_P99_MS} ms added at p99 with two hops: {verdict}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
