"""Records a trace from real processes: ``python -m bench.record [FILE]``.

Four daemons with an upstream each serve lookups; one upstream begins to fail a
third of its calls. The trace is that of the daemon beside it, with the moment marked
from which the upstream is sick.
"""

import json
import sys
import tempfile
import threading
import time
from pathlib import Path

import urllib3

from bench.traces import DETECTION_S, FOLDER
from chicorychute.health.evidence import Result
from chicorychute.replay.trace import RequestEvent, SickEvent, read_trace, to_line
from standins.demo import make_table
from standins.fleet import Fleet, Node

PLACES = [("r1", "r1-a", "orders"), ("r1", "r1-b", "orders")] * 2
CALLERS = 16
CALL_PAUSE_S = 0.1
WARM_S = 14.0  # past the cold start of every upstream
SICK_S = 6.0
FAIL_SHARE = 1 / 3
SERVICE_MS = 20.0


class RecordedFleet(Fleet):
    """Fleet whose first daemon records a trace.

    Parameters
    ----------
    trace : Path
        File that it writes.
    """

    def __init__(self, trace: Path):
        super().__init__(PLACES, make_table(5000), service_ms=SERVICE_MS)
        self.trace = trace

    def start_daemon(self, node: Node) -> None:
        """Start a daemon, the first one with its recorder."""
        if node is not self.nodes[0]:
            super().start_daemon(node)
            return
        path = self.path / f"{node.instance}.ini"
        path.write_text(self._ini(node), "utf-8")
        arguments = ("run", "-c", path, "--record", self.trace)
        node.daemon = self.spawn("chicorychute", *arguments)


def call(fleet: Fleet, index: int, stopped: threading.Event) -> None:
    """Send lookups at a steady pace until stopped."""
    url = fleet.nodes[index % len(fleet.nodes)].edge_url + f"/catalogue/{index}"
    while not stopped.wait(CALL_PAUSE_S):
        try:
            fleet.http.request("GET", url)
        except urllib3.exceptions.HTTPError:
            continue


def record() -> list[str]:
    """Run the processes and return the lines of the trace."""
    stopped = threading.Event()
    with (
        tempfile.TemporaryDirectory(prefix="chute-record-") as folder,
        RecordedFleet(Path(folder) / "trace.jsonl") as fleet,
    ):
        callers = [
            threading.Thread(target=call, args=(fleet, index, stopped))
            for index in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(WARM_S)
        fleet.set_faults(fleet.nodes[0], fail_share=FAIL_SHARE)
        time.sleep(SICK_S)
        stopped.set()
        for caller in callers:
            caller.join()
        fleet.stop()
        return fleet.trace.read_text("utf-8").splitlines()


def mark(lines: list[str]) -> list[str]:
    """Add the statement that the upstream is sick, where its answers show it."""
    events = list(read_trace(lines))
    requests = [e for e in events if isinstance(e.event, RequestEvent)]
    failed = [e for e in requests if e.event.result is Result.FAILED]
    first = min(failed, key=lambda traced: traced.at_s)
    sick = to_line(first.at_s, SickEvent(first.event.upstream, True))
    return [*lines, sick]


def main() -> None:
    """Record, mark and write the trace with its outcomes."""
    default = FOLDER / "recorded-third-fails.jsonl"
    path = Path(sys.argv[1]) if len(sys.argv) > 1 else default
    lines = mark(record())
    path.write_text("\n".join(lines) + "\n", "utf-8")
    upstream = json.loads(lines[0])["services"][0][0]
    stated = [
        {"measure": "false_ejections", "bound": 0},
        {"measure": "detection_s", "of": upstream, "bound": DETECTION_S},
    ]
    text = json.dumps({"outcomes": stated}, indent=1) + "\n"
    path.with_suffix(".outcomes.json").write_text(text, "utf-8")


if __name__ == "__main__":
    main()
