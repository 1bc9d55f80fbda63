"""A table read by its edit has the verdict and the rows of the whole."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.table import edits
from chicorychute.table.columns import COLUMN_NAMES
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
    "0.3,300,4000,once,0.1,4,0.5,1,0,1000,beyond",
    '0.3,300,4000,"once",0.1,4,0.5,1,0,1000',
)
HEADER = ",".join(COLUMN_NAMES)
HEADERS = ("\ufeff" + HEADER, " " + HEADER, HEADER + ",", HEADER.replace("rank", "r"))
ODD_LINES = ("", " ", ",,,", ";", "\r", "\x00", "\x0b", '"', "orders", HEADER)

sound_rows = st.builds(
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
any_lines = st.one_of(sound_rows, any_rows, st.sampled_from(ODD_LINES))


spanning_row = f'orders,bulk,"GET /8;\nGET /9",1,{CELLS[0]}'


@st.composite
def sound_texts(draw):
    row = st.one_of(sound_rows, st.just(spanning_row))
    drawn = draw(st.lists(row, min_size=1, max_size=8))
    lines = [HEADER]
    for row in drawn:  # keep what leaves the table sound
        if parse_table(1, "\n".join([*lines, row])).is_ok():
            lines.append(row)
    return lines


@st.composite
def edited(draw):
    lines = draw(sound_texts())
    new = list(lines)
    for _ in range(draw(st.integers(0, 3))):
        place = draw(st.integers(0, len(new)))
        kind = draw(st.sampled_from(("insert", "replace", "remove", "swap", "header")))
        match kind:
            case "insert":
                new.insert(place, draw(any_lines))
            case "replace":
                new[place : place + 1] = [draw(any_lines)]
            case "remove":
                del new[place : place + 1]
            case "swap":
                new.sort(key=lambda line: (line != HEADER, line))
            case "header":
                new[:1] = [draw(st.sampled_from(HEADERS))]
    ends = st.sampled_from(("\n", "\r\n"))
    return draw(ends).join(lines), draw(ends).join(new)


@settings(max_examples=1_500, deadline=None)
@given(edited())
def test_edit_has_the_verdict_of_the_whole(texts):
    before, after = texts
    found = parse_table(1, before)
    if found.is_err():
        return
    whole = parse_table(2, after)
    edit = parse_edit(found.ok_value, 2, after)
    if whole.is_err():
        assert edit is None
    elif edit is not None:
        assert edit == whole.ok_value
        assert edit.by_service == whole.ok_value.by_service


ROWS = [f"{s},lookup,GET /{s},1,{CELLS[0]}" for s in SERVICES]
EDITS = {
    "changed": [ROWS[0], ROWS[1].replace("4000", "5000"), ROWS[2]],
    "added": [*ROWS, f"orders,order,POST /x,1,{CELLS[0]}"],
    "removed": ROWS[1:],
    "moved": ROWS[::-1],
    "none": ROWS,
}


@pytest.mark.parametrize("rows", EDITS.values(), ids=EDITS)
def test_sound_edit_reads_only_what_changed(rows, monkeypatch):
    held = parse_table(1, "\n".join([HEADER, *ROWS])).ok_value
    read = []
    real = edits._read
    monkeypatch.setattr(edits, "_read", lambda r, *a: read.append(a[0]) or real(r, *a))
    text = "\n".join([HEADER, *rows])
    assert parse_edit(held, 2, text) == parse_table(2, text).ok_value
    assert read == [row for row in rows if row not in ROWS]
