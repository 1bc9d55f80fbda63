"""Reads an edited table incrementally, on the basis of the table in force.

Rows whose lines are unchanged are reused, and a service whose rows are all reused is
not checked again. Only a valid table is read this way. In every unusual case the
complete text is parsed instead, so that decision and faults are the same.
"""

import csv
import operator
from collections.abc import Iterable

import attrs

from chicorychute.table.checks import check_rows, may_share_route
from chicorychute.table.parse import (
    BYTE_ORDER_MARK,
    RowReader,
    detect_delimiter,
    read_lines,
    strip_trailing_blanks,
)
from chicorychute.table.rows import Row, Table

# A quoted cell may contain a line break, so that lines are no longer rows.
QUOTE = '"'


@attrs.frozen
class _Lines:
    """Header and rows of a text, as lines without the blank ones."""

    delimiter: str
    header: str
    rows: list[str]


def parse_edit(current: Table, version: int, text: str) -> Table | None:
    """Return the table if it is valid and has the header of the one in force.

    Returns
    -------
    Table, or None if the complete text must be parsed
    """
    current_lines, lines = _split(current.text), _split(text)
    if current_lines is None or lines is None:
        return None
    if (current_lines.delimiter, current_lines.header) != (
        lines.delimiter,
        lines.header,
    ):
        return None
    row_by_line = dict(zip(current_lines.rows, current.rows, strict=True))
    try:
        rows = _read_rows(lines, row_by_line)
    except csv.Error:
        return None
    if not rows or None in rows or _has_fault(current, rows):
        return None
    return Table(version, text, tuple(rows))


def _split(text: str) -> _Lines | None:
    """Return the lines, None if a row may span lines or all are blank."""
    content = text.removeprefix(BYTE_ORDER_MARK)
    delimiter = detect_delimiter(content)
    normalized = content.replace("\r\n", "\n")
    if QUOTE in normalized or "\r" in normalized:
        return None
    lines = [line for line in normalized.split("\n") if _has_cell(line, delimiter)]
    return _Lines(delimiter, lines[0], lines[1:]) if lines else None


def _has_cell(line: str, delimiter: str) -> bool:
    return bool(line.replace(delimiter, "").strip())


def _read_rows(lines: _Lines, row_by_line: dict[str, Row]) -> list[Row | None]:
    header = read_lines(lines.header, lines.delimiter)[0].cells
    reader = RowReader(strip_trailing_blanks(header))
    return [
        row_by_line.get(line) or _read_row(reader, line, lines.delimiter)
        for line in lines.rows
    ]


def _read_row(reader: RowReader, line: str, delimiter: str) -> Row | None:
    row, _ = reader.read(read_lines(line, delimiter)[0])
    return row


def _has_fault(current: Table, rows: list[Row]) -> bool:
    new_by_service, current_by_service = (
        _group_by_service(rows),
        _group_by_service(current.rows),
    )
    changed = [
        row
        for service, group in new_by_service.items()
        if not _is_unchanged(group, current_by_service.get(service, []))
        for row in group
    ]
    if check_rows(list(enumerate(changed))):
        return True
    services = {row.service for row in changed}
    return _has_route_conflict(
        changed, (row for row in rows if row.service not in services)
    )


def _group_by_service(rows: Iterable[Row]) -> dict[str, list[Row]]:
    rows_by_service: dict[str, list[Row]] = {}
    for row in rows:
        rows_by_service.setdefault(row.service, []).append(row)
    return rows_by_service


def _is_unchanged(group: list[Row], current_group: list[Row]) -> bool:
    return len(group) == len(current_group) and all(
        map(operator.is_, group, current_group)
    )


def _has_route_conflict(changed: list[Row], others: Iterable[Row]) -> bool:
    """Return whether a route of the changed services conflicts with another service."""
    row_by_route = {route: row for row in changed for route in row.routes}
    return any(
        route in row_by_route and not may_share_route(row_by_route[route], row)
        for row in others
        for route in row.routes
    )
