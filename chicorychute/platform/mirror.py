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
        self._mod_revision_by_key: dict[str, int] = {}
        self._entry_by_key: dict[str, UpstreamEntry] = {}
        self._lapsed_keys: set[str] = set()
        pages = tuple(pages)
        # Pages are no snapshot: what changed between them is told again.
        self.revision = pages[0].store_revision
        for page in pages:
            for item in page.items:
                self._apply_change(item)
            for excerpt in page.unreadable:
                self.fault_by_key[excerpt] = "no item"

    @property
    def entries(self) -> tuple[UpstreamEntry, ...]:
        """Every entry that can be read."""
        return tuple(self._entry_by_key.values())

    @property
    def has_lapsed(self) -> bool:
        """Whether entries are kept that the store no longer holds."""
        return bool(self._lapsed_keys)

    def drop_lapsed(self) -> None:
        """Take the entries that lapsed as gone."""
        for key in self._lapsed_keys:
            del self._entry_by_key[key]
        self._lapsed_keys.clear()

    def apply(self, changes: StoreChanges) -> None:
        """Take what changed since `revision`."""
        for change in changes.changes:
            if change.key.startswith(UPSTREAM_PREFIX):
                self._apply_change(change)
        self.revision = max(self.revision, changes.store_revision)

    def _apply_change(self, change: StoreItem | Removal) -> None:
        key = change.key
        if change.mod_revision < self._mod_revision_by_key.get(key, 0):
            return
        self._mod_revision_by_key[key] = change.mod_revision
        self.fault_by_key.pop(key, None)
        self._lapsed_keys.discard(key)
        match change:
            case Removal():
                # Changes come in order, so that no older one of the key follows.
                del self._mod_revision_by_key[key]
                previous = self._entry_by_key.get(key)
                if previous is not None and previous.leaving:
                    del self._entry_by_key[key]
                elif previous is not None:
                    self._lapsed_keys.add(key)
            case StoreItem():
                try:
                    self._entry_by_key[key] = read_upstream(change)
                except WireError as error:
                    self._entry_by_key.pop(key, None)
                    self.fault_by_key[key] = str(error)
