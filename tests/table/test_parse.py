import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.table.columns import COLUMN_NAMES
from chicorychute.table.parse import parse_table

HEADER = ",".join(COLUMN_NAMES)
CELLS = {
    "service": "orders",
    "rank": "order",
    "routes": "POST /orders",
    "priority": "1",
    "share": "0.3",
    "target_ms": "300",
    "deadline_ms": "4000",
    "repeat": "once",
    "retry_share": "0.1",
    "slots": "4",
    "floor": "0.5",
    "sensitivity": "1",
    "team_rate": "0",
    "cross_region_kbps": "1000",
}
LOOKUP = {"rank": "lookup", "routes": "GET /kits/*", "repeat": "idempotent"}


def line(delimiter=",", **cells):
    return delimiter.join({**CELLS, **cells}.values())


def table(*lines, header=HEADER):
    return "\n".join([header, *lines]) + "\n"


def faults_of(text):
    return [str(fault) for fault in parse_table(1, text).err_value]


SAVED = {
    "byte-order-mark": "\ufeff" + table(line()),
    "crlf": table(line()).replace("\n", "\r\n"),
    "blank-last-row": table(line()) + "," * (len(CELLS) - 1) + "\r\n\r\n",
    "no-last-newline": table(line()).rstrip(),
    "quoted": table('"' + line().replace(",", '","') + '"'),
    "spaces": table(line().replace(",", " , ")),
    "semicolons": table(line(";"), header=HEADER.replace(",", ";")),
    "tabs": table(line("\t"), header=HEADER.replace(",", "\t")),
    "blank-columns": table(line() + ",,,", header=HEADER + ",,,"),
    "blank-rows-between": table("", line(), "", ",,,"),
    "other-order-of-columns": table(
        ",".join(reversed(CELLS.values())), header=",".join(reversed(COLUMN_NAMES))
    ),
}


@pytest.mark.parametrize("text", SAVED.values(), ids=SAVED)
def test_file_saved_by_a_spreadsheet_is_read(text):
    found = parse_table(3, text)
    assert found.is_ok(), found
    (row,) = found.ok_value.rows
    assert (row.service, row.slots, row.routes) == ("orders", 4, ("POST /orders",))


def test_semicolons_in_quoted_routes_stay_routes():
    routes = '"POST /orders;PUT /orders"'
    text = table(line(";", routes=routes), header=HEADER.replace(",", ";"))
    (row,) = parse_table(1, text).ok_value.rows
    assert row.routes == ("POST /orders", "PUT /orders")


CELL_FAULTS = [
    ("service", ""),
    ("service", "a b"),
    ("rank", "x/y"),
    ("routes", ""),
    ("routes", "/orders"),
    ("routes", "get /orders"),
    ("routes", "GET orders"),
    ("routes", "GET /a b"),
    ("routes", "GET /a?b"),
    ("routes", "GET /a*"),
    ("routes", "GET /*/a"),
    ("priority", "0"),
    ("priority", "1.5"),
    ("priority", "1_0"),
    ("share", "1.1"),
    ("share", "-0.1"),
    ("share", "nan"),
    ("share", "30%"),
    ("target_ms", "0"),
    ("deadline_ms", "inf"),
    ("deadline_ms", "soon"),
    ("repeat", "twice"),
    ("retry_share", "2"),
    ("slots", "0"),
    ("slots", "4.0"),
    ("floor", "1.01"),
    ("floor", ""),
    ("sensitivity", "0"),
    ("team_rate", "-1"),
    ("cross_region_kbps", "1e9"),
]


@pytest.mark.parametrize(("column", "cell"), CELL_FAULTS)
def test_bad_cell_is_named(column, cell):
    (fault,) = faults_of(table(line(), line(**{**LOOKUP, column: cell})))
    shown = f"{cell!r} is out of range" if cell else "is empty"
    assert fault.startswith(f"table.E002: line 3, column {column}: {shown}")


