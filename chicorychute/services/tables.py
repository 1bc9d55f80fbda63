"""Keeps the newest table in force, from the platform or from peers."""

import threading
from collections.abc import Callable

import structlog
from result import Err, Ok

from chicorychute.core.messages import TableRequest, TableUpdate
from chicorychute.platform.base import PlatformBackend
from chicorychute.services.fleet import FleetService
from chicorychute.table.parse import parse_table
from chicorychute.table.routes import RouteIndex
from chicorychute.table.rows import Table
from chicorychute.transport.links import Link, LinkError, LinkHub

WATCH_WAIT_S = 10.0

logger = structlog.get_logger()


class TableService:
    """Holds the table in force; its version only rises.

    Parameters
    ----------
    on_table : callable
        Called with each table as it comes into force.
    """

    def __init__(
        self,
        platform: PlatformBackend | None,
        fleet: FleetService,
        hub: Callable[[], LinkHub],
        on_table: Callable[[Table], None],
    ):
        self._platform = platform
        self._fleet = fleet
        self._hub = hub
        self._on_table = on_table
        self._lock = threading.Lock()
        self._table: Table | None = None
        self._routes: RouteIndex | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 before the first table."""
        table = self._table
        return 0 if table is None else table.version

    def table(self) -> Table | None:
        """Return the table in force."""
        return self._table

    def routes(self) -> RouteIndex | None:
        """Return the routes of the table in force."""
        return self._routes

    def watch(self) -> bool:
        """Wait once for a newer table; returns False if the platform is down."""
        match self._platform.watch_table(self.version, WATCH_WAIT_S):
            case Ok(None):
                return True
            case Ok(document):
                self._take(document.version, document.text)
                return True
            case Err(error):
                logger.warning("table: platform is down", error=str(error))
                return False

    def repair(self) -> None:
        """Ask one peer that holds a newer table for it."""
        for address in self._fleet.peers_ahead(self.version)[:1]:
            try:
                self._hub().link_to(address).send(TableRequest(self.version))
            except LinkError as error:
                logger.debug("table: peer was not asked", error=str(error))

    def on_request(self, link: Link, request: TableRequest) -> None:
        """Send the table to a peer that holds an older one."""
        table = self._table
        if table is not None and table.version > request.known_version:
            try:
                link.send(TableUpdate(table.version, table.text))
            except LinkError:
                return

    def on_update(self, update: TableUpdate) -> None:
        """Take a newer table from a peer."""
        self._take(update.version, update.text)

    def _take(self, version: int, text: str) -> None:
        with self._lock:
            if version <= self.version:
                return
            match parse_table(version, text):
                case Ok(table):
                    self._table = table
                    self._routes = RouteIndex(table)
                    self._on_table(table)
                    logger.info("table: version is in force", version=version)
                case Err(faults):
                    for fault in faults:
                        logger.error("table: version was refused", fault=str(fault))
