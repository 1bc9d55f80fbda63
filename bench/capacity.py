"""Measures the slopes that docs/CAPACITY.md works out the target from.

``python -m bench.capacity members|gossip|digests|spread|table|relay|teams``
``python -m bench.capacity requests|resident``
"""

import argparse
import itertools
import random
import statistics
import time
import tracemalloc
from pathlib import Path

import attrs

from chicorychute.admission.queue import RankPolicy, Ticket, UpstreamQueue
from chicorychute.admission.rate import BUCKET_LIMIT, TeamRates
from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    DigestUpdate,
    Gossip,
    MemberRecord,
    MemberStatus,
    RankDigest,
    RankWait,
    UpstreamDigest,
    Verdict,
)
from chicorychute.health.evidence import Observation, Result
from chicorychute.health.judge import UpstreamJudge
from chicorychute.membership.digests import filter_by_service
from chicorychute.membership.readers import choose_readers
from chicorychute.membership.records import without_detail
from chicorychute.membership.selection import SMALL_FLEET_MAX_INSTANCES
from chicorychute.membership.view import MembershipView
from chicorychute.orders.ledger import ENTRY_LIMIT, OrderLedger, StoredAnswer
from chicorychute.orders.token import TOKEN_LIFETIME_US, OrderKey
from chicorychute.routing.candidates import eligible
from chicorychute.routing.choice import choose
from chicorychute.services.fleet import FleetService
from chicorychute.table.edits import parse_edit
from chicorychute.table.parse import parse_table
from chicorychute.table.relay import Location, announce_targets
from chicorychute.table.routes import RouteIndex
from chicorychute.table.versions import TableVersions
from chicorychute.transport.codec import decode, encode
from standins.fleet import TABLE_HEADER, Fleet
from tests.membership.network import Network

DAEMONS = 4_200
UPSTREAMS_EACH = 8
SERVICES = 2_000
ROUTES = 63_000
TEAMS = 310_000
REQUESTS_S = 310_000
GATE_REQUESTS_S = REQUESTS_S / DAEMONS
DECISIONS = 10_000
ZONES = 9
REGION_BY_ZONE = ("r0", "r0", "r0", "r1", "r1", "r2", "r2", "r3", "r3")
RANKS = ("lookup", "order")
SUSPECT_AFTER_S = 3.0
ROUND_S = 0.5
SAMPLE_DAEMONS = 500
SAMPLE_SERVICES = 235  # each beside 17 daemons, as at the target
GOSSIP_ROUNDS = 50
WARM_UP_ROUNDS = 20
MEASURED_ROUNDS = 10
MILLION = 1_000_000


