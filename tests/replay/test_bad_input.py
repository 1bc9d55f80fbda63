"""Guards against a replay that crashes on damaged input or accepts it silently.

Trace files may be truncated, edited or written by another release. A damaged line or
an older version must give an error that names the line, and a malformed file of
outcomes an error; no damage may raise anything but a `TraceError`.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core.management import main
from chicorychute.core.messages import RankDigest, UpstreamDigest, Verdict
from chicorychute.health.evidence import Result
from chicorychute.replay.exceptions import TraceError
from chicorychute.replay.outcomes import read_outcomes
from chicorychute.replay.player import Player
from chicorychute.replay.trace import (
    EndEvent,
    FloodEvent,
    PeersEvent,
    RequestEvent,
    SickEvent,
    StartEvent,
    TableEvent,
    VerdictEvent,
    read_trace,
    to_line,
)

TABLE = (
    "service,rank,routes,priority,share,target_ms,deadline_ms,repeat,retry_share,"
    "slots,floor,sensitivity,team_rate,cross_region_kbps\n"
    "s,read,GET /*,1,0.5,100,1000,idempotent,0.1,2,0.5,1,0,0\n"
)
DIGEST = UpstreamDigest(
    "x",
    "s",
    Verdict.HEALTHY,
    2,
    0,
    1,
    5.5,
    0.25,
    1.0,
    0.5,
    (RankDigest("read", 20, 5.0, 9.0, 0.0, 0.0, 0.0),),
)
EVENTS = [
    StartEvent((("u0", "s"),), True),
    TableEvent(TABLE),
    PeersEvent("s", (DIGEST,)),
    RequestEvent("u0", "read", 1000.0, 5.0, Result.OK, 10),
    VerdictEvent("u0", Verdict.SICK, "reason"),
    SickEvent("u0", True),
    FloodEvent("read", True),
    EndEvent("stopped"),
]
LINES = [to_line(float(index), event) for index, event in enumerate(EVENTS)]


def test_each_event_is_read_back_from_its_line():
    assert [traced.event for traced in read_trace(LINES)] == EVENTS


@pytest.mark.parametrize(
    "line_number, line",
    [
        (1, "{}"),
        (1, "[]"),
        (1, LINES[0].replace('"v":1', '"v":0')),
        (1, LINES[0].replace('"v":1,', "")),
        (1, LINES[3]),
        (4, LINES[3][:-20]),
        (4, "\x00"),
        (4, LINES[3].replace('"t":3.0', '"t":1e300')),
        (4, LINES[3].replace('"t":3.0', '"t":-1')),
        (4, LINES[3].replace("5.0", "NaN")),
        (4, LINES[3].replace('"ok"', '"fine"')),
        (4, LINES[3].replace('"rank":"read"', '"rank":7')),
        (4, LINES[3].replace('"bytes":10', '"bytes":true')),
        (4, LINES[3].replace('"bytes"', '"size"')),
        (3, LINES[2].replace("9.0", '"x"')),
        (3, LINES[2].replace('"digests":[[', '"digests":[[1,')),
        (5, LINES[4].replace('"verdict"', '"opinion"', 1)),
    ],
)
def test_error_names_the_damaged_line(line_number, line):
    lines = [*LINES[: line_number - 1], line, *LINES[line_number:]]
    with pytest.raises(TraceError) as caught:
        list(read_trace(lines))
    assert caught.value.line == line_number
    assert caught.value.remedy


def test_empty_trace_is_an_error():
    with pytest.raises(TraceError):
        list(read_trace([]))


@pytest.mark.parametrize(
    "event",
    [
        TableEvent("service,rank\n"),
        RequestEvent("u9", "read", 1000.0, 5.0, Result.OK, 10),
        RequestEvent("u0", "none", 1000.0, 5.0, Result.OK, 10),
        SickEvent("u9", True),
    ],
)
def test_error_names_the_line_of_an_event_with_an_unknown_reference(event):
    lines = [*LINES[:2], to_line(9.0, event)]
    with pytest.raises(TraceError) as caught:
        Player(list(read_trace(lines))).play()
    assert caught.value.line == 3


@settings(derandomize=True, max_examples=300)
@given(st.integers(0, len(LINES) - 1), st.integers(0, 200), st.text(max_size=3))
def test_any_damage_ends_in_a_trace_error_or_a_replay(index, position, text):
    line = LINES[index]
    position = min(position, len(line))
    lines = list(LINES)
    lines[index] = line[:position] + text + line[position + 1 :]
    try:
        events = list(read_trace(lines))
        Player(events).play()
    except TraceError as error:
        assert error.line >= 1


@pytest.mark.parametrize(
    "text",
    ["", "[]", '{"outcomes": 1}', '{"outcomes": [{"measure": "speed", "bound": 1}]}']
    + ['{"outcomes": [{"measure": "false_ejections", "bound": NaN}]}'],
)
def test_malformed_outcomes_are_an_error(text):
    with pytest.raises(TraceError):
        read_outcomes(text)


def test_command_exits_with_2_and_names_the_line(tmp_path, capsys):
    path = tmp_path / "trace.jsonl"
    path.write_text("\n".join([*LINES[:3], "damaged"]))
    assert main(["replay", str(path)]) == 2
    assert "line 4" in capsys.readouterr().err
    assert main(["replay", str(tmp_path / "none.jsonl")]) == 2
