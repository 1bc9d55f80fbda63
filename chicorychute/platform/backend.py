"""Platform backend that reads the users' store."""

import structlog
from result import Err, Ok, Result

from chicorychute.platform.mirror import UpstreamMirror
from chicorychute.platform.store import HistoryGone, StoreClient
from chicorychute.platform.tables import PolicyCells, render_table
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
    ListedInstance,
    ListedUpstream,
    PlatformBackend,
    PlatformError,
    TableDocument,
)

LIST_WAIT_S = 10.0  # every call is charged; the store allows 30 s

logger = structlog.get_logger()


class MeshPlatform(PlatformBackend):
    """Reads the configuration and the upstreams from the store.

    Parameters
    ----------
    peer_port : int
        Port on which the daemon of every instance listens for peers.
    policy : PolicyCells
        Cells for which the platform has none.
    """

    def __init__(self, store: StoreClient, peer_port: int, policy: PolicyCells):
        self._store = store
        self._peer_port = peer_port
        self._policy = policy
        self._watched_to: int | None = None
        self._mirror: UpstreamMirror | None = None
        self._services: frozenset[str] = frozenset()
        self._bad_keys: frozenset[str] = frozenset()

    @property
    def reads(self) -> int:
        """Calls made so far."""
        return sum(count for _, count in self._store.calls.items())

    def watch_table(
        self, known_version: int, wait_s: float
    ) -> Result[TableDocument | None, PlatformError]:
        """Wait for a configuration; the first call reads the one in force."""
        if self._watched_to is None:
            return self._read_config()
        match self._store.watch(CONFIG_KEY, self._watched_to, wait_s):
            case Ok(changes):
                self._watched_to = max(self._watched_to, changes.store_revision)
                return self._newest(changes)
            case Err(HistoryGone()):
                self._watched_to = None
                return self._read_config()
            case Err(error):
                # What changed meanwhile is in the item, whatever the history holds.
                self._watched_to = None
                return Err(error)

    def read_instances(self) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Return the instances; each stands for the upstreams at its address.

        The first call reads every entry, each later one waits for a change. A list
        takes some kilobytes for each daemon, a change some hundred bytes.
        """
        match self._read_upstreams() if self._mirror is None else self._watch_list():
            case Err(error):
                return Err(error)
        by_host: dict[str, list[ListedUpstream]] = {}
        for entry in self._usable_entries():
            host = entry.address.rpartition(":")[0]
            by_host.setdefault(host, []).append(_listed(entry))
        return Ok(
            tuple(
                ListedInstance(host, host, self._peer_port, False, tuple(upstreams))
                for host, upstreams in by_host.items()
            )
        )

    def _read_upstreams(self) -> Result[None, PlatformError]:
        match self._store.items(UPSTREAM_PREFIX):
            case Err(error):
                return Err(error)
            case Ok(pages):
                self._mirror = UpstreamMirror(pages)
        return Ok(None)

    def _watch_list(self) -> Result[None, PlatformError]:
        mirror = self._mirror
        match self._follow(mirror, LIST_WAIT_S):
            case Err(HistoryGone()):
                return self._read_upstreams()
            case Err(error):
                return Err(error)
        if mirror.has_lapsed:
            match self._follow(mirror, 0.0):
                case Err(error):
                    return Err(error)
            mirror.drop_lapsed()
        return Ok(None)

    def _follow(
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
                return Err(PlatformError("no configuration yet", "publish one"))
            case Ok((item, revision)):
                self._watched_to = revision
                return self._document(item)
            case Err(error):
                return Err(error)

    def _newest(
        self, changes: StoreChanges
    ) -> Result[TableDocument | None, PlatformError]:
        written = [
            change
            for change in changes.changes
            if isinstance(change, StoreItem) and change.key == CONFIG_KEY
        ]
        return self._document(written[-1]) if written else Ok(None)

    def _document(self, item: StoreItem) -> Result[TableDocument, PlatformError]:
        try:
            config = read_config(item.value)
        except (WireError, KeyError, TypeError, ValueError) as error:
            problem = f"the configuration can't be read ({error})"
            return Err(PlatformError(problem, "publish it again"))
        self._services = frozenset(config.probe_by_service)
        text = render_table(config, self._policy)
        return Ok(TableDocument(config.version, text))

    def _usable_entries(self) -> list[UpstreamEntry]:
        """Return the entries of known services, and log each new one that is not."""
        usable = []
        fault_by_key = dict(self._mirror.fault_by_key)
        for entry in self._mirror.entries:
            if self._services and entry.service not in self._services:
                fault_by_key[entry.id] = f"service {entry.service} is unknown"
            else:
                usable.append(entry)
        for key in fault_by_key.keys() - self._bad_keys:
            cause = fault_by_key[key]
            logger.warning("platform: an entry is ignored", key=key, cause=cause)
        self._bad_keys = frozenset(fault_by_key)
        return usable


def _listed(entry: UpstreamEntry) -> ListedUpstream:
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
