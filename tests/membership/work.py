"""Lets the instances of a net take and answer work with the real decisions."""

from collections import Counter

import attrs

from chicorychute.admission.queue import (
    Granted,
    RankPolicy,
    Refused,
    Ticket,
    UpstreamQueue,
)
from chicorychute.core.messages import MemberStatus, UpstreamDigest, Verdict
from chicorychute.routing.candidates import (
    PRESENT_STATUSES,
    Candidate,
    distance_between,
    eligible,
)
from chicorychute.routing.choice import Choice, choose
from tests.membership.net import ROUND_S, Net

SERVICE = "orders"
SLOTS = 4
SERVICE_S = 0.1
DEADLINE_S = 1.0
STEP_S = 0.05
STEPS = int(ROUND_S / STEP_S)
FLOOR = 0.5
POLICIES = (RankPolicy("order", 1, 0.5), RankPolicy("bulk", 2, 0.2))


@attrs.define(eq=False)
class Gate:
    """Queue of one upstream, and when its running requests end."""

    queue: UpstreamQueue
    ends: list[tuple[float, Ticket]] = attrs.field(factory=list)


class WorkNet(Net):
    """Views whose instances are entries and gates of one service."""

    def __init__(self, ids, **options):
        self.gate_by_id = {}
        self.ended = Counter()
        self.sent_to = Counter()
        super().__init__(ids, **options)

    def start(self, instance, **options):
        queue = UpstreamQueue(SLOTS, POLICIES, self.clock)
        self.gate_by_id[instance] = Gate(queue)
        return super().start(instance, **options)

    def work(self, rounds, order, bulk=0):
        """Run rounds with so many requests of each rank in each step at an entry."""
        self.ended.clear()
        self.sent_to.clear()
        for _ in range(rounds):
            self.rounds(1, pause_s=0.0)
            for _ in range(STEPS):
                for entry in self.entries():
                    for rank, count in (("order", order), ("bulk", bulk)):
                        self._arrive(entry, rank, count)
                self.clock.advance(STEP_S)
                for instance in list(self.view_by_id):
                    self._run(instance)

    def entries(self):
        """Return the instances that callers reach and that take work."""
        return [
            instance
            for instance, view in self.view_by_id.items()
            if instance not in self.frozen and view.own.status is MemberStatus.ALIVE
        ]

    def share(self, rank):
        """Return the share of requests of a rank that were answered in time."""
        total = sum(n for (name, _), n in self.ended.items() if name == rank)
        return self.ended[rank, "answered"] / total

    def digests(self, instance):
        queue = self.gate_by_id[instance].queue
        digest = UpstreamDigest(
            f"{instance}/u", SERVICE, self.verdict(instance), SLOTS, queue.in_flight,
            queue.queued, SERVICE_S * 1000, 0.0, 1.0,
        )  # fmt: skip
        return (digest,)

    def verdict(self, instance):
        return Verdict.HEALTHY

    def candidates(self, entry):
        view = self.view_by_id[entry]
        return [
            Candidate(r.instance, digest, distance_between(view.own, r), status)
            for r in view.hosts(SERVICE)
            if (status := view.status_of(r.instance)) in PRESENT_STATUSES
            for digest in r.upstreams
        ]

    def _arrive(self, entry, rank, count):
        whole, part = divmod(count, 1)
        for _ in range(int(whole) + (self.rng.random() < part)):
            kept = eligible(self.candidates(entry), FLOOR)
            choice = choose(kept, {}, frozenset(), self.rng, DEADLINE_S * 1000)
            if isinstance(choice, Choice):
                self._forward(entry, choice.candidate.instance, rank)
            else:
                self.ended[rank, "refused"] += 1

    def _forward(self, entry, gate, rank):
        self.sent_to[gate] += 1
        lost = gate in self.frozen or gate not in self.view_by_id
        if lost or (entry, gate) in self.cuts or (gate, entry) in self.cuts:
            self.ended[rank, "lost"] += 1
            return
        ticket = Ticket(rank, self.clock.monotonic() + DEADLINE_S)
        decision = self.gate_by_id[gate].queue.submit(ticket)
        self._take(self.gate_by_id[gate], [decision])

    def _take(self, gate, decisions):
        for decision in decisions:
            match decision:
                case Granted(ticket):
                    gate.ends.append((self.clock.monotonic() + SERVICE_S, ticket))
                case Refused(ticket, _):
                    self.ended[ticket.rank, "refused"] += 1

    def _run(self, instance):
        gate = self.gate_by_id[instance]
        now_s = self.clock.monotonic()
        if instance in self.frozen:
            return
        over = [(end_s, ticket) for end_s, ticket in gate.ends if end_s <= now_s]
        gate.ends = [(end_s, ticket) for end_s, ticket in gate.ends if end_s > now_s]
        for _, ticket in over:
            late = now_s > ticket.deadline_s
            self.ended[ticket.rank, "late" if late else "answered"] += 1
            self._take(gate, gate.queue.release(ticket))
        self._take(gate, gate.queue.advance())
