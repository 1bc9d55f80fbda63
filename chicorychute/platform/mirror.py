"""Copy of the upstreams' entries, kept up to date by the store's changes.

If an entry is removed while its upstream was not draining, its lease may have expired
because its writer could not reach the store. Such a lapsed entry is kept until the
store has answered once more.
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
    """Upstreams' entries by key, each in its last known state.

    Attributes
    ----------
    revision : int
        Revision of the store up to which changes are known.
    list_revision : int
        Revision of the newest known change of an upstream's entry. Other changes of
        the store do not raise it.
    fault_by_key : dict
        Reason why an entry was rejected; other writers may add malformed entries.
    """

    def __init__(self, pages: Iterable[StorePage], list_revision: int = 0):
        self.list_revision = list_revision
        self.fault_by_key: dict[str, str] = {}
        self._mod_revision_by_key: dict[str, int] = {}
        self._entry_by_key: dict[str, UpstreamEntry] = {}
        self._lapsed_keys: set[str] = set()
        pages = tuple(pages)
        # Pages are not a snapshot: watching from the first page's revision reports
        # again what changed while the others were read.
        self.revision = pages[0].store_revision
        for page in pages:
            for item in page.items:
                self._apply_change(item)
            for excerpt in page.unreadable:
                self.fault_by_key[excerpt] = (
                    "not an item: correct the item in the store"
                )

    @property
    def entries(self) -> tuple[UpstreamEntry, ...]:
        """All entries that could be parsed, including lapsed ones."""
        return tuple(self._entry_by_key.values())

    @property
    def has_lapsed(self) -> bool:
        """Whether any entry is kept that the store has removed."""
        return bool(self._lapsed_keys)

    def drop_lapsed(self) -> None:
        """Remove the lapsed entries."""
        for key in self._lapsed_keys:
            del self._entry_by_key[key]
        self._lapsed_keys.clear()

    def apply(self, changes: StoreChanges) -> None:
        """Apply the changes since `revision`; older changes of a key are ignored."""
        for change in changes.changes:
            if change.key.startswith(UPSTREAM_PREFIX):
                self._apply_change(change)
        self.revision = max(self.revision, changes.store_revision)

    def _apply_change(self, change: StoreItem | Removal) -> None:
        key = change.key
        if change.mod_revision < self._mod_revision_by_key.get(key, 0):
            return
        self._mod_revision_by_key[key] = change.mod_revision
        self.list_revision = max(self.list_revision, change.mod_revision)
        self.fault_by_key.pop(key, None)
        self._lapsed_keys.discard(key)
        match change:
            case Removal():
                # Changes arrive in order, so no older change of this key can follow.
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
