"""Selection of the records of a gossip message, bounded for any fleet size."""

import enum
import heapq
import math
from collections.abc import Iterable, Set

# Up to this size every daemon knows the digests of every upstream.
SMALL_FLEET_MAX_INSTANCES = 64
# Records with digests in each message of a small fleet.
DETAIL_RECORDS_PER_MESSAGE = 12
# Peers that receive the own digests in each round of a large fleet.
DIGEST_PEERS_PER_ROUND = 16
# Records with a recent change in each message.
RECENT_UPDATES_PER_MESSAGE = 16
# Records sent round robin in each message, whether they changed or not.
REPAIR_RECORDS_PER_MESSAGE = 4
# Times that one change is sent for each doubling of the fleet size.
SENDS_PER_FLEET_DOUBLING = 3


class Cursor(enum.Enum):
    """Positions in a round robin; each advances on its own."""

    PROBE = "probe"
    DETAIL = "detail"
    REPAIR = "repair"


class RoundRobinSet:
    """Set of instances that returns its members round robin."""

    def __init__(self) -> None:
        self._ids: list[str] = []
        self._index_by_id: dict[str, int] = {}
        self._next_by_cursor = dict.fromkeys(Cursor, 0)

    def __len__(self) -> int:
        return len(self._ids)

    def __contains__(self, instance: str) -> bool:
        return instance in self._index_by_id

    def add(self, instance: str) -> None:
        """Add an instance if it is not a member."""
        if instance not in self._index_by_id:
            self._index_by_id[instance] = len(self._ids)
            self._ids.append(instance)

    def discard(self, instance: str) -> None:
        """Remove an instance if it is a member."""
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
        """Return every instance; callers must not change the list."""
        return self._ids


class RecentUpdates:
    """Instances whose change is still to be sent, with the number of sends left."""

    def __init__(self) -> None:
        self._sends_by_id: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends_by_id)

    def add(self, instance: str, fleet_size: int) -> None:
        """Schedule as many sends of a change as reach a fleet of this size."""
        sends = SENDS_PER_FLEET_DOUBLING * math.ceil(math.log2(fleet_size + 2))
        self._sends_by_id[instance] = sends

    def next_ids(self, count: int = RECENT_UPDATES_PER_MESSAGE) -> list[str]:
        """Return the instances with the most sends left, and count a send of each."""
        selected = heapq.nlargest(
            count, self._sends_by_id, key=self._sends_by_id.__getitem__
        )
        for instance in selected:
            self._sends_by_id[instance] -= 1
            if self._sends_by_id[instance] <= 0:
                del self._sends_by_id[instance]
        return selected

    def discard(self, instances: Iterable[str]) -> None:
        """Drop the changes of instances that were removed."""
        for instance in instances:
            self._sends_by_id.pop(instance, None)
