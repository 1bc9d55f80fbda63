"""What became of requests, by service and rank."""

import threading

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Outcome
from chicorychute.telemetry.tally import LatencyTally, Tally

WINDOW_S = 60.0
SLICES = 6
SLICE_S = WINDOW_S / SLICES


@attrs.frozen
class ServiceLevel:
    """Requests of the last minute and those that met their rank's target."""

    service: str
    rank: str
    requests: int
    within_target: int

    @property
    def share(self) -> float:
        """Share of requests that met the target; 1 where there was none."""
        return self.within_target / self.requests if self.requests else 1.0


@attrs.define
class _Slice:
    number: int = -1
    requests: int = 0
    within_target: int = 0


class RequestStats:
    """Counts, latencies and service level of the requests that entered here."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self.latencies = LatencyTally()
        self.refusals = Tally()
        self.retries = Tally()
        self._lock = threading.Lock()
        self._slices_by_rank: dict[tuple[str, str], list[_Slice]] = {}

    def add(
        self,
        service: str,
        rank: str,
        outcome: Outcome,
        latency_s: float,
        met_target: bool | None,
    ) -> None:
        """Count one request that ended.

        Parameters
        ----------
        met_target : bool or None
            None where no row, and so no target, was found.
        """
        self.latencies.add((service, rank, outcome.value), latency_s)
        if met_target is None:
            return
        number = int(self._clock.monotonic() / SLICE_S)
        with self._lock:
            slices = self._slices_by_rank.get((service, rank))
            if slices is None:
                slices = [_Slice() for _ in range(SLICES)]
                self._slices_by_rank[service, rank] = slices
            held = slices[number % SLICES]
            if held.number != number:
                held.number = number
                held.requests = 0
                held.within_target = 0
            held.requests += 1
            held.within_target += met_target

    def levels(self) -> list[ServiceLevel]:
        """Return the service level of each rank over the last minute."""
        oldest = int(self._clock.monotonic() / SLICE_S) - SLICES + 1
        levels = []
        with self._lock:
            for (service, rank), slices in self._slices_by_rank.items():
                recent = [held for held in slices if held.number >= oldest]
                requests = sum(held.requests for held in recent)
                within = sum(held.within_target for held in recent)
                levels.append(ServiceLevel(service, rank, requests, within))
        return levels