def test_decimal_comma_is_named_with_the_remedy():
    (fault,) = faults_of(table(line(share='"0,3"')))
    assert "'0,3'" in fault
    assert "a point for decimals" in fault


def test_every_bad_cell_is_told_at_once():
    faults = faults_of(table(line(slots="0", floor="2"), line(rank="b", share="x")))
    assert [fault.split(":")[1] for fault in faults] == [
        " line 2, column slots",
        " line 2, column floor",
        " line 3, column share",
    ]


TOGETHER = {
    "same-rank": ([line(), line(routes="GET /b")], "table.E003: line 3, column rank"),
    "shares": (
        [line(share="0.6"), line(**LOOKUP, share="0.5")],
        "table.E005: line 3, column share: '0.5' brings the shares",
    ),
    "target": (
        [line(target_ms="5000")],
        "table.E006: line 2, column target_ms: '5000' is above the deadline",
    ),
    "same-route": (
        [line(), line(rank="b", routes="GET /b; POST /orders")],
        "table.E007: line 3, column routes: 'POST /orders' is a route of line 2",
    ),
    "route-twice-in-a-cell": (
        [line(routes="GET /a; GET /a")],
        "table.E007: line 2, column routes",
    ),
    "same-route-of-another-service": (
        [line(), line(service="stock")],
        "table.E007: line 3",
    ),
    **{
        f"service-{column}": (
            [line(), line(**LOOKUP, **{column: cell})],
            f"table.E008: line 3, column {column}: {cell!r} differs from",
        )
        for column, cell in (
            ("retry_share", "0.2"),
            ("slots", "3"),
            ("floor", "0.6"),
            ("sensitivity", "2"),
            ("cross_region_kbps", "5"),
        )
    },
    "long-row": ([line() + ",5"], "table.E004: line 2: '5' stands beyond"),
    "short-row": ([line().rpartition(",")[0]], "table.E004: line 2: has 13 of 14"),
}


@pytest.mark.parametrize(("lines", "expected"), TOGETHER.values(), ids=TOGETHER)
def test_rows_that_exclude_each_other_are_named(lines, expected):
    (fault,) = faults_of(table(*lines))
    assert fault.startswith(expected)


def test_shares_that_add_up_to_one_are_taken():
    ranks = [
        line(rank=f"r{n}", routes=f"GET /{n}", share="0.1", repeat="idempotent")
        for n in range(10)
    ]
    assert parse_table(1, table(*ranks)).is_ok()


WHOLE_FAULTS = {
    "empty": ("", "is empty"),
    "blank": ("\n\n", "is empty"),
    "header-only": (HEADER + "\n", "has no row"),
    "unknown-column": (table(line() + ",1", header=HEADER + ",colour"), "'colour'"),
    "missing-column": (
        table("orders,order", header="service,rank"),
        "'routes' is missing",
    ),
    "column-twice": (table(line() + ",1", header=HEADER + ",slots"), "stands twice"),
    "open-quote": (table('"' + line()), "is not CSV"),
    "null": (table(line(service="a\0b")), "a\\x00b"),
    "binary": ("PK\x03\x04\x00\x00", "is not a known column"),
}


@pytest.mark.parametrize(("text", "expected"), WHOLE_FAULTS.values(), ids=WHOLE_FAULTS)
def test_file_that_is_no_table_is_refused(text, expected):
    assert any(expected in fault for fault in faults_of(text))


def test_line_numbers_count_lines_of_the_file():
    text = table('"ord\ners"' + line()[6:], line(slots="0"))
    assert [fault.split(",")[0] for fault in faults_of(text)] == [
        "table.E002: line 2",
        "table.E002: line 4",
    ]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=200))
def test_any_text_is_a_table_or_faults(text):
    for content in (text, f"{HEADER}\n{text}"):
        found = parse_table(1, content)
        assert found.is_ok() or found.err_value
