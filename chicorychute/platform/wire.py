"""Parses the platform's JSON into types with descriptive field names."""

import base64
import ipaddress
import json
import re
from collections.abc import Iterator
from typing import Any

import attrs

from chicorychute.core.exceptions import ChuteError

UPSTREAM_PREFIX = "servers/"
CONFIG_KEY = "op/config"
MS_BY_UNIT = {"ms": 1.0, "s": 1000.0}
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}

MAX_PORT = 65535
# Largest whole number that every JSON implementation represents exactly. Messages to
# peers hold none above 63 bits.
MAX_WHOLE_NUMBER = 2**53

_match_duration = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,15})?)(ms|s)").fullmatch
_match_port = re.compile(r"[0-9]{1,5}").fullmatch
_match_version = re.compile(r"r([0-9]{1,18})").fullmatch


class WireError(ChuteError):
    """A value of the platform does not have the documented format."""


@attrs.frozen
class StoreItem:
    """One value of the store.

    Attributes
    ----------
    mod_revision : int
        Revision of the store at the last change; on the wire ``rev``.
    """

    key: str
    value: bytes
    mod_revision: int


@attrs.frozen
class StorePage:
    """Items of one range call; several pages together are not a snapshot.

    Attributes
    ----------
    store_revision : int
        Revision of the store at the call; on the wire ``current_rev``.
    is_last : bool
        Whether no page follows; the opposite of ``truncated``.
    unreadable : tuple of str
        Start of each malformed item, for the logs.
    """

    items: tuple[StoreItem, ...]
    store_revision: int
    is_last: bool
    unreadable: tuple[str, ...] = ()


@attrs.frozen
class Removal:
    """Removal of a key from the store.

    Attributes
    ----------
    mod_revision : int
        Revision of the store at the removal; on the wire ``rev``.
    """

    key: str
    mod_revision: int


@attrs.frozen
class StoreChanges:
    """Changes returned by a watch, oldest first; on the wire ``events``.

    Attributes
    ----------
    store_revision : int
        Revision from which to continue the watch; on the wire ``current_rev``.
    """

    changes: tuple[StoreItem | Removal, ...]
    store_revision: int


@attrs.frozen
class WeightedService:
    """Service that gets a fraction of a route's requests; on the wire in ``split``."""

    service: str
    weight: float


@attrs.frozen
class RouteConfig:
    """One route of the operators' configuration.

    Attributes
    ----------
    path_prefix : str
        Path prefix that begins and ends with a slash.
    repeatable : bool
        Whether a request may run more than once; on the wire kind ``safe``.
    timeout_ms : float
        Longest time that a caller waits for its answer.
    target_ms : float
        Time within which an answer gets full credit; on the wire ``goal``.
    urgency : int
        0 is the most urgent; on the wire ``priority``.
    attempts : int
        Largest number of upstreams that one request may be sent to.
    """

    host: str
    path_prefix: str
    repeatable: bool
    timeout_ms: float
    target_ms: float
    urgency: int
    attempts: int
    weighted_services: tuple[WeightedService, ...]


@attrs.frozen
class PlatformConfig:
    """The operators' complete configuration.

    Attributes
    ----------
    version : int
        On the wire ``revision``, written as ``r`` and the number.
    probe_by_service : dict
        Path of each service's health check; on the wire ``health_path``.
    idle_ms : float
        Time for which a caller may leave a connection idle.
    """

    version: int
    routes: tuple[RouteConfig, ...]
    probe_by_service: dict[str, str]
    idle_ms: float


@attrs.frozen
class UpstreamEntry:
    """Incarnation of an upstream, as registered by the upstream itself.

    Attributes
    ----------
    cold_ms : float
        Time for which it is still slow after its start; on the wire ``cold_left``.
    started_ms : int
        Unix time of its start, 0 if unknown; on the wire ``born``.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_ms: float
    started_ms: int


def duration_ms(text: Any) -> float:
    """Return the milliseconds of a text such as ``1500ms`` or ``2.5s``.

    Raises
    ------
    WireError
        If `text` is not such a duration.
    """
    matched = _match_duration(text) if isinstance(text, str) else None
    if matched is None:
        raise WireError(f"{text!r:.80} is not a duration", "write it as 1500ms or 2.5s")
    return float(matched[1]) * MS_BY_UNIT[matched[2]]


def read_page(data: bytes) -> StorePage:
    """Parse the answer to a range call; malformed items are set apart."""
    body = _json_object(data)
    items = []
    unreadable = []
    for raw_item in _list(body, "items"):
        try:
            items.append(_item(raw_item))
        except WireError:
            unreadable.append(str(raw_item)[:80])
    truncated = body.get("truncated", False) is True
    revision = _non_negative_int(body, "current_rev")
    return StorePage(tuple(items), revision, not truncated, tuple(unreadable))


def read_item(data: bytes) -> tuple[StoreItem, int]:
    """Parse the answer to a call for one key; also returns the store's revision."""
    body = _json_object(data)
    return _item(body), _non_negative_int(body, "current_rev")


def read_changes(data: bytes) -> StoreChanges:
    """Parse the answer to a watch."""
    body = _json_object(data)
    changes = tuple(_change(event) for event in _list(body, "events"))
    return StoreChanges(changes, _non_negative_int(body, "current_rev"))