def make_record(number: int, rng: random.Random, upstreams: int) -> MemberRecord:
    """Return a record as large as those of the target."""
    services = sorted(rng.sample(range(SERVICES), upstreams))
    digests = tuple(
        make_digest(f"i-{number:05}-{position}", f"service-{service:04}", rng)
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


def make_digest(
    upstream: str, service: str, rng: random.Random, queued: int = 0
) -> UpstreamDigest:
    """Return a digest with two ranks of work, as a gate in use makes it."""
    return UpstreamDigest(
        upstream,
        service,
        Verdict.HEALTHY,
        rng.randint(3, 4),
        rng.randint(0, 4),
        queued,
        rng.uniform(5, 80),
        rng.uniform(0, 0.02),
        1.0,
        rng.uniform(0, 0.2),
        tuple(
            RankDigest(
                rank,
                rng.randint(1_000, 90_000),
                rng.uniform(5, 40),
                rng.uniform(40, 80),
                rng.uniform(0, 0.02),
                rng.uniform(0, 0.02),
                rng.uniform(0, 0.02),
            )
            for rank in RANKS
        ),
        tuple(RankWait(rank, rng.uniform(0, 20)) for rank in RANKS),
    )


def make_view(daemons: int, own: int = 0) -> MembershipView:
    """Return a view of a fleet whose joins were all told."""
    rng = random.Random(1)
    records = [make_record(number, rng, UPSTREAMS_EACH) for number in range(daemons)]
    records.insert(0, records.pop(own))
    view = MembershipView(records[0], SUSPECT_AFTER_S, ManualClock(), rng)
    view.publish(2_900, records[0].upstreams, "0123456789abcdef")
    view.merge(
        decode_each(records[0], records[1:], daemons > SMALL_FLEET_MAX_INSTANCES)
    )
    while view.pending_update_count:
        view.message_for("", False)
    return view


def decode_each(own: MemberRecord, records: list[MemberRecord], large: bool):
    """Yield records as they come from the wire, whole where they share a service."""
    services = set(own.services)
    for record in records:
        strange = large and services.isdisjoint(record.services)
        shared = (
            filter_by_service(record.upstreams, own.services)
            if large
            else record.upstreams
        )
        told = attrs.evolve(record, upstreams=shared)
        sent = without_detail(record) if strange else told
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
    cost_s = timed(lambda: [choose_readers(ids) for _ in range(20)]) / 20
    print(f"readers_of_a_zone_us={cost_s * MILLION:.0f}")


def _gossip_line(daemons: int) -> str:
    view = make_view(daemons)
    peer = make_view(daemons, own=1)
    sends = [send.message for _ in range(GOSSIP_ROUNDS) for send in view.gossip_round()]
    questions = [message for message in sends if isinstance(message, Gossip)]
    updates = [message for message in sends if isinstance(message, DigestUpdate)]
    asked = _costs(questions, peer.on_gossip)
    told = _costs(updates, view_hearing(peer))
    round_s = timed(lambda: [view.gossip_round() for _ in range(GOSSIP_ROUNDS)])
    # Each question has an answer of its size, and as much comes in as goes out.
    a_second = 1 / (GOSSIP_ROUNDS * ROUND_S)
    bytes_s = (4 * asked["bytes"] + 2 * told["bytes"]) * a_second
    cpu_s = (2 * asked["cpu_s"] + told["cpu_s"] + round_s) * a_second
    return (
        f"members={daemons} questions_a_round={len(questions) / GOSSIP_ROUNDS:.2f} "
        f"updates_a_round={len(updates) / GOSSIP_ROUNDS:.2f} "
        f"question_bytes={asked['bytes'] / len(questions):.0f} "
        f"update_bytes={told['bytes'] / max(1, len(updates)):.0f} "
        f"question_us={asked['cpu_s'] / len(questions) * MILLION:.0f} "
        f"update_us={told['cpu_s'] / max(1, len(updates)) * MILLION:.0f} "
        f"round_us={round_s / GOSSIP_ROUNDS * MILLION:.0f} "
        f"both_ways_bytes_s={bytes_s:.0f} core_share={cpu_s:.4f}"
    )


def _costs(messages: list, take) -> dict[str, float]:
    """Return bytes, and processor time to encode, decode and take messages."""
    frames = [encode(message) for message in messages]
    cpu_s = timed(lambda: [encode(message) for message in messages])
    cpu_s += timed(lambda: [decode(frame) for frame in frames])
    cpu_s += timed(lambda: [take(message) for message in messages])
    return {"bytes": sum(map(len, frames)), "cpu_s": cpu_s}


def view_hearing(view: MembershipView):
    """Return a function that takes each update as new, from any sender."""
    heartbeats = itertools.count(1_000_000)

    def take(update: DigestUpdate) -> None:
        view.on_digests(attrs.evolve(update, heartbeat=next(heartbeats)))

    return take


def measure_digests() -> None:
    """Print bytes of control traffic, and the age of the digests in use.

    A daemon meets as many that share a service as at the target. The number of
    the round stands in each digest, in place of its queue.
    """
    rng = random.Random(1)
    clock = ManualClock()
    view_by_id = {}
    services_by_id = {}
    for number in range(SAMPLE_DAEMONS):
        record = make_record(number, rng, UPSTREAMS_EACH)
        services = rng.sample(range(SAMPLE_SERVICES), UPSTREAMS_EACH)
        services_by_id[record.instance] = [f"service-{s:04}" for s in services]
        own = attrs.evolve(record, upstreams=(), services=())
        view = MembershipView(own, SUSPECT_AFTER_S, clock, rng)
        view_by_id[record.instance] = view
        publish_round(view, services_by_id[record.instance], 0, rng)
    records = [view.own for view in view_by_id.values()]
    for view in view_by_id.values():
        view.merge(records)
        while view.pending_update_count:
            view.message_for("", False)
    sent_bytes = messages = 0
    for number in range(1, WARM_UP_ROUNDS + MEASURED_ROUNDS + 1):
        counted = number > WARM_UP_ROUNDS
        for instance, view in view_by_id.items():
            publish_round(view, services_by_id[instance], number, rng)
            for message in deliver_round(view_by_id, instance):
                messages += counted
                sent_bytes += len(encode(message)) if counted else 0
        clock.advance(ROUND_S)
    seconds = SAMPLE_DAEMONS * MEASURED_ROUNDS * ROUND_S
    ages_s = digest_ages(view_by_id, WARM_UP_ROUNDS + MEASURED_ROUNDS)
    print(
        f"daemons={SAMPLE_DAEMONS} round_s={ROUND_S} "
        f"followed={len(ages_s) / SAMPLE_DAEMONS:.0f} "
        f"messages_out_s={messages / seconds:.1f} "
        f"out_bytes_s={sent_bytes / seconds:.0f} "
        f"both_ways_bytes_s={2 * sent_bytes / seconds:.0f} "
        f"age_mean_s={statistics.mean(ages_s):.2f} "
        f"age_p90_s={ages_s[len(ages_s) * 9 // 10]:.1f} age_max_s={ages_s[-1]:.1f}"
    )


def publish_round(
    view: MembershipView, services: list[str], number: int, rng: random.Random
) -> None:
    """Publish digests that hold the number of the round."""
    instance = view.own.instance
    digests = (
        make_digest(f"{instance}-{position}", service, rng, number)
        for position, service in enumerate(services)
    )
    view.publish(2_900, tuple(digests), "0123456789abcdef")


def deliver_round(view_by_id: dict[str, MembershipView], instance: str):
    """Run the round of one daemon; yields each message that follows."""
    waiting = list(view_by_id[instance].gossip_round())
    while waiting:
        send = waiting.pop()
        yield send.message
        receiver = view_by_id[send.instance]
        match send.message:
            case Gossip():
                waiting.extend(receiver.on_gossip(send.message))
            case DigestUpdate():
                receiver.on_digests(send.message)


def digest_ages(view_by_id: dict[str, MembershipView], now: int) -> list[float]:
    """Return the ages of the digests of services shared with others, in order."""
    ages_s = []
    for instance, view in view_by_id.items():
        for service in view.own.services:
            ages_s.extend(
                (now - digest.queued) * ROUND_S
                for record in view.hosts(service)
                for digest in record.upstreams
                if digest.service == service and record.instance != instance
            )
    return sorted(ages_s)


def measure_spread() -> None:
    """Print the rounds until a leave, told to one peer, is known everywhere."""
    for daemons in (24, 50, 100, 200):
        rounds = []
        for seed in range(3):
            net = Network([f"i{number:04}" for number in range(daemons)], seed=seed)
            net.send_pending_updates()
            message = net.view_by_id["i0000"].leave()
            net.send("i0000", "i0001", message)
            net.kill("i0000")
            count = 0
            while MemberStatus.ALIVE in net.recorded_statuses("i0000").values():
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
        edit = text.replace(",0.3,300,4000,", ",0.3,300,5000,", 1)
        edit_s = timed(lambda t=table, e=edit: parse_edit(t, 2, e))
        path = "/service-0001/order/3/any/further/path"
        find_s = timed(lambda i=index, p=path: [i.find("GET", p) for _ in range(1000)])
        routes = services * (routes_each // 2) * 2
        print(
            f"services={services} rows={len(table.rows)} routes={routes} "
            f"text_bytes={len(text)} rows_bytes={rows_bytes} "
            f"index_bytes={all_bytes - rows_bytes} parse_ms={parse_s * 1000:.1f} "
            f"edit_ms={edit_s * 1000:.1f} index_ms={index_s * 1000:.1f} "
            f"find_us={find_s * 1000:.2f}"
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
        Location(f"i{n}", f"zone-{n % zones}", REGION_BY_ZONE[n % zones])
        for n in range(daemons)
    ]
    place_by_id = {place.instance: place for place in places}
    text = make_table_text(2, 30)
    clock = ManualClock()
    versions_by_id = {place.instance: TableVersions(clock) for place in places}
    waiting: list[tuple[str, Location | None]] = []
    # A reader of a zone that is not cut takes the table from the platform.
    for zone in sorted({place.zone for place in places} - {cut_zone}):
        ids = [place.instance for place in places if place.zone == zone]
        waiting.extend((instance, None) for instance in choose_readers(ids))
    taken: set[str] = set()
    steps = announces = far_announces = far_texts = 0
    while len(taken) < daemons:
        steps += 1
        following: list[tuple[str, Location | None]] = []
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


def measure_teams() -> None:
    """Print memory and processor time of the rates of teams at one gate."""
    rng = random.Random(1)
    clock = ManualClock()
    for teams in (100, BUCKET_LIMIT, TEAMS):
        names = [f"team-{rng.randrange(teams):06}" for _ in range(4 * BUCKET_LIMIT)]
        tracemalloc.start()
        rates = TeamRates(clock)
        _take_each(rates, names, clock)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        cost_s = timed(lambda r=rates, n=names: _take_each(r, n, clock)) / len(names)
        print(
            f"teams={teams} buckets={len(rates)} bytes={held} "
            f"take_us={cost_s * MILLION:.2f}"
        )


def _take_each(rates: TeamRates, names: list[str], clock: ManualClock) -> None:
    for name in names:
        clock.advance(1 / GATE_REQUESTS_S)
        rates.try_consume("lookup", name, 5.0)


def measure_requests() -> None:
    """Print processor time and memory of the decisions of entry, gate and home."""
    _measure_entry()
    _measure_gate()
    _measure_home()


def _measure_entry() -> None:
    view = make_view(DAEMONS)
    rng = random.Random(1)
    fleet = FleetService(view, (), None, rng, lambda: None)
    service = view.own.services[0]
    table = parse_table(1, make_table_text(SERVICES, ROUTES // SERVICES)).ok_value
    index = RouteIndex(table)
    path = f"/{service}/order/3/any/further/path"

    def route() -> None:
        for _ in range(DECISIONS):
            index.find("GET", path)
            kept = eligible(fleet.candidates(service), 0.5, rng.random())
            choose(kept, {}, frozenset(), rng, 1_000.0, True, "lookup")

    print(
        f"entry members={DAEMONS} candidates={len(fleet.candidates(service))} "
        f"decision_us={timed(route) / DECISIONS * MILLION:.0f}"
    )


def _measure_gate() -> None:
    clock = ManualClock()
    policies = [
        RankPolicy("lookup", 1, 0.5),
        RankPolicy("order", 2, 0.3),
    ]
    tracemalloc.start()
    gates = [
        (UpstreamQueue(4, policies, clock), UpstreamJudge(clock))
        for _ in range(UPSTREAMS_EACH)
    ]

    def serve() -> None:
        for number in range(DECISIONS):
            queue, judge = gates[number % UPSTREAMS_EACH]
            rank = RANKS[number % 2]
            ticket = Ticket(rank, clock.monotonic() + 1.0)
            queue.submit(ticket)
            attempt = judge.begin(rank)
            clock.advance(0.01)
            judge.observe(Observation(rank, Result.OK, 0.01, 100), attempt)
            queue.release(ticket)

    serve()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"gate upstreams={UPSTREAMS_EACH} bytes={held} "
        f"request_us={timed(serve) / DECISIONS * MILLION:.0f}"
    )


def _measure_home() -> None:
    ledger = OrderLedger("i", 1, ManualClock())
    answer = StoredAnswer(200, (("Content-Type", "application/json"),), b"x" * 100)
    tracemalloc.start()
    start_s = time.process_time()
    for number in range(DECISIONS):
        key = OrderKey(ledger.mint(), f"order-{number}")
        ledger.begin(key, f"{number:032x}")
        ledger.record_ran(key, answer)
    cost_s = time.process_time() - start_s
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"home orders={len(ledger)} bytes={held} "
        f"order_us={cost_s / DECISIONS * MILLION:.0f} "
        f"orders_s_until_full={ENTRY_LIMIT / (TOKEN_LIFETIME_US / MILLION):.1f}"
    )


def measure_resident() -> None:
    """Print the resident memory of the idle daemons of a small fleet."""
    places = [(f"r{n // 2}", f"zone-{n}", "service-0000") for n in range(6)]
    with Fleet(places, make_table_text(2, 30)) as fleet:
        for node in fleet.nodes:
            status = Path(f"/proc/{node.daemon.pid}/status").read_text("utf-8")
            held = [line for line in status.splitlines() if line.startswith("VmRSS")]
            print(node.instance, " ".join(held[0].split()))


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
    "digests": measure_digests,
    "spread": measure_spread,
    "table": measure_table,
    "relay": measure_relay,
    "teams": measure_teams,
    "requests": measure_requests,
    "resident": measure_resident,
}


def main() -> None:
    """Run one measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=sorted(MEASURES))
    MEASURES[parser.parse_args().what]()


if __name__ == "__main__":
    main()
