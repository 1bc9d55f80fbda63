"""Measures the slopes that docs/CAPACITY.md works out the target from.

``python -m bench.capacity members|gossip|spread|table|relay``
"""

import argparse
import random
import statistics
import time
import tracemalloc

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    Gossip,
    MemberRecord,
    MemberStatus,
    UpstreamDigest,
    Verdict,
)
from chicorychute.membership.readers import readers
from chicorychute.membership.records import without_detail
from chicorychute.membership.selection import SMALL_FLEET
from chicorychute.membership.view import MembershipView
from chicorychute.table.parse import parse_table
from chicorychute.table.relay import Place, announce_targets
from chicorychute.table.routes import RouteIndex
from chicorychute.table.versions import TableVersions
from chicorychute.transport.codec import decode, encode
from standins.fleet import TABLE_HEADER
from tests.membership.net import Net

DAEMONS = 4_200
UPSTREAMS_EACH = 8
SERVICES = 2_000
ROUTES = 63_000
ZONES = 9
REGION_BY_ZONE = ("r0", "r0", "r0", "r1", "r1", "r2", "r2", "r3", "r3")
SUSPECT_AFTER_S = 3.0
MILLION = 1_000_000


def make_record(number: int, rng: random.Random, upstreams: int) -> MemberRecord:
    """Return a record as large as those of the target."""
    services = sorted(rng.sample(range(SERVICES), upstreams))
    digests = tuple(
        UpstreamDigest(
            f"i-{number:05}-{position}",
            f"service-{service:04}",
            Verdict.HEALTHY,
            rng.randint(3, 4),
            rng.randint(0, 4),
            rng.randint(0, 9),
            round(rng.uniform(5, 80), 2),
            round(rng.uniform(0, 0.02), 4),
            1.0,
        )
        for position, service in enumerate(services)
    )
    zone = number % ZONES
    return MemberRecord(
        f"i-{number:05}",
        1_790_000_000_000 + number,
        rng.randint(1_000, 90_000),
        MemberStatus.ALIVE,
        f"10.{number >> 8}.{number & 255}.7",
        8081,
        f"zone-{zone}",
        REGION_BY_ZONE[zone],
        2_900,
        digests,
        "0123456789abcdef",
        tuple(digest.service for digest in digests),
    )


def make_view(daemons: int, own: int = 0) -> MembershipView:
    """Return a view of a fleet whose joins were all told."""
    rng = random.Random(1)
    records = [make_record(number, rng, UPSTREAMS_EACH) for number in range(daemons)]
    records.insert(0, records.pop(own))
    view = MembershipView(records[0], SUSPECT_AFTER_S, ManualClock(), rng)
    view.publish(2_900, records[0].upstreams, "0123456789abcdef")
    view.merge(decode_each(records[0], records[1:], daemons > SMALL_FLEET))
    while view.news_left:
        view.message_for("", False)
    return view


def decode_each(own: MemberRecord, records: list[MemberRecord], large: bool):
    """Yield records as they come from the wire, whole where they share a service."""
    services = set(own.services)
    for record in records:
        strange = large and services.isdisjoint(record.services)
        sent = without_detail(record) if strange else record
        yield decode(encode(Gossip(own.instance, False, (sent,)))).records[0]


def measure_members() -> None:
    """Print the memory of a view by its size."""
    for daemons in (100, 1_000, DAEMONS):
        tracemalloc.start()
        view = make_view(daemons)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(
            f"members={len(view.records())} view_bytes={held} "
            f"bytes_each={held / daemons:.0f}"
        )


