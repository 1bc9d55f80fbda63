"""Keeps the newest table in force, from the platform or from peers."""

import random
import threading
from collections.abc import Callable

import structlog
from result import Err, Ok

from chicorychute.core.messages import (
    Gossip,
    MemberRecord,
    MemberStatus,
    Message,
    TableAnnounce,
    TableRequest,
    TableUpdate,
)
from chicorychute.services.fleet import FleetService
from chicorychute.services.senders import Senders
from chicorychute.sources.base import WATCH_WAIT_S, PlatformBackend
from chicorychute.sources.pacing import ReadPace
from chicorychute.table.relay import Location, announce_targets
from chicorychute.table.routes import RouteIndex
from chicorychute.table.rows import Table
from chicorychute.table.versions import OfferDecision, OfferResult, TableVersions
from chicorychute.transport.links import Link

# Time after which a daemon that does not read checks whether it has to.
READER_CHECK_S = 0.5
# Pause after a read that gave the table in force, for a platform that does not wait.
SAME_TABLE_PAUSE_S = 0.25

logger = structlog.get_logger()


class TableService:
    """Holds the table in force, whose version only rises.

    Parameters
    ----------
    reads_platform : callable
        Returns whether this daemon has to read the platform itself.
    pace : ReadPace
        Schedules the reads of the platform, with back-off after a failure.
    on_table : callable
        Called with each table when it comes into force.
    watch_wait_s : callable, optional
        Returns how long a read may wait for a newer table, in seconds.
    """

    def __init__(
        self,
        versions: TableVersions,
        platform: PlatformBackend | None,
        fleet: FleetService,
        reads_platform: Callable[[], bool],
        senders: Senders,
        pace: ReadPace,
        rng: random.Random,
        on_table: Callable[[Table], None],
        watch_wait_s: Callable[[], float] = lambda: WATCH_WAIT_S,
    ):
        self._watch_wait_s = watch_wait_s
        self._versions = versions
        self._platform = platform
        self._fleet = fleet
        self._reads_platform = reads_platform
        self._senders = senders
        self._pace = pace
        self._rng = rng
        self._on_table = on_table
        self._lock = threading.Lock()
        self._routes: RouteIndex | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 before the first table."""
        return self._versions.key[0]

    @property
    def hash(self) -> str:
        """Hash of the content in force."""
        return self._versions.key[1]

    @property
    def conflicts(self) -> int:
        """Number of tables seen whose version has another content too."""
        return self._versions.conflict_count

    def table(self) -> Table | None:
        """Return the table in force."""
        return self._versions.table

    def routes(self) -> RouteIndex | None:
        """Return the routes of the table in force."""
        return self._routes

    def watch(self) -> bool:
        """Wait once for a newer table, if this daemon is a reader and it is due.

        Returns
        -------
        bool
            Whether the caller may watch again at once.
        """
        if not self._pace.due():
            return False
        if not self._reads_platform():
            self._pace.postpone(READER_CHECK_S)
            return False
        known_version = self._versions.highest_seen_version
        match self._platform.watch_table(known_version, self._watch_wait_s()):
            case Ok(None):
                self._pace.record_success()
                return True
            case Ok(document) if document.version > known_version:
                self._pace.record_success()
                self._offer(document.version, document.text, None)
                return True
            case Ok(document) if document.version == known_version:
                # The first read after a failed one gives the table in force.
                self._pace.postpone(SAME_TABLE_PAUSE_S)
                self._offer(document.version, document.text, None)
                return False
            case Ok(document):
                self._pace.record_failure()
                logger.warning(
                    "table: the platform gave an older version than the known one",
                    version=document.version,
                    known=known_version,
                )
                self._offer(document.version, document.text, None)
                return False
            case Err(error):
                self._pace.record_failure()
                logger.warning(
                    "table: the platform's table can't be read", error=str(error)
                )
                return False

    def on_gossip(self, link: Link, message: Gossip) -> None:
        """Request the sender's table if its own record names a newer one."""
        for record in message.records:
            if record.instance == message.sender:
                announce = TableAnnounce(record.table_version, record.table_hash)
                self.on_announce(link, announce)
                return

    def on_announce(self, link: Link, announce: TableAnnounce) -> None:
        """Request the announced table if it would come into force here."""
        with self._lock:
            request = self._versions.on_announce(announce)
        if request is not None:
            self._senders.reply(link, request)

    def on_request(self, link: Link, request: TableRequest) -> None:
        """Send the table in force to a peer that has an older one."""
        update = self._versions.on_request(request)
        if update is not None:
            self._senders.reply(link, update)

    def on_update(self, link: Link, update: TableUpdate) -> None:
        """Put a peer's table into force if it is newer."""
        peer = link.peer
        source = Location(peer.instance, peer.zone, peer.region)
        self._offer(update.version, update.text, source)

    def _offer(self, version: int, text: str, source: Location | None) -> None:
        with self._lock:
            offered = self._versions.offer(version, text)
            if offered.decision is OfferDecision.ACCEPTED:
                table = self._versions.table
                self._routes = RouteIndex(table)
                self._on_table(table)
        self._log(version, offered)
        if offered.decision is OfferDecision.ACCEPTED:
            self._announce(source)

    def _announce(self, source: Location | None) -> None:
        own = self._fleet.own()
        others = [
            _place(record)
            for record, status in self._fleet.snapshot()
            if status is not MemberStatus.DEAD and record.instance != own.instance
        ]
        announce = self._versions.announce()
        for instance in announce_targets(_place(own), others, source, self._rng):
            self._send(instance, announce)

    def _send(self, instance: str, message: Message) -> None:
        record = self._fleet.record_of(instance)
        if record is not None:
            self._senders.send((record.host, record.peer_port), message)

    def _log(self, version: int, offered: OfferResult) -> None:
        if offered.conflict:
            logger.error(
                "table: two tables have the same version, publish a higher one",
                version=version,
                in_force=self.hash,
            )
        if offered.decision is OfferDecision.ACCEPTED:
            logger.info("table: version is in force", version=version)
        for fault in offered.faults:
            logger.error(
                "table: version was refused", version=version, fault=str(fault)
            )


def _place(record: MemberRecord) -> Location:
    return Location(record.instance, record.zone, record.region)
