"""Time that daemons add to a request, measured by the program of a checkout.

The measurement starts daemons and stand-ins of the platform and of upstreams as
processes. The stand-ins are no part of the shipped program, so that it runs only
in the folder of a checkout.
"""

import importlib.util
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from chicorychute.bench.figures import NOISY, Figure

PROGRAM = "bench.added"
DIRECT = "direct"
TIMEOUT_S = 600
REMEDY = "run `python -m chicorychute bench` in the folder of a checkout"


class AddedError(Exception):
    """The added time can't be measured here."""


def is_available() -> bool:
    """Return whether the measuring program can be reached."""
    try:
        return importlib.util.find_spec(PROGRAM) is not None
    except ModuleNotFoundError:
        return False


def measure_added() -> list[Figure]:
    """Return the added time of one and two hops, and its ratio to a direct call.

    Raises
    ------
    AddedError
        If there is no checkout, or the program failed.
    """
    if not is_available():
        raise AddedError(f"added time needs the stand-ins: {REMEDY}")
    with tempfile.TemporaryDirectory(prefix="chute-bench-") as folder:
        path = Path(folder) / "added.json"
        ended = _run(path)
        try:
            return read_added(path.read_text("utf-8"))
        except (OSError, ValueError, KeyError, TypeError) as error:
            last = (ended.stderr.strip() or "no message").splitlines()[-1]
            problem = f"{PROGRAM} gave no figures ({last})"
            raise AddedError(f"{problem}: run it alone to see why") from error


def _run(path: Path) -> subprocess.CompletedProcess[str]:
    """Run the program, which writes its figures to `path`."""
    arguments = [sys.executable, "-m", PROGRAM, "--json", str(path)]
    try:
        return subprocess.run(
            arguments, capture_output=True, text=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired as error:
        problem = f"{PROGRAM} did not end in {TIMEOUT_S} s"
        raise AddedError(f"{problem}: run it alone to see why") from error


def read_added(text: str) -> list[Figure]:
    """Return the figures of the JSON that the program writes."""
    figure_by_way = json.loads(text)
    direct = figure_by_way[DIRECT]
    figures = []
    for way, found in figure_by_way.items():
        if way == DIRECT or "added_p99_ms" not in found:
            continue
        for quantile in ("p50", "p99"):
            prefix = f"added | {way} | {quantile}"
            added_ms = found[f"added_{quantile}_ms"]
            ratio = added_ms / direct[f"{quantile}_ms"]
            figures.append(Figure(prefix, added_ms, "ms", allowed=float("inf")))
            name = f"{prefix} to a direct call"
            figures.append(Figure(name, ratio, "times", allowed=NOISY))
    return figures
