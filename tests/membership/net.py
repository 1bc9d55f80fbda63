"""Delivers the real messages of several views on one manual clock."""

import random
from collections import Counter

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    Gossip,
    MemberRecord,
    MemberStatus,
    ProbeRequest,
    UpstreamDigest,
    Verdict,
)
from chicorychute.membership.view import MembershipView, Send
from chicorychute.transport.codec import encode

SUSPECT_AFTER_S = 3.0
ROUND_S = 0.5


def digest_of(instance, service):
    return UpstreamDigest(
        f"{instance}/{service}", service, Verdict.HEALTHY, 4, 1, 0, 12.5, 0.01, 1.0
    )


class Net:
    """Views with cuts (pairs of sender and receiver) and frozen instances."""

    def __init__(self, ids, services=("orders",), seed=1, known=True):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.cuts = set()
        self.frozen = set()
        self.bytes_by_sender = Counter()
        self.view_by_id = {}
        self.services_by_id = {}
        for instance in ids:
            self.start(instance, services=services)
        if known:
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

    def kill(self, instance):
        del self.view_by_id[instance]

    def cut(self, senders, receivers):
        self.cuts |= {(s, r) for s in senders for r in receivers}

    def rounds(self, count):
        for _ in range(count):
            for instance, view in list(self.view_by_id.items()):
                if instance not in self.frozen:
                    self._publish(instance)
                    self._deliver(instance, view.gossip_round())
            self.clock.advance(ROUND_S)

    def statuses(self, instance):
        return {
            viewer: view.status_of(instance)
            for viewer, view in self.view_by_id.items()
            if viewer != instance
        }

    def claims(self, instance):
        return {
            viewer: view.record_of(instance).status
            for viewer, view in self.view_by_id.items()
            if viewer != instance
        }

    def send(self, sender, receiver, message):
        self._deliver(sender, (Send(receiver, message),))

    def _publish(self, instance):
        digests = tuple(digest_of(instance, s) for s in self.services_by_id[instance])
        self.view_by_id[instance].publish(0, digests)

    def _deliver(self, sender, sends):
        waiting = [(sender, send) for send in sends]
        while waiting:
            origin, send = waiting.pop(0)
            receiver = send.instance
            self.bytes_by_sender[origin] += len(encode(send.message))
            if (origin, receiver) in self.cuts or receiver in self.frozen:
                continue
            if receiver not in self.view_by_id:
                self.view_by_id[origin].on_unreachable(receiver)
                continue
            view = self.view_by_id[receiver]
            match send.message:
                case Gossip():
                    answers = view.on_gossip(send.message)
                case ProbeRequest():
                    answers = view.on_probe_request(send.message)
            waiting.extend((receiver, answer) for answer in answers)
