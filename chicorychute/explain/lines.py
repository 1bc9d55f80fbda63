"""Reads log lines, of which some may be damaged or missing."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

REQUEST_PREFIX = "request: "
LEFT_OUT_EVENT = "log: lines were left out"
# Of what a daemon believes, the parts that decide where a request is sent.
BELIEF_PREFIXES = (
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
    """One line that could be read.

    Attributes
    ----------
    at : str
        Wall clock of the daemon that wrote it, ISO 8601; the clocks of two
        daemons may differ.
    instance : str
        Daemon that wrote it, empty where the line names none.
    """

    at: str
    instance: str
    event: str
    fields: dict[str, Any]

    def get(self, name: str, default: Any = "") -> Any:
        """Return a field."""
        return self.fields.get(name, default)


@attrs.frozen
class Found:
    """Lines that bear on one request.

    Attributes
    ----------
    own : tuple of LogLine
        Lines with the request's id, oldest first.
    beliefs : tuple of LogLine
        All lines on what daemons believe, oldest first.
    damaged : int
        Lines that name the id and can't be read.
    left_out : dict
        Number of lines that each daemon said it left out, by instance.
    """

    own: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    damaged: int
    left_out: dict[str, int]


def find(lines: Iterable[str], request_id: str) -> Found:
    """Return what bears on a request.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any number of daemons in any order. What a collector wrote in
        front of the JSON text is skipped.
    """
    own: set[tuple[str, ...]] = set()
    found: list[LogLine] = []
    beliefs: list[LogLine] = []
    damaged = 0
    left_out: dict[str, int] = {}
    for text in lines:
        line = read_line(text)
        if line is None:
            damaged += request_id in text
            continue
        missing = line.get("left_out_before", 0)
        if line.event == LEFT_OUT_EVENT:
            missing = line.get("count", 0)
        if missing:
            left_out[line.instance] = left_out.get(line.instance, 0) + missing
        if line.event.startswith(REQUEST_PREFIX):
            mark = (line.at, line.instance, line.event)
            # Files that overlap hold a line twice.
            if line.get("id") == request_id and mark not in own:
                own.add(mark)
                found.append(line)
        elif line.event.startswith(BELIEF_PREFIXES):
            beliefs.append(line)
    return Found(
        tuple(sorted(found, key=_at)),
        tuple(sorted(beliefs, key=_at)),
        damaged,
        left_out,
    )


def read_line(text: str) -> LogLine | None:
    """Return a log line, None where the text is none."""
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
    at, instance = fields.get("timestamp", ""), fields.get("instance", "")
    return LogLine(str(at), str(instance), event, fields)


def _at(line: LogLine) -> str:
    return line.at
