"""Reads a table from CSV text and reports every bad cell."""

import csv
import io

import attrs
from result import Err, Ok, Result

from chicorychute.table.checks import check_rows
from chicorychute.table.columns import COLUMN_NAMES, COLUMNS, Column
from chicorychute.table.exceptions import TableFault
from chicorychute.table.rows import Row, Table

BYTE_ORDER_MARK = "\ufeff"
DELIMITERS = ",;\t"


@attrs.frozen
class _Line:
    """Cells of one row with the line on which it starts."""

    number: int
    cells: list[str]

    def is_blank(self) -> bool:
        """Tell if no cell holds anything."""
        return not any(self.cells)


def parse_table(version: int, text: str) -> Result[Table, list[TableFault]]:
    """Read and check a whole table.

    Parameters
    ----------
    version : int
        Version under which the operators published the text.
    text : str
        CSV with a header line, as a spreadsheet saves it: parted by commas,
        semicolons or tabs, with or without a byte-order mark.

    Returns
    -------
    Ok of Table, or Err of every fault found
    """
    try:
        lines = _read_lines(text.removeprefix(BYTE_ORDER_MARK))
    except csv.Error as error:
        hint = "save it again as CSV in UTF-8"
        return Err([_header_fault("", f"is not CSV ({error})", hint)])
    if not lines:
        return Err([_header_fault("", "is empty", "add the header line and a row")])
    header = _without_blank_end(lines[0].cells)
    faults = _check_header(header)
    if faults:
        return Err(faults)
    rows = []
    for line in lines[1:]:
        row, row_faults = _read_row(header, line)
        faults.extend(row_faults)
        if row is not None:
            rows.append((line.number, row))
    faults.extend(check_rows(rows))
    if not rows and not faults:
        faults.append(_header_fault("", "has no row", "add a row"))
    if faults:
        return Err(faults)
    return Ok(Table(version, text, tuple(row for _, row in rows)))


def _read_lines(text: str) -> list[_Line]:
    first = text.lstrip().partition("\n")[0]
    delimiter = max(DELIMITERS, key=first.count)
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    lines = []
    number = 1
    for cells in reader:
        line = _Line(number, [cell.strip() for cell in cells])
        if not line.is_blank():
            lines.append(line)
        number = reader.line_num + 1
    return lines


def _without_blank_end(cells: list[str]) -> list[str]:
    end = len(cells)
    while end and not cells[end - 1]:
        end -= 1
    return cells[:end]


def _header_fault(value: str, problem: str, hint: str) -> TableFault:
    return TableFault("table.E001", 1, "", value, problem, hint)


def _check_header(header: list[str]) -> list[TableFault]:
    faults = []
    for position, name in enumerate(header):
        if name not in COLUMN_NAMES:
            problem, hint = "is not a known column", "remove it or correct its name"
            faults.append(_header_fault(name, problem, hint))
        elif name in header[:position]:
            problem, hint = "stands twice in the header", "keep one of the columns"
            faults.append(_header_fault(name, problem, hint))
    faults.extend(
        _header_fault(name, "is missing from the header", "add the column")
        for name in COLUMN_NAMES
        if name not in header
    )
    return faults


def _read_row(header: list[str], line: _Line) -> tuple[Row | None, list[TableFault]]:
    beyond = [cell for cell in line.cells[len(header) :] if cell]
    if beyond:
        problem = f"stands beyond the {len(header)} columns of the header"
        hint = "put quotes around a cell that holds the separator"
        return None, [
            TableFault("table.E004", line.number, "", beyond[0], problem, hint)
        ]
    if len(line.cells) < len(header):
        problem = f"has {len(line.cells)} of {len(header)} cells"
        fault = TableFault("table.E004", line.number, "", "", problem, "add the others")
        return None, [fault]
    cell_by_name = dict(zip(header, line.cells, strict=False))
    values = {}
    faults = []
    for column in COLUMNS:
        cell = cell_by_name[column.name]
        try:
            values[column.name] = column.read(cell)
        except ValueError:
            faults.append(_cell_fault(line.number, column, cell))
    return (None if faults else Row(**values)), faults


def _cell_fault(number: int, column: Column, cell: str) -> TableFault:
    problem = "is out of range or of the wrong type" if cell else "is empty"
    hint = f"use {column.accepts}"
    if "," in cell and column.name != "routes":
        hint += ", with a point for decimals"
    return TableFault("table.E002", number, column.name, cell, problem, hint)
