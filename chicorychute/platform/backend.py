"""Platform backend that reads the configuration and upstreams from the store."""

import structlog
from result import Err, Ok, Result

from chicorychute.platform.mirror import UpstreamMirror
from chicorychute.platform.store import HistoryGone, StoreClient
from chicorychute.platform.tables import PolicyValues, render_table
from chicorychute.platform.wire import (
    CONFIG_KEY,
    UPSTREAM_PREFIX,
    StoreChanges,
    StoreItem,
    UpstreamEntry,
    WireError,
    read_config,
)
from chicorychute.sources.base import (
    WATCH_WAIT_S,
    InstanceList,
    ListedUpstream,
    PlatformBackend,
    PlatformError,
    TableDocument,
    instances_of,
)

logger = structlog.get_logger()


class MeshPlatform(PlatformBackend):
    """Platform backend on the users' store.

    Parameters
    ----------
    peer_port : int
        Port on which the daemon of every instance listens for peers.
    policy : PolicyValues
        Values of table columns that the platform's configuration does not have.
    """

    def __init__(self, store: StoreClient, peer_port: int, policy: PolicyValues):
        self._store = store
        self._peer_port = peer_port
        self._policy = policy
        self._watch_revision: int | None = None
        self._mirror: UpstreamMirror | None = None
        self._logged_fault_keys: frozenset[str] = frozenset()

    @property
    def reads(self) -> int:
        """Number of calls made to the store so far."""
        return sum(count for _, count in self._store.calls.items())

    def watch_table(
        self, known_version: int, wait_s: float
    ) -> Result[TableDocument | None, PlatformError]:
        """Wait for a new configuration; the first call reads the current one."""
        if self._watch_revision is None:
            return self._read_config()
        match self._store.watch(CONFIG_KEY, self._watch_revision, wait_s):
            case Ok(changes):
                self._watch_revision = max(self._watch_revision, changes.store_revision)
                return self._newest_config(changes)
            case Err(HistoryGone()):
                self._watch_revision = None
                return self._read_config()
            case Err(error):
                # Read the item again next time: it contains every change made in the
                # meantime, even if the history no longer does.
                self._watch_revision = None
                return Err(error)

    def read_instances(
        self, wait_s: float = WATCH_WAIT_S
    ) -> Result[InstanceList, PlatformError]:
        """Return the instances, one for each host with its upstreams.

        Upstreams of services that the configuration does not name are listed too: no
        route leads to them, and a later configuration may name them at any time. So
        the list of a revision is the same on every daemon, whatever table it has.

        The first call reads every entry, later calls wait for a change: the complete
        list takes some kilobytes for each daemon, a change some hundred bytes.
        """
        read = (
            self._read_first()
            if self._mirror is None
            else self._watch_upstreams(wait_s)
        )
        match read:
            case Err(error):
                return Err(error)
        self._log_new_faults()
        upstreams = map(_listed_upstream, self._mirror.entries)
        instances = instances_of(upstreams, self._peer_port)
        return Ok(InstanceList(instances, self._mirror.list_revision))

    def _read_first(self) -> Result[None, PlatformError]:
        """Read every entry by stale reads, then all changes since.

        Stale reads cost a tenth and may be seconds old, each page by another time. A
        page is no older than its newest entry, so the changes since the oldest such
        time bring all of them up to date; nothing is used before.
        """
        match self._store.items(UPSTREAM_PREFIX, allow_stale=True):
            case Err(error):
                return Err(error)
            case Ok(pages):
                mirror = UpstreamMirror(pages)
        mirror.revision = min(
            max((item.mod_revision for item in page.items), default=0) for page in pages
        )
        match self._apply_changes(mirror, 0.0):
            case Err(HistoryGone()):
                return self._read_upstreams()
            case Err(error):
                return Err(error)
        mirror.drop_lapsed()
        self._mirror = mirror
        return Ok(None)

    def _read_upstreams(self) -> Result[None, PlatformError]:
        """Read every entry; the changes since the last read are not available."""
        match self._store.items(UPSTREAM_PREFIX):
            case Err(error):
                return Err(error)
            case Ok(pages):
                # Removals that were missed make the list newer than its entries.
                self._mirror = UpstreamMirror(pages, pages[0].store_revision)
        return Ok(None)

    def _watch_upstreams(self, wait_s: float) -> Result[None, PlatformError]:
        mirror = self._mirror
        match self._apply_changes(mirror, wait_s):
            case Err(HistoryGone()):
                return self._read_upstreams()
            case Err(error):
                return Err(error)
        if mirror.has_lapsed:
            match self._apply_changes(mirror, 0.0):
                case Err(error):
                    return Err(error)
            mirror.drop_lapsed()
        return Ok(None)

    def _apply_changes(
        self, mirror: UpstreamMirror, wait_s: float
    ) -> Result[None, PlatformError]:
        match self._store.watch(UPSTREAM_PREFIX, mirror.revision, wait_s):
            case Ok(changes):
                mirror.apply(changes)
                return Ok(None)
            case Err(error):
                return Err(error)

    def _read_config(self) -> Result[TableDocument | None, PlatformError]:
        match self._store.key(CONFIG_KEY):
            case Ok(None):
                return Err(
                    PlatformError(
                        f"{CONFIG_KEY} is not in the store", "publish a configuration"
                    )
                )
            case Ok((item, revision)):
                self._watch_revision = revision
                return self._table_document(item)
            case Err(error):
                return Err(error)

    def _newest_config(
        self, changes: StoreChanges
    ) -> Result[TableDocument | None, PlatformError]:
        config_items = [
            change
            for change in changes.changes
            if isinstance(change, StoreItem) and change.key == CONFIG_KEY
        ]
        return self._table_document(config_items[-1]) if config_items else Ok(None)

    def _table_document(self, item: StoreItem) -> Result[TableDocument, PlatformError]:
        try:
            config = read_config(item.value)
        except (WireError, KeyError, TypeError, ValueError) as error:
            problem = f"the configuration can't be read ({error})"
            return Err(PlatformError(problem, "publish a corrected one"))
        text = render_table(config, self._policy)
        return Ok(TableDocument(config.version, text))

    def _log_new_faults(self) -> None:
        """Log each malformed entry once."""
        fault_by_key = self._mirror.fault_by_key
        for key in fault_by_key.keys() - self._logged_fault_keys:
            cause = fault_by_key[key]
            logger.warning("platform: an entry is ignored", key=key, cause=cause)
        self._logged_fault_keys = frozenset(fault_by_key)


def _listed_upstream(entry: UpstreamEntry) -> ListedUpstream:
    return ListedUpstream(
        entry.id,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.leaving,
        entry.cold_ms / 1000,
        entry.started_ms,
    )
