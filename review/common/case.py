"""Frame of a case: folder, record, exit status, and the end of all processes."""

import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Callable
from pathlib import Path

from review.common.machine import Machine
from review.common.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115


class Case:
    """What a case needs of its surroundings.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption takes place.
    """

    def __init__(self, record: Record, folder: Path, has_trouble: bool):
        self.record = record
        self.folder = folder
        self.has_trouble = has_trouble
        self.machines: list[Machine] = []

    def machine(self, *arguments) -> Machine:
        """Return a machine whose daemon is ended with the case."""
        machine = Machine(self.record, self.folder, *arguments)
        self.machines.append(machine)
        return machine


def _stop(number: int, frame: object) -> None:
    raise TimeoutError("the case took too long or was stopped")


def run_case(play: Callable[[Case], bool]) -> None:
    """Play a case and exit with its status.

    The record goes to the file named as argument, and the disruption is left out if
    the variable ``TROUBLE`` is 0; `run.sh` of the case sets both.

    Parameters
    ----------
    play : callable
        Returns whether the rule held.
    """
    record_path = Path(sys.argv[1])
    record = Record(record_path)
    has_trouble = os.environ["TROUBLE"] != "0"
    signal.signal(signal.SIGALRM, _stop)
    signal.signal(signal.SIGTERM, _stop)
    signal.alarm(TIME_LIMIT_S)
    with tempfile.TemporaryDirectory() as folder:
        case = Case(record, Path(folder), has_trouble)
        try:
            status = HELD if play(case) else BROKEN
        except Exception:
            record.write("case", f"could not run: {traceback.format_exc()}")
            status = COULD_NOT_RUN
        finally:
            for machine in case.machines:
                machine.end()
        if "KEEP_LOGS" in os.environ:
            for path in Path(folder).glob("*.log"):
                Path(os.environ["KEEP_LOGS"], path.name).write_bytes(path.read_bytes())
    word = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "not judged"}[status]
    record.write("case", f"the rule {word}")
    sys.stdout.write(f"{word}, see {record_path}\n")
    sys.stdout.flush()
    os._exit(status)
