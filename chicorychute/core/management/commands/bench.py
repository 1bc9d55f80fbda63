"""Runs the benchmarks."""

import argparse
from collections.abc import Callable
from pathlib import Path

import chicorychute
from chicorychute.bench.figures import (
    Figure,
    FiguresError,
    Results,
    find_missing,
    find_worse,
    format_table,
    read_json,
    to_json,
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
MEASUREMENTS = (
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
    """Run the benchmarks and compare the figures with an earlier run."""

    help = "Measure the decisions against simple baselines, and their cost."
    examples = (
        "examples:\n  chicorychute bench --json today.json\n"
        "  chicorychute bench --only traces --traces traces --against before.json\n"
        "exit codes: 0 measured, 1 a figure is worse or an outcome broken, 2 bad input"
    )
    shows_progress = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the measurements and the files."""
        parser.add_argument(
            "--only",
            choices=MEASUREMENTS,
            action="append",
            help="run only this measurement",
        )
        parser.add_argument(
            "--seeds",
            type=int,
            default=DEFAULT_SEEDS,
            help="seeds of each measurement (%(default)s)",
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

        parser.add_argument(
            "--plots",
            type=Path,
            metavar="DIR",
            help="draw detection against false ejections, and the ranks in a flood",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Measure, print the figures and compare them."""
        if options.seeds < 1:
            raise CommandError(
                f"--seeds is {options.seeds}: give 1 or more", EXIT_BAD_INPUT
            )
        _check_plots(options)
        earlier = _read_earlier(options)
        measurements = _selected_measurements(options)
        figures = _measure(measurements, options)
        if not figures:
            raise CommandError(
                "nothing to measure: no traces found, give --traces", EXIT_BAD_INPUT
            )
        print(format_table(figures, earlier))
        if options.json is not None:
            text = to_json(figures, chicorychute.VERSION, options.seeds)
            _write(options.json, text)
        _draw(figures, options)
        broken = any(_is_broken(figure) for figure in figures)
        is_worse = _print_comparison(figures, earlier, measurements)
        return EXIT_FAILED if is_worse or broken else EXIT_OK


def _check_plots(options: argparse.Namespace) -> None:
    from chicorychute.bench.plots import PlotsError, check_library

    if options.plots is None:
        return
    try:
        check_library()
    except PlotsError as error:
        raise CommandError(str(error), EXIT_BAD_INPUT) from error


def _draw(figures: list[Figure], options: argparse.Namespace) -> None:
    from chicorychute.bench.plots import PlotsError, draw

    if options.plots is None:
        return
    try:
        for path in draw(figures, options.plots):
            print(f"drawn: {path}")
    except PlotsError as error:
        raise CommandError(str(error), EXIT_BAD_INPUT) from error


def _is_broken(figure: Figure) -> bool:
    if figure.baseline or not figure.value:
        return False
    return figure.name.endswith("outcomes broken")


def _selected_measurements(options: argparse.Namespace) -> list[str]:
    """Return the measurements asked for, or all that are available here."""
    from chicorychute.bench.added import REMEDY, is_available

    if options.only:
        return options.only
    if is_available():
        return list(MEASUREMENTS)
    print(f"added: not measured: {REMEDY}")
    return [part for part in MEASUREMENTS if part != "added"]


def _measure(measurements: list[str], options: argparse.Namespace) -> list[Figure]:
    from chicorychute.bench import cost, detection, ranks
    from chicorychute.bench.added import AddedTimeError, measure_added_time
    from chicorychute.bench.slopes import measure_slopes
    from chicorychute.bench.traces import measure_traces

    seeds = range(options.seeds)
    traces = options.traces or DEFAULT_TRACES
    measure_by_name: dict[str, Callable[[], list[Figure]]] = {
        "users": lambda: detection.measure_users(seeds),
        "ranks": ranks.measure_ranks,
        "traces": lambda: measure_traces(traces),
        "detection": lambda: detection.measure_detection(seeds),
        "false": lambda: detection.measure_false_ejections(seeds),
        "curve": lambda: detection.measure_curve(seeds),
        "rates": cost.measure_rates,
        "slopes": measure_slopes,
        "memory": cost.measure_memory,
        "added": measure_added_time,
    }
    try:
        return [figure for part in measurements for figure in measure_by_name[part]()]
    except AddedTimeError as error:
        raise CommandError(str(error), EXIT_BAD_INPUT) from error


def _print_comparison(
    figures: list[Figure], earlier: Results | None, measurements: list[str]
) -> bool:
    """Print figures that got worse or are missing; return whether there are any."""
    if earlier is None:
        return False
    worse_figures = find_worse(figures, earlier)
    for figure in worse_figures:
        print(f"WORSE  {figure.key}: allowed ratio {figure.allowed_ratio:g}")
    missing = find_missing(figures, earlier, measurements)
    for key in missing:
        print(f"GONE   {key}: measure it, or write the earlier file again")
    return bool(worse_figures or missing)


def _read_earlier(options: argparse.Namespace) -> Results | None:
    if options.against is None:
        return None
    try:
        earlier = read_json(options.against.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, FiguresError) as error:
        raise CommandError(f"{options.against}: {error}", EXIT_BAD_INPUT) from error
    if earlier.seeds != options.seeds:
        message = f"{options.against} has {earlier.seeds} seeds, not {options.seeds}"
        remedy = f"give --seeds {earlier.seeds}"
        raise CommandError(f"{message}: {remedy}", EXIT_BAD_INPUT)
    return earlier


def _write(path: Path, text: str) -> None:
    try:
        path.write_text(text, "utf-8")
    except OSError as error:
        message = f"{path}: can't be written ({error.strerror}): name another file"
        raise CommandError(message, EXIT_BAD_INPUT) from error
