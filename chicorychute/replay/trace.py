"""Events of a trace and their format as JSON lines.

Each line is an object with the time ``t`` in seconds, the kind ``e`` and the
fields of the event; the first line also has the version ``v``. No line holds a
body, a header, a request path, a team or an idempotency key.
"""

import functools
import json
import math
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from chicorychute.core.messages import RankDigest, UpstreamDigest, Verdict
from chicorychute.health.evidence import Result
from chicorychute.replay.exceptions import TraceError

TRACE_VERSION = 1
MAX_TRACE_S = 7 * 86_400.0  # A later time means that the line is damaged.
REMEDY_DAMAGED = "record the trace again, or remove the damaged line"
REMEDY_VERSION = f"record it again with a release that writes version {TRACE_VERSION}"


@attrs.frozen
class StartEvent:
    """First event of a trace.

    Attributes
    ----------
    services : tuple of (str, str)
        Id and service of each upstream of the trace.
    whole : bool
        Whether the trace holds all upstreams of the services, so that a replay
        may reroute a request to another one.
    """

    services: tuple[tuple[str, str], ...]
    whole: bool


@attrs.frozen
class TableEvent:
    """A table came into force."""

    text: str


@attrs.frozen
class RequestEvent:
    """A request that arrived at a gate at the time of the event.

    Attributes
    ----------
    service_ms : float
        Time at the upstream, -1 if the request never ran.
    healthy_ms : float
        Time at a healthy upstream if known, as in generated traces, else -1.
    """

    upstream: str
    rank: str
    deadline_ms: float
    service_ms: float
    result: Result
    bytes: int
    healthy_ms: float = -1.0


@attrs.frozen
class PeersEvent:
    """Digests of a service's upstreams on other instances, as a gate got them."""

    service: str
    digests: tuple[UpstreamDigest, ...]


@attrs.frozen
class VerdictEvent:
    """The recorded daemon changed its verdict on an upstream."""

    upstream: str
    verdict: Verdict
    reason: str


@attrs.frozen
class SickEvent:
    """States that an upstream is sick from now on, or healthy again."""

    upstream: str
    sick: bool


@attrs.frozen
class FloodEvent:
    """States that a rank floods from now on, or no longer."""

    rank: str
    flooding: bool


@attrs.frozen
class EndEvent:
    """The recorder stopped at its maximum size or with the daemon."""

    reason: str


Event = (
    StartEvent
    | TableEvent
    | RequestEvent
    | PeersEvent
    | VerdictEvent
    | SickEvent
    | FloodEvent
    | EndEvent
)


@attrs.frozen
class TracedEvent:
    """One event with its time and its line number."""

    line: int
    at_s: float
    event: Event


# Number of digest fields before ``ranks``. The waits after them are not written, as
# a replay does not use them.
SCALAR_FIELD_COUNT = [field.name for field in attrs.fields(UpstreamDigest)].index(
    "ranks"
)

CLASS_BY_KIND: dict[str, type] = {
    "start": StartEvent,
    "table": TableEvent,
    "request": RequestEvent,
    "peers": PeersEvent,
    "verdict": VerdictEvent,
    "sick": SickEvent,
    "flood": FloodEvent,
    "end": EndEvent,
}
_KIND_BY_CLASS = {cls: kind for kind, cls in CLASS_BY_KIND.items()}


def to_line(at_s: float, event: Event) -> str:
    """Return the line of an event, without a line feed."""
    if type(event) is RequestEvent:
        return _request_line(at_s, event)
    fields: dict[str, Any] = {"t": round(at_s, 4), "e": _KIND_BY_CLASS[type(event)]}
    match event:
        case StartEvent(services, whole):
            fields |= {"v": TRACE_VERSION, "services": services, "whole": whole}
        case PeersEvent(service, digests):
            packed = [_pack_digest(digest) for digest in digests]
            fields |= {"service": service, "digests": packed}
        case _:
            for field in attrs.fields(type(event)):
                value = getattr(event, field.name)
                fields[field.name] = _to_json_value(value)
    return json.dumps(fields, separators=(",", ":"))


