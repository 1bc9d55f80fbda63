"""Simulated network: real messages of several views on one manual clock."""

import random
from collections import Counter

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    DigestUpdate,
    Gossip,
    MemberRecord,
    MemberStatus,
    ProbeRequest,
    TableAnnounce,
    TableRequest,
    TableUpdate,
    UpstreamDigest,
    Verdict,
)
from chicorychute.membership.view import MembershipView, Send
from chicorychute.table.relay import Location, announce_targets
from chicorychute.table.versions import OfferDecision, TableVersions
from chicorychute.transport.codec import encode

SUSPECT_AFTER_S = 3.0
ROUND_S = 0.5


def digest_of(instance, service):
    return UpstreamDigest(
        f"{instance}/{service}", service, Verdict.HEALTHY, 4, 1, 0, 12.5, 0.01, 1.0
    )


class Network:
    """Views with blocked paths (pairs of sender and receiver) and frozen instances."""

    def __init__(self, ids, services=("orders",), seed=1, all_known=True):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.blocked_paths = set()
        self.frozen = set()
        self.bytes_by_sender = Counter()
        self.view_by_id = {}
        self.services_by_id = {}
        for instance in ids:
            self.start(instance, services=services)
        if all_known:
            records = tuple(view.own for view in self.view_by_id.values())
            for view in self.view_by_id.values():
                view.merge(records)

    def start(self, instance, incarnation=1, services=("orders",)):
        zone = f"z{len(self.view_by_id) % 3}"
        own = MemberRecord(
            instance, incarnation, 0, MemberStatus.ALIVE, "127.0.0.1", 1, zone, "r", 0,
            (),
        )  # fmt: skip
        rng = random.Random(self.rng.random())
        view = MembershipView(own, SUSPECT_AFTER_S, self.clock, rng)
        self.view_by_id[instance] = view
        self.services_by_id[instance] = services
        self._publish(instance)
        return view

    def table_key(self, instance):
        return 0, ""

    def kill(self, instance):
        del self.view_by_id[instance]

    def block_paths(self, senders, receivers):
        self.blocked_paths |= {(s, r) for s in senders for r in receivers}

    def rounds(self, count, pause_s=ROUND_S):
        for _ in range(count):
            for instance, view in list(self.view_by_id.items()):
                if instance not in self.frozen:
                    self._publish(instance)
                    self._deliver(instance, view.gossip_round())
            self.clock.advance(pause_s)

    def send_pending_updates(self):
        for view in self.view_by_id.values():
            while view.pending_update_count:
                view.message_for("", False)

    def statuses(self, instance):
        return {
            viewer: view.status_of(instance)
            for viewer, view in self.view_by_id.items()
            if viewer != instance
        }

    def recorded_statuses(self, instance):
        return {
            viewer: view.record_of(instance).status
            for viewer, view in self.view_by_id.items()
            if viewer != instance
        }

    def send(self, sender, receiver, message):
        self._deliver(sender, (Send(receiver, message),))

    def receive(self, sender, receiver, message):
        view = self.view_by_id[receiver]
        match message:
            case Gossip():
                return view.on_gossip(message)
            case DigestUpdate():
                view.on_digests(message)
                return ()
            case ProbeRequest():
                return view.on_probe_request(message)

    def _publish(self, instance):
        version, hash = self.table_key(instance)
        self.view_by_id[instance].publish(version, self.digests(instance), hash)

    def digests(self, instance):
        return tuple(digest_of(instance, s) for s in self.services_by_id[instance])

    def _deliver(self, sender, sends):
        in_transit = [(sender, send) for send in sends]
        while in_transit:
            origin, send = in_transit.pop(0)
            receiver = send.instance
            self.bytes_by_sender[origin] += len(encode(send.message))
            if (origin, receiver) in self.blocked_paths or receiver in self.frozen:
                continue
            if receiver not in self.view_by_id:
                self.view_by_id[origin].on_unreachable(receiver)
                continue
            replies = self.receive(origin, receiver, send.message)
            in_transit.extend((receiver, reply) for reply in replies)


class TableNetwork(Network):
    """Views whose instances also hold a table and relay it as the daemon does."""

    def __init__(self, ids, **options):
        self.versions_by_id = {}
        super().__init__(ids, **options)

    def start(self, instance, **options):
        self.versions_by_id[instance] = TableVersions(self.clock)
        return super().start(instance, **options)

    def table_key(self, instance):
        return self.versions_by_id[instance].key

    def table_keys(self):
        return {self.versions_by_id[instance].key for instance in self.view_by_id}

    def accept_table(self, instance, version, text, source=None):
        offered = self.versions_by_id[instance].offer(version, text)
        if offered.decision is not OfferDecision.ACCEPTED:
            return
        view = self.view_by_id[instance]
        others = [place_of(record) for record in view.records()[1:]]
        announce = self.versions_by_id[instance].announce()
        targets = announce_targets(place_of(view.own), others, source, self.rng)
        self._deliver(instance, [Send(target, announce) for target in targets])

    def receive(self, sender, receiver, message):
        versions = self.versions_by_id[receiver]
        match message:
            case Gossip():
                replies = list(super().receive(sender, receiver, message))
                own = message.records[0]
                if own.instance == sender:
                    announce = TableAnnounce(own.table_version, own.table_hash)
                    replies += self.receive(sender, receiver, announce)
                return replies
            case TableAnnounce():
                request = versions.on_announce(message)
                return [] if request is None else [Send(sender, request)]
            case TableRequest():
                update = versions.on_request(message)
                return [] if update is None else [Send(sender, update)]
            case TableUpdate():
                source = place_of(self.view_by_id[sender].own)
                self.accept_table(receiver, message.version, message.text, source)
                return []
        return super().receive(sender, receiver, message)


def place_of(record):
    return Location(record.instance, record.zone, record.region)
