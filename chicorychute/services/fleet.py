"""Keeps the view of the fleet by gossip and the platform's list."""

import threading
from collections.abc import Callable

import structlog
from result import Ok

from chicorychute.core.messages import (
    Gossip,
    MemberRecord,
    MemberStatus,
    UpstreamDigest,
)
from chicorychute.membership.view import MembershipView
from chicorychute.platform.base import PlatformBackend
from chicorychute.routing.candidates import Candidate, distance_between, live
from chicorychute.transport.links import Link, LinkError, LinkHub

logger = structlog.get_logger()

Address = tuple[str, int]


class FleetService:
    """Thread-safe view of the fleet.

    Parameters
    ----------
    hub : callable
        Returns the hub of peer links, which is built after the fleet.
    """

    def __init__(
        self,
        view: MembershipView,
        platform: PlatformBackend | None,
        seeds: tuple[Address, ...],
        hub: Callable[[], LinkHub],
    ):
        self._view = view
        self._platform = platform
        self._seeds = set(seeds)
        self._hub = hub
        self._lock = threading.Lock()

    def own(self) -> MemberRecord:
        """Return the own record."""
        return self._view.own

    def record_of(self, instance: str) -> MemberRecord | None:
        """Return the newest record of an instance, or None."""
        with self._lock:
            return self._view.record_of(instance)

    def snapshot(self) -> list[tuple[MemberRecord, MemberStatus]]:
        """Return every record with its status."""
        with self._lock:
            return [
                (record, self._view.status_of(record.instance))
                for record in self._view.records()
            ]

    def candidates(self, service: str) -> list[Candidate]:
        """Return the live upstreams of a service."""
        own = self._view.own
        return [
            Candidate(record.instance, digest, distance_between(own, record))
            for record in live(self.snapshot())
            for digest in record.upstreams
            if digest.service == service
        ]

    def peer_digests(self, service: str) -> list[UpstreamDigest]:
        """Return the digests of a service's upstreams on other instances."""
        own = self._view.own.instance
        return [c.digest for c in self.candidates(service) if c.instance != own]

    def publish(self, table_version: int, digests: tuple[UpstreamDigest, ...]) -> None:
        """Replace the own digests."""
        with self._lock:
            self._view.publish(table_version, digests)

    def gossip(self) -> None:
        """Run one gossip round."""
        with self._lock:
            partners, message = self._view.gossip_round()
            addresses = {self._address(partner) for partner in partners}
        known = {(r.host, r.peer_port) for r, _ in self.snapshot()}
        for address in addresses | (self._seeds - known):
            self._send(address, message)

    def on_gossip(self, link: Link, message: Gossip) -> None:
        """Merge a peer's records and answer if it asked."""
        with self._lock:
            answer = self._view.on_gossip(message)
        if answer is not None:
            try:
                link.send(answer)
            except LinkError:
                return

    def leave(self) -> None:
        """Tell every live peer that this instance takes no new work."""
        with self._lock:
            message = self._view.leave()
        for record, status in self.snapshot():
            if status is not MemberStatus.DEAD and record is not self._view.own:
                self._send((record.host, record.peer_port), message)

    def read_list(self) -> None:
        """Take peers to greet from the platform's list."""
        match self._platform.read_instances():
            case Ok(listed):
                own = self._view.own.instance
                for item in listed:
                    if item.instance != own and not item.leaving:
                        self._seeds.add((item.host, item.peer_port))

    def peers_ahead(self, table_version: int) -> list[Address]:
        """Return the addresses of live peers that hold a newer table."""
        return [
            (record.host, record.peer_port)
            for record, status in self.snapshot()
            if record.table_version > table_version and status is MemberStatus.ALIVE
        ]

    def _address(self, instance: str) -> Address:
        record = self._view.record_of(instance)
        return (record.host, record.peer_port)

    def _send(self, address: Address, message: Gossip) -> None:
        try:
            self._hub().link_to(address).send(message)
        except LinkError as error:
            logger.debug("fleet: gossip was not sent", error=str(error))
