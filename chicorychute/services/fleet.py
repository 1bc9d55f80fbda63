"""Keeps the view of the fleet from gossip and the platform's list."""

import contextlib
import random
import threading
from collections.abc import Callable, Iterable, Iterator

from chicorychute.core.messages import (
    Beat,
    DigestUpdate,
    Gossip,
    MemberRecord,
    MemberStatus,
    Message,
    ProbeRequest,
    Pulse,
    UpstreamDigest,
)
from chicorychute.membership.readers import READERS_PER_ZONE, choose_readers
from chicorychute.membership.view import MembershipView, Send
from chicorychute.routing.candidates import (
    PRESENT_STATUSES,
    Candidate,
    distance_between,
)
from chicorychute.services.senders import Address, Senders
from chicorychute.sources.base import ListedInstance
from chicorychute.transport.links import Link

# Rounds between two scans of all records for the zone's readers and unknown addresses.
SCAN_INTERVAL_ROUNDS = 8


class FleetService:
    """Thread-safe view of the fleet.

    Parameters
    ----------
    on_listed_leaving : callable
        Called once when the platform's list marks the own instance as leaving.
    readers_per_zone : int
        Daemons of a zone that read the platform for all of it.
    """

    def __init__(
        self,
        view: MembershipView,
        seeds: tuple[Address, ...],
        senders: Senders,
        rng: random.Random,
        on_listed_leaving: Callable[[], None],
        readers_per_zone: int = READERS_PER_ZONE,
    ):
        self._readers_per_zone = readers_per_zone
        self._view = view
        self._seeds = set(seeds)
        self._listed: frozenset[Address] = frozenset()
        self._senders = senders
        self._rng = rng
        self._on_listed_leaving = on_listed_leaving
        self._zone_reader = True
        self._first_reader = view.own.instance
        self._rounds = 0
        self._lock = threading.Lock()
        # Written only under the lock, so that no entry outlives its state of the view.
        self._candidates_by_service: dict[str, tuple[Candidate, ...]] = {}

    def own(self) -> MemberRecord:
        """Return the own record."""
        return self._view.own

    def size(self) -> int:
        """Return the number of known instances, the own included."""
        return self._view.size

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

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        """Return the upstreams of a service on live and suspect instances.

        The result depends on the view alone and is cached until the view changes.
        """
        cached = self._candidates_by_service.get(service)
        if cached is None:
            with self._lock:
                cached = self._candidates_by_service[service] = self._find_candidates(
                    service
                )
        return cached

    def _find_candidates(self, service: str) -> tuple[Candidate, ...]:
        own = self._view.own
        return tuple(
            Candidate(
                record.instance,
                digest,
                distance_between(own, record),
                status,
                load_reported=self._view.reports_load(record.instance),
            )
            for record in self._view.hosts(service)
            if (status := self._view.status_of(record.instance)) in PRESENT_STATUSES
            for digest in record.upstreams
            if digest.service == service
        )

    @contextlib.contextmanager
    def _changing_view(self) -> Iterator[None]:
        """Hold the lock while the view changes, and clear the cached candidates."""
        with self._lock:
            try:
                yield
            finally:
                self._candidates_by_service.clear()

    def hosts(self, service: str) -> list[MemberRecord]:
        """Return the live instances that run an upstream of a service."""
        with self._lock:
            return [
                record
                for record in self._view.hosts(service)
                if self._view.status_of(record.instance) is MemberStatus.ALIVE
            ]

    def peer_digests(self, service: str) -> list[UpstreamDigest]:
        """Return the digests of a service's upstreams on other live instances."""
        own = self._view.own.instance
        return [
            c.digest
            for c in self.candidates(service)
            if c.instance != own and c.status is MemberStatus.ALIVE and c.load_reported
        ]

    def publish(
        self,
        table_version: int,
        digests: tuple[UpstreamDigest, ...],
        table_hash: str = "",
        list_revision: int = 0,
    ) -> None:
        """Replace the own digests and what the own record states."""
        with self._changing_view():
            self._view.publish(table_version, digests, table_hash, list_revision)

    def gossip(self) -> None:
        """Run one gossip round."""
        scans = self._rounds % SCAN_INTERVAL_ROUNDS == 0 or self._view.alone
        self._rounds += 1
        if scans:
            self._update_zone_readers()
        with self._changing_view():
            sends = self._view.gossip_round()
            unknown_address = self._unknown_address() if scans else None
            gossip_request = (
                self._view.message_for("", True) if unknown_address else None
            )
        self._send_all(sends)
        if unknown_address is not None:
            self._senders.send(unknown_address, gossip_request)

    def on_gossip(self, link: Link, message: Gossip) -> None:
        """Merge a peer's records, and reply if it asked for a reply."""
        with self._changing_view():
            sends = self._view.on_gossip(message)
        for send in sends:
            if send.instance == message.sender:
                self._senders.reply(link, send.message)
        self._send_all(s for s in sends if s.instance != message.sender)

    def on_digests(self, update: DigestUpdate) -> None:
        """Apply a peer's update of the digests of its own upstreams."""
        with self._changing_view():
            self._view.on_digests(update)

    def on_probe_request(self, request: ProbeRequest) -> None:
        """Probe an instance on behalf of a peer that got no answer from it."""
        with self._changing_view():
            sends = self._view.on_probe_request(request)
        self._send_all(sends)

    def leave(self) -> None:
        """Notify every live peer that this instance takes no new work."""
        with self._changing_view():
            self._view.leave()
            sends = self._view.broadcast_own()
        self._send_all(sends)

    def send_own_record(self) -> None:
        """Send the own record to every live peer at once."""
        with self._changing_view():
            sends = self._view.broadcast_own()
        self._send_all(sends)

    def on_beat(self, link: Link, beat: Beat) -> None:
        """Apply a peer's heartbeat, and answer one that does not know this daemon."""
        with self._changing_view():
            needs_complete = self._view.on_heartbeat(beat)
            sends = (
                self._view.complete_heartbeat_for(beat.record.instance)
                if needs_complete
                else ()
            )
        self._send_all(sends)

    def on_pulse(self, link: Link, pulse: Pulse) -> None:
        """Apply a peer's short heartbeat."""
        with self._changing_view():
            self._view.on_short_heartbeat(
                link.peer.instance, link.peer.incarnation, pulse
            )

    def is_zone_reader(self) -> bool:
        """Return whether this daemon is one of those that read for the zone."""
        return self._zone_reader

    def has_list_reader(self) -> bool:
        """Return whether a live peer of the zone reads the platform's list."""
        own = self._view.own
        with self._lock:
            return any(
                record.zone == own.zone and self._is_reading_peer(record)
                for record in self._view.records()
            )

    def first_reader_reads(self) -> bool:
        """Return whether the zone's first reader is a live peer that reads the list."""
        with self._lock:
            record = self._view.record_of(self._first_reader)
            return record is not None and self._is_reading_peer(record)

    def _is_reading_peer(self, record: MemberRecord) -> bool:
        return (
            record.list_revision > 0
            and record.instance != self._view.own.instance
            and self._view.reports_load(record.instance)
            and self._view.status_of(record.instance) is MemberStatus.ALIVE
        )

    def send_to_zone(self, message: Message) -> None:
        """Send a message to every peer of the zone that exchanges heartbeats."""
        own = self._view.own
        with self._lock:
            instances = [
                record.instance
                for record in self._view.records()
                if record.zone == own.zone
                and record.instance != own.instance
                and self._view.reports_load(record.instance)
            ]
        self._send_all(Send(instance, message) for instance in instances)

    def _update_zone_readers(self) -> None:
        own = self._view.own
        alive = [
            record.instance
            for record, status in self.snapshot()
            if status is MemberStatus.ALIVE and record.zone == own.zone
        ]
        readers = choose_readers(alive, self._readers_per_zone)
        self._zone_reader = own.instance in readers
        self._first_reader = next(iter(choose_readers(alive, 1)), own.instance)

    def apply_list(self, listed: tuple[ListedInstance, ...]) -> None:
        """Apply the platform's list to the view."""
        own = self._view.own.instance
        leaving = [item.instance for item in listed if item.leaving]
        staying = [item.instance for item in listed if not item.leaving]
        with self._changing_view():
            self._view.apply_instance_list(listed)
            must_leave = self._view.apply_leaving_flags(leaving, staying)
            self._listed = frozenset(
                (item.host, item.peer_port)
                for item in listed
                if item.instance != own and not item.leaving
            )
        if must_leave:
            self._on_listed_leaving()

    def _unknown_address(self) -> Address | None:
        """Return a random listed or seed address that has no known live instance."""
        known = {
            (record.host, record.peer_port)
            for record in self._view.records()
            if self._view.status_of(record.instance) is not MemberStatus.DEAD
        }
        unknown = sorted((self._listed | self._seeds) - known)
        return self._rng.choice(unknown) if unknown else None

    def _send_all(self, sends: Iterable[Send]) -> None:
        for send in sends:
            self._send(send)

    def _send(self, send: Send) -> None:
        record = self.record_of(send.instance)
        if record is None:
            return
        address = (record.host, record.peer_port)
        self._senders.send(
            address, send.message, lambda: self.mark_unreachable(send.instance)
        )

    def mark_unreachable(self, instance: str) -> None:
        """Record that the path to an instance, or back from it, may be broken."""
        with self._changing_view():
            self._view.on_unreachable(instance)
