import pytest
import structlog

from chicorychute.core.clock import ManualClock
from chicorychute.telemetry.logs import (
    FLOOD_LINES,
    FLOOD_PERIOD_S,
    REQUEST_LINES_PER_S,
    REQUEST_LINES_SAVED,
    FloodLimit,
)


def passed(limit, event, count):
    lines = []
    for _ in range(count):
        try:
            lines.append(limit(None, "warning", {"event": event}))
        except structlog.DropEvent:
            continue
    return lines


def test_flood_of_one_event_becomes_a_few_lines_and_a_number():
    clock = ManualClock()
    limit = FloodLimit(clock)
    assert len(passed(limit, "link: closed", 1000)) == FLOOD_LINES
    assert len(passed(limit, "table: version is in force", 1)) == 1
    clock.advance(FLOOD_PERIOD_S)
    (line,) = passed(limit, "link: closed", 1)
    assert line["repeated"] == 1000 - FLOOD_LINES


def test_quiet_events_tell_no_number():
    clock = ManualClock()
    limit = FloodLimit(clock)
    passed(limit, "link: closed", 1)
    clock.advance(FLOOD_PERIOD_S)
    (line,) = passed(limit, "link: closed", 1)
    assert "repeated" not in line


def test_limited_line_is_dropped_by_structlog():
    limit = FloodLimit(ManualClock())
    passed(limit, "a: b", FLOOD_LINES)
    with pytest.raises(structlog.DropEvent):
        limit(None, "info", {"event": "a: b"})


def test_lines_of_failed_requests_are_kept_longest():
    clock = ManualClock()
    limit = FloodLimit(clock)
    good = many(limit, "info", 2000)
    bad = many(limit, "warning", 2000)
    assert good == int(REQUEST_LINES_SAVED / 2)
    assert bad == int(REQUEST_LINES_SAVED / 2)
    clock.advance(1.0)
    assert many(limit, "warning", 2000) == int(REQUEST_LINES_PER_S)


def test_line_tells_how_many_were_left_out_before_it():
    clock = ManualClock()
    limit = FloodLimit(clock)
    many(limit, "warning", int(REQUEST_LINES_SAVED) + 7)
    clock.advance(1.0)
    line = limit(None, "warning", {"event": "request: refused"})
    assert line["left_out_before"] == 7


def many(limit, method, count):
    kept = 0
    for _ in range(count):
        try:
            limit(None, method, {"event": "request: refused"})
        except structlog.DropEvent:
            continue
        kept += 1
    return kept
