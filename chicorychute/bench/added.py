"""Latency that the daemons add to a request.

The measurement runs the module `bench.added` of a checkout, which starts daemons and
stand-ins of the platform and of upstreams as processes. The stand-ins are not part
of the installed package, so the measurement works only in the root folder of a
checkout.
"""

import importlib.util
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from chicorychute.bench.figures import NOISY_RATIO, Figure

PROGRAM = "bench.added"
DIRECT_VARIANT = "direct"
TIMEOUT_S = 600
REMEDY = "run `python -m chicorychute bench` in the folder of a checkout"


class AddedTimeError(Exception):
    """The added latency could not be measured."""


def is_available() -> bool:
    """Return whether the module that measures can be imported."""
    try:
        return importlib.util.find_spec(PROGRAM) is not None
    except ModuleNotFoundError:
        return False


def measure_added_time() -> list[Figure]:
    """Return the latency (ms) that each variant adds, and its ratio to a direct call.

    Raises
    ------
    AddedTimeError
        If the module is not available, fails or takes longer than `TIMEOUT_S`.
    """
    if not is_available():
        raise AddedTimeError(
            f"added time needs the module {PROGRAM} of a checkout: {REMEDY}"
        )
    with tempfile.TemporaryDirectory(prefix="chute-bench-") as folder:
        path = Path(folder) / "added.json"
        completed = _run_program(path)
        try:
            return read_added_time(path.read_text("utf-8"))
        except (OSError, ValueError, KeyError, TypeError) as error:
            last_line = (completed.stderr.strip() or "no message").splitlines()[-1]
            problem = f"{PROGRAM} wrote no valid figures ({last_line})"
            raise AddedTimeError(
                f"{problem}: run `python -m {PROGRAM}` to see its output"
            ) from error


def _run_program(path: Path) -> subprocess.CompletedProcess[str]:
    """Run the module in a process of its own; it writes its figures to `path`."""
    arguments = [sys.executable, "-m", PROGRAM, "--json", str(path)]
    try:
        return subprocess.run(
            arguments, capture_output=True, text=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired as error:
        problem = f"{PROGRAM} did not finish within {TIMEOUT_S} s"
        raise AddedTimeError(
            f"{problem}: run `python -m {PROGRAM}` to see its output"
        ) from error


def read_added_time(text: str) -> list[Figure]:
    """Return the figures from the JSON that the module writes."""
    result_by_variant = json.loads(text)
    direct = result_by_variant[DIRECT_VARIANT]
    figures = []
    for variant, result in result_by_variant.items():
        if variant == DIRECT_VARIANT or "added_p99_ms" not in result:
            continue
        for quantile in ("p50", "p99"):
            prefix = f"added | {variant} | {quantile}"
            added_ms = result[f"added_{quantile}_ms"]
            ratio = added_ms / direct[f"{quantile}_ms"]
            figures.append(Figure(prefix, added_ms, "ms", allowed_ratio=float("inf")))
            name = f"{prefix} to a direct call"
            figures.append(Figure(name, ratio, "times", allowed_ratio=NOISY_RATIO))
    return figures
