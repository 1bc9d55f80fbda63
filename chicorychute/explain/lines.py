"""Reads log lines and finds those of one request; some may be damaged or missing."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

REQUEST_PREFIX = "request: "
LINES_LEFT_OUT_EVENT = "log: lines were left out"
# Changes of a daemon's state that affect where it sends a request.
STATE_PREFIXES = (
    "daemon: ",
    "fleet: ",
    "gate: ",
    "health: ",
    "link: ",
    "quarantine: ",
    "table: ",
)


@attrs.frozen
class LogLine:
    """One readable log line.

    Attributes
    ----------
    timestamp : str
        Wall clock of the daemon that wrote it, ISO 8601; the clocks of two
        daemons may differ.
    instance : str
        Daemon that wrote it, empty where the line names none.
    event : str
        Text of the log event.
    fields : dict
        All fields of the line, by name.
    """

    timestamp: str
    instance: str
    event: str
    fields: dict[str, Any]

    def get(self, name: str, default: Any = "") -> Any:
        """Return the field `name`, or `default` where the line has none."""
        return self.fields.get(name, default)


@attrs.frozen
class RelatedLines:
    """Log lines related to one request.

    Attributes
    ----------
    request_lines : tuple of LogLine
        Lines with the request's id, oldest first.
    state_changes : tuple of LogLine
        Lines of all daemons on changes of their state, oldest first.
    damaged_count : int
        Number of lines that contain the id and can't be read.
    left_out_by_instance : dict
        Number of lines that each daemon reported as left out, by instance.
    """

    request_lines: tuple[LogLine, ...]
    state_changes: tuple[LogLine, ...]
    damaged_count: int
    left_out_by_instance: dict[str, int]


def find_related_lines(lines: Iterable[str], request_id: str) -> RelatedLines:
    """Return the lines related to a request.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any number of daemons in any order. Text that a log collector
        wrote in front of the JSON object is skipped.
    request_id : str
        Id of the request.
    """
    seen: set[tuple[str, ...]] = set()
    matching_lines: list[LogLine] = []
    state_changes: list[LogLine] = []
    damaged_count = 0
    left_out_by_instance: dict[str, int] = {}
    for text in lines:
        line = read_line(text)
        if line is None:
            damaged_count += request_id in text
            continue
        left_out_count = line.get("left_out_before", 0)
        if line.event == LINES_LEFT_OUT_EVENT:
            left_out_count = line.get("count", 0)
        if left_out_count:
            left_out_by_instance[line.instance] = (
                left_out_by_instance.get(line.instance, 0) + left_out_count
            )
        if line.event.startswith(REQUEST_PREFIX):
            line_key = (line.timestamp, line.instance, line.event)
            # Overlapping log files contain the same line twice.
            if line.get("id") == request_id and line_key not in seen:
                seen.add(line_key)
                matching_lines.append(line)
        elif line.event.startswith(STATE_PREFIXES):
            state_changes.append(line)
    return RelatedLines(
        tuple(sorted(matching_lines, key=_timestamp_of)),
        tuple(sorted(state_changes, key=_timestamp_of)),
        damaged_count,
        left_out_by_instance,
    )


def read_line(text: str) -> LogLine | None:
    """Return the log line in `text`, None where it holds no JSON with an event."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    event = fields.get("event")
    if not isinstance(event, str):
        return None
    timestamp, instance = fields.get("timestamp", ""), fields.get("instance", "")
    return LogLine(str(timestamp), str(instance), event, fields)


def _timestamp_of(line: LogLine) -> str:
    return line.timestamp
