"""Columns of the operators' table: how each cell is read and what it means."""

import math
import re
from collections.abc import Callable
from typing import Any

import attrs

from chicorychute.core.lines import is_visible_ascii
from chicorychute.table.rows import Repeat, Row

WILDCARD_SUFFIX = "/*"
ANY_METHOD = "ANY"
NAME_CHARACTERS = "letters, digits, '-', '_' and '.'"

is_host = re.compile(r"[a-z0-9.-]+(:[0-9]{1,5})?").fullmatch


@attrs.frozen
class Column:
    """One column.

    Attributes
    ----------
    read : callable
        Converts a cell to its value, raises ValueError if it is not accepted.
    accepts : str
        Accepted values, with their unit, as shown in errors and the reference.
    doc : str
        Description shown in the reference and by ``table explain``.
    service_wide : bool
        Whether the value must be the same in every row of a service.
    optional : bool
        Whether the column may be left out; its rows then have the default.
    """

    name: str
    read: Callable[[str], Any]
    accepts: str
    doc: str
    service_wide: bool = False
    optional: bool = False


def _number(low: float, high: float) -> Callable[[str], float]:
    def read(cell: str) -> float:
        value = float(cell)
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(cell)
        return value

    return read


def _integer(low: int, high: int) -> Callable[[str], int]:
    def read(cell: str) -> int:
        if not (cell.isascii() and cell.isdigit()) or not low <= int(cell) <= high:
            raise ValueError(cell)
        return int(cell)

    return read


def _name(cell: str) -> str:
    if not cell or not all(c.isalnum() or c in "-_." for c in cell):
        raise ValueError(cell)
    return cell


def _routes(cell: str) -> tuple[str, ...]:
    patterns = tuple(item.strip() for item in cell.split(";") if item.strip())
    if not patterns or not all(_is_route(pattern) for pattern in patterns):
        raise ValueError(cell)
    return patterns


def _optional_path(cell: str) -> str:
    if cell and not (cell.startswith("/") and is_visible_ascii(cell)):
        raise ValueError(cell)
    return cell


def _is_route(pattern: str) -> bool:
    method, _, target = pattern.partition(" ")
    if not (method.isascii() and method.isalpha() and method.isupper()):
        return False
    host, slash, rest = target.partition("/")
    if host and not is_host(host):
        return False
    path = slash + rest
    literal = (
        path.removesuffix(WILDCARD_SUFFIX) if path.endswith(WILDCARD_SUFFIX) else path
    )
    if not is_visible_ascii(path) or not path.startswith("/"):
        return False
    return not any(character in literal for character in "*?#")


COLUMNS: tuple[Column, ...] = (
    Column("service", _name, NAME_CHARACTERS, "Service that the row belongs to."),
    Column(
        "rank",
        _name,
        NAME_CHARACTERS,
        "Rank of work; one row for each service and rank.",
    ),
    Column(
        "routes",
        _routes,
        "'METHOD /path' or 'METHOD host/path' patterns separated by ';'; a trailing"
        " '/*' matches any rest",
        "Requests of this rank. An exact path precedes the longest pattern that ends"
        " with '/*'; HEAD uses the row of GET if it has none of its own. ANY matches"
        " every method. Patterns with a host are compared with the path as sent.",
    ),
    Column(
        "priority",
        _integer(1, 100),
        "a whole number from 1 to 100",
        "Priority among the ranks; 1 is the most urgent.",
    ),
    Column(
        "share",
        _number(0, 1),
        "a number from 0 to 1",
        "Fraction of the slots guaranteed to the rank during a flood of any other. The"
        " shares of a service add up to at most 1.",
    ),
    Column(
        "target_ms",
        _number(1, 600_000),
        "milliseconds from 1 to 600000",
        "Target time of an answer; the service level counts the answers within it.",
    ),
    Column(
        "deadline_ms",
        _number(1, 600_000),
        "milliseconds from 1 to 600000, not below target_ms",
        "Time after which an answer is of no use and the request is abandoned.",
    ),
    Column(
        "repeat",
        Repeat,
        "'idempotent', 'once' or 'per-send'",
        "Whether a request may run more than once; 'once' needs an Idempotency-Key,"
        " 'per-send' runs each send of a caller at most once without one.",
    ),
    Column(
        "retry_share",
        _number(0, 1),
        "a number from 0 to 1",
        "Retries allowed, as a fraction of the service's requests.",
        service_wide=True,
    ),
    Column(
        "slots",
        _integer(1, 10_000),
        "a whole number from 1 to 10000",
        "Maximum number of requests that one upstream runs at a time.",
        service_wide=True,
    ),
    Column(
        "floor",
        _number(0, 1),
        "a number from 0 to 1",
        "Fraction of the service's upstreams that ejection leaves in rotation; 1"
        " disables ejection.",
        service_wide=True,
    ),
    Column(
        "sensitivity",
        _number(0.1, 10),
        "a number from 0.1 to 10",
        "Sensitivity of ejection: above 1 ejects sooner, below 1 later.",
        service_wide=True,
    ),
    Column(
        "team_rate",
        _number(0, 1e6),
        "requests a second, 0 for no limit",
        "Maximum rate of requests of each team at one gate.",
    ),
    Column(
        "cross_region_kbps",
        _number(0, 1e7),
        "kilobytes a second, 0 for none",
        "Budget of one daemon for the service's traffic to other regions.",
        service_wide=True,
    ),
    Column(
        "attempts",
        _integer(1, 10),
        "a whole number from 1 to 10",
        "Maximum number of upstreams that one request may reach; 3 if left out.",
        optional=True,
    ),
    Column(
        "retry_burst",
        _number(0, 1000),
        "a number from 0 to 1000",
        "Maximum number of unused retries that one daemon accumulates for the service;"
        " 10 if left out.",
        service_wide=True,
        optional=True,
    ),
    Column(
        "weight",
        _number(0, 1e6),
        "a number from 0 to 1000000",
        "Relative weight of this row for a route in rows of several services; 0, also"
        " if left out, keeps the routes to this row alone.",
        optional=True,
    ),
    Column(
        "probe",
        _optional_path,
        "a path, or empty",
        "Path by which the service's upstreams are probed, in place of the path in the"
        " settings.",
        service_wide=True,
        optional=True,
    ),
    Column(
        "idle_s",
        _number(0, 3600),
        "seconds from 0 to 3600",
        "Time that callers may keep an idle connection; the maximum of all rows"
        " applies, 10 if none is given.",
        optional=True,
    ),
)
ALL_COLUMN_NAMES = tuple(column.name for column in COLUMNS)
REQUIRED_COLUMN_NAMES = tuple(column.name for column in COLUMNS if not column.optional)


def format_cell(row: Row, column: str) -> str:
    """Return a cell of `row` in the form in which an operator writes it."""
    value = getattr(row, column)
    if isinstance(value, Repeat):
        return value.value
    if isinstance(value, tuple):
        return "; ".join(value)
    return f"{value:g}" if isinstance(value, float) else str(value)
