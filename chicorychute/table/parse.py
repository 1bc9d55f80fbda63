"""Reads a table from CSV text and reports every bad cell."""

import csv
import io
import math
from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from chicorychute.table.exceptions import TableFault
from chicorychute.table.rows import Repeat, Row, Table

BYTE_ORDER_MARK = "\ufeff"


@attrs.frozen
class Column:
    """How one column is read: its header, reader and accepted values."""

    name: str
    read: Callable[[str], Any]
    accepts: str


def _number(low: float, high: float) -> Callable[[str], float]:
    def read(cell: str) -> float:
        value = float(cell)
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(cell)
        return value

    return read


def _whole(low: int, high: int) -> Callable[[str], int]:
    def read(cell: str) -> int:
        value = int(cell)
        if not low <= value <= high:
            raise ValueError(cell)
        return value

    return read


def _name(cell: str) -> str:
    if not cell or not all(c.isalnum() or c in "-_." for c in cell):
        raise ValueError(cell)
    return cell


def _routes(cell: str) -> tuple[str, ...]:
    patterns = tuple(part.strip() for part in cell.split(";") if part.strip())
    for pattern in patterns:
        method, _, path = pattern.partition(" ")
        if not method.isupper() or not path.startswith("/"):
            raise ValueError(cell)
        if "*" in path[:-1]:
            raise ValueError(cell)
    if not patterns:
        raise ValueError(cell)
    return patterns


COLUMNS: tuple[Column, ...] = (
    Column("service", _name, "letters, digits, '-', '_' and '.'"),
    Column("rank", _name, "letters, digits, '-', '_' and '.'"),
    Column("routes", _routes, "'METHOD /path' patterns parted by ';'"),
    Column("priority", _whole(1, 100), "a whole number from 1 to 100"),
    Column("share", _number(0, 1), "a number from 0 to 1"),
    Column("target_ms", _number(1, 600_000), "milliseconds from 1 to 600000"),
    Column("deadline_ms", _number(1, 600_000), "milliseconds from 1 to 600000"),
    Column("repeat", Repeat, "'idempotent' or 'once'"),
    Column("retry_share", _number(0, 1), "a number from 0 to 1"),
    Column("slots", _whole(1, 10_000), "a whole number from 1 to 10000"),
    Column("floor", _number(0, 1), "a number from 0 to 1"),
    Column("sensitivity", _number(0.1, 10), "a number from 0.1 to 10"),
    Column("team_rate", _number(0, 1e6), "requests a second, 0 for no limit"),
    Column("cross_region_kbps", _number(0, 1e7), "kilobytes a second, 0 for none"),
)
COLUMN_NAMES = tuple(column.name for column in COLUMNS)


def parse_table(version: int, text: str) -> Result[Table, list[TableFault]]:
    """Read and check a whole table.

    Parameters
    ----------
    version : int
        Version under which the operators published the text.
    text : str
        CSV with a header line, as a spreadsheet saves it.

    Returns
    -------
    Ok of Table, or Err of every fault found
    """
    lines = list(csv.reader(io.StringIO(text.removeprefix(BYTE_ORDER_MARK))))
    if not lines:
        return Err([_header_fault("", "is empty", "add the header line and a row")])
    header = [cell.strip() for cell in lines[0]]
    faults = _check_header(header)
    if faults:
        return Err(faults)
    rows = []
    for number, cells in enumerate(lines[1:], start=2):
        if not any(cell.strip() for cell in cells):
            continue
        row, row_faults = _read_row(number, header, cells)
        faults.extend(row_faults)
        if row is not None:
            rows.append((number, row))
    faults.extend(_check_rows(rows))
    if not rows and not faults:
        faults.append(_header_fault("", "has no row", "add a row"))
    if faults:
        return Err(faults)
    return Ok(Table(version, text, tuple(row for _, row in rows)))


def _header_fault(value: str, problem: str, hint: str) -> TableFault:
    return TableFault("table.E001", 1, "", value, problem, hint)


def _check_header(header: list[str]) -> list[TableFault]:
    faults = [
        _header_fault(name, "is not a known column", "remove it or correct its name")
        for name in header
        if name not in COLUMN_NAMES
    ]
    faults.extend(
        _header_fault(name, "is missing from the header", "add the column")
        for name in COLUMN_NAMES
        if name not in header
    )
    return faults


def _read_row(
    number: int, header: list[str], cells: list[str]
) -> tuple[Row | None, list[TableFault]]:
    cell_by_name = dict(zip(header, (cell.strip() for cell in cells), strict=False))
    values = {}
    faults = []
    for column in COLUMNS:
        cell = cell_by_name.get(column.name, "")
        try:
            values[column.name] = column.read(cell)
        except ValueError:
            faults.append(
                TableFault(
                    "table.E002",
                    number,
                    column.name,
                    cell,
                    "is out of range or of the wrong type",
                    f"use {column.accepts}",
                )
            )
    return (None if faults else Row(**values)), faults


def _check_rows(rows: list[tuple[int, Row]]) -> list[TableFault]:
    faults = []
    line_by_rank: dict[tuple[str, str], int] = {}
    for number, row in rows:
        name = (row.service, row.rank)
        first = line_by_rank.setdefault(name, number)
        if first != number:
            faults.append(
                TableFault(
                    "table.E003",
                    number,
                    "rank",
                    row.rank,
                    f"stands already in line {first} for service {row.service}",
                    "keep one row for each service and rank",
                )
            )
    return faults
