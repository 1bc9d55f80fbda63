"""Replays one recorded stream of requests against ways to choose a gate.

    python -m bench.locality

The choice code is the daemon's; upstreams are queues on a virtual clock whose
load reaches the entries by digests of the last gossip round.
"""

import heapq
import random
import statistics
import timeit
from collections import Counter

import attrs

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.routing.budget import CrossRegionBudget
from chicorychute.routing.candidates import Candidate, Distance
from chicorychute.routing.choice import NoChoice, choose, predict_ms

REGIONS = ("bagmati", "gandaki", "lumbini")
ZONES = ("a", "b")
PER_ZONE = 2
SLOTS = 4
SERVICE_S = 0.040
DEADLINE_S = 0.400
BODY_BYTES = 8000
RATE = 600.0  # half of what all upstreams carry
LENGTH_S = 60.0
GOSSIP_S = 0.5
KBPS = 1000.0
LOST_FROM_S, LOST_TO_S = 20.0, 40.0
TRAVEL_S = {
    Distance.LOCAL: 0.0,
    Distance.SAME_ZONE: 0.0005,
    Distance.SAME_REGION: 0.001,
    Distance.OTHER_REGION: 0.030,
}


@attrs.frozen
class Arrival:
    """One recorded request."""

    at_s: float
    region: str
    zone: str
    place: int
    work_s: float


@attrs.define
class Upstream:
    """Slots of one upstream: the times at which they come free."""

    name: str
    region: str
    zone: str
    free_s: list[float] = attrs.field(factory=lambda: [0.0] * SLOTS)
    ends_s: list[float] = attrs.field(factory=list)

    def load(self, now_s: float) -> int:
        """Return the requests that run or wait."""
        self.ends_s = [end for end in self.ends_s if end > now_s]
        return len(self.ends_s)

    def run(self, now_s: float, work_s: float) -> float:
        """Queue a request; returns when it ends."""
        start_s = max(now_s, heapq.heappop(self.free_s))
        heapq.heappush(self.free_s, start_s + work_s)
        self.ends_s.append(start_s + work_s)
        return start_s + work_s


def record(seed: int) -> list[Arrival]:
    """Return the recorded input."""
    rng = random.Random(seed)
    arrivals = []
    now_s = 0.0
    while now_s < LENGTH_S:
        now_s += rng.expovariate(RATE)
        place = rng.randrange(PER_ZONE)
        work_s = SERVICE_S * (0.7 + 0.3 * rng.expovariate(1.0))
        arrivals.append(
            Arrival(now_s, rng.choice(REGIONS), rng.choice(ZONES), place, work_s)
        )
    return arrivals


def choose_at_random(candidates, outstanding, tried, rng, remaining_ms, allowed):
    """Choose the better of two of the whole fleet."""
    picked = rng.sample(candidates, min(2, len(candidates)))
    return min(picked, key=lambda c: predict_ms(c, outstanding[c.instance]))


def choose_by_locality(candidates, outstanding, tried, rng, remaining_ms, allowed):
    """Choose as the daemon does."""
    choice = choose(candidates, outstanding, tried, rng, remaining_ms, allowed)
    return None if isinstance(choice, NoChoice) else choice.candidate


def distance(arrival: Arrival, entry: str, upstream: Upstream) -> int:
    """Return the distance class from an entry to an upstream."""
    if entry == upstream.name:
        return Distance.LOCAL
    if arrival.region != upstream.region:
        return Distance.OTHER_REGION
    return Distance.SAME_ZONE if arrival.zone == upstream.zone else Distance.SAME_REGION


def lost(fault: str, upstream: Upstream, now_s: float) -> bool:
    """Return whether an upstream is lost to everyone."""
    if not LOST_FROM_S <= now_s < LOST_TO_S:
        return False
    zone = upstream.region == REGIONS[0] and upstream.zone == ZONES[0]
    return {
        "plain": False,
        "zone lost": zone,
        "region lost": upstream.region == REGIONS[0],
    }[fault]


