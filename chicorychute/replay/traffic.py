"""Traffic of one service, drawn from a seeded generator, and the injected faults."""

import enum
import math
import random

import attrs


class Tail(enum.Enum):
    """Family of the distribution of service times."""

    LOGNORMAL = "lognormal"
    PARETO = "pareto"


@attrs.frozen
class ServiceTime:
    """Distribution of service times.

    Attributes
    ----------
    shape : float
        Sigma of the lognormal, or exponent of the Pareto distribution.
    """

    median_s: float
    tail: Tail = Tail.LOGNORMAL
    shape: float = 1.0

    def draw(self, rng: random.Random) -> float:
        """Return one service time in seconds."""
        match self.tail:
            case Tail.LOGNORMAL:
                return self.median_s * math.exp(rng.gauss(0.0, self.shape))
            case Tail.PARETO:
                min_s = self.median_s * 0.5 ** (1 / self.shape)
                return min_s * rng.paretovariate(self.shape)


@attrs.frozen
class RankLoad:
    """Fraction of the requests that belong to one rank, with their service times."""

    rank: str
    fraction: float
    service_time: ServiceTime


@attrs.frozen
class Swing:
    """Sinusoidal change of the load; the amplitude is a fraction of the mean."""

    amplitude: float = 0.0
    period_s: float = 60.0


@attrs.frozen
class Flood:
    """Load multiplied by a factor between two times."""

    start_s: float = 0.0
    end_s: float = 0.0
    factor: float = 1.0


@attrs.frozen
class Traffic:
    """Requests to the upstreams of one service.

    Attributes
    ----------
    rate : float
        Requests per second to each upstream.
    speed_spread : float
        Maximum deviation of a healthy upstream's speed, as a fraction.
    digest_delay_s : float
        Age of the peers' digests on arrival.
    """

    upstreams: int = 6
    rate: float = 20.0
    slots: int = 4
    deadline_s: float = 2.0
    loads: tuple[RankLoad, ...] = (
        RankLoad("lookup", 0.6, ServiceTime(0.02)),
        RankLoad("order", 0.2, ServiceTime(0.03)),
        RankLoad("audit", 0.2, ServiceTime(0.02, Tail.PARETO, 1.5)),
    )
    failure_share: float = 0.005
    speed_spread: float = 0.1
    swing: Swing = Swing()
    flood: Flood = Flood()
    digest_delay_s: float = 0.1

    def rate_at(self, now_s: float) -> float:
        """Return the requests per second to each upstream at a time."""
        phase = math.sin(2 * math.pi * now_s / self.swing.period_s)
        rate = self.rate * (1 + self.swing.amplitude * phase)
        if self.flood.start_s <= now_s < self.flood.end_s:
            rate *= self.flood.factor
        return rate


@attrs.frozen
class Fault:
    """Fault of some upstreams from `start_s` on.

    Attributes
    ----------
    rank : str
        The only rank that is affected, all ranks if empty.
    period_s : float
        The fault is active in the first half of each period, always if 0.
    """

    upstreams: tuple[int, ...]
    start_s: float
    slow_factor: float = 1.0
    fail_share: float = 0.0
    hang_share: float = 0.0
    empty_share: float = 0.0
    shed_share: float = 0.0
    rank: str = ""
    period_s: float = 0.0

    def affects(self, upstream: int, rank: str, now_s: float) -> bool:
        """Return whether the fault affects a request of a rank now."""
        if upstream not in self.upstreams or now_s < self.start_s:
            return False
        if self.rank and rank != self.rank:
            return False
        return not self.period_s or (now_s - self.start_s) % self.period_s < (
            self.period_s / 2
        )
