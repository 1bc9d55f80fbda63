"""Copy of the upstreams' entries, kept up to date by the store's changes.

An entry that vanishes without its upstream leaving first may have lapsed because the
store is out of reach of its writers. It stays until the store has answered once more.
"""

from collections.abc import Iterable

from chicorychute.platform.wire import (
    UPSTREAM_PREFIX,
    Removal,
    StoreChanges,
    StoreItem,
    StorePage,
    UpstreamEntry,
    WireError,
    read_upstream,
)


class UpstreamMirror:
    """Entries by key, each at its last known change.

    Attributes
    ----------
    revision : int
        Revision of the store up to which changes are known.
    fault_by_key : dict
        Why an entry names no upstream; another writer may add bad ones.
    """

    def __init__(self, pages: Iterable[StorePage]):
        self.fault_by_key: dict[str, str] = {}
        self._changed_at_by_key: dict[str, int] = {}
        self._entry_by_key: dict[str, UpstreamEntry] = {}
        self._lapsed: set[str] = set()
        pages = tuple(pages)
        # Pages are no snapshot: what changed between them is told again.
        self.revision = pages[0].store_revision
        for page in pages:
            for item in page.items:
                self._take(item)
            for text in page.unreadable:
                self.fault_by_key[text] = "no item"

    @property
    def entries(self) -> tuple[UpstreamEntry, ...]:
        """Every entry that can be read."""
        return tuple(self._entry_by_key.values())

    @property
    def has_lapsed(self) -> bool:
        """Whether entries are kept that the store no longer holds."""
        return bool(self._lapsed)

    def drop_lapsed(self) -> None:
        """Take the entries that lapsed as gone."""
        for key in self._lapsed:
            del self._entry_by_key[key]
        self._lapsed.clear()

    def apply(self, changes: StoreChanges) -> None:
        """Take what changed since `revision`."""
        for change in changes.changes:
            if change.key.startswith(UPSTREAM_PREFIX):
                self._take(change)
        self.revision = max(self.revision, changes.store_revision)

    def _take(self, change: StoreItem | Removal) -> None:
        key = change.key
        if change.changed_at < self._changed_at_by_key.get(key, 0):
            return
        self._changed_at_by_key[key] = change.changed_at
        self.fault_by_key.pop(key, None)
        self._lapsed.discard(key)
        match change:
            case Removal():
                # Changes come in order, so that no older one of the key follows.
                del self._changed_at_by_key[key]
                held = self._entry_by_key.get(key)
                if held is not None and held.leaving:
                    del self._entry_by_key[key]
                elif held is not None:
                    self._lapsed.add(key)
            case StoreItem():
                try:
                    self._entry_by_key[key] = read_upstream(change)
                except WireError as error:
                    self._entry_by_key.pop(key, None)
                    self.fault_by_key[key] = str(error)
