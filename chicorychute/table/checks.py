"""Checks of rows that only hold together."""

from collections.abc import Iterator, Sequence

from chicorychute.table.columns import COLUMNS, cell_of
from chicorychute.table.exceptions import TableFault
from chicorychute.table.rows import Row

SHARE_TOLERANCE = 1e-9  # decimals such as 0.1 are not exact

NumberedRow = tuple[int, Row]


def check_rows(rows: Sequence[NumberedRow]) -> list[TableFault]:
    """Return the faults of rows that exclude each other, in order of line."""
    checks = (
        _check_ranks,
        _check_targets,
        _check_routes,
        _check_service_cells,
        _check_shares,
    )
    faults = [fault for check in checks for fault in check(rows)]
    return sorted(faults, key=lambda fault: fault.line)


def _check_ranks(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    line_by_rank: dict[tuple[str, str], int] = {}
    for number, row in rows:
        first = line_by_rank.setdefault((row.service, row.rank), number)
        if first != number:
            problem = f"stands already in line {first} for service {row.service}"
            hint = "keep one row for each service and rank"
            yield TableFault("table.E003", number, "rank", row.rank, problem, hint)


def _check_targets(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    for number, row in rows:
        if row.target_ms > row.deadline_ms:
            problem = f"is above the deadline of {row.deadline_ms:g}"
            hint = "lower it, or raise deadline_ms"
            target = cell_of(row, "target_ms")
            yield TableFault("table.E006", number, "target_ms", target, problem, hint)


def _check_routes(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    first_by_route: dict[str, NumberedRow] = {}
    for number, row in rows:
        for position, route in enumerate(row.routes):
            line, first = first_by_route.setdefault(route, (number, row))
            again = route in row.routes[:position]
            if again or (first is not row and not may_share(first, row)):
                problem = f"is a route of line {line} too"
                hint = "give each route to one row, or a weight to rows of services"
                yield TableFault("table.E007", number, "routes", route, problem, hint)


def may_share(row: Row, other: Row) -> bool:
    """Return whether two rows may hold the same route, each for a part of it."""
    weighted = row.weight > 0 and other.weight > 0
    return weighted and row.service != other.service


def _check_service_cells(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    first_by_service: dict[str, NumberedRow] = {}
    for number, row in rows:
        line, first = first_by_service.setdefault(row.service, (number, row))
        for column in COLUMNS:
            if not column.of_service or _equal(row, first, column.name):
                continue
            cell = cell_of(row, column.name)
            held = cell_of(first, column.name)
            if cell != held:
                problem = f"differs from {held} in line {line} of the same service"
                hint = "write the same value in every row of the service"
                yield TableFault("table.E008", number, column.name, cell, problem, hint)


def _equal(row: Row, first: Row, column: str) -> bool:
    return getattr(row, column) == getattr(first, column)


def _check_shares(rows: Sequence[NumberedRow]) -> Iterator[TableFault]:
    sum_by_service: dict[str, float] = {}
    for number, row in rows:
        before = sum_by_service.get(row.service, 0.0)
        sum_by_service[row.service] = before + row.share
        if before <= 1 + SHARE_TOLERANCE < before + row.share:
            problem = f"brings the shares of service {row.service} above 1"
            hint = "lower the shares of the service"
            share = cell_of(row, "share")
            yield TableFault("table.E005", number, "share", share, problem, hint)
