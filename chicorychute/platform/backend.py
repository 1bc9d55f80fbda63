"""Platform backend that reads the users' store."""

import structlog
from result import Err, Ok, Result

from chicorychute.platform.store import HistoryGone, StoreClient
from chicorychute.platform.tables import PolicyCells, render_table
from chicorychute.platform.wire import (
    CONFIG_KEY,
    UPSTREAM_PREFIX,
    StoreItem,
    StorePage,
    UpstreamEntry,
    WireError,
    read_config,
    read_upstream,
)
from chicorychute.sources.base import (
    ListedInstance,
    ListedUpstream,
    PlatformBackend,
    PlatformError,
    TableDocument,
)

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
            case Ok(page):
                self._watched_to = max(self._watched_to, page.store_revision)
                newest = [item for item in page.items if item.key == CONFIG_KEY]
                return self._document(newest[-1]) if newest else Ok(None)
            case Err(HistoryGone()):
                self._watched_to = None
                return self._read_config()
            case Err(error):
                # What changed meanwhile is in the item, whatever the history holds.
                self._watched_to = None
                return Err(error)

    def read_instances(self) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Read the upstreams; each stands for the instance at its address."""
        match self._store.items(UPSTREAM_PREFIX, stale=True):
            case Err(error):
                return Err(error)
            case Ok(pages):
                entries = self._entries(pages)
        by_host: dict[str, list[ListedUpstream]] = {}
        for entry in entries:
            host = entry.address.rpartition(":")[0]
            by_host.setdefault(host, []).append(_listed(entry))
        return Ok(
            tuple(
                ListedInstance(host, host, self._peer_port, False, tuple(upstreams))
                for host, upstreams in by_host.items()
            )
        )

    def _read_config(self) -> Result[TableDocument | None, PlatformError]:
        match self._store.key(CONFIG_KEY):
            case Ok(None):
                return Err(PlatformError("no configuration yet", "publish one"))
            case Ok((item, revision)):
                self._watched_to = revision
                return self._document(item)
            case Err(error):
                return Err(error)

    def _document(self, item: StoreItem) -> Result[TableDocument, PlatformError]:
        try:
            config = read_config(item.value)
        except (WireError, KeyError, TypeError, ValueError) as error:
            problem = f"the configuration can't be read ({error})"
            return Err(PlatformError(problem, "publish it again"))
        self._services = frozenset(config.probe_by_service)
        text = render_table(config, self._policy)
        return Ok(TableDocument(config.version, text))

    def _entries(self, pages: list[StorePage]) -> list[UpstreamEntry]:
        """Return the entries that can be read; another writer may add bad ones."""
        entries = []
        bad = {text: "no item" for page in pages for text in page.unreadable}
        for item in (item for page in pages for item in page.items):
            try:
                entry = read_upstream(item)
            except WireError as error:
                bad[item.key] = str(error)
                continue
            if self._services and entry.service not in self._services:
                bad[item.key] = f"service {entry.service} is unknown"
                continue
            entries.append(entry)
        for key in bad.keys() - self._bad_keys:
            logger.warning("platform: an entry is ignored", key=key, cause=bad[key])
        self._bad_keys = frozenset(bad)
        return entries


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
