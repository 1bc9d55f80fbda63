"""Simulated network whose instances route and queue work with the real decisions."""

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
from tests.membership.network import ROUND_S, Network

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
    """Queue of one upstream, and the end time of each running request."""

    queue: UpstreamQueue
    running: list[tuple[float, Ticket]] = attrs.field(factory=list)


class WorkNetwork(Network):
    """Views whose instances are entries and gates of one service."""

    def __init__(self, ids, **options):
        self.gate_by_id = {}
        self.outcome_counts = Counter()
        self.sent_count_by_id = Counter()
        super().__init__(ids, **options)

    def start(self, instance, **options):
        queue = UpstreamQueue(SLOTS, POLICIES, self.clock)
        self.gate_by_id[instance] = Gate(queue)
        return super().start(instance, **options)

    def run_work(self, rounds, order, bulk=0):
        """Run rounds; `order` and `bulk` are the requests per step at each entry."""
        self.outcome_counts.clear()
        self.sent_count_by_id.clear()
        for _ in range(rounds):
            self.rounds(1, pause_s=0.0)
            for _ in range(STEPS):
                for entry in self.entries():
                    for rank, count in (("order", order), ("bulk", bulk)):
                        self._arrive(entry, rank, count)
                self.clock.advance(STEP_S)
                for instance in list(self.view_by_id):
                    self._finish_due_requests(instance)

    def entries(self):
        """Return the instances that callers reach and that accept work."""
        return [
            instance
            for instance, view in self.view_by_id.items()
            if instance not in self.frozen and view.own.status is MemberStatus.ALIVE
        ]

    def answered_fraction(self, rank):
        """Return the fraction of requests of a rank that were answered in time."""
        total = sum(n for (name, _), n in self.outcome_counts.items() if name == rank)
        return self.outcome_counts[rank, "answered"] / total

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
        integer, fraction = divmod(count, 1)
        for _ in range(int(integer) + (self.rng.random() < fraction)):
            eligible_candidates = eligible(self.candidates(entry), FLOOR)
            choice = choose(
                eligible_candidates, {}, frozenset(), self.rng, DEADLINE_S * 1000
            )
            if isinstance(choice, Choice):
                self._forward(entry, choice.candidate.instance, rank)
            else:
                self.outcome_counts[rank, "refused"] += 1

    def _forward(self, entry, gate, rank):
        self.sent_count_by_id[gate] += 1
        is_down = gate in self.frozen or gate not in self.view_by_id
        if (
            is_down
            or (entry, gate) in self.blocked_paths
            or (gate, entry) in self.blocked_paths
        ):
            self.outcome_counts[rank, "lost"] += 1
            return
        ticket = Ticket(rank, self.clock.monotonic() + DEADLINE_S)
        decision = self.gate_by_id[gate].queue.submit(ticket)
        self._apply_decisions(self.gate_by_id[gate], [decision])

    def _apply_decisions(self, gate, decisions):
        for decision in decisions:
            match decision:
                case Granted(ticket):
                    gate.running.append((self.clock.monotonic() + SERVICE_S, ticket))
                case Refused(ticket, _):
                    self.outcome_counts[ticket.rank, "refused"] += 1

    def _finish_due_requests(self, instance):
        gate = self.gate_by_id[instance]
        now_s = self.clock.monotonic()
        if instance in self.frozen:
            return
        finished = [(end_s, ticket) for end_s, ticket in gate.running if end_s <= now_s]
        gate.running = [
            (end_s, ticket) for end_s, ticket in gate.running if end_s > now_s
        ]
        for _, ticket in finished:
            late = now_s > ticket.deadline_s
            self.outcome_counts[ticket.rank, "late" if late else "answered"] += 1
            self._apply_decisions(gate, gate.queue.release(ticket))
        self._apply_decisions(gate, gate.queue.advance())
