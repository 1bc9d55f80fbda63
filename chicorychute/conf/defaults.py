"""Every settings key with its default, unit and accepted values."""

import math
import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import urlsplit

import attrs

REQUIRED = object()
MAX_PORT = 65_535
# "ms" comes before "s", because both end in "s".
SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "": 1.0}
WILDCARD_HOSTS = ("0.0.0.0", "::")
NAME_CHARACTERS = "letters, digits, '-', '_' and '.'"

is_name = re.compile(r"[A-Za-z0-9_.-]{1,64}").fullmatch
_is_host = re.compile(r"[A-Za-z0-9_.:%-]+").fullmatch


@attrs.frozen
class Key:
    """One settings key.

    Attributes
    ----------
    read : callable
        Converts the text of the file, raises ValueError if it is not accepted.
    default : object
        Value if the key is absent, or ``REQUIRED``.
    accepts : str
        Accepted values, with their unit, as shown in errors and the reference.
    doc : str
        Description shown in the reference.
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


def _name(value: str) -> str:
    if is_name(value) is None:
        raise ValueError(value)
    return value


def _host(value: str) -> str:
    if _is_host(value) is None:
        raise ValueError(value)
    return value


def _non_wildcard_host(value: str) -> str:
    if value in WILDCARD_HOSTS:
        raise ValueError(value)
    return _host(value)


def _non_negative_integer(value: str) -> int:
    if not (value.isascii() and value.isdigit()):
        raise ValueError(value)
    return int(value)


def _port(value: str) -> int:
    port = _non_negative_integer(value)
    if port > MAX_PORT:
        raise ValueError(value)
    return port


def _nonzero_port(value: str) -> int:
    port = _port(value)
    if port == 0:
        raise ValueError(value)
    return port


def _integer(low: int, high: int) -> Callable[[str], int]:
    def read(value: str) -> int:
        number = _non_negative_integer(value)
        if not low <= number <= high:
            raise ValueError(value)
        return number

    return read


def _number(low: float, high: float) -> Callable[[str], float]:
    def read(value: str) -> float:
        number = float(value)
        if not math.isfinite(number) or not low <= number <= high:
            raise ValueError(value)
        return number

    return read


def _seconds(low: float, high: float) -> Callable[[str], timedelta]:
    read_number = _number(low, high)

    def read(value: str) -> timedelta:
        number, unit = _split_unit(value)
        seconds = float(number) * SECONDS_BY_UNIT[unit]
        return timedelta(seconds=read_number(str(seconds)))

    return read


def _split_unit(value: str) -> tuple[str, str]:
    for unit in SECONDS_BY_UNIT:
        if unit and value.endswith(unit):
            return value.removesuffix(unit), unit
    return value, ""


def _optional_path(value: str) -> str:
    if value and (not value.startswith("/") or any(c.isspace() for c in value)):
        raise ValueError(value)
    return value


def _one_of(*names: str) -> Callable[[str], str]:
    def read(value: str) -> str:
        if value not in names:
            raise ValueError(value)
        return value

    return read


def _addresses(value: str) -> tuple[tuple[str, int], ...]:
    addresses = []
    for address in value.replace(",", " ").split():
        host, _, port = address.rpartition(":")
        addresses.append((_host(host), _nonzero_port(port)))
    return tuple(addresses)


def _region_by_zone(value: str) -> dict[str, str]:
    pairs = (pair.partition(":") for pair in value.replace(",", " ").split())
    return {_name(zone): _name(region) for zone, _, region in pairs}


def _optional_address(value: str) -> tuple[str, int] | None:
    if not value:
        return None
    host, _, port = value.rpartition(":")
    return _non_wildcard_host(host), _port(port)


def _url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme != "http" or parts.username is not None:
        raise ValueError(value)
    if parts.query or parts.fragment or parts.port == 0:
        raise ValueError(value)
    _host(parts.hostname or "")
    return value.rstrip("/")


def _server_url(value: str) -> str:
    url = _url(value)
    if urlsplit(url).path:
        raise ValueError(value)
    return url


ADDRESS_FORMAT = "host:port, or empty"
ADDRESS_DOC = "Host and port in one value; replaces both keys."

KEYS: tuple[Key, ...] = (
    Key("instance", "id", _name, REQUIRED, NAME_CHARACTERS, "Name of the instance."),
    Key("instance", "zone", _name, REQUIRED, NAME_CHARACTERS, "Zone of the instance."),
    Key(
        "instance",
        "region",
        _name,
        REQUIRED,
        NAME_CHARACTERS,
        "Region of the instance.",
    ),
    Key(
        "edge",
        "host",
        _host,
        "127.0.0.1",
        "an address",
        "Listening address for callers.",
    ),
    Key("edge", "port", _port, 8080, "0 to 65535", "Port for callers."),
    Key("edge", "address", _optional_address, None, ADDRESS_FORMAT, ADDRESS_DOC),
    Key(
        "edge",
        "threads",
        _integer(4, 4096),
        360,
        "4 to 4096",
        "Maximum number of callers served at a time; set it above the number of"
        " connections of one upstream.",
    ),
    Key(
        "edge",
        "max_body_bytes",
        _integer(1024, 1 << 30),
        16 << 20,
        "1024 to 1073741824 bytes",
        "Maximum size of a request body.",
    ),
    Key(
        "edge",
        "max_header_bytes",
        _integer(1024, 1 << 20),
        32 << 10,
        "1024 to 1048576 bytes",
        "Maximum size of a request head.",
    ),
    Key(
        "edge",
        "read_limit_s",
        _seconds(0.1, 600),
        timedelta(seconds=20),
        "0.1 to 600 seconds",
        "Maximum time for the head and body of a request to arrive.",
    ),
    Key(
        "peer",
        "host",
        _non_wildcard_host,
        "127.0.0.1",
        "an address of this instance, not 0.0.0.0",
        "Listening address for peers, also announced to them.",
    ),
    Key("peer", "port", _port, 8081, "0 to 65535", "Port for peers."),
    Key("peer", "address", _optional_address, None, ADDRESS_FORMAT, ADDRESS_DOC),
    Key("peer", "seeds", _addresses, (), "host:port ...", "Peers contacted at start."),
    Key(
        "operator",
        "host",
        _host,
        "127.0.0.1",
        "an address",
        "Listening address for operators.",
    ),
    Key("operator", "port", _port, 8082, "0 to 65535", "Port for operators."),
    Key("operator", "address", _optional_address, None, ADDRESS_FORMAT, ADDRESS_DOC),
    Key(
        "platform",
        "backend",
        _one_of("http", "mesh", "none"),
        "http",
        "http, mesh or none",
        "Interface to the configuration service and the instance list; mesh also sets"
        " the headers and statuses that callers and upstreams use.",
    ),
    Key(
        "platform",
        "url",
        _url,
        "",
        "http://host:port/path",
        "Base URL of the platform; required with backends http and mesh.",
    ),
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
        "Time over which the first reads of daemons that start together are spread.",
    ),
    Key(
        "platform",
        "longest_pause_s",
        _seconds(0.1, 3600),
        timedelta(seconds=30),
        "0.1 to 3600 seconds",
        "Maximum pause between reads of the platform while it fails.",
    ),
    Key(
        "platform",
        "retry_share",
        _number(0, 1),
        0.1,
        "0 to 1",
        "With backend mesh: value of the column of this name in every row.",
    ),
    Key(
        "platform",
        "retry_burst",
        _number(0, 1000),
        2.0,
        "0 to 1000",
        "With backend mesh: value of the column of this name in every row.",
    ),
    Key(
        "platform",
        "retry_slack",
        _number(0, 1000000),
        0.0,
        "0 to 1000000, 0 for no limit",
        "Retries that all daemons together may save up for a service. Each daemon saves"
        " up its part, at most the retry_burst of the row and at least 1.",
    ),
    Key(
        "platform",
        "floor",
        _number(0, 1),
        0.5,
        "0 to 1",
        "With backend mesh: value of the column of this name in every row.",
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
        "scope",
        _one_of("fleet", "region"),
        "fleet",
        "fleet or region",
        "Instances that gossip with each other: the complete fleet, or those of one"
        " region, which then know upstreams of other regions only from the platform's"
        " list.",
    ),
    Key(
        "gossip",
        "regions",
        _region_by_zone,
        {},
        "zone:region, ...",
        "Region of each availability zone; required with scope region.",
    ),
    Key(
        "gossip",
        "suspect_after_s",
        _seconds(0.1, 600),
        timedelta(seconds=3),
        "0.1 to 600 seconds",
        "Time without contact after which an instance is suspected.",
    ),
    Key(
        "health",
        "episodes",
        _one_of("on", "off"),
        "off",
        "on or off",
        "Whether single failures divert requests for some seconds. It suits upstreams"
        " that fail for seconds at a time; during long failures it withholds evidence"
        " from the test that ejects them.",
    ),
    Key(
        "shutdown",
        "drain_limit_s",
        _seconds(0, 3600),
        timedelta(seconds=30),
        "0 to 3600 seconds",
        "Maximum wait for requests in flight at shutdown.",
    ),
    Key(
        "shutdown",
        "kill_after_s",
        _seconds(0, 3600),
        timedelta(0),
        "0 to 3600 seconds",
        "Time from a stop request until the process is killed, 0 for never; the wait"
        " for requests in flight ends in its last tenth.",
    ),
    Key(
        "shutdown",
        "settle_s",
        _seconds(0, 600),
        timedelta(seconds=1),
        "0 to 600 seconds",
        "Time for which a stopping daemon still accepts requests, so that callers and"
        " peers learn of the stop first.",
    ),
    Key(
        "log",
        "format",
        _one_of("text", "json"),
        "text",
        "text or json",
        "Format of the log lines.",
    ),
    Key(
        "log",
        "level",
        _one_of("debug", "info", "warning", "error"),
        "info",
        "debug, info, warning or error",
        "Lowest level written.",
    ),
    Key(
        "trace",
        "export",
        _one_of("off", "log"),
        "off",
        "off or log",
        "Where sampled spans are written; off passes the caller's trace on unchanged.",
    ),
    Key(
        "trace",
        "ratio",
        _number(0, 1),
        0.0,
        "0 to 1",
        "Fraction of traces sampled if the caller did not decide.",
    ),
)

UPSTREAM_SECTION_PREFIX = "upstream:"
UPSTREAM_KEYS: tuple[Key, ...] = (
    Key(
        "upstream",
        "service",
        _name,
        REQUIRED,
        NAME_CHARACTERS,
        "Service of the upstream.",
    ),
    Key(
        "upstream",
        "url",
        _server_url,
        REQUIRED,
        "http://host:port",
        "Address on which the upstream listens.",
    ),
    Key(
        "upstream",
        "probe",
        _optional_path,
        "",
        "a path, or empty for no probes",
        "Path probed by GET while no request shows the upstream's health.",
    ),
)
