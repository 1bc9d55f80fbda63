"""Describes the log lines of one request in sentences, and where it was lost."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

from chicorychute.explain.lines import LogLine, RelatedLines

ANSWERED = "request: answered"
REFUSED = "request: refused"
RAN = "request: ran"
NOT_TAKEN = "request: not taken"
ENDS = (ANSWERED, REFUSED)
# State changes this long before the first line of a request may have affected it.
STATE_CHANGE_WINDOW = timedelta(seconds=5)
MAX_STATE_CHANGES_SHOWN = 20
HTTP_SERVER_ERROR = 500
UNKNOWN = "unknown"

DescribeLine = Callable[[LogLine], str]


def describe(related: RelatedLines) -> list[str]:
    """Return the history of a request in sentences, one for each line of text.

    Parameters
    ----------
    related : RelatedLines
        Log lines with at least one of the request itself.
    """
    ends = [line for line in related.request_lines if line.event in ENDS]
    steps = [line for line in related.request_lines if line.event not in ENDS]
    lines = [_headline(ends), ""]
    lines += [f"{_line_prefix(line)}  {_describe_line(line)}" for line in steps]
    for end in ends:
        lines += _attempt_lines(end, steps)
        lines.append(f"{_line_prefix(end)}  {_describe_line(end)}")
    lines += ["", _where_lost(ends, steps)]
    lines += _state_change_lines(related, ends)
    lines += _missing_line_notes(related, ends)
    return lines


def _headline(ends: list[LogLine]) -> str:
    if not ends:
        return (
            "no log line gives the end of the request: the line of its entry is missing"
        )
    end = ends[-1]
    routing = f"{end.get('service') or 'no service'}, rank {end.get('rank') or 'none'}"
    return (
        f"{_describe_line(end)} ({routing}, table version {end.get('table_version')})"
    )


def _describe_line(line: LogLine) -> str:
    describe_line = _DESCRIBE_BY_EVENT.get(line.event)
    return _describe_fields(line) if describe_line is None else describe_line(line)


def _describe_answered(line: LogLine) -> str:
    caller_left = ", after its caller had left" if line.get("caller_left") else ""
    return (
        f"answered {line.get('status')} by {line.get('upstream')}"
        f" after {line.get('ms')} ms{caller_left}"
    )


def _describe_refused(line: LogLine) -> str:
    caller_left = ", its caller had left" if line.get("caller_left") else ""
    detail = f", {line.get('detail')}" if line.get("detail") else ""
    return (
        f"refused as {line.get('reason')}, outcome {line.get('outcome')}, after"
        f" {line.get('ms')} ms of the {line.get('asked_ms')} ms asked for;"
        f" stopped by {line.get('stopped_by') or 'the first decision'}"
        f"{detail}{caller_left}"
    )


def _describe_ran(line: LogLine) -> str:
    detail = f" ({line.get('detail')})" if line.get("detail") else ""
    return (
        f"ran at {line.get('upstream')}: {line.get('end')}{detail} after"
        f" {line.get('ms')} ms, {line.get('in_flight')} running there,"
        f" risk {line.get('risk')}"
    )


def _describe_not_taken(line: LogLine) -> str:
    return (
        f"not taken at {line.get('upstream')} as {line.get('reason')}:"
        f" {line.get('in_flight')} running, {line.get('queued')} waiting,"
        f" wait {line.get('wait_ms')} ms, risk {line.get('risk')}"
    )


_DESCRIBE_BY_EVENT: dict[str, DescribeLine] = {
    ANSWERED: _describe_answered,
    REFUSED: _describe_refused,
    RAN: _describe_ran,
    NOT_TAKEN: _describe_not_taken,
}


def _attempt_lines(end: LogLine, steps: list[LogLine]) -> list[str]:
    """Return a line for each attempt that the entry logged.

    It gives what the entry knew at that moment, and says where no log line of the
    gate was found.
    """
    lines = []
    for number, attempt in enumerate(end.get("tries", ()), 1):
        wait_policy = (
            "may wait" if attempt.get("may_wait") else "only if a slot is free"
        )
        lines.append(
            f"  attempt {number}: {attempt.get('upstream')}, {wait_policy}, predicted"
            f" {attempt.get('predicted_ms')} ms, reported risk {attempt.get('risk')}:"
            f" {attempt.get('end')} after {attempt.get('ms')} ms"
            f"{_gate_line_missing(attempt, steps)}"
        )
    return lines


def _gate_line_missing(attempt: dict[str, Any], steps: list[LogLine]) -> str:
    has_gate_line = any(
        step.get("upstream") == attempt.get("upstream") for step in steps
    )
    return "" if has_gate_line else "; no log line of its gate"


def _where_lost(ends: list[LogLine], steps: list[LogLine]) -> str:
    """Return where a request that was not served was lost."""
    if not ends:
        return "can't determine where it was lost: that takes the log line of its entry"
    end = ends[-1]
    if end.event == ANSWERED:
        if end.get("status", 0) < HTTP_SERVER_ERROR:
            return "it was served"
        return f"it failed at {end.get('upstream')}, whose answer was passed on"
    if end.get("outcome") != UNKNOWN:
        return f"it was given up at {_instance_name(end)}; no upstream has run it"
    attempts = end.get("tries", ())
    if not attempts:
        return f"it was lost at {_instance_name(end)} before it was sent to a gate"
    return _where_lost_after(end, str(attempts[-1].get("upstream")), steps)


def _where_lost_after(end: LogLine, upstream: str, steps: list[LogLine]) -> str:
    """Return where a request was lost whose last attempt went to `upstream`."""
    runs = [s for s in steps if s.event == RAN and s.get("upstream") == upstream]
    entry = _instance_name(end)
    if not runs:
        return (
            f"it was lost between {entry} and the gate of {upstream}, or the line of"
            " that gate is missing: whether it ran is not known"
        )
    last_end = str(runs[-1].get("end"))
    if last_end.isdigit():
        return (
            f"{upstream} answered {last_end}; the answer was lost between its gate and"
            f" {entry}"
        )
    return f"it was lost at {upstream}: {last_end}"


def _state_change_lines(related: RelatedLines, ends: list[LogLine]) -> list[str]:
    """Return the related state changes shortly before and during the request."""
    if not related.request_lines:
        return []
    upstreams = {
        attempt.get("upstream") for end in ends for attempt in end.get("tries", ())
    }
    instances = {line.instance for line in related.request_lines}
    first, last = (
        _parse_timestamp(related.request_lines[0]),
        _parse_timestamp(related.request_lines[-1]),
    )
    if first is None or last is None:
        return []
    recent_changes = [
        line
        for line in related.state_changes
        if (line.instance in instances or line.get("upstream") in upstreams)
        and (at := _parse_timestamp(line)) is not None
        and first - STATE_CHANGE_WINDOW <= at <= last
    ]
    if not recent_changes:
        return []
    shown_lines = [
        f"{_line_prefix(line)}  {_describe_fields(line)}"
        for line in recent_changes[-MAX_STATE_CHANGES_SHOWN:]
    ]
    omitted_count = len(recent_changes) - len(shown_lines)
    heading = (
        f"state changes at its daemons, from {STATE_CHANGE_WINDOW.seconds} s before it:"
    )
    return [
        "",
        heading,
        *([f"({omitted_count} earlier changes not shown)"] if omitted_count else []),
        *shown_lines,
    ]


def _describe_fields(line: LogLine) -> str:
    hidden_fields = {"event", "timestamp", "instance", "level", "id"}
    fields = [f"{k}={v}" for k, v in line.fields.items() if k not in hidden_fields]
    return " ".join([line.event, *fields])


def _missing_line_notes(related: RelatedLines, ends: list[LogLine]) -> list[str]:
    """Return notes on log lines that are known to be missing or are ambiguous."""
    lines = []
    if related.damaged_count:
        lines.append(
            f"{related.damaged_count} damaged lines name the request and were skipped"
        )
    instances = {line.instance for line in related.request_lines}
    for instance, count in sorted(related.left_out_by_instance.items()):
        if instance in instances:
            lines.append(f"{instance or 'a daemon'} left {count} lines out of its log")
    if len(ends) > 1:
        lines.append(
            f"{len(ends)} log lines give the end of a request with this id: it was sent"
            " more than once, or to several daemons"
        )
    return ["", *lines] if lines else []


def _line_prefix(line: LogLine) -> str:
    return f"{line.timestamp}  {_instance_name(line)}"


def _instance_name(line: LogLine) -> str:
    return line.instance or "a daemon"


def _parse_timestamp(line: LogLine) -> datetime | None:
    try:
        return datetime.fromisoformat(line.timestamp)
    except ValueError:
        return None
