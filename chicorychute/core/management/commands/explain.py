"""Shows the history of one request from log files."""

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from chicorychute.core.management.base import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    EXIT_OK,
    BaseCommand,
    CommandError,
)
from chicorychute.explain.history import describe
from chicorychute.explain.lines import find_related_lines


class Command(BaseCommand):
    """Show what each daemon did with a request, and where it was lost."""

    help = "Show the history of one request from the JSON log lines of the daemons."
    examples = (
        "examples:\n"
        "  chicorychute explain 9c41d07be2a35f68 logs/*.log\n"
        "  zcat logs/*.gz | chicorychute explain 9c41d07be2a35f68\n\n"
        "exit codes: 0 the request was found; 1 no line has its id;\n"
        "2 a file can't be read"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the request id and the log files."""
        parser.add_argument("id", metavar="REQUEST-ID", help="id of the request")
        parser.add_argument(
            "files",
            nargs="*",
            type=Path,
            metavar="FILE",
            help="log files in any order (default: standard input)",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Print the history of the request."""
        related = find_related_lines(_read_lines(options.files), options.id)
        if not related.request_lines:
            damaged = (
                f", {related.damaged_count} damaged lines do"
                if related.damaged_count
                else ""
            )
            print(
                f"chicorychute: no readable log line has the id {options.id}{damaged}:"
                " give the logs of every daemon of its region for the minute in which"
                " it was sent",
                file=sys.stderr,
            )
            return EXIT_FAILED
        print("\n".join(describe(related)))
        return EXIT_OK


def _read_lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            problem = f"{path} can't be read ({error.strerror}): name a log file"
            raise CommandError(problem, EXIT_BAD_INPUT) from error
