"""Demo: a fleet in three regions that serves callers while faults occur."""

import itertools
import random
import signal
import sys
import threading
import time
from collections import Counter

import attrs
import urllib3

from standins.fleet import TABLE_HEADER, Fleet, FleetError, Node, signal_process

REGIONS = ("bagmati", "gandaki", "lumbini")
UPSTREAMS_PER_ZONE = 2
CALLER_COUNT = 12
GRAY_SLOW_FACTOR = 15.0
PHASE_S = 3.0
EJECTION_LIMIT_S = 10.0
TABLE_CHANGE_LIMIT_S = 5.0


def make_table(check_deadline_ms: int) -> str:
    """Return the demo's table, with the deadline of the rank of checks in ms."""
    once = "once,0.2,4,0.5,1,0,1000"
    idempotent = "idempotent,0.2,4,0.5,1,0,1000"
    rows = [
        f"orders,order,POST /orders,1,0.3,300,4000,{once}",
        f"orders,catalogue,GET /catalogue/*,2,0.3,200,2000,{idempotent}",
        f"orders,check,GET /checks/*,9,0.1,2000,{check_deadline_ms},{idempotent}",
    ]
    return "\n".join([TABLE_HEADER, *rows]) + "\n"


@attrs.frozen
class Call:
    """One call of the demo and how it ended."""

    rank: str
    outcome: str
    status: int
    latency_ms: float
    trace_id: str


class Callers:
    """Threads that send lookups, orders and checks to random entries."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self.entries: list[Node] = list(fleet.nodes)
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.calls: list[Call] = []
        self.ran_order_keys: list[str] = []
        self._numbers = itertools.count(1)
        self._threads = [
            threading.Thread(target=self._run, args=(seed,))
            for seed in range(CALLER_COUNT)
        ]

    def start(self) -> None:
        """Start calling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop calling and wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed: int) -> None:
        rng = random.Random(seed)
        http = urllib3.PoolManager(maxsize=16, retries=False)
        home = ""
        while not self._stopped.is_set():
            entry = rng.choice(self.entries)
            number = next(self._numbers)
            rank = rng.choices(("order", "catalogue", "check"), (2, 5, 3))[0]
            trace_id = f"{rng.getrandbits(128):032x}"
            headers = {"traceparent": f"00-{trace_id}-{rng.getrandbits(64):016x}-01"}
            method, path, body = _request(rank, number)
            if rank == "order":
                headers["Idempotency-Key"] = f"{home}/{seed}-{number}"
            start_s = time.monotonic()
            try:
                answer = http.request(
                    method,
                    entry.edge_url + path,
                    headers=headers,
                    body=body,
                    timeout=10,
                )
            except urllib3.exceptions.HTTPError:
                self._record(Call(rank, "cut", 0, _since_ms(start_s), trace_id))
                continue
            home = answer.headers.get("Chute-Home", home)
            outcome = answer.headers.get("Chute-Outcome", "none")
            if answer.headers.get("Chute-Reason") == "key-required":
                continue
            if rank == "order" and outcome == "ran":
                with self._lock:
                    self.ran_order_keys.append(headers["Idempotency-Key"])
            self._record(
                Call(rank, outcome, answer.status, _since_ms(start_s), trace_id)
            )
            time.sleep(rng.expovariate(100))

    def _record(self, call: Call) -> None:
        with self._lock:
            self.calls.append(call)


def _request(rank: str, number: int) -> tuple[str, str, bytes | None]:
    match rank:
        case "order":
            return "POST", "/orders", f'{{"jars": {number}}}'.encode()
        case "catalogue":
            return "GET", f"/catalogue/{number}", None
        case _:
            return "GET", f"/checks/{number}", None


def _since_ms(start_s: float) -> float:
    return (time.monotonic() - start_s) * 1000