def _request_line(at_s: float, event: RequestEvent) -> str:
    """Return the line of a request.

    It is formatted without a dict, as requests are the most frequent events.
    """
    healthy_ms = event.healthy_ms
    healthy_field = f',"healthy_ms":{healthy_ms:.3f}' if healthy_ms >= 0 else ""
    return (
        f'{{"t":{at_s:.4f},"e":"request","upstream":{_json_string(event.upstream)},'
        f'"rank":{_json_string(event.rank)},"deadline_ms":{event.deadline_ms:.3f},'
        f'"service_ms":{event.service_ms:.3f},"result":"{event.result.value}",'
        f'"bytes":{event.bytes}{healthy_field}}}'
    )


def read_trace(lines: Iterable[str]) -> Iterator[TracedEvent]:
    """Read the events of a trace in the order of its lines.

    Raises
    ------
    TraceError
        If a line is damaged, or the trace is empty or of another version.
    """
    line = 0
    for line, text in enumerate(lines, start=1):
        try:
            fields = json.loads(text)
            kind = fields.pop("e")
            at_s = _finite_float(fields.pop("t"))
            if not 0 <= at_s <= MAX_TRACE_S:
                raise ValueError(at_s)
            if line == 1:
                _check_version(kind, fields.pop("v", None))
            event = _unpack_event(kind, fields)
        except TraceError:
            raise
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            problem = f"not a valid trace event ({error.__class__.__name__})"
            raise TraceError(line, problem, REMEDY_DAMAGED) from error
        yield TracedEvent(line, at_s, event)
    if not line:
        raise TraceError(1, "the trace is empty", "record it again")


@functools.lru_cache(maxsize=1024)
def _json_string(name: str) -> str:
    """Return the name of an upstream or rank as a JSON string."""
    return json.dumps(name)


def _check_version(kind: str, version: Any) -> None:
    if kind != "start" or version is None:
        problem = "first line is not a start event with a version"
        raise TraceError(1, problem, "pass a file written by `run --record`")
    if version != TRACE_VERSION:
        problem = f"unsupported trace version {version}"
        raise TraceError(1, problem, REMEDY_VERSION)


def _unpack_event(kind: str, fields: dict[str, Any]) -> Event:
    cls = CLASS_BY_KIND[kind]
    if cls is StartEvent:
        pairs = tuple((str(name), str(service)) for name, service in fields["services"])
        return StartEvent(pairs, bool(fields["whole"]))
    if cls is PeersEvent:
        digests = tuple(_unpack_digest(values) for values in fields["digests"])
        return PeersEvent(str(fields["service"]), digests)
    return cls(
        **{name: _checked_value(cls, name, value) for name, value in fields.items()}
    )


def _checked_value(cls: type, name: str, value: Any) -> Any:
    expected_type = attrs.fields_dict(cls)[name].type
    if expected_type is float:
        return _finite_float(value)
    if expected_type in (Result, Verdict):
        return expected_type(value)
    if not isinstance(value, expected_type) or (
        expected_type is int and isinstance(value, bool)
    ):
        raise TypeError(name)
    return value


def _finite_float(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(value)
    if not math.isfinite(value):
        raise ValueError(value)
    return float(value)


def _to_json_value(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 3)
    return value.value if isinstance(value, (Result, Verdict)) else value


def _pack_digest(digest: UpstreamDigest) -> list[Any]:
    ranks = [[_to_json_value(v) for v in attrs.astuple(rank)] for rank in digest.ranks]
    values = attrs.astuple(digest, recurse=False)
    return [*(_to_json_value(value) for value in values[:SCALAR_FIELD_COUNT]), ranks]


def _unpack_digest(values: list[Any]) -> UpstreamDigest:
    *scalars, ranks = values
    names = [field.name for field in attrs.fields(UpstreamDigest)]
    typed = [
        _checked_value(UpstreamDigest, name, value)
        for name, value in zip(names[:SCALAR_FIELD_COUNT], scalars, strict=True)
    ]
    return UpstreamDigest(*typed, tuple(_unpack_rank(rank) for rank in ranks))


def _unpack_rank(values: list[Any]) -> RankDigest:
    names = [field.name for field in attrs.fields(RankDigest)]
    pairs = zip(names, values, strict=True)
    return RankDigest(
        *(_checked_value(RankDigest, name, value) for name, value in pairs)
    )
