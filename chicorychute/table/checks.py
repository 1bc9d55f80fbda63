"""Checks of rows that depend on each other."""

from collections.abc import Iterator, Sequence

from chicorychute.table.columns import COLUMNS, format_cell
from chicorychute.table.exceptions import TableFault
from chicorychute.table.rows import Row

# Decimals such as 0.1 are not exact in binary, so that their sum may exceed 1 slightly.
SHARE_TOLERANCE = 1e-9

NumberedRow = tuple[int, Row]


def check_rows(rows: Sequence[NumberedRow]) -> list[TableFault]:
    """Return the faults of rows that contradict each other, by line."""
    checks = (
        _check_ranks,
        _check_targets,
        _check_routes,
        _check_service_wide_cells,
        _check_shares,
    )
    faults = [fault for check in checks for fault in check(rows)]
    return sorted(faults, key=lambda fault: fault.line)


def _check_ranks(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    line_by_rank: dict[tuple[str, str], int] = {}
    for line_number, row in rows:
        first_line = line_by_rank.setdefault((row.service, row.rank), line_number)
        if first_line != line_number:
            problem = f"already appears in line {first_line} for service {row.service}"
            hint = "keep one row for each service and rank"
            yield TableFault("table.E003", line_number, "rank", row.rank, problem, hint)


def _check_targets(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    for line_number, row in rows:
        if row.target_ms > row.deadline_ms:
            problem = f"is above the deadline of {row.deadline_ms:g} ms"
            hint = "lower it, or raise deadline_ms"
            target = format_cell(row, "target_ms")
            yield TableFault(
                "table.E006", line_number, "target_ms", target, problem, hint
            )


def _check_routes(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    first_by_route: dict[str, NumberedRow] = {}
    for line_number, row in rows:
        routes_of_row: set[str] = set()
        for route in row.routes:
            line, first_row = first_by_route.setdefault(route, (line_number, row))
            is_repeated = route in routes_of_row
            routes_of_row.add(route)
            if is_repeated or (
                first_row is not row and not may_share_route(first_row, row)
            ):
                problem = f"is already a route in line {line}"
                hint = (
                    "list it in one row, or give weights to rows of different services"
                )
                yield TableFault(
                    "table.E007", line_number, "routes", route, problem, hint
                )


def may_share_route(row: Row, other: Row) -> bool:
    """Return whether two rows may divide the requests of one route by weight."""
    weighted = row.weight > 0 and other.weight > 0
    return weighted and row.service != other.service


def _check_service_wide_cells(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    first_by_service: dict[str, NumberedRow] = {}
    for line_number, row in rows:
        line, first_row = first_by_service.setdefault(row.service, (line_number, row))
        for column in COLUMNS:
            if not column.service_wide or _has_same_value(row, first_row, column.name):
                continue
            cell = format_cell(row, column.name)
            first_cell = format_cell(first_row, column.name)
            if cell != first_cell:
                problem = (
                    f"differs from {first_cell} in line {line} of the same service"
                )
                hint = "write the same value in every row of the service"
                yield TableFault(
                    "table.E008", line_number, column.name, cell, problem, hint
                )


def _has_same_value(row: Row, first_row: Row, column: str) -> bool:
    return getattr(row, column) == getattr(first_row, column)


def _check_shares(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    sum_by_service: dict[str, float] = {}
    for line_number, row in rows:
        previous_sum = sum_by_service.get(row.service, 0.0)
        sum_by_service[row.service] = previous_sum + row.share
        if previous_sum <= 1 + SHARE_TOLERANCE < previous_sum + row.share:
            problem = f"raises the sum of shares of service {row.service} above 1"
            hint = "lower the shares of the service"
            share = format_cell(row, "share")
            yield TableFault("table.E005", line_number, "share", share, problem, hint)
