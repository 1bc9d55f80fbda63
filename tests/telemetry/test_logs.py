"""Rate limits of the log.

A fault that recurs with every message or request would otherwise fill the log; the
lines of failed requests must remain when there are too many lines.
"""

import pytest
import structlog

from chicorychute.core.clock import ManualClock
from chicorychute.telemetry.logs import (
    EVENT_PERIOD_S,
    MAX_LINES_PER_EVENT,
    REQUEST_LINE_BURST,
    REQUEST_LINES_PER_S,
    EventLineLimit,
)


def passed_lines(limit, event, count):
    lines = []
    for _ in range(count):
        try:
            lines.append(limit(None, "warning", {"event": event}))
        except structlog.DropEvent:
            continue
    return lines


def test_repeated_event_is_limited_and_its_dropped_lines_are_counted():
    clock = ManualClock()
    limit = EventLineLimit(clock)
    assert len(passed_lines(limit, "link: closed", 1000)) == MAX_LINES_PER_EVENT
    assert len(passed_lines(limit, "table: version is in force", 1)) == 1
    clock.advance(EVENT_PERIOD_S)
    (line,) = passed_lines(limit, "link: closed", 1)
    assert line["repeated"] == 1000 - MAX_LINES_PER_EVENT


def test_event_below_the_limit_has_no_repeat_count():
    clock = ManualClock()
    limit = EventLineLimit(clock)
    passed_lines(limit, "link: closed", 1)
    clock.advance(EVENT_PERIOD_S)
    (line,) = passed_lines(limit, "link: closed", 1)
    assert "repeated" not in line


def test_line_beyond_the_limit_raises_drop_event():
    limit = EventLineLimit(ManualClock())
    passed_lines(limit, "a: b", MAX_LINES_PER_EVENT)
    with pytest.raises(structlog.DropEvent):
        limit(None, "info", {"event": "a: b"})


def test_failed_requests_may_use_the_reserve_of_the_line_budget():
    clock = ManualClock()
    limit = EventLineLimit(clock)
    good = count_passed_requests(limit, "info", 2000)
    bad = count_passed_requests(limit, "warning", 2000)
    assert good == int(REQUEST_LINE_BURST / 2)
    assert bad == int(REQUEST_LINE_BURST / 2)
    clock.advance(1.0)
    assert count_passed_requests(limit, "warning", 2000) == int(REQUEST_LINES_PER_S)


def test_line_reports_how_many_were_left_out_before_it():
    clock = ManualClock()
    limit = EventLineLimit(clock)
    count_passed_requests(limit, "warning", int(REQUEST_LINE_BURST) + 7)
    clock.advance(1.0)
    line = limit(None, "warning", {"event": "request: refused"})
    assert line["left_out_before"] == 7


def count_passed_requests(limit, method, count):
    passed_count = 0
    for _ in range(count):
        try:
            limit(None, method, {"event": "request: refused"})
        except structlog.DropEvent:
            continue
        passed_count += 1
    return passed_count
