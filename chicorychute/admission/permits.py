"""Permits to occupy a thread while a request waits, limited by priority.

Half of the permits are reserved, split evenly among the priorities. The others are
shared, and a less urgent priority may use fewer of them. So a flood of one priority
leaves permits for every other, and most of them for the urgent ones.
"""

from collections import Counter

# Fraction of all permits that is reserved, in equal numbers for each priority.
RESERVED_FRACTION = 0.5
# Fraction of the shared permits that the least urgent priority may use.
LEAST_URGENT_FRACTION = 0.5


class PriorityPermits:
    """Counts the requests of each priority that hold a permit.

    Parameters
    ----------
    permits : int
        Requests that may hold one at a time.
    """

    def __init__(self, permits: int):
        self._permits = permits
        self._index_by_priority: dict[int, int] = {}
        self._acquired_by_priority: Counter[int] = Counter()

    def configure(self, priorities: set[int]) -> None:
        """Apply the priorities of a new table."""
        self._index_by_priority = {
            priority: index for index, priority in enumerate(sorted(priorities))
        }

    def acquire(self, priority: int) -> bool:
        """Acquire a permit; return False if the priority may hold no more."""
        if not self._may_acquire(priority):
            return False
        self._acquired_by_priority[priority] += 1
        return True

    def release(self, priority: int) -> None:
        """Release a permit of the priority."""
        self._acquired_by_priority[priority] -= 1
        if not self._acquired_by_priority[priority]:
            del self._acquired_by_priority[priority]

    def _may_acquire(self, priority: int) -> bool:
        levels = max(len(self._index_by_priority), 1)
        reserved = max(1, int(self._permits * RESERVED_FRACTION / levels))
        if self._acquired_by_priority[priority] < reserved:
            return True
        shared = self._permits - reserved * levels
        shared_in_use = sum(
            max(0, acquired - reserved)
            for acquired in self._acquired_by_priority.values()
        )
        last_index = max(levels - 1, 1)
        index = self._index_by_priority.get(priority, last_index)
        fraction = 1 - (1 - LEAST_URGENT_FRACTION) * index / last_index
        return shared_in_use < shared * fraction
