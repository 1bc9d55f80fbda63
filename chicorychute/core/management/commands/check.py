"""Checks a settings file or a table without starting anything."""

import argparse
from pathlib import Path

from result import Err, Result

from chicorychute.conf.settings import read_settings
from chicorychute.core.management.base import (
    EXIT_BAD_INPUT,
    EXIT_OK,
    BaseCommand,
    CommandError,
)
from chicorychute.core.management.commands.table import read_table_file
from chicorychute.table.parse import parse_table


class Command(BaseCommand):
    """Report every fault of a settings file or a table."""

    help = "Check a settings file or a table; start nothing."
    examples = (
        "examples:\n"
        "  chicorychute check -c daemon.ini\n"
        "  chicorychute check --table table.csv\n\n"
        "exit codes: 0 no faults; 2 faults, one line each on standard error"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the files to check."""
        parser.add_argument("-c", "--config", type=Path, help="INI file")
        parser.add_argument("--table", type=Path, help="CSV file")

    def handle(self, options: argparse.Namespace) -> int:
        """Check the given files."""
        if options.config is None and options.table is None:
            raise CommandError("nothing to check: give -c or --table", EXIT_BAD_INPUT)
        lines = []
        if options.config is not None:
            lines.extend(_faults(read_settings(options.config)))
        if options.table is not None:
            lines.extend(_table_faults(options.table))
        if lines:
            raise CommandError("\n".join(lines), EXIT_BAD_INPUT)
        print("no faults")
        return EXIT_OK


def _table_faults(path: Path) -> list[str]:
    try:
        text = read_table_file(path)
    except CommandError as error:
        return [str(error)]
    return [f"{path}: {line}" for line in _faults(parse_table(1, text))]


def _faults(result: Result) -> list[str]:
    if isinstance(result, Err):
        return [str(fault) for fault in result.err_value]
    return []
