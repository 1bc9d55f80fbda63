"""Checks of settings that depend on each other."""

from collections.abc import Callable, Sequence
from http.client import HTTP_PORT
from typing import Any
from urllib.parse import urlsplit

import attrs

from chicorychute.conf.defaults import WILDCARD_HOSTS
from chicorychute.conf.exceptions import SettingFault

LISTENERS = ("edge", "peer", "operator")

Values = dict[tuple[str, str], Any]


@attrs.frozen
class UpstreamSettings:
    """One local upstream.

    Attributes
    ----------
    probe : str
        Path probed by GET, empty for no probes.
    """

    id: str
    service: str
    url: str
    probe: str = ""


def check_consistency(
    file: str, values: Values, upstreams: Sequence[UpstreamSettings]
) -> list[SettingFault]:
    """Return the faults of values that contradict each other.

    Parameters
    ----------
    values : dict
        Values by section and key, without those that could not be read.
    """
    checks: tuple[Callable[..., list[SettingFault]], ...] = (
        _check_platform,
        _check_ports,
        _check_upstreams,
    )
    return [fault for check in checks for fault in check(file, values, upstreams)]


def _check_platform(
    file: str, values: Values, upstreams: Sequence[UpstreamSettings]
) -> list[SettingFault]:
    backend = values.get(("platform", "backend"))
    if backend not in ("http", "mesh") or values.get(("platform", "url")) != "":
        return []
    problem = f"is missing, and backend is {backend}"
    hint = "set it to http://host:port/path, or set backend to none"
    return [SettingFault("conf.E008", file, "platform", "url", "", problem, hint)]


def _check_ports(
    file: str, values: Values, upstreams: Sequence[UpstreamSettings]
) -> list[SettingFault]:
    faults = []
    listeners: list[tuple[str, str, int]] = []
    for section in LISTENERS:
        host = values.get((section, "host"))
        port = values.get((section, "port"))
        if host is None or not port:
            continue
        for other, other_host, other_port in listeners:
            if port == other_port and _hosts_overlap(host, other_host):
                problem = f"is already used by [{other}]"
                hint = "give each listener its own port"
                faults.append(
                    SettingFault(
                        "conf.E009", file, section, "port", str(port), problem, hint
                    )
                )
        listeners.append((section, host, port))
    return faults


def _hosts_overlap(host: str, other: str) -> bool:
    return host == other or host in WILDCARD_HOSTS or other in WILDCARD_HOSTS


def _check_upstreams(
    file: str, values: Values, upstreams: Sequence[UpstreamSettings]
) -> list[SettingFault]:
    faults = []
    id_by_url: dict[str, str] = {}
    own_addresses = {
        (values.get((section, "host")), values.get((section, "port")))
        for section in LISTENERS
    }
    for upstream in upstreams:
        section = f"upstream:{upstream.id}"
        first_id = id_by_url.setdefault(upstream.url, upstream.id)
        parts = urlsplit(upstream.url)
        problem = ""
        if first_id != upstream.id:
            problem = f"is already used by [upstream:{first_id}]"
        elif (parts.hostname, parts.port or HTTP_PORT) in own_addresses:
            problem = "is an address of the daemon itself"
        if problem:
            hint = "set the address of the upstream itself"
            faults.append(
                SettingFault(
                    "conf.E010", file, section, "url", upstream.url, problem, hint
                )
            )
    return faults
