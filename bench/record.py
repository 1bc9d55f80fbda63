"""Records a trace from real processes: ``python -m bench.record NAME [FILE]``.

Four daemons with an upstream each serve lookups of one user; then one upstream gets
a fault. The trace is that of the daemon beside it, with the moment marked from which
its answers show the fault.
"""

import argparse
import json
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import urllib3

from bench.traces import DETECTION_S, FOLDER
from chicorychute.health.evidence import Result
from chicorychute.replay.trace import RequestEvent, SickEvent, read_trace, to_line
from chicorychute.replay.users import PENTAGRAMA, SMRITI, User
from standins.fleet import Fleet, Node

CALLERS = 16
CALL_PAUSE_S = 0.1
WARM_S = 14.0  # past the cold start of every upstream
SICK_S = 6.0
SERVICE_MS = 20.0
ZONES = ("r1-a", "r1-b") * 2


@attrs.frozen
class Recording:
    """A trace to record: the user, the path that is called and the fault.

    Attributes
    ----------
    shows : callable
        Whether a request that ran shows the fault.
    """

    user: User
    path: str
    faults: dict[str, float]
    shows: Callable[[RequestEvent], bool]


def _failed(event: RequestEvent) -> bool:
    return event.result is Result.FAILED


def _empty(event: RequestEvent) -> bool:
    return event.result is Result.OK and event.bytes == 0


def _slow(event: RequestEvent) -> bool:
    return event.service_ms > 5 * SERVICE_MS


RECORDING_BY_NAME = {
    "third-fails": Recording(SMRITI, "/kits", {"fail_share": 1 / 3}, _failed),
    "smriti-empty-answers": Recording(SMRITI, "/kits", {"empty_share": 1 / 3}, _empty),
    "pentagrama-ten-times-slow": Recording(
        PENTAGRAMA, "/scores", {"slow_factor": 10.0}, _slow
    ),
}


class RecordedFleet(Fleet):
    """Fleet whose first daemon records a trace.

    Parameters
    ----------
    trace : Path
        File that it writes.
    """

    def __init__(self, user: User, trace: Path):
        places = [("r1", zone, user.service) for zone in ZONES]
        super().__init__(places, user.table_csv(), service_ms=SERVICE_MS)
        self.trace = trace

    def start_daemon(self, node: Node) -> None:
        """Start a daemon, the first one with its recorder."""
        if node is not self.nodes[0]:
            super().start_daemon(node)
            return
        path = self.path / f"{node.instance}.ini"
        path.write_text(self._settings_text(node), "utf-8")
        arguments = ("run", "-c", path, "--record", self.trace)
        node.daemon = self.spawn("chicorychute", *arguments)


def call(fleet: Fleet, path: str, index: int, stopped: threading.Event) -> None:
    """Send lookups at a steady pace until stopped."""
    url = fleet.nodes[index % len(fleet.nodes)].edge_url + f"{path}/{index}"
    while not stopped.wait(CALL_PAUSE_S):
        try:
            fleet.http.request("GET", url)
        except urllib3.exceptions.HTTPError:
            continue


def record(recording: Recording) -> list[str]:
    """Run the processes and return the lines of the trace."""
    stopped = threading.Event()
    with (
        tempfile.TemporaryDirectory(prefix="chute-record-") as folder,
        RecordedFleet(recording.user, Path(folder) / "trace.jsonl") as fleet,
    ):
        callers = [
            threading.Thread(target=call, args=(fleet, recording.path, index, stopped))
            for index in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(WARM_S)
        fleet.set_faults(fleet.nodes[0], **recording.faults)
        time.sleep(SICK_S)
        stopped.set()
        for caller in callers:
            caller.join()
        fleet.stop()
        return fleet.trace.read_text("utf-8").splitlines()


def mark(lines: list[str], recording: Recording) -> list[str]:
    """Add the statement that the upstream is sick, where its answers show it."""
    events = list(read_trace(lines))
    requests = [e for e in events if isinstance(e.event, RequestEvent)]
    showing = [e for e in requests if e.at_s > WARM_S / 2 and recording.shows(e.event)]
    first = min(showing, key=lambda traced: traced.at_s)
    sick = to_line(first.at_s, SickEvent(first.event.upstream, True))
    return [*lines, sick]


def main() -> None:
    """Record, mark and write the trace with its outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=RECORDING_BY_NAME)
    parser.add_argument("file", type=Path, nargs="?")
    options = parser.parse_args()
    path = options.file or FOLDER / f"recorded-{options.name}.jsonl"
    recording = RECORDING_BY_NAME[options.name]
    lines = mark(record(recording), recording)
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
