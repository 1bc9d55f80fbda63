"""Turns the lines of one request into sentences, and tells where it was lost."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

from chicorychute.explain.lines import Found, LogLine

ANSWERED = "request: answered"
REFUSED = "request: refused"
RAN = "request: ran"
NOT_TAKEN = "request: not taken"
ENDS = (ANSWERED, REFUSED)
BEFORE = timedelta(seconds=5)  # beliefs that changed so long before still bear on it
BELIEFS_SHOWN = 20
SERVER_ERROR = 500
UNKNOWN = "unknown"

Sentence = Callable[[LogLine], str]


def tell(found: Found) -> list[str]:
    """Return the life of a request in sentences, one for each line of text.

    Parameters
    ----------
    found : Found
        At least one line of the request.
    """
    ends = [line for line in found.own if line.event in ENDS]
    steps = [line for line in found.own if line.event not in ENDS]
    lines = [_headline(ends), ""]
    lines += [f"{_where(line)}  {_sentence(line)}" for line in steps]
    for end in ends:
        lines += _tries(end, steps)
        lines.append(f"{_where(end)}  {_sentence(end)}")
    lines += ["", _lost_at(ends, steps)]
    lines += _beliefs(found, ends)
    lines += _gaps(found, ends)
    return lines


def _headline(ends: list[LogLine]) -> str:
    if not ends:
        return "no daemon wrote how the request ended: the line of its entry is missing"
    end = ends[-1]
    work = f"{end.get('service') or 'no service'}, rank {end.get('rank') or 'none'}"
    return f"{_sentence(end)} ({work}, table version {end.get('table_version')})"


def _sentence(line: LogLine) -> str:
    tell_it = _SENTENCE_BY_EVENT.get(line.event)
    return _belief(line) if tell_it is None else tell_it(line)


def _answered(line: LogLine) -> str:
    left = ", after its caller had left" if line.get("caller_left") else ""
    return (
        f"answered {line.get('status')} by {line.get('upstream')}"
        f" after {line.get('ms')} ms{left}"
    )


def _refused(line: LogLine) -> str:
    left = ", its caller had left" if line.get("caller_left") else ""
    detail = f", {line.get('detail')}" if line.get("detail") else ""
    return (
        f"refused as {line.get('reason')}, outcome {line.get('outcome')}, after"
        f" {line.get('ms')} ms of the {line.get('asked_ms')} ms asked for;"
        f" stopped by {line.get('stopped_by') or 'the first decision'}{detail}{left}"
    )


def _ran(line: LogLine) -> str:
    detail = f" ({line.get('detail')})" if line.get("detail") else ""
    return (
        f"ran at {line.get('upstream')}: {line.get('end')}{detail} after"
        f" {line.get('ms')} ms, {line.get('in_flight')} running beside it,"
        f" risk {line.get('risk')}"
    )


def _not_taken(line: LogLine) -> str:
    return (
        f"not taken at {line.get('upstream')} as {line.get('reason')}:"
        f" {line.get('in_flight')} running, {line.get('queued')} waiting,"
        f" wait {line.get('wait_ms')} ms, risk {line.get('risk')}"
    )


_SENTENCE_BY_EVENT: dict[str, Sentence] = {
    ANSWERED: _answered,
    REFUSED: _refused,
    RAN: _ran,
    NOT_TAKEN: _not_taken,
}


def _tries(end: LogLine, steps: list[LogLine]) -> list[str]:
    """Return what the entry knew at each try, and whether the gate tells the same."""
    lines = []
    for number, made in enumerate(end.get("tries", ()), 1):
        waits = "may wait" if made.get("may_wait") else "only into a free slot"
        lines.append(
            f"  try {number}: {made.get('upstream')}, {waits}, predicted"
            f" {made.get('predicted_ms')} ms, told risk {made.get('risk')}:"
            f" {made.get('end')} after {made.get('ms')} ms{_missing(made, steps)}"
        )
    return lines


def _missing(made: dict[str, Any], steps: list[LogLine]) -> str:
    told = any(step.get("upstream") == made.get("upstream") for step in steps)
    return "" if told else "; no line of its gate"


def _lost_at(ends: list[LogLine], steps: list[LogLine]) -> str:
    """Tell where a request that was not served was lost."""
    if not ends:
        return "where it was lost can't be told without the line of its entry"
    end = ends[-1]
    if end.event == ANSWERED:
        if end.get("status", 0) < SERVER_ERROR:
            return "it was served"
        return f"it failed at {end.get('upstream')}, whose answer was passed on"
    if end.get("outcome") != UNKNOWN:
        return f"it was given up at {_instance(end)}; no upstream has run it"
    tries = end.get("tries", ())
    if not tries:
        return f"it was lost at {_instance(end)} before any gate was asked"
    return _lost_after(end, str(tries[-1].get("upstream")), steps)


def _lost_after(end: LogLine, upstream: str, steps: list[LogLine]) -> str:
    """Tell where a request was lost whose last try went to `upstream`."""
    runs = [s for s in steps if s.event == RAN and s.get("upstream") == upstream]
    entry = _instance(end)
    if not runs:
        return (
            f"it was lost between {entry} and the gate of {upstream}, or the line of"
            " that gate is missing: whether it ran is not known"
        )
    last = str(runs[-1].get("end"))
    if last.isdigit():
        return (
            f"{upstream} answered {last}; the answer was lost between its gate and"
            f" {entry}"
        )
    return f"it was lost at {upstream}: {last}"


def _beliefs(found: Found, ends: list[LogLine]) -> list[str]:
    """Return what changed at the daemons of the request shortly before its end."""
    if not found.own:
        return []
    upstreams = {made.get("upstream") for end in ends for made in end.get("tries", ())}
    instances = {line.instance for line in found.own}
    first, last = _time(found.own[0]), _time(found.own[-1])
    if first is None or last is None:
        return []
    near = [
        line
        for line in found.beliefs
        if (line.instance in instances or line.get("upstream") in upstreams)
        and (at := _time(line)) is not None
        and first - BEFORE <= at <= last
    ]
    if not near:
        return []
    shown = [f"{_where(line)}  {_belief(line)}" for line in near[-BELIEFS_SHOWN:]]
    left = len(near) - len(shown)
    head = f"what its daemons learned from {BEFORE.seconds} s before it:"
    return ["", head, *([f"({left} earlier ones)"] if left else []), *shown]


def _belief(line: LogLine) -> str:
    hidden = {"event", "timestamp", "instance", "level", "id"}
    fields = [f"{k}={v}" for k, v in line.fields.items() if k not in hidden]
    return " ".join([line.event, *fields])


def _gaps(found: Found, ends: list[LogLine]) -> list[str]:
    """Return what is known to be missing."""
    lines = []
    if found.damaged:
        lines.append(f"{found.damaged} damaged lines name the request and were skipped")
    instances = {line.instance for line in found.own}
    for instance, count in sorted(found.left_out.items()):
        if instance in instances:
            lines.append(f"{instance or 'a daemon'} left {count} lines out of its log")
    if len(ends) > 1:
        lines.append(f"{len(ends)} daemons or sends ended a request with this id")
    return ["", *lines] if lines else []


def _where(line: LogLine) -> str:
    return f"{line.at}  {_instance(line)}"


def _instance(line: LogLine) -> str:
    return line.instance or "a daemon"


def _time(line: LogLine) -> datetime | None:
    try:
        return datetime.fromisoformat(line.at)
    except ValueError:
        return None