def read_config(value: bytes) -> PlatformConfig:
    """Parse the value under the configuration's key.

    Raises
    ------
    WireError
        If it does not have the documented format.
    KeyError, TypeError, ValueError
        If a cell of a route is missing or of another type.
    """
    body = _json_object(value)
    matched = _match_version(str(body.get("revision")))
    if matched is None:
        raise WireError(
            f"revision {body.get('revision')!r:.80} is not r and a number",
            "write it as r12, for example",
        )
    limits = body.get("limits") or {}
    services = _rows(body.get("services"))
    return PlatformConfig(
        int(matched[1]),
        tuple(_route(row) for row in _rows(body.get("routes"))),
        {_required_text(row, "name"): row.get("health_path") or "" for row in services},
        duration_ms(limits.get("idle_timeout", "0ms")),
    )


def read_upstream(item: StoreItem) -> UpstreamEntry:
    """Parse the entry that an upstream registered under its key.

    Raises
    ------
    WireError
        If a field is missing or of another type, or the state is unknown.
    """
    body = _json_object(item.value)
    info = _required_object(body, "info")
    status = _required_object(body, "status")
    state = status.get("state")
    if not isinstance(state, str) or state not in IS_LEAVING_BY_STATE:
        raise WireError(f"state {state!r:.80} is unknown", "write ready or draining")
    started_ms = _non_negative_int(body, "born") if "born" in body else 0
    _non_negative_int(status, "seq")
    return UpstreamEntry(
        item.key.removeprefix(UPSTREAM_PREFIX),
        _required_text(info, "service"),
        _required_address(body),
        _required_text(info, "zone"),
        _non_negative_int(info, "slots"),
        IS_LEAVING_BY_STATE[state],
        duration_ms(status.get("cold_left", "0ms")),
        started_ms,
    )


def _route(row: dict[str, Any]) -> RouteConfig:
    split = row.get("split")
    weighted_services = (
        tuple(
            WeightedService(_required_text(choice, "service"), float(choice["weight"]))
            for choice in split
        )
        if split
        else (WeightedService(_required_text(row, "service"), 0.0),)
    )
    timeout_ms = duration_ms(row["timeout"])
    goal = row.get("goal")
    return RouteConfig(
        _required_text(row, "host"),
        _required_text(row, "path_prefix"),
        row.get("kind") == "safe",
        timeout_ms,
        timeout_ms if goal is None else duration_ms(goal),
        row.get("priority") or 0,
        row.get("attempts") or 1,
        weighted_services,
    )


def _rows(table: Any) -> Iterator[dict[str, Any]]:
    """Yield each row of a table of column names and lists of cells as a dict."""
    if not isinstance(table, dict):
        raise WireError(
            f"a table is {type(table).__name__}, not an object",
            "write it with columns and rows",
        )
    columns = table.get("columns", [])
    for cells in table.get("rows", []):
        yield dict(zip(columns, cells, strict=False))


def _change(event: Any) -> StoreItem | Removal:
    if not isinstance(event, dict):
        raise WireError(
            f"a change is {type(event).__name__}, not an object",
            "correct what the store serves",
        )
    key, mod_revision = _required_text(event, "key"), _non_negative_int(event, "rev")
    if event.get("removed") is True:
        return Removal(key, mod_revision)
    try:
        return _item(event)
    except WireError:
        # The malformed value replaced the previous one, so the change must not be
        # skipped: the empty value makes the entry unreadable.
        return StoreItem(key, b"", mod_revision)


def _item(raw_item: Any) -> StoreItem:
    if not isinstance(raw_item, dict):
        raise WireError(
            f"an item is {type(raw_item).__name__}, not an object",
            "correct what the store serves",
        )
    try:
        value = base64.b64decode(_required_text(raw_item, "value"), validate=True)
    except ValueError as error:
        raise WireError(
            f"value is not base64 ({error})", "correct what the store serves"
        ) from error
    return StoreItem(
        _required_text(raw_item, "key"), value, _non_negative_int(raw_item, "rev")
    )


def _json_object(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise WireError(f"not JSON ({error})", "write a JSON object") from error
    if not isinstance(body, dict):
        raise WireError(
            f"a JSON {type(body).__name__}, not an object", "write a JSON object"
        )
    return body


def _required_object(body: dict[str, Any], name: str) -> dict[str, Any]:
    value = body.get(name)
    if not isinstance(value, dict):
        raise WireError(
            f"{name} is missing or not an object (got {value!r:.80})",
            "add it as an object",
        )
    return value


def _required_text(body: dict[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise WireError(
            f"{name} is missing, empty or not text (got {value!r:.80})",
            "add it as text",
        )
    if not _is_unicode(value):
        raise WireError(
            f"{name} has half of a surrogate pair (got {value!a:.80})",
            "write characters above U+FFFF as pairs",
        )
    return value


def _is_unicode(text: str) -> bool:
    """Return whether a text can be encoded; JSON may escape half a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _required_address(body: dict[str, Any]) -> str:
    address = _required_text(body, "address")
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise WireError(
            f"address {address!r:.80} has no IPv4 address", "write it as 10.0.0.1:80"
        ) from error
    if not _match_port(port) or not 0 < int(port) <= MAX_PORT:
        raise WireError(
            f"address {address!r:.80} has no port", "write it as 10.0.0.1:80"
        )
    return address


def _list(body: dict[str, Any], name: str) -> list[Any]:
    """Return a list, empty if it is missing."""
    value = body.get(name, [])
    if not isinstance(value, list):
        raise WireError(
            f"{name} is {type(value).__name__}, not a list",
            "correct what the store serves",
        )
    return value


def _non_negative_int(body: dict[str, Any], name: str) -> int:
    value = body.get(name)
    if type(value) is not int or not 0 <= value <= MAX_WHOLE_NUMBER:
        raise WireError(
            f"{name} is missing or no whole number up to 2**53 (got {value!r:.80})",
            "add it as a whole number of at least 0",
        )
    return value
