"""Guards against a request that is given the row of another rank.

A path that the upstream reads differently could pass an order off as a lookup, which
may run more than once.
"""

import pytest

from chicorychute.table.diff import CellChanged, RowAdded, RowRemoved, diff_tables
from chicorychute.table.parse import parse_table
from chicorychute.table.routes import RouteIndex
from tests.table.test_parse import csv_line, csv_table

ROWS = {
    "order": "POST /x/orders",
    "any": "POST /x/*",
    "kits": "GET /kits/*",
    "kit": "GET /kits/small",
    "parts": "GET /kits/small/parts/*",
    "head": "HEAD /kits/large",
    "all": "GET /*",
}


@pytest.fixture
def index():
    lines = [
        csv_line(rank=rank, routes=routes, share="0.1") for rank, routes in ROWS.items()
    ]
    return RouteIndex(parse_table(1, csv_table(*lines)).ok_value)


@pytest.mark.parametrize(
    ("method", "path", "rank"),
    [
        ("GET", "/kits/small", "kit"),
        ("GET", "/kits/smaller", "kits"),
        ("GET", "/kits/small/", "kits"),
        ("GET", "/kits/small/parts/1/2", "parts"),
        ("GET", "/kits/", "kits"),
        ("GET", "/kits", "all"),
        ("GET", "/kitsch/a", "all"),
        ("GET", "/", "all"),
        ("GET", "/.well-known/a", "all"),
        ("GET", "/kits/a%2Fb", "kits"),
        ("GET", "/k%69ts/small", "kit"),
        ("HEAD", "/kits/small", "kit"),
        ("HEAD", "/kits/large", "head"),
        ("PUT", "/kits/small", None),
        ("POST", "/kits/small", None),
        ("POST", "/x/orders", "order"),
        ("POST", "/x/%6Frders", "order"),
        ("POST", "/x/other", "any"),
        ("POST", "/x/./orders", None),
        ("POST", "/x/a/../orders", None),
        ("POST", "/x/%2E%2e/orders", None),
        ("POST", "/x//orders", None),
        ("POST", "//x/orders", None),
        ("GET", "/kits/..", None),
        ("GET", "*", None),
        ("GET", "", None),
    ],
)
def test_request_finds_its_row(index, method, path, rank):
    row = index.find(method, path)
    assert (row and row.rank) == rank


def test_lookup_cost_is_bounded_by_the_deepest_pattern(index):
    class CountingPath(str):
        finds = 0

        def find(self, *args):
            CountingPath.finds += 1
            return super().find(*args)

    assert index.find("GET", CountingPath("/a" * 10_000)).rank == "all"
    assert CountingPath.finds <= max(routes.count("/") for routes in ROWS.values())


def test_differences_name_rows_and_cells():
    old = parse_table(
        1, csv_table(csv_line(), csv_line(rank="b", routes="GET /b"))
    ).ok_value
    new = parse_table(
        2, csv_table(csv_line(deadline_ms="5000"), csv_line(rank="c", routes="GET /c"))
    ).ok_value
    removed, changed, added = diff_tables(old, new)
    assert isinstance(removed, RowRemoved)
    assert removed.row.rank == "b"
    assert isinstance(added, RowAdded)
    assert added.row.rank == "c"
    assert isinstance(changed, CellChanged)
    assert (changed.column, changed.old, changed.new) == ("deadline_ms", "4000", "5000")
    assert diff_tables(old, old) == []