def measure_gossip() -> None:
    """Print bytes and processor time of gossip by the size of the view."""
    for daemons in (24, 100, 1_000, DAEMONS):
        print(_gossip_line(daemons))
    view = make_view(DAEMONS)
    records = view.records()
    scan_s = timed(lambda: [(r, view.status_of(r.instance)) for r in records])
    print(f"members={DAEMONS} scan_of_all_statuses_us={scan_s * MILLION:.0f}")
    ids = [f"i-{number:05}" for number in range(DAEMONS // ZONES)]
    cost_s = timed(lambda: [readers(ids) for _ in range(20)]) / 20
    print(f"readers_of_a_zone_us={cost_s * MILLION:.0f}")


def _gossip_line(daemons: int) -> str:
    view = make_view(daemons)
    peer = make_view(daemons, own=1)
    sends = [send for _ in range(50) for send in view.gossip_round()]
    frames = [encode(send.message) for send in sends]
    messages = [decode(frame) for frame in frames]
    out_s = timed(lambda: [encode(send.message) for send in sends]) / len(sends)
    in_s = timed(lambda: [decode(frame) for frame in frames]) / len(frames)
    merge_s = timed(lambda: [peer.on_gossip(m) for m in messages]) / len(messages)
    round_s = timed(lambda: [view.gossip_round() for _ in range(50)]) / 50
    return (
        f"members={daemons} message_bytes={statistics.mean(map(len, frames)):.0f} "
        f"records={statistics.mean(len(m.records) for m in messages):.1f} "
        f"encode_us={out_s * MILLION:.0f} decode_us={in_s * MILLION:.0f} "
        f"merge_and_answer_us={merge_s * MILLION:.0f} "
        f"round_us={round_s * MILLION:.0f}"
    )


def measure_spread() -> None:
    """Print the rounds until a leave, told to one peer, is known everywhere."""
    for daemons in (24, 50, 100, 200):
        rounds = []
        for seed in range(3):
            net = Net([f"i{number:04}" for number in range(daemons)], seed=seed)
            net.settle()
            message = net.view_by_id["i0000"].leave()
            net.send("i0000", "i0001", message)
            net.kill("i0000")
            count = 0
            while MemberStatus.ALIVE in net.claims("i0000").values():
                net.rounds(1)
                count += 1
            rounds.append(count)
        print(f"members={daemons} rounds_to_all={rounds}")


def make_table_text(services: int, routes_each: int) -> str:
    """Return a table of two ranks for each service."""
    lines = [TABLE_HEADER]
    for service in range(services):
        for rank in ("lookup", "order"):
            routes = ";".join(
                f"GET /service-{service:04}/{rank}/{number}/*"
                for number in range(routes_each // 2)
            )
            repeat = "once" if rank == "order" else "idempotent"
            lines.append(
                f"service-{service:04},{rank},{routes},1,0.3,300,4000,"
                f"{repeat},0.1,4,0.5,1,0,1000"
            )
    return "\n".join(lines) + "\n"


def measure_table() -> None:
    """Print bytes, memory and processor time of a table by its size."""
    routes_each = ROUTES // SERVICES
    for services in (2, 200, SERVICES):
        text = make_table_text(services, routes_each)
        tracemalloc.start()
        table = parse_table(1, text).ok_value
        rows_bytes, _ = tracemalloc.get_traced_memory()
        index = RouteIndex(table)
        all_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        parse_s = timed(lambda text=text: parse_table(1, text))
        index_s = timed(lambda table=table: RouteIndex(table))
        path = "/service-0001/order/3/any/further/path"
        find_s = timed(lambda i=index, p=path: [i.find("GET", p) for _ in range(1000)])
        routes = services * (routes_each // 2) * 2
        print(
            f"services={services} rows={len(table.rows)} routes={routes} "
            f"text_bytes={len(text)} rows_bytes={rows_bytes} "
            f"index_bytes={all_bytes - rows_bytes} parse_ms={parse_s * 1000:.1f} "
            f"index_ms={index_s * 1000:.1f} find_us={find_s * 1000:.2f}"
        )


def measure_relay() -> None:
    """Print hops and announcements of one change, the own zone first or random."""
    for daemons in (24, 400, 1_600):
        for way in ("zone-first", "random"):
            print(relay_once(daemons, way, cut_zone=None))
            print(relay_once(daemons, way, cut_zone="zone-4"))


def relay_once(daemons: int, way: str, cut_zone: str | None) -> str:
    """Relay one table from three readers a zone; repair by one peer a round."""
    rng = random.Random(7)
    zones = ZONES if daemons > 24 else 6
    places = [
        Place(f"i{n}", f"zone-{n % zones}", REGION_BY_ZONE[n % zones])
        for n in range(daemons)
    ]
    place_by_id = {place.instance: place for place in places}
    text = make_table_text(2, 30)
    clock = ManualClock()
    versions_by_id = {place.instance: TableVersions(clock) for place in places}
    waiting: list[tuple[str, Place | None]] = []
    # A reader of a zone that is not cut takes the table from the platform.
    for zone in sorted({place.zone for place in places} - {cut_zone}):
        ids = [place.instance for place in places if place.zone == zone]
        waiting.extend((instance, None) for instance in readers(ids))
    taken: set[str] = set()
    steps = announces = far_announces = far_texts = 0
    while len(taken) < daemons:
        steps += 1
        following: list[tuple[str, Place | None]] = []
        for instance, source in waiting:
            if instance in taken:
                continue
            taken.add(instance)
            versions_by_id[instance].offer(2, text)
            own = place_by_id[instance]
            for target in _targets(way, own, places, source, rng):
                announces += 1
                far = place_by_id[target].region != own.region
                far_announces += far
                announce = versions_by_id[instance].announce()
                if versions_by_id[target].on_announce(announce) is not None:
                    far_texts += far
                    following.append((target, own))
        if not following:
            clock.advance(2.0)
            for place in places:  # the round of gossip that repairs the rest
                if place.instance not in taken:
                    peer = rng.choice(places)
                    if peer.instance in taken:
                        far_texts += peer.region != place.region
                        following.append((place.instance, peer))
        waiting = following
    return (
        f"daemons={daemons} way={way} cut_zone={cut_zone} steps={steps} "
        f"announces_each={announces / daemons:.2f} "
        f"far_announces={far_announces} far_texts={far_texts}"
    )


def _targets(way, own, places, source, rng) -> list[str]:
    others = [place for place in places if place is not own]
    if way == "zone-first":
        return announce_targets(own, others, source, rng)
    return [place.instance for place in rng.sample(others, 5)]


def timed(work) -> float:
    """Return the processor seconds of `work`, the least of three runs."""
    costs = []
    for _ in range(3):
        start_s = time.process_time()
        work()
        costs.append(time.process_time() - start_s)
    return min(costs)


MEASURES = {
    "members": measure_members,
    "gossip": measure_gossip,
    "spread": measure_spread,
    "table": measure_table,
    "relay": measure_relay,
}


def main() -> None:
    """Run one measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=sorted(MEASURES))
    MEASURES[parser.parse_args().what]()


if __name__ == "__main__":
    main()
