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

from chicorychute.bench.figures import NOISY_RATIO, Figure

PROGRAM = "bench.added"
DIRECT_VARIANT = "direct"
TIMEOUT_S = 600
REMEDY = "run `python -m chicorychute bench` in the folder of a checkout"


class AddedTimeError(Exception):
    """The added time can't be measured here."""


def is_available() -> bool:
    """Return whether the measuring program can be reached."""
    try:
        return importlib.util.find_spec(PROGRAM) is not None
    except ModuleNotFoundError:
        return False


def measure_added_time() -> list[Figure]:
    """Return the added time of one and two hops, and its ratio to a direct call.

    Raises
    ------
    AddedError
        If there is no checkout, or the program failed.
    """
    if not is_available():
        raise AddedTimeError(f"added time needs the stand-ins: {REMEDY}")
    with tempfile.TemporaryDirectory(prefix="chute-bench-") as folder:
        path = Path(folder) / "added.json"
        completed = _run_program(path)
        try:
            return read_added_time(path.read_text("utf-8"))
        except (OSError, ValueError, KeyError, TypeError) as error:
            last_line = (completed.stderr.strip() or "no message").splitlines()[-1]
            problem = f"{PROGRAM} gave no figures ({last_line})"
            raise AddedTimeError(f"{problem}: run it alone to see why") from error


def _run_program(path: Path) -> subprocess.CompletedProcess[str]:
    """Run the program, which writes its figures to `path`."""
    arguments = [sys.executable, "-m", PROGRAM, "--json", str(path)]
    try:
        return subprocess.run(
            arguments, capture_output=True, text=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired as error:
        problem = f"{PROGRAM} did not end in {TIMEOUT_S} s"
        raise AddedTimeError(f"{problem}: run it alone to see why") from error


def read_added_time(text: str) -> list[Figure]:
    """Return the figures of the JSON that the program writes."""
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
