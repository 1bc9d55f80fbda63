"""Keeps the platform's list, read by this daemon or relayed by those that read it."""

import math
import threading
from collections.abc import Callable

import structlog
from result import Err, Ok

from chicorychute.core.clock import Clock
from chicorychute.core.messages import ListedUpstream, ListRequest, ListUpdate
from chicorychute.membership.shared_list import SharedList
from chicorychute.services.fleet import FleetService
from chicorychute.services.senders import Senders
from chicorychute.sources.base import (
    BACKED_WATCH_WAIT_S,
    WATCH_WAIT_S,
    InstanceList,
    PlatformBackend,
    instances_of,
)
from chicorychute.sources.pacing import ReadPace
from chicorychute.transport.links import Link

# Entries that lapsed in an outage of the platform are listed again about 2 s after it.
COMPLETE_LIST_AFTER_S = 3.0
# Readers of a zone where daemons relay the list. All others read within seconds if both
# are lost.
RELAYING_READERS_PER_ZONE = 2
# Time after which a daemon that does not read checks whether it has to.
READER_CHECK_S = 0.5
# Time for which a peer may know more than this daemon before it is asked: changes that
# were just read are on their way. It also spaces the requests. Peers of other zones are
# asked later, as their bytes cost more.
BEHIND_TIMEOUT_S = 0.5
OTHER_ZONE_BEHIND_TIMEOUT_S = 1.5

logger = structlog.get_logger()

OnListed = Callable[[tuple[ListedUpstream, ...], bool], None]


def _ignore_list(upstreams: tuple[ListedUpstream, ...], complete: bool) -> None:
    """Ignore the upstreams of a list."""


class ListService:
    """Reads the list if no peer does so for this daemon, and relays its changes.

    Parameters
    ----------
    peer_port : int
        Port on which the daemon of every listed instance listens for peers.
    pace : ReadPace
        Schedules the reads.
    on_listed : callable, optional
        Called with every listed upstream and whether the list is complete.
    relays : bool
        Whether daemons relay the list's changes: then every daemon reads while it
        knows of no peer of its zone that does.
    """

    def __init__(
        self,
        fleet: FleetService,
        platform: PlatformBackend | None,
        peer_port: int,
        senders: Senders,
        pace: ReadPace,
        clock: Clock,
        on_listed: OnListed = _ignore_list,
        relays: bool = False,
    ):
        self._fleet = fleet
        self._platform = platform
        self._peer_port = peer_port
        self._senders = senders
        self._pace = pace
        self._clock = clock
        self._on_listed = on_listed
        self._relays = relays
        # Held while the list changes and is applied, so that no older state is
        # applied after a newer one.
        self._lock = threading.RLock()
        self._list = SharedList()
        self._last_read_succeeded = False
        self._applied_complete = False
        self._behind_since_s = math.inf

    @property
    def revision(self) -> int:
        """Revision of the list up to which this daemon knows all changes."""
        return self._list.revision

    def reads_platform(self) -> bool:
        """Return whether this daemon has to read the platform itself."""
        if not self._relays:
            return self._fleet.is_zone_reader()
        return (
            self._list.revision == 0
            or self._fleet.is_zone_reader()
            or not self._fleet.has_list_reader()
        )

    def watch_wait_s(self) -> float:
        """Return how long a read may wait for a change of the platform, in seconds.

        Long where the first reader of the zone reads too: it notices a lost answer, and
        sends its peers what it learns.
        """
        is_backed = self._relays and self._fleet.first_reader_reads()
        return BACKED_WATCH_WAIT_S if is_backed else WATCH_WAIT_S

    def announced_revision(self) -> int:
        """Return the revision to announce to peers, 0 if this daemon does not read."""
        reads = self._relays and self._last_read_succeeded and self.reads_platform()
        return self._list.revision if reads else 0

    def read(self) -> None:
        """Read the platform's list if it is due and no peer does so."""
        if not self._pace.due():
            return
        if not self.reads_platform():
            self._last_read_succeeded = False
            self._pace.postpone(READER_CHECK_S)
            return
        match self._platform.read_instances(self.watch_wait_s()):
            case Ok(instance_list):
                self._on_read(instance_list)
            case Err(error):
                self._last_read_succeeded = False
                self._pace.record_failure()
                logger.warning(
                    "fleet: the platform's list can't be read", error=str(error)
                )

    def _on_read(self, instance_list: InstanceList) -> None:
        is_complete = self._is_complete()
        self._last_read_succeeded = True
        self._pace.record_success()
        if not self._relays:
            self._fleet.apply_list(instance_list.instances)
            self._on_listed(instance_list.upstreams, is_complete)
            return
        with self._lock:
            before = self._list.replace(instance_list.revision, instance_list.upstreams)
            update = self._list.changes_since(before)
            self._apply(is_complete)
        if before and update.revision > before:
            self._fleet.send_to_zone(update)

    def apply_again(self) -> None:
        """Apply the list again, as the local upstreams have changed."""
        with self._lock:
            if self._list.revision:
                self._apply(self._applied_complete)

    def _is_complete(self) -> bool:
        return self._pace.since_failure_s > COMPLETE_LIST_AFTER_S

    def _apply(self, is_complete: bool) -> None:
        self._applied_complete = is_complete
        self._behind_since_s = math.inf
        upstreams = self._list.upstreams
        self._fleet.apply_list(instances_of(upstreams, self._peer_port))
        self._on_listed(upstreams, is_complete)

    def complete(self) -> None:
        """Apply the list again once what it lacks counts as gone.

        No read does so: it may wait for the next change, which may never come.
        """
        with self._lock:
            is_pending = self._list.revision and not self._applied_complete
            if is_pending and self._is_complete():
                self._apply(True)

    def on_announced(self, link: Link, revision: int) -> None:
        """Ask a peer that knows more of the list for the changes since.

        A daemon that has no list, as the platform is away, asks any peer.
        """
        if not self._relays or 0 < self._list.revision >= revision:
            return
        now_s = self._clock.monotonic()
        if self._behind_since_s == math.inf:
            self._behind_since_s = now_s
        timeout_s = (
            BEHIND_TIMEOUT_S
            if link.peer.zone == self._fleet.own().zone
            else OTHER_ZONE_BEHIND_TIMEOUT_S
        )
        if now_s - self._behind_since_s >= timeout_s:
            self._behind_since_s = now_s
            self._senders.reply(link, ListRequest(self._list.revision))

    def on_request(self, link: Link, request: ListRequest) -> None:
        """Send a peer the changes that it lacks."""
        with self._lock:
            if request.known_revision >= self._list.revision:
                return
            update = self._list.changes_since(request.known_revision)
        self._senders.reply(link, update)

    def on_update(self, link: Link, update: ListUpdate) -> None:
        """Apply the changes that a peer has read."""
        if not self._relays:
            return
        with self._lock:
            applied = self._list.apply(update)
            known_revision = self._list.revision
            if applied:
                self._apply(self._is_complete())
        if applied:
            logger.info(
                "fleet: a peer sent changes of the platform's list",
                peer=link.peer.instance,
                revision=update.revision,
                changed=len(update.changed),
                removed=len(update.removed),
            )
        elif update.since > known_revision:
            self._senders.reply(link, ListRequest(known_revision))
