"""Chooses the records of one gossip message, bounded at any size of the fleet."""

import enum
import heapq
import math
from collections.abc import Iterable, Set

SMALL_FLEET_MAX_INSTANCES = 64  # up to here every daemon knows every upstream
DETAIL_RECORDS_PER_MESSAGE = 12  # whole records in each message of a small fleet
DIGEST_PEERS_PER_ROUND = 16  # peers told the own digests in a round of a large fleet
RECENT_UPDATES_PER_MESSAGE = 16  # records that changed lately, each message
REPAIR_RECORDS_PER_MESSAGE = 4  # records sent in turn, each message
SENDS_PER_FLEET_DOUBLING = 3  # sends of one change for each doubling of the fleet


class Cursor(enum.Enum):
    """Uses of a ring; each goes around on its own."""

    PROBE = "probe"
    DETAIL = "detail"
    REPAIR = "repair"


class RoundRobinSet:
    """Gives the members of a changing set in turn."""

    def __init__(self) -> None:
        self._ids: list[str] = []
        self._index_by_id: dict[str, int] = {}
        self._next_by_cursor = dict.fromkeys(Cursor, 0)

    def __len__(self) -> int:
        return len(self._ids)

    def __contains__(self, instance: str) -> bool:
        return instance in self._index_by_id

    def add(self, instance: str) -> None:
        """Add an instance, if it is not there."""
        if instance not in self._index_by_id:
            self._index_by_id[instance] = len(self._ids)
            self._ids.append(instance)

    def discard(self, instance: str) -> None:
        """Remove an instance, if it is there."""
        index = self._index_by_id.pop(instance, None)
        if index is None:
            return
        last = self._ids.pop()
        if last != instance:
            self._ids[index] = last
            self._index_by_id[last] = index

    def next_ids(self, cursor: Cursor, count: int) -> list[str]:
        """Return the next `count` instances, each at most once."""
        size = len(self._ids)
        if size == 0:
            return []
        count = min(count, size)
        start = self._next_by_cursor[cursor]
        self._next_by_cursor[cursor] = (start + count) % size
        return [self._ids[(start + step) % size] for step in range(count)]

    def members(self) -> Set[str]:
        """Return the instances as a set."""
        return self._index_by_id.keys()

    def ids(self) -> list[str]:
        """Return every instance; not to be changed."""
        return self._ids


class RecentUpdates:
    """Changes that are still to be told, with the sends that are left."""

    def __init__(self) -> None:
        self._sends_by_id: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends_by_id)

    def add(self, instance: str, fleet_size: int) -> None:
        """Tell a change often enough to reach a fleet of this size."""
        sends = SENDS_PER_FLEET_DOUBLING * math.ceil(math.log2(fleet_size + 2))
        self._sends_by_id[instance] = sends

    def next_ids(self, count: int = RECENT_UPDATES_PER_MESSAGE) -> list[str]:
        """Return the changes that were told least, and count the send."""
        selected = heapq.nlargest(
            count, self._sends_by_id, key=self._sends_by_id.__getitem__
        )
        for instance in selected:
            self._sends_by_id[instance] -= 1
            if self._sends_by_id[instance] <= 0:
                del self._sends_by_id[instance]
        return selected

    def discard(self, instances: Iterable[str]) -> None:
        """Drop changes of instances that were forgotten."""
        for instance in instances:
            self._sends_by_id.pop(instance, None)