def replay(arrivals: list[Arrival], fault: str, pick) -> dict[str, Counter]:
    """Return counts for the phases before, during and after a fault."""
    rng = random.Random(7)
    clock = ManualClock()
    upstreams = [
        Upstream(f"{region}-{zone}-{n}", region, zone)
        for region in REGIONS
        for zone in ZONES
        for n in range(PER_ZONE)
    ]
    budget_by_entry: dict[str, CrossRegionBudget] = {}
    sent_by_entry: dict[str, Counter] = {}
    told_s, load_by_name = -1.0, {}
    phases = {"before": Counter(), "during": Counter(), "after": Counter()}
    for arrival in arrivals:
        clock.advance(arrival.at_s - clock.monotonic())
        now_s = clock.monotonic()
        if now_s - told_s >= GOSSIP_S:
            told_s = now_s
            load_by_name = {u.name: u.load(now_s) for u in upstreams}
            sent_by_entry.clear()
        phase = "before" if now_s < LOST_FROM_S else "during"
        phase = "after" if now_s >= LOST_TO_S else phase
        entry = f"{arrival.region}-{arrival.zone}-{arrival.place}"
        sent = sent_by_entry.setdefault(entry, Counter())
        alive = {u.name: u for u in upstreams if not lost(fault, u, now_s)}
        candidates = [
            Candidate(
                name,
                UpstreamDigest(
                    name,
                    "s",
                    Verdict.HEALTHY,
                    SLOTS,
                    min(load_by_name[name], SLOTS),
                    max(0, load_by_name[name] - SLOTS),
                    SERVICE_S * 1000,
                    0.0,
                    1.0,
                ),
                distance(arrival, entry, upstream),
            )
            for name, upstream in alive.items()
        ]
        budget = budget_by_entry.setdefault(entry, CrossRegionBudget(clock))
        allowed = budget.allows(KBPS)
        chosen = pick(candidates, sent, frozenset(), rng, DEADLINE_S * 1000, allowed)
        count = phases[phase]
        count["requests"] += 1
        if chosen is None:
            count["refused"] += 1
            continue
        sent[chosen.instance] += 1
        travel_s = TRAVEL_S[chosen.distance]
        end_s = alive[chosen.instance].run(now_s + travel_s, arrival.work_s)
        count["in time"] += end_s + travel_s - now_s <= DEADLINE_S
        if chosen.distance == Distance.OTHER_REGION:
            budget.spend(BODY_BYTES)
            count["bytes beyond"] += BODY_BYTES
    return phases


def time_choice() -> float:
    """Return the median microseconds of a choice among 20 candidates."""
    candidates = [
        Candidate(
            f"u{n}",
            UpstreamDigest(f"u{n}", "s", Verdict.HEALTHY, SLOTS, 1, 0, 40.0, 0.0, 1.0),
            min(n // 6, Distance.OTHER_REGION) if n else Distance.LOCAL,
        )
        for n in range(20)
    ]
    rng = random.Random(1)
    empty = frozenset()
    calls = 2000
    runs = timeit.repeat(
        lambda: choose(candidates, {}, empty, rng, 400.0, True), number=calls, repeat=7
    )
    return statistics.median(runs) / calls * 1e6


def main() -> None:
    """Print a line for each fault, way and phase."""
    arrivals = record(seed=1)
    ways = {"random": choose_at_random, "locality": choose_by_locality}
    for fault in ("plain", "zone lost", "region lost"):
        for way, pick in ways.items():
            for phase, count in replay(arrivals, fault, pick).items():
                requests = count["requests"]
                print(
                    f"{fault:12} {way:9} {phase:7} "
                    f"bytes beyond/request {count['bytes beyond'] / requests:7.1f}  "
                    f"in time {count['in time'] / requests:.4f}  "
                    f"refused {count['refused']}"
                )
    print(f"choice among 20 candidates: {time_choice():.1f} us")


if __name__ == "__main__":
    main()
