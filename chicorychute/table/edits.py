"""Reads a table by what an edit changed in the one in force.

A row whose line stands in the table in force is taken over, and a service whose rows
are all taken over is not checked again. Only a sound table is read this way: where
anything is unusual, the whole is read, so that verdict and faults are the same.
"""

import csv
import operator
from collections.abc import Iterable

import attrs

from chicorychute.table.checks import check_rows, may_share
from chicorychute.table.parse import (
    BYTE_ORDER_MARK,
    RowReader,
    delimiter_of,
    read_lines,
    without_blank_end,
)
from chicorychute.table.rows import Row, Table

QUOTE = '"'  # a quoted cell may hold the end of a line


@attrs.frozen
class _Lines:
    """Text of the lines that are not blank, the header first."""

    delimiter: str
    header: str
    rows: list[str]


def parse_edit(held: Table, version: int, text: str) -> Table | None:
    """Return the table if it is sound and has the header of the one in force.

    Returns
    -------
    Table, or None where the whole text must be read
    """
    known, lines = _split(held.text), _split(text)
    if known is None or lines is None:
        return None
    if (known.delimiter, known.header) != (lines.delimiter, lines.header):
        return None
    row_by_line = dict(zip(known.rows, held.rows, strict=True))
    try:
        rows = _rows(lines, row_by_line)
    except csv.Error:
        return None
    if not rows or None in rows or _has_fault(held, rows):
        return None
    return Table(version, text, tuple(rows))


def _split(text: str) -> _Lines | None:
    """Return the lines, None where a row may span lines or nothing stands."""
    bare = text.removeprefix(BYTE_ORDER_MARK)
    delimiter = delimiter_of(bare)
    plain = bare.replace("\r\n", "\n")
    if QUOTE in plain or "\r" in plain:
        return None
    lines = [line for line in plain.split("\n") if _holds_cell(line, delimiter)]
    return _Lines(delimiter, lines[0], lines[1:]) if lines else None


def _holds_cell(line: str, delimiter: str) -> bool:
    return bool(line.replace(delimiter, "").strip())


def _rows(lines: _Lines, row_by_line: dict[str, Row]) -> list[Row | None]:
    header = read_lines(lines.header, lines.delimiter)[0].cells
    reader = RowReader(without_blank_end(header))
    return [
        row_by_line.get(line) or _read(reader, line, lines.delimiter)
        for line in lines.rows
    ]


def _read(reader: RowReader, line: str, delimiter: str) -> Row | None:
    row, _ = reader.read(read_lines(line, delimiter)[0])
    return row


def _has_fault(held: Table, rows: list[Row]) -> bool:
    group_by_service, known_by_service = _grouped(rows), _grouped(held.rows)
    changed = [
        row
        for service, group in group_by_service.items()
        if not _same(group, known_by_service.get(service, []))
        for row in group
    ]
    if check_rows(list(enumerate(changed))):
        return True
    services = {row.service for row in changed}
    return _meets(changed, (row for row in rows if row.service not in services))


def _grouped(rows: Iterable[Row]) -> dict[str, list[Row]]:
    grouped: dict[str, list[Row]] = {}
    for row in rows:
        grouped.setdefault(row.service, []).append(row)
    return grouped


def _same(group: list[Row], known: list[Row]) -> bool:
    return len(group) == len(known) and all(map(operator.is_, group, known))


def _meets(changed: list[Row], others: Iterable[Row]) -> bool:
    """Return whether a route of the changed services belongs to another one too."""
    row_by_route = {route: row for row in changed for route in row.routes}
    return any(
        route in row_by_route and not may_share(row_by_route[route], row)
        for row in others
        for route in row.routes
    )
