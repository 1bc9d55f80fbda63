"""Shows and compares tables, and finds the row of a request."""

import argparse
import json
from pathlib import Path

import attrs
from result import Err

from chicorychute.core.management.base import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    EXIT_OK,
    BaseCommand,
    CommandError,
)
from chicorychute.core.management.operator import DEFAULT_URL, fetch
from chicorychute.core.management.text import format_columns
from chicorychute.table.columns import ALL_COLUMN_NAMES, COLUMNS, format_cell
from chicorychute.table.diff import CellChanged, Change, RowAdded, diff_tables
from chicorychute.table.parse import parse_table
from chicorychute.table.routes import RouteIndex
from chicorychute.table.rows import Row, Table

URL_PREFIXES = ("http://", "https://")
VERSION_HEADER = "Chute-Table-Version"


class Command(BaseCommand):
    """Show a table, compare two, or explain which row a request matches."""

    help = "Show a table, compare two, or explain the row of a request."
    examples = (
        "A SOURCE is a CSV file, or the operator URL of a daemon for its table in"
        f" force\n(default {DEFAULT_URL}).\n\n"
        "examples:\n"
        "  chicorychute table show table.csv\n"
        "  chicorychute table diff http://127.0.0.1:8082 new.csv\n"
        "  chicorychute table explain POST /orders table.csv\n\n"
        "exit codes: 0 done, and diff found no difference; 1 diff found some,\n"
        "explain found no row, or a daemon does not answer; 2 bad input"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the actions."""
        actions = parser.add_subparsers(dest="action", required=True)
        show = actions.add_parser("show", help="print the rows")
        show.add_argument("source", nargs="?", default=DEFAULT_URL)
        show.set_defaults(act=_show)
        diff = actions.add_parser("diff", help="print the cells that differ")
        diff.add_argument("old")
        diff.add_argument("new")
        diff.set_defaults(act=_diff)
        explain = actions.add_parser("explain", help="show the row of a request")
        explain.add_argument("method")
        explain.add_argument("path")
        explain.add_argument("source", nargs="?", default=DEFAULT_URL)
        explain.set_defaults(act=_explain)
        for action in (show, diff, explain):
            action.add_argument("--json", action="store_true", help="print JSON")

    def handle(self, options: argparse.Namespace) -> int:
        """Run the action."""
        return options.act(options)


def _show(options: argparse.Namespace) -> int:
    table = _load(options.source)
    if options.json:
        rows = [_cells(row) for row in table.rows]
        print(json.dumps({"version": table.version, "rows": rows}, indent=2))
        return EXIT_OK
    rows = [[format_cell(row, name) for name in ALL_COLUMN_NAMES] for row in table.rows]
    print("\n".join(format_columns([ALL_COLUMN_NAMES, *rows])))
    return EXIT_OK


def _diff(options: argparse.Namespace) -> int:
    changes = diff_tables(_load(options.old), _load(options.new))
    if options.json:
        print(json.dumps([_change_values(change) for change in changes], indent=2))
    else:
        for change in changes:
            print(_change_line(change))
    return EXIT_FAILED if changes else EXIT_OK


def _explain(options: argparse.Namespace) -> int:
    table = _load(options.source)
    path = options.path.partition("?")[0]
    row = RouteIndex(table).find(options.method.upper(), path)
    if row is None:
        raise CommandError(
            f"no row has a route for {options.method.upper()} {path}:"
            " add it to the routes of one, or correct the request"
        )
    if options.json:
        print(json.dumps(_cells(row), indent=2))
        return EXIT_OK
    print(f"{options.method.upper()} {path} is {row.service}, rank {row.rank}")
    lines = [("column", "cell", "meaning")]
    lines.extend((c.name, format_cell(row, c.name), c.doc) for c in COLUMNS)
    print("\n".join(format_columns(lines)))
    return EXIT_OK


def _load(source: str) -> Table:
    if source.startswith(URL_PREFIXES):
        answer = fetch(source.rstrip("/") + "/table")
        version = int(answer.headers.get(VERSION_HEADER, 0))
        text = answer.data.decode()
    else:
        version, text = 0, read_table_file(Path(source))
    found = parse_table(version, text)
    if isinstance(found, Err):
        lines = "\n".join(f"{source}: {fault}" for fault in found.err_value)
        raise CommandError(lines, EXIT_BAD_INPUT)
    return found.ok_value


def read_table_file(path: Path) -> str:
    """Return the text of a table file.

    Raises
    ------
    CommandError
        If the file can't be read or is not UTF-8.
    """
    try:
        return path.read_bytes().decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(
            f"{path}: can't be read ({error}): name a CSV file in UTF-8", EXIT_BAD_INPUT
        ) from error


def _cells(row: Row) -> dict[str, str]:
    return {name: format_cell(row, name) for name in ALL_COLUMN_NAMES}


def _change_line(change: Change) -> str:
    row = change.row
    row_name = f"{row.service} {row.rank}"
    match change:
        case CellChanged(_, column, old, new):
            return f"{row_name}: {column} {old} -> {new}"
        case RowAdded():
            return f"{row_name}: row added"
    return f"{row_name}: row removed"


def _change_values(change: Change) -> dict[str, str]:
    values = {"service": change.row.service, "rank": change.row.rank}
    match change:
        case CellChanged():
            cells = attrs.asdict(change, filter=lambda field, _: field.name != "row")
            return {"change": "cell", **values, **cells}
        case RowAdded():
            return {"change": "added", **values}
    return {"change": "removed", **values}
