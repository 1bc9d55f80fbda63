"""Runs the standing measurements."""

import argparse
from collections.abc import Callable
from pathlib import Path

import chicorychute
from chicorychute.bench.figures import (
    Figure,
    FiguresError,
    Results,
    gone,
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
DEFAULT_TRACES = Path("traces")
PARTS = (
    "users",
    "ranks",
    "traces",
    "detection",
    "false",
    "curve",
    "rates",
    "slopes",
    "memory",
    "added",
)


class Command(BaseCommand):
    """Measure the decisions and hold the figures against an earlier run."""

    help = "Measure the decisions beside plain ones, and their cost."
    examples = (
        "examples:\n  chicorychute bench --json today.json\n"
        "  chicorychute bench --only traces --traces traces --against before.json\n"
        "exit codes: 0 measured, 1 a figure is worse or an outcome broken, 2 bad input"
    )

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
        parser.add_argument(
            "--traces",
            type=Path,
            help=f"folder of traces to replay ({DEFAULT_TRACES}, if there is one)",
        )
        parser.add_argument("--json", type=Path, metavar="FILE", help="write figures")
        parser.add_argument(
            "--against", type=Path, metavar="FILE", help="figures of an earlier run"
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Measure, print and compare."""
        if options.seeds < 1:
            raise CommandError("--seeds must be 1 or more", EXIT_BAD_INPUT)
        earlier = _earlier(options)
        parts = _parts(options)
        figures = _measure(parts, options)
        if not figures:
            raise CommandError("nothing to measure: give --traces", EXIT_BAD_INPUT)
        print(table(figures, earlier))
        if options.json is not None:
            text = to_json(figures, chicorychute.VERSION, options.seeds)
            _write(options.json, text)
        broken = any(_is_broken(figure) for figure in figures)
        fallen = _print_comparison(figures, earlier, parts)
        return EXIT_FAILED if fallen or broken else EXIT_OK


def _is_broken(figure: Figure) -> bool:
    if figure.baseline or not figure.value:
        return False
    return figure.name.endswith("outcomes broken")


def _parts(options: argparse.Namespace) -> list[str]:
    """Return what to measure; what can't be reached is left out, if not asked for."""
    from chicorychute.bench.added import REMEDY, is_available

    if options.only:
        return options.only
    if is_available():
        return list(PARTS)
    print(f"added: not measured: {REMEDY}")
    return [part for part in PARTS if part != "added"]


def _measure(parts: list[str], options: argparse.Namespace) -> list[Figure]:
    from chicorychute.bench import cost, detection, ranks
    from chicorychute.bench.added import AddedError, measure_added
    from chicorychute.bench.slopes import measure_slopes
    from chicorychute.bench.traces import measure_traces

    seeds = range(options.seeds)
    traces = options.traces or DEFAULT_TRACES
    measures: dict[str, Callable[[], list[Figure]]] = {
        "users": lambda: detection.measure_users(seeds),
        "ranks": ranks.measure_ranks,
        "traces": lambda: measure_traces(traces),
        "detection": lambda: detection.measure_detection(seeds),
        "false": lambda: detection.measure_false_ejections(seeds),
        "curve": lambda: detection.measure_curve(seeds),
        "rates": cost.measure_rates,
        "slopes": measure_slopes,
        "memory": cost.measure_memory,
        "added": measure_added,
    }
    try:
        return [figure for part in parts for figure in measures[part]()]
    except AddedError as error:
        raise CommandError(str(error), EXIT_BAD_INPUT) from error


def _print_comparison(
    figures: list[Figure], earlier: Results | None, parts: list[str]
) -> bool:
    """Name what got worse or is gone; returns whether anything did."""
    if earlier is None:
        return False
    fallen = worse(figures, earlier)
    for figure in fallen:
        print(f"WORSE  {figure.key}: allowed ratio {figure.allowed:g}")
    missing = gone(figures, earlier, parts)
    for key in missing:
        print(f"GONE   {key}: measure it, or write the earlier file again")
    return bool(fallen or missing)


def _earlier(options: argparse.Namespace) -> Results | None:
    if options.against is None:
        return None
    try:
        earlier = read_json(options.against.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, FiguresError) as error:
        raise CommandError(f"{options.against}: {error}", EXIT_BAD_INPUT) from error
    if earlier.seeds != options.seeds:
        message = f"{options.against} is of {earlier.seeds} seeds, not {options.seeds}"
        remedy = f"give --seeds {earlier.seeds}"
        raise CommandError(f"{message}: {remedy}", EXIT_BAD_INPUT)
    return earlier


def _write(path: Path, text: str) -> None:
    try:
        path.write_text(text, "utf-8")
    except OSError as error:
        message = f"{path}: can't be written ({error.strerror}): name another file"
        raise CommandError(message, EXIT_BAD_INPUT) from error
