"""Checks a settings file or a table and starts nothing."""

import argparse
from pathlib import Path

from result import Err

from chicorychute.conf.settings import read_settings
from chicorychute.core.management.base import (
    EXIT_BAD_INPUT,
    EXIT_OK,
    BaseCommand,
    CommandError,
)
from chicorychute.table.parse import parse_table


class Command(BaseCommand):
    """Report every fault of a settings file or a table."""

    help = "Check a settings file or a table; start nothing."
    examples = (
        "examples:\n  chicorychute check -c daemon.ini\n"
        "  chicorychute check --table table.csv"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the files."""
        parser.add_argument("-c", "--config", type=Path, help="INI file")
        parser.add_argument("--table", type=Path, help="CSV file")

    def handle(self, options: argparse.Namespace) -> int:
        """Check the files given."""
        if options.config is None and options.table is None:
            raise CommandError("nothing to check: give -c or --table", EXIT_BAD_INPUT)
        lines = []
        if options.config is not None:
            lines.extend(_faults(read_settings(options.config)))
        if options.table is not None:
            try:
                text = options.table.read_text("utf-8")
            except (OSError, UnicodeDecodeError) as error:
                raise CommandError(
                    f"{options.table}: can't be read ({error}): name a CSV in UTF-8",
                    EXIT_BAD_INPUT,
                ) from error
            found = _faults(parse_table(1, text))
            lines.extend(f"{options.table}: {line}" for line in found)
        if lines:
            raise CommandError("\n".join(lines), EXIT_BAD_INPUT)
        print("no faults")
        return EXIT_OK


def _faults(found) -> list[str]:
    if isinstance(found, Err):
        return [str(fault) for fault in found.err_value]
    return []
