"""Threads that the priorities share while their requests wait.

Half of the seats are split evenly, each priority's own; the others are common, and a
less urgent priority may use fewer of them. So a flood of one leaves seats to every
other, and most to the urgent ones.
"""

from collections import Counter

OWN_PART = 0.5  # of all seats, split among the priorities
LEAST_URGENT_PART = 0.5  # of the common seats, open to the least urgent


class PrioritySeats:
    """Counts the requests of each priority that hold a seat.

    Parameters
    ----------
    seats : int
        Requests that may hold one at a time.
    """

    def __init__(self, seats: int):
        self._seats = seats
        self._place_by_priority: dict[int, int] = {}
        self._held_by_priority: Counter[int] = Counter()

    def configure(self, priorities: set[int]) -> None:
        """Take the priorities of a new table."""
        self._place_by_priority = {
            priority: place for place, priority in enumerate(sorted(priorities))
        }

    def enter(self, priority: int) -> bool:
        """Take a seat; returns False where the priority may have no more."""
        if not self._may_enter(priority):
            return False
        self._held_by_priority[priority] += 1
        return True

    def leave(self, priority: int) -> None:
        """Return a seat."""
        self._held_by_priority[priority] -= 1
        if not self._held_by_priority[priority]:
            del self._held_by_priority[priority]

    def _may_enter(self, priority: int) -> bool:
        levels = max(len(self._place_by_priority), 1)
        own = max(1, int(self._seats * OWN_PART / levels))
        if self._held_by_priority[priority] < own:
            return True
        common = self._seats - own * levels
        used = sum(max(0, held - own) for held in self._held_by_priority.values())
        last = max(levels - 1, 1)
        place = self._place_by_priority.get(priority, last)
        part = 1 - (1 - LEAST_URGENT_PART) * place / last
        return used < common * part
