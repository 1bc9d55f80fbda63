"""Replays a recorded trace through the current decision code."""

import argparse
import json
from pathlib import Path

from chicorychute.core.management.base import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    EXIT_OK,
    BaseCommand,
    CommandError,
)
from chicorychute.replay.exceptions import TraceError
from chicorychute.replay.measures import Measures
from chicorychute.replay.outcomes import BrokenOutcome, broken_outcomes, read_outcomes
from chicorychute.replay.player import Player
from chicorychute.replay.trace import read_trace


class Command(BaseCommand):
    """Print the measures of a trace and the stated outcomes that do not hold."""

    help = "Replay a trace on a virtual clock and check its stated outcomes."
    examples = (
        "examples:\n  chicorychute replay day.jsonl\n"
        "  chicorychute replay day.jsonl --expect day.outcomes.json --json\n"
        "exit codes: 0 all outcomes held, 1 an outcome did not hold, 2 bad input"
    )
    shows_progress = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the trace and the outcomes."""
        parser.add_argument("trace", type=Path, help="file that run --record wrote")
        parser.add_argument("--expect", type=Path, help="JSON file of stated outcomes")
        parser.add_argument("--json", action="store_true", help="print JSON")

    def handle(self, options: argparse.Namespace) -> int:
        """Replay the trace and compare the measures with the stated outcomes."""
        try:
            with _open(options.trace) as lines:
                events = list(read_trace(lines))
            measures = Player(events).play()
        except (TraceError, UnicodeDecodeError) as error:
            raise CommandError(f"{options.trace}: {error}", EXIT_BAD_INPUT) from error
        broken = []
        if options.expect is not None:
            try:
                with _open(options.expect) as file:
                    expected = read_outcomes(file.read())
            except (TraceError, UnicodeDecodeError) as error:
                message = f"{options.expect}: {error}"
                raise CommandError(message, EXIT_BAD_INPUT) from error
            broken = broken_outcomes(expected, measures, events)
        _print(measures, broken, options.json)
        return EXIT_FAILED if broken else EXIT_OK


def _open(path: Path):
    try:
        return path.open(encoding="utf-8")
    except OSError as error:
        message = f"{path}: can't be read ({error.strerror}): name a readable file"
        raise CommandError(message, EXIT_BAD_INPUT) from error


def _print(measures: Measures, broken: list[BrokenOutcome], as_json: bool) -> None:
    values = measures.as_json()
    if as_json:
        values["broken"] = [str(outcome) for outcome in broken]
        print(json.dumps(values, indent=1))
        return
    print(f"instance-hours    {values['instance_hours']}")
    for upstream, after_s in values["detection_s"].items():
        print(f"detection         {upstream}: {_format_detection(after_s)}")
    print(f"false ejections   {values['false_ejections']}")
    for ejection in measures.false_ejections:
        position = f"line {ejection.line} at {ejection.at_s:.3f} s"
        print(f"                  {ejection.upstream}, {position}: {ejection.reason}")
    for rank, share in values["service_level"].items():
        print(f"service level     {rank}: {share:.2%}")
    for rank, share in values["flood_level"].items():
        print(f"level in a flood  {rank}: {share:.2%}")
    for outcome in broken:
        print(f"DID NOT HOLD      {outcome}")


def _format_detection(after_s: float | None) -> str:
    return "never" if after_s is None else f"{after_s:.3f} s"
