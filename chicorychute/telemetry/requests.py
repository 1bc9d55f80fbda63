"""Outcomes, latencies and service levels of requests, by service and rank."""

import threading

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Outcome
from chicorychute.telemetry.tally import LatencyTally, Tally

WINDOW_S = 60.0
SLICE_COUNT = 6
SLICE_S = WINDOW_S / SLICE_COUNT


@attrs.frozen
class ServiceLevel:
    """Requests of the last minute, and how many met their rank's target."""

    service: str
    rank: str
    requests: int
    within_target: int

    @property
    def share(self) -> float:
        """Fraction of requests that met the target; 1 if there were no requests."""
        return self.within_target / self.requests if self.requests else 1.0


@attrs.define
class _Slice:
    number: int = -1
    requests: int = 0
    within_target: int = 0


class RequestStats:
    """Statistics of the requests that entered at this daemon."""

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
        """Record one finished request.

        Parameters
        ----------
        met_target : bool or None
            Whether it met its rank's target; None if no table row, and so no target,
            was found.
        """
        self.latencies.add((service, rank, outcome.value), latency_s)
        if met_target is None:
            return
        number = int(self._clock.monotonic() / SLICE_S)
        with self._lock:
            slices = self._slices_by_rank.get((service, rank))
            if slices is None:
                slices = [_Slice() for _ in range(SLICE_COUNT)]
                self._slices_by_rank[service, rank] = slices
            window_slice = slices[number % SLICE_COUNT]
            if window_slice.number != number:
                window_slice.number = number
                window_slice.requests = 0
                window_slice.within_target = 0
            window_slice.requests += 1
            window_slice.within_target += met_target

    def levels(self) -> list[ServiceLevel]:
        """Return the service level of each rank over the last minute."""
        oldest = int(self._clock.monotonic() / SLICE_S) - SLICE_COUNT + 1
        levels = []
        with self._lock:
            for (service, rank), slices in self._slices_by_rank.items():
                recent = [
                    window_slice
                    for window_slice in slices
                    if window_slice.number >= oldest
                ]
                requests = sum(window_slice.requests for window_slice in recent)
                on_target = sum(window_slice.within_target for window_slice in recent)
                levels.append(ServiceLevel(service, rank, requests, on_target))
        return levels
