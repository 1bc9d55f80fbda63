"""Guards against an incremental read that differs from a parse of the complete text.

An edited table is read by its changed lines only. If that accepted a table that the
parser refuses, or gave other rows, the table in force would depend on the table that a
daemon had before.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.table import edits
from chicorychute.table.columns import REQUIRED_COLUMN_NAMES
from chicorychute.table.edits import parse_edit
from chicorychute.table.parse import parse_table

SERVICES = ("orders", "menus", "kits")
CELLS = (
    "0.3,300,4000,once,0.1,4,0.5,1,0,1000",
    "0.6,300,4000,once,0.1,4,0.5,1,0,1000",
    "0.3,300,200,once,0.1,4,0.5,1,0,1000",  # target above the deadline
    "0.3,300,4000,once,0.1,9,0.5,1,0,1000",  # differs in a cell of the service
    "0.3,300,4000,never,0.1,4,0.5,1,0,1000",
    "0.3,300,4000,once,0.1,4,0.5,1,0",
    "0.3,300,4000,once,0.1,4,0.5,1,0,1000,extra",
    '0.3,300,4000,"once",0.1,4,0.5,1,0,1000',
)
HEADER = ",".join(REQUIRED_COLUMN_NAMES)
HEADERS = ("\ufeff" + HEADER, " " + HEADER, HEADER + ",", HEADER.replace("rank", "r"))
UNUSUAL_LINES = ("", " ", ",,,", ";", "\r", "\x00", "\x0b", '"', "orders", HEADER)

valid_rows = st.builds(
    "{},{},GET /{};POST /{},1,{}".format,
    st.sampled_from(SERVICES),
    st.sampled_from(("lookup", "order")),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from(CELLS[:2]),
)
any_rows = st.builds(
    "{},{},GET /{},1,{}".format,
    st.sampled_from(SERVICES),
    st.sampled_from(("lookup", "order")),
    st.integers(0, 5),
    st.sampled_from(CELLS),
)
any_lines = st.one_of(valid_rows, any_rows, st.sampled_from(UNUSUAL_LINES))


multiline_row = f'orders,bulk,"GET /8;\nGET /9",1,{CELLS[0]}'


@st.composite
def valid_tables(draw):
    row = st.one_of(valid_rows, st.just(multiline_row))
    candidates = draw(st.lists(row, min_size=1, max_size=8))
    lines = [HEADER]
    # Keeps only the rows with which the table stays valid.
    for row in candidates:
        if parse_table(1, "\n".join([*lines, row])).is_ok():
            lines.append(row)
    return lines


@st.composite
def edited_tables(draw):
    lines = draw(valid_tables())
    new = list(lines)
    for _ in range(draw(st.integers(0, 3))):
        position = draw(st.integers(0, len(new)))
        edit_kind = draw(
            st.sampled_from(("insert", "replace", "remove", "swap", "header"))
        )
        match edit_kind:
            case "insert":
                new.insert(position, draw(any_lines))
            case "replace":
                new[position : position + 1] = [draw(any_lines)]
            case "remove":
                del new[position : position + 1]
            case "swap":
                new.sort(key=lambda line: (line != HEADER, line))
            case "header":
                new[:1] = [draw(st.sampled_from(HEADERS))]
    line_endings = st.sampled_from(("\n", "\r\n"))
    return draw(line_endings).join(lines), draw(line_endings).join(new)


@settings(max_examples=1_500, deadline=None)
@given(edited_tables())
def test_edit_parse_agrees_with_full_parse(texts):
    before, after = texts
    parsed = parse_table(1, before)
    if parsed.is_err():
        return
    reparsed = parse_table(2, after)
    edit = parse_edit(parsed.ok_value, 2, after)
    if reparsed.is_err():
        assert edit is None
    elif edit is not None:
        assert edit == reparsed.ok_value
        assert edit.by_service == reparsed.ok_value.by_service


ROWS = [f"{s},lookup,GET /{s},1,{CELLS[0]}" for s in SERVICES]
EDITS = {
    "changed": [ROWS[0], ROWS[1].replace("4000", "5000"), ROWS[2]],
    "added": [*ROWS, f"orders,order,POST /x,1,{CELLS[0]}"],
    "removed": ROWS[1:],
    "moved": ROWS[::-1],
    "none": ROWS,
}


@pytest.mark.parametrize("rows", EDITS.values(), ids=EDITS)
def test_valid_edit_reads_only_changed_lines(rows, monkeypatch):
    current = parse_table(1, "\n".join([HEADER, *ROWS])).ok_value
    lines_read = []
    read_row = edits._read_row
    monkeypatch.setattr(
        edits, "_read_row", lambda r, *a: lines_read.append(a[0]) or read_row(r, *a)
    )
    text = "\n".join([HEADER, *rows])
    assert parse_edit(current, 2, text) == parse_table(2, text).ok_value
    assert lines_read == [row for row in rows if row not in ROWS]