class Demo:
    """Causes the faults one after another and checks the guarantees."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._failures: list[str] = []

    def run(self) -> list[str]:
        """Run all phases; return a message for each failed check."""
        fleet = self._fleet
        callers = Callers(fleet)
        callers.start()
        try:
            time.sleep(PHASE_S)
            self._slow_down(fleet.nodes[1])
            self._change_table()
            self._drain(fleet.nodes[-1], callers)
            time.sleep(PHASE_S)
        finally:
            callers.stop()
        self._report(callers)
        return self._failures

    def _slow_down(self, node: Node) -> None:
        self._fleet.set_faults(node, slow_factor=GRAY_SLOW_FACTOR)
        took_s = self._fleet.wait_for(
            lambda: self._verdict(node) in ("sick", "probing"),
            f"the ejection of {node.instance}",
            EJECTION_LIMIT_S,
        )
        reason = self._fleet.status(node)["upstreams"][0]["reason"]
        print(f"gray      {node.instance} ejected after {took_s:.1f} s: {reason}")

    def _change_table(self) -> None:
        self._fleet.publish_table(2, make_table(check_deadline_ms=6000))
        took_s = self._fleet.wait_for(
            lambda: all(
                self._fleet.status(node)["table_version"] == 2
                for node in self._fleet.nodes
            ),
            "version 2 on every daemon",
            TABLE_CHANGE_LIMIT_S,
        )
        print(f"table     version 2 in force on every daemon after {took_s:.1f} s")

    def _drain(self, node: Node, callers: Callers) -> None:
        callers.entries.remove(node)
        signal_process(node.daemon, signal.SIGTERM)
        exit_code = node.daemon.wait(20)
        print(f"leaving   {node.instance} drained and ended with code {exit_code}")
        if exit_code != 0:
            self._failures.append(f"{node.instance} ended with code {exit_code}")

    def _verdict(self, node: Node) -> str:
        return self._fleet.status(node)["upstreams"][0]["verdict"]

    def _report(self, callers: Callers) -> None:
        print()
        print(
            f"{'rank':<10} {'calls':>6} {'ran':>6} {'not-run':>8} {'unknown':>8}",
            end="",
        )
        print(f" {'cut':>4} {'p50 ms':>7} {'p99 ms':>7}")
        for rank in ("order", "catalogue", "check"):
            self._report_rank(rank, [c for c in callers.calls if c.rank == rank])
        self._report_orders(callers)
        self._report_traces(callers)

    def _report_rank(self, rank: str, calls: list[Call]) -> None:
        by_outcome = Counter(call.outcome for call in calls)
        latencies = sorted(call.latency_ms for call in calls)
        p50 = latencies[len(latencies) // 2]
        p99 = latencies[int(len(latencies) * 0.99)]
        print(
            f"{rank:<10} {len(calls):>6} {by_outcome['ran']:>6}"
            f" {by_outcome['not-run']:>8} {by_outcome['unknown']:>8}"
            f" {by_outcome['cut']:>4} {p50:>7.1f} {p99:>7.1f}"
        )
        if by_outcome["cut"] or by_outcome["none"]:
            self._failures.append(f"{by_outcome['cut']} calls of {rank} were cut off")
        if by_outcome["ran"] < 0.9 * len(calls):
            self._failures.append(f"fewer than nine in ten calls of {rank} ran")

    def _report_orders(self, callers: Callers) -> None:
        runs: Counter[str] = Counter()
        for node in self._fleet.nodes:
            runs.update(self._fleet.counts(node)["runs_by_key"])
        duplicated = [key for key, count in runs.items() if count > 1]
        lost = [key for key in callers.ran_order_keys if runs[key] == 0]
        print(f"orders    {len(runs)} ran, {len(duplicated)} doubled, {len(lost)} lost")
        if duplicated or lost:
            self._failures.append(f"orders doubled {duplicated}, lost {lost}")

    def _report_traces(self, callers: Callers) -> None:
        sent = {call.trace_id for call in callers.calls}
        seen: set[str] = set()
        for node in self._fleet.nodes:
            seen |= set(self._fleet.counts(node)["trace_ids"])
        print(f"traces    {len(seen & sent)} trace ids of callers seen at upstreams")
        if not seen & sent:
            self._failures.append("no trace id reached an upstream")


def main() -> int:
    """Run the demo; return its exit code."""
    instances = [
        (region, f"{region}-{zone}", "orders")
        for region in REGIONS
        for zone in "ab"
        for _ in range(UPSTREAMS_PER_ZONE)
    ]
    print(f"starting  {len(instances)} upstreams and daemons, one platform")
    try:
        with Fleet(instances, make_table(check_deadline_ms=5000)) as fleet:
            print("ready     every daemon serves and knows every other")
            failures = Demo(fleet).run()
    except FleetError as error:
        failures = [str(error)]
    for failure in failures:
        print(f"FAILED    {failure}")
    print("failed" if failures else "all held")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
