"""Runs the standing measurements."""

import argparse
from collections.abc import Callable
from pathlib import Path

from chicorychute.bench.figures import (
    Figure,
    FiguresError,
    read_json,
    table,
    to_json,
    worse,
)
from chicorychute.core.management.base import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    EXIT_OK,
    BaseCommand,
    CommandError,
)

DEFAULT_SEEDS = 3
PARTS = ("detection", "false", "curve", "rates", "memory", "traces")


class Command(BaseCommand):
    """Measure the decisions and hold the figures against an earlier run."""

    help = "Measure the decisions on a virtual clock, and their cost."
    examples = (
        "examples:\n  chicorychute bench --json today.json\n"
        "  chicorychute bench --only traces --traces traces --against before.json\n"
        "exit codes: 0 measured, 1 a figure is worse or an outcome broken, 2 bad input"
    )
    takes_long = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare what to measure and the files."""
        parser.add_argument(
            "--only", choices=PARTS, action="append", help="measure only this part"
        )
        parser.add_argument(
            "--seeds",
            type=int,
            default=DEFAULT_SEEDS,
            help="runs of each (%(default)s)",
        )
        parser.add_argument("--traces", type=Path, help="folder of traces to replay")
        parser.add_argument("--json", type=Path, metavar="FILE", help="write figures")
        parser.add_argument(
            "--against", type=Path, metavar="FILE", help="figures of an earlier run"
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Measure, print and compare."""
        if options.seeds < 1:
            raise CommandError("--seeds must be 1 or more", EXIT_BAD_INPUT)
        earlier = None if options.against is None else _read(options.against)
        figures = _measure(options)
        if not figures:
            raise CommandError("nothing to measure: give --traces", EXIT_BAD_INPUT)
        print(table(figures, earlier))
        if options.json is not None:
            _write(options.json, to_json(figures))
        broken = any(f.name.endswith("outcomes broken") and f.value for f in figures)
        fallen = worse(figures, earlier or {})
        return EXIT_FAILED if fallen or broken else EXIT_OK


def _measure(options: argparse.Namespace) -> list[Figure]:
    from chicorychute.bench import cost, detection
    from chicorychute.bench.traces import measure_traces

    seeds = range(options.seeds)
    measures: dict[str, Callable[[], list[Figure]]] = {
        "detection": lambda: detection.measure_detection(seeds),
        "false": lambda: detection.measure_false_ejections(seeds),
        "curve": lambda: detection.measure_curve(seeds),
        "rates": cost.measure_rates,
        "memory": cost.measure_memory,
        "traces": lambda: measure_traces(options.traces) if options.traces else [],
    }
    figures = []
    for part in options.only or PARTS:
        figures.extend(measures[part]())
    return figures


def _read(path: Path) -> dict[str, float]:
    try:
        return read_json(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, FiguresError) as error:
        raise CommandError(f"{path}: {error}", EXIT_BAD_INPUT) from error


def _write(path: Path, text: str) -> None:
    try:
        path.write_text(text, "utf-8")
    except OSError as error:
        message = f"{path}: can't be written ({error.strerror}): name another file"
        raise CommandError(message, EXIT_BAD_INPUT) from error
