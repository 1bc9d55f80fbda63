"""Copy of the platform's list that daemons share, with the revision of each change.

Load pattern: hundreds of daemons that each watch the list for themselves, so that one
upstream's change costs hundreds of calls to the platform. Here a few daemons of each
zone read the list and send their peers the changes; a peer that missed some asks for
all changes since the revision that it knows.

A revision states up to which change of the platform's list a copy is complete. The
copy labels each change with the revision at which it learned of it, which is never
lower than the platform's own. So the changes labelled above a peer's revision are at
least those that the peer lacks.
"""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from chicorychute.core.messages import ListedUpstream, ListUpdate

# Removed upstreams that are remembered; a peer that missed more gets the whole list.
MAX_REMEMBERED_REMOVALS = 512


@attrs.frozen
class _Entry:
    upstream: ListedUpstream
    revision: int


class SharedList:
    """Upstreams by id, as read from the platform or sent by a peer.

    Attributes
    ----------
    revision : int
        Revision up to which the copy is complete, 0 before the first list.
    """

    def __init__(self):
        self.revision = 0
        self._entry_by_id: dict[str, _Entry] = {}
        self._removed_revision_by_id: OrderedDict[str, int] = OrderedDict()
        # Removals up to this revision may be forgotten.
        self._forgotten_revision = 0

    @property
    def upstreams(self) -> tuple[ListedUpstream, ...]:
        """All listed upstreams."""
        return tuple(entry.upstream for entry in self._entry_by_id.values())

    def replace(self, revision: int, upstreams: Iterable[ListedUpstream]) -> int:
        """Apply a whole list that was read from the platform.

        A list that is older than the copy is ignored: the platform's reads may lag.

        Returns
        -------
        int
            Revision of the copy before.
        """
        before = self.revision
        if revision < before:
            return before
        upstream_by_id = {upstream.id: upstream for upstream in upstreams}
        removed = self._entry_by_id.keys() - upstream_by_id.keys()
        if before == 0:
            # Removals before the first list are not known.
            self._forgotten_revision = revision
        self._apply(revision, upstream_by_id.values(), removed)
        return before

    def changes_since(self, revision: int) -> ListUpdate:
        """Return the changes that a peer lacks which knows the list up to `revision`.

        It is the whole list if some of the removals since then are forgotten.
        """
        if revision < self._forgotten_revision:
            return ListUpdate(0, self.revision, self.upstreams, ())
        changed = tuple(
            entry.upstream
            for entry in self._entry_by_id.values()
            if entry.revision > revision
        )
        removed = tuple(
            id
            for id, removed_revision in self._removed_revision_by_id.items()
            if removed_revision > revision
        )
        return ListUpdate(revision, self.revision, changed, removed)

    def apply(self, update: ListUpdate) -> bool:
        """Apply a peer's update.

        Returns
        -------
        bool
            Whether it was applied. One that is not newer is ignored, and so is one
            that follows changes which this copy lacks.
        """
        if update.revision <= self.revision or update.since > self.revision:
            return False
        removed: Iterable[str] = update.removed
        if update.since == 0:
            removed = self._entry_by_id.keys() - {u.id for u in update.changed}
        if self.revision == 0:
            self._forgotten_revision = update.revision
        self._apply(update.revision, update.changed, removed)
        return True

    def _apply(
        self, revision: int, changed: Iterable[ListedUpstream], removed: Iterable[str]
    ) -> None:
        for upstream in changed:
            known = self._entry_by_id.get(upstream.id)
            if known is None or known.upstream != upstream:
                self._entry_by_id[upstream.id] = _Entry(upstream, revision)
            self._removed_revision_by_id.pop(upstream.id, None)
        for id in tuple(removed):
            if self._entry_by_id.pop(id, None) is not None:
                self._removed_revision_by_id[id] = revision
        while len(self._removed_revision_by_id) > MAX_REMEMBERED_REMOVALS:
            _, forgotten = self._removed_revision_by_id.popitem(last=False)
            self._forgotten_revision = max(self._forgotten_revision, forgotten)
        self.revision = revision
