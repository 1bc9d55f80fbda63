"""Every settings key with its default, unit and accepted values."""

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs

REQUIRED = object()


@attrs.frozen
class Key:
    """One settings key.

    Attributes
    ----------
    default : object
        Value where the key is absent, or ``REQUIRED``.
    """

    section: str
    name: str
    read: Callable[[str], Any]
    default: Any
    accepts: str
    doc: str


def _text(value: str) -> str:
    if not value:
        raise ValueError(value)
    return value


def _port(value: str) -> int:
    port = int(value)
    if not 0 <= port <= 65_535:
        raise ValueError(value)
    return port


def _count(low: int, high: int) -> Callable[[str], int]:
    def read(value: str) -> int:
        number = int(value)
        if not low <= number <= high:
            raise ValueError(value)
        return number

    return read


def _seconds(low: float, high: float) -> Callable[[str], timedelta]:
    def read(value: str) -> timedelta:
        number = float(value)
        if not math.isfinite(number) or not low <= number <= high:
            raise ValueError(value)
        return timedelta(seconds=number)

    return read


def _one_of(*names: str) -> Callable[[str], str]:
    def read(value: str) -> str:
        if value not in names:
            raise ValueError(value)
        return value

    return read


def _addresses(value: str) -> tuple[tuple[str, int], ...]:
    pairs = []
    for part in value.replace(",", " ").split():
        host, _, port = part.rpartition(":")
        pairs.append((_text(host), _port(port)))
    return tuple(pairs)


KEYS: tuple[Key, ...] = (
    Key("instance", "id", _text, REQUIRED, "a name", "Name of the instance."),
    Key("instance", "zone", _text, REQUIRED, "a name", "Its availability zone."),
    Key("instance", "region", _text, REQUIRED, "a name", "Its region."),
    Key("edge", "host", _text, "127.0.0.1", "an address", "Listens for callers."),
    Key("edge", "port", _port, 8080, "0 to 65535", "Port for callers."),
    Key(
        "edge",
        "threads",
        _count(4, 4096),
        360,
        "4 to 4096",
        "Callers answered at a time; above the connections of one upstream.",
    ),
    Key(
        "edge",
        "max_body_bytes",
        _count(1024, 1 << 30),
        16 << 20,
        "1024 to 1073741824 bytes",
        "Largest body of a request.",
    ),
    Key(
        "edge",
        "max_header_bytes",
        _count(1024, 1 << 20),
        32 << 10,
        "1024 to 1048576 bytes",
        "Largest head of a request.",
    ),
    Key("peer", "host", _text, "127.0.0.1", "an address", "Address given to peers."),
    Key("peer", "port", _port, 8081, "0 to 65535", "Port for peers."),
    Key("peer", "seeds", _addresses, (), "host:port ...", "Peers asked at start."),
    Key("operator", "host", _text, "127.0.0.1", "an address", "For operators."),
    Key("operator", "port", _port, 8082, "0 to 65535", "Port for operators."),
    Key(
        "platform",
        "backend",
        _one_of("http", "none"),
        "http",
        "http or none",
        "Reader of the configuration service and the instance list.",
    ),
    Key("platform", "url", str, "", "a URL", "Base URL of the platform."),
    Key(
        "platform",
        "poll_s",
        _seconds(0.1, 3600),
        timedelta(seconds=5),
        "0.1 to 3600 seconds",
        "Pause between reads of the instance list.",
    ),
    Key(
        "platform",
        "start_spread_s",
        _seconds(0, 600),
        timedelta(seconds=1),
        "0 to 600 seconds",
        "Time over which the first reads of daemons that start at once spread.",
    ),
    Key(
        "gossip",
        "interval_s",
        _seconds(0.02, 60),
        timedelta(seconds=0.5),
        "0.02 to 60 seconds",
        "Pause between gossip rounds.",
    ),
    Key(
        "gossip",
        "suspect_after_s",
        _seconds(0.1, 600),
        timedelta(seconds=3),
        "0.1 to 600 seconds",
        "Silence after which an instance is suspected.",
    ),
    Key(
        "shutdown",
        "drain_limit_s",
        _seconds(0, 3600),
        timedelta(seconds=30),
        "0 to 3600 seconds",
        "Longest wait for requests in flight at shutdown.",
    ),
    Key(
        "log",
        "format",
        _one_of("text", "json"),
        "text",
        "text or json",
        "Form of the log lines.",
    ),
    Key(
        "log",
        "level",
        _one_of("debug", "info", "warning", "error"),
        "info",
        "debug, info, warning or error",
        "Least level written.",
    ),
)

UPSTREAM_SECTION_PREFIX = "upstream:"
UPSTREAM_KEYS: tuple[Key, ...] = (
    Key("upstream", "service", _text, REQUIRED, "a name", "Service it belongs to."),
    Key("upstream", "url", _text, REQUIRED, "http://host:port", "Where it listens."),
)
