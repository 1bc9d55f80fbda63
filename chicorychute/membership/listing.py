"""Leaving flags of the platform's list, which lags and has no incarnations."""

from collections.abc import Iterable, Mapping

from chicorychute.core.clock import Clock

MAX_LIST_LAG_S = 120.0


class LeavingFlags:
    """Flags of the last list, each with the incarnation known when it appeared."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._incarnation_by_id: dict[str, int] = {}
        self._own_flagged_since_s: float | None = None
        self._own_seen_staying = False

    def is_leaving(self, instance: str, incarnation: int) -> bool:
        """Return whether this incarnation of an instance is flagged as leaving."""
        return self._incarnation_by_id.get(instance) == incarnation

    def replace(
        self,
        own: str,
        leaving: set[str],
        staying: Iterable[str],
        incarnation_by_id: Mapping[str, int],
    ) -> bool:
        """Replace the flags; returns whether the own instance must leave."""
        for instance in [i for i in self._incarnation_by_id if i not in leaving]:
            del self._incarnation_by_id[instance]
        for instance, incarnation in incarnation_by_id.items():
            self._incarnation_by_id.setdefault(instance, incarnation)
        if own not in leaving:
            self._own_flagged_since_s = None
            self._own_seen_staying |= own in set(staying)
            return False
        now_s = self._clock.monotonic()
        if self._own_flagged_since_s is None:
            self._own_flagged_since_s = now_s
        # The flag of an earlier process with the own id may stay for as long as the
        # list lags, and does not apply to this process.
        return (
            self._own_seen_staying or now_s - self._own_flagged_since_s > MAX_LIST_LAG_S
        )
