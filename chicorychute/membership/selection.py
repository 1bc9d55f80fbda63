"""Chooses the records of one gossip message, bounded at any size of the fleet."""

import enum
import heapq
import math
from collections.abc import Iterable, Set

SMALL_FLEET = 64  # up to here every daemon knows every upstream
SMALL_FLEET_RECORDS = 12  # whole records in each message of a small fleet
DIGEST_PEERS = 16  # peers told the own digests in a round of a large fleet
NEWS_RECORDS = 16  # records that changed lately, each message
REPAIR_RECORDS = 4  # records sent in turn, each message
NEWS_FACTOR = 3  # sends of one change for each doubling of the fleet


class Turn(enum.Enum):
    """Uses of a ring; each goes around on its own."""

    PROBE = "probe"
    DETAIL = "detail"
    REPAIR = "repair"


class Ring:
    """Gives the members of a changing set in turn."""

    def __init__(self) -> None:
        self._ids: list[str] = []
        self._index_by_id: dict[str, int] = {}
        self._next_by_turn = dict.fromkeys(Turn, 0)

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

    def take(self, turn: Turn, count: int) -> list[str]:
        """Return the next `count` instances, each at most once."""
        size = len(self._ids)
        if size == 0:
            return []
        count = min(count, size)
        start = self._next_by_turn[turn]
        self._next_by_turn[turn] = (start + count) % size
        return [self._ids[(start + step) % size] for step in range(count)]

    def members(self) -> Set[str]:
        """Return the instances as a set."""
        return self._index_by_id.keys()

    def ids(self) -> list[str]:
        """Return every instance; not to be changed."""
        return self._ids


class News:
    """Changes that are still to be told, with the sends that are left."""

    def __init__(self) -> None:
        self._sends_by_id: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends_by_id)

    def add(self, instance: str, fleet_size: int) -> None:
        """Tell a change often enough to reach a fleet of this size."""
        sends = NEWS_FACTOR * math.ceil(math.log2(fleet_size + 2))
        self._sends_by_id[instance] = sends

    def take(self, count: int = NEWS_RECORDS) -> list[str]:
        """Return the changes that were told least, and count the send."""
        chosen = heapq.nlargest(
            count, self._sends_by_id, key=self._sends_by_id.__getitem__
        )
        for instance in chosen:
            self._sends_by_id[instance] -= 1
            if self._sends_by_id[instance] <= 0:
                del self._sends_by_id[instance]
        return chosen

    def discard(self, instances: Iterable[str]) -> None:
        """Drop changes of instances that were forgotten."""
        for instance in instances:
            self._sends_by_id.pop(instance, None)
