"""Parses a table from CSV text and reports every invalid cell."""

import csv
import io
from typing import Any

import attrs
from result import Err, Ok, Result

from chicorychute.table.checks import check_rows
from chicorychute.table.columns import (
    ALL_COLUMN_NAMES,
    COLUMNS,
    REQUIRED_COLUMN_NAMES,
    Column,
)
from chicorychute.table.exceptions import TableFault
from chicorychute.table.rows import Row, Table

BYTE_ORDER_MARK = "\ufeff"
DELIMITERS = ",;\t"
# A cell holds all routes of a row. The limit is that of a message to a peer, which
# takes the whole table; `csv` has one limit for the process, by default 128 KiB.
MAX_CELL_CHARS = 8 << 20
csv.field_size_limit(MAX_CELL_CHARS)


@attrs.frozen
class Line:
    """Cells of one row, with the number of the line on which it starts."""

    number: int
    cells: list[str]

    def is_blank(self) -> bool:
        """Return whether all cells are empty."""
        return not any(self.cells)


def parse_table(version: int, text: str) -> Result[Table, list[TableFault]]:
    """Parse and check a complete table.

    Parameters
    ----------
    version : int
        Version under which the operators published the text.
    text : str
        CSV with a header line, as a spreadsheet saves it: separated by commas,
        semicolons or tabs, with or without a byte-order mark.

    Returns
    -------
    Ok of Table, or Err of every fault found
    """
    content = text.removeprefix(BYTE_ORDER_MARK)
    try:
        lines = read_lines(content, detect_delimiter(content))
    except csv.Error as error:
        hint = "save it again as CSV in UTF-8"
        return Err([_header_fault("", f"is not CSV ({error})", hint)])
    if not lines:
        return Err([_header_fault("", "is empty", "add the header line and a row")])
    header = strip_trailing_blanks(lines[0].cells)
    faults = _check_header(header)
    if faults:
        return Err(faults)
    rows = []
    reader = RowReader(header)
    for line in lines[1:]:
        row, row_faults = reader.read(line)
        faults.extend(row_faults)
        if row is not None:
            rows.append((line.number, row))
    faults.extend(check_rows(rows))
    if not rows and not faults:
        faults.append(_header_fault("", "has no rows", "add a row"))
    if faults:
        return Err(faults)
    return Ok(Table(version, text, tuple(row for _, row in rows)))


def detect_delimiter(text: str) -> str:
    """Return the character that separates the cells of a table."""
    first_line = text.lstrip().partition("\n")[0]
    return max(DELIMITERS, key=first_line.count)


def read_lines(text: str, delimiter: str) -> list[Line]:
    """Return the rows of `text` that are not blank.

    Raises
    ------
    csv.Error
        If the text is not CSV.
    """
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    lines = []
    number = 1
    for cells in reader:
        line = Line(number, [cell.strip() for cell in cells])
        if not line.is_blank():
            lines.append(line)
        number = reader.line_num + 1
    return lines


def strip_trailing_blanks(cells: list[str]) -> list[str]:
    """Return the cells up to the last that is not empty."""
    end = len(cells)
    while end and not cells[end - 1]:
        end -= 1
    return cells[:end]


def _header_fault(value: str, problem: str, hint: str) -> TableFault:
    return TableFault("table.E001", 1, "", value, problem, hint)


def _check_header(header: list[str]) -> list[TableFault]:
    faults = []
    for position, name in enumerate(header):
        if name not in ALL_COLUMN_NAMES:
            problem, hint = "is not a known column", "remove it or correct its name"
            faults.append(_header_fault(name, problem, hint))
        elif name in header[:position]:
            problem, hint = "appears twice in the header", "keep one of the columns"
            faults.append(_header_fault(name, problem, hint))
    faults.extend(
        _header_fault(name, "is missing from the header", "add the column")
        for name in REQUIRED_COLUMN_NAMES
        if name not in header
    )
    return faults


class RowReader:
    """Reads the rows under one header.

    Equal cells of a column share one value, except those of ``routes``.
    """

    def __init__(self, header: list[str]):
        self._header = header
        self._columns = [column for column in COLUMNS if column.name in header]
        self._value_by_cell: dict[tuple[str, str], Any] = {}

    def read(self, line: Line) -> tuple[Row | None, list[TableFault]]:
        """Return the row, or None and the faults of its cells."""
        fault = self._width_fault(line)
        if fault is not None:
            return None, [fault]
        cell_by_name = dict(zip(self._header, line.cells, strict=False))
        values = {}
        faults = []
        for column in self._columns:
            cell = cell_by_name[column.name]
            try:
                values[column.name] = self._read_cell(column, cell)
            except ValueError:
                faults.append(_cell_fault(line.number, column, cell))
        return (None if faults else Row(**values)), faults

    def _read_cell(self, column: Column, cell: str) -> Any:
        if column.name == "routes":
            return column.read(cell)
        key = (column.name, cell)
        value = self._value_by_cell.get(key)
        if value is None:
            value = self._value_by_cell[key] = column.read(cell)
        return value

    def _width_fault(self, line: Line) -> TableFault | None:
        width = len(self._header)
        extra_cells = [cell for cell in line.cells[width:] if cell]
        if extra_cells:
            problem = f"is outside the {width} columns of the header"
            hint = "quote a cell that contains the separator"
            return TableFault(
                "table.E004", line.number, "", extra_cells[0], problem, hint
            )
        if len(line.cells) < width:
            problem = f"has {len(line.cells)} of {width} cells"
            hint = "add the missing cells"
            return TableFault("table.E004", line.number, "", "", problem, hint)
        return None


def _cell_fault(number: int, column: Column, cell: str) -> TableFault:
    problem = "is out of range or of the wrong type" if cell else "is empty"
    hint = f"use {column.accepts}"
    if "," in cell and column.name != "routes":
        hint += ", with a point for decimals"
    return TableFault("table.E002", number, column.name, cell, problem, hint)
