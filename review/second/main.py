"""Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it can't run."""

import asyncio
import hashlib
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.second.backend import Backend
from review.second.callers import wait_ready
from review.second.fleet import Daemon, free_ports, loopback_addresses
from review.second.record import Record
from review.second.store import Store

TIME_LIMIT_S = 110.0

BackendFactory = Callable[..., Backend]


class CaseError(Exception):
    """The case could not run as described."""


class Deployment:
    """A store, and daemons with their backends in a few availability zones.

    Parameters
    ----------
    zones : list of str
        Availability zone of each instance.
    services : list of str
        Service of each instance.
    region_by_zone : dict, optional
        Region of each zone; each zone is its own region if left out.
    """

    def __init__(
        self,
        record: Record,
        zones: list[str],
        services: list[str],
        region_by_zone: dict[str, str] | None = None,
    ):
        self.record = record
        self.store = Store()
        self._directory = tempfile.TemporaryDirectory(prefix="chute-case-")
        addresses = loopback_addresses(len(zones) + 1)
        ports = free_ports(addresses, 5)
        self._store_address = (addresses.pop(), ports.pop())
        if region_by_zone is None:
            region_by_zone = {zone: zone for zone in zones}
        self.zones, self.services = zones, services
        self.daemons = [
            Daemon(
                Path(self._directory.name),
                ip,
                zone,
                region_by_zone,
                service,
                self._store_address,
                ports,
            )
            for ip, zone, service in zip(addresses, zones, services, strict=True)
        ]
        self.backends: list[Backend] = []

    async def start(self, config: dict, make_backend: BackendFactory) -> None:
        """Start the store, the backends and the daemons; wait until all are ready."""
        await self.store.start(*self._store_address)
        self.store.put("op/config", config)
        for number, daemon in enumerate(self.daemons):
            backend = make_backend(
                f"i-{number + 1}",
                self.services[number],
                self.zones[number],
                daemon.app,
                self.store,
                self.record,
            )
            self.backends.append(backend)
            await backend.start()
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await wait_ready(daemon.ready)

    def first_reader(self, zone: str) -> int:
        """Return the index of the machine that is the first to read for a zone.

        The daemons rank themselves by this hash of their names.
        """
        in_zone = [n for n, name in enumerate(self.zones) if name == zone]
        return max(
            in_zone,
            key=lambda n: hashlib.blake2b(
                self.daemons[n].ip.encode(), digest_size=8
            ).digest(),
        )

    def stop(self) -> None:
        """End everything that was started."""
        for daemon in self.daemons:
            daemon.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for daemon in self.daemons:
                path = Path(keep) / f"{daemon.ip}.log"
                path.write_text(daemon.log_text(), "utf-8")
        for backend in self.backends:
            backend.stop()
        self.store.stop()
        self._directory.cleanup()


def run_case(play: Callable[[Record, bool], Awaitable[list[str]]]) -> None:
    """Play a case and end the process with its result.

    The one argument of the process is the path of the record. The case is played
    without its disruption if the variable ``TROUBLE`` is 0.

    Parameters
    ----------
    play : callable
        Plays the case, with its disruption or without; returns what broke the rule.
    """
    record = Record(Path(sys.argv[1]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), TIME_LIMIT_S))
    except Exception:
        traceback.print_exc()
        record.add("could not run", error=traceback.format_exc(limit=3))
        sys.exit(2)
    for line in broken:
        print(line)
        record.add("broken", what=line)
    record.add("result", broken=len(broken), trouble=trouble)
    record.close()
    sys.exit(1 if broken else 0)
