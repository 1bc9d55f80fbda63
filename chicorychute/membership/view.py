"""State of every instance as seen by one daemon, spread by gossip.

Every round probes one instance, chosen round robin. The messages are bounded: own
record, recent updates and a few other records, round robin. In a small fleet a round
probes a second peer, and records include digests; in a large one `digests` sends them
to the peers that share a service. Silence alone makes no instance suspect, a failed
round trip does, see `probes`.
"""

import random
from collections.abc import Iterable

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import (
    Beat,
    DigestUpdate,
    Gossip,
    MemberRecord,
    MemberStatus,
    ProbeRequest,
    UpstreamDigest,
)
from chicorychute.membership.composer import GossipComposer
from chicorychute.membership.digests import DigestScheduler, with_update
from chicorychute.membership.listing import LeavingFlags
from chicorychute.membership.members import Members
from chicorychute.membership.probes import ProbeRequesters, ProbeResult, Probes
from chicorychute.membership.records import claim, services_in
from chicorychute.membership.selection import SMALL_FLEET_MAX_INSTANCES, Cursor
from chicorychute.membership.sends import Send

PROBE_HELPER_COUNT = 3
# The own process was paused if two rounds are further apart than this fraction of
# the suspicion period.
PAUSE_FRACTION = 0.5
# Suspicion periods without a refutation after which a suspect instance is dead.
DEAD_AFTER_PERIODS = 2
# Fraction of the rounds that also probe a dead instance, to heal a partition.
DEAD_RETRY_FRACTION = 0.1

STATUS_IF_UNRESPONSIVE = {
    MemberStatus.ALIVE: MemberStatus.SUSPECT,
    MemberStatus.LEAVING: MemberStatus.DEAD,
}


class MembershipView:
    """State of every instance as seen by this daemon.

    Parameters
    ----------
    own : MemberRecord
        Record of the own instance; its heartbeat increases with each round.
    suspect_after_s : float
        Time in seconds without an answer after which a probed instance is suspect.
    rng : random.Random
        Random source for the choice of gossip partners.
    """

    def __init__(
        self,
        own: MemberRecord,
        suspect_after_s: float,
        clock: Clock,
        rng: random.Random,
    ):
        self._own = own
        self._suspect_after_s = suspect_after_s
        self._clock = clock
        self._rng = rng
        self._probes = Probes(suspect_after_s, clock)
        self._members = Members(clock, self._probes.record_newer_heartbeat)
        self._members.set_own_services(own.services)
        self._composer = GossipComposer(self._members)
        self._digest_scheduler = DigestScheduler(self._members)
        self._requesters = ProbeRequesters(suspect_after_s, clock)
        self._leaving_flags = LeavingFlags(clock)
        self._last_round_s = clock.monotonic()

    @property
    def own(self) -> MemberRecord:
        """Own record as last published."""
        return self._own

    @property
    def alone(self) -> bool:
        """Whether every other known instance is dead."""
        return len(self._members.present) == 0

    @property
    def pending_update_count(self) -> int:
        """Number of changes that are still being sent."""
        return len(self._members.recent_updates)

    def publish(
        self,
        table_version: int,
        upstreams: tuple[UpstreamDigest, ...],
        table_hash: str = "",
        list_revision: int = 0,
    ) -> None:
        """Increment the own heartbeat and replace the own digests.

        Gossip does not relay the platform's list: its revision is not sent.
        """
        services = services_in(upstreams)
        previous = self._own
        self._own = attrs.evolve(
            self._own,
            heartbeat=self._own.heartbeat + 1,
            table_version=table_version,
            table_hash=table_hash,
            upstreams=upstreams,
            services=services,
        )
        if services != previous.services:
            self._members.set_own_services(services)
        if self._is_large_fleet:
            self._digest_scheduler.enqueue_verdict_changes(previous, self._own)

    def leave(self) -> Gossip:
        """Mark the own instance as leaving; returns the message for every peer."""
        self._own = attrs.evolve(
            self._own, heartbeat=self._own.heartbeat + 1, status=MemberStatus.LEAVING
        )
        return self._own_record_message()

    def broadcast_own(self) -> tuple[Send, ...]:
        """Return a message with the own record for every instance that is not dead."""
        message = self._own_record_message()
        return tuple(Send(i, message) for i in list(self._members.present.ids()))

    def _own_record_message(self) -> Gossip:
        return Gossip(self._own.instance, False, (self._own,))

    def apply_instance_list(self, listed: Iterable[object]) -> None:
        """Ignore the list: the gates themselves publish their upstreams."""

    def on_heartbeat(self, complete_heartbeat: Beat) -> bool:
        """Ignore the message: heartbeats belong to the gossip scope `region`."""
        return False

    def merge(self, records: Iterable[MemberRecord]) -> None:
        """Merge the records of a peer."""
        for record in records:
            if record.instance == self._own.instance:
                self._refute(record)
            else:
                self._members.merge(record)

    def status_of(self, instance: str) -> MemberStatus:
        """Return the status of an instance, DEAD where it is unknown.

        An instance that is alive for the fleet, but to which the network path from
        here is lost, is SUSPECT in this view only.
        """
        if instance == self._own.instance:
            return self._own.status
        member = self._members.by_id.get(instance)
        if member is None:
            return MemberStatus.DEAD
        status = member.record.status
        if status is not MemberStatus.ALIVE:
            return status
        if self._leaving_flags.is_leaving(instance, member.record.incarnation):
            return MemberStatus.LEAVING
        return MemberStatus.SUSPECT if instance in self._members.lost_paths else status

    def record_of(self, instance: str) -> MemberRecord | None:
        """Return the newest record of an instance, or None."""
        if instance == self._own.instance:
            return self._own
        member = self._members.by_id.get(instance)
        return None if member is None else member.record

    def records(self) -> tuple[MemberRecord, ...]:
        """Return every record, the own first."""
        others = tuple(member.record for member in self._members.by_id.values())
        return (self._own, *others)

    def hosts(self, service: str) -> list[MemberRecord]:
        """Return the records of the instances that host a service."""
        ids = self._members.hosts.of(service)
        hosts = [self._members.by_id[instance].record for instance in ids]
        if service in self._own.services:
            hosts.append(self._own)
        return hosts

    @property
    def size(self) -> int:
        """Number of instances that are not dead, the own included."""
        return len(self._members.present) + 1

    def reports_load(self, instance: str) -> bool:
        """Return True: gossip carries the load of every instance."""
        return True

    def gossip_round(self) -> tuple[Send, ...]:
        """Check open probes and probe this round's partners."""
        now_s = self._clock.monotonic()
        if now_s - self._last_round_s > self._suspect_after_s * PAUSE_FRACTION:
            self._resume_after_pause(now_s)
        self._last_round_s = now_s
        sends = self._check_probes()
        self._expire_suspects(now_s)
        self._requesters.expire()
        for partner in self._partners():
            self._probes.start(partner)
            sends.append(Send(partner, self.message_for(partner, True)))
        if self._is_large_fleet and self._own.status is MemberStatus.ALIVE:
            updates = self._digest_scheduler.next_updates(self._own)
            sends.extend(Send(peer, update) for peer, update in updates)
        return tuple(sends)

    def message_for(self, instance: str, reply: bool) -> Gossip:
        """Return the gossip message for a peer; `reply` asks for its answer."""
        return self._composer.message(self._own, instance, reply)

    def on_gossip(self, message: Gossip) -> tuple[Send, ...]:
        """Merge a peer's records; returns the messages that follow from them."""
        sender = message.sender
        newcomer = sender not in self._members.present
        self.merge(message.records)
        if self._is_from_replaced_process(message):
            return ()
        self._probes.record_message(sender)
        if not message.wants_reply:
            self._probes.record_answer(sender)
            self._members.set_path_lost(sender, False)
            return self._notify_requesters(sender)
        if newcomer and len(self._members.present) > 1:
            return (Send(sender, self._composer.full_message(self._own, sender)),)
        return (Send(sender, self.message_for(sender, False)),)

    def on_digests(self, update: DigestUpdate) -> None:
        """Apply the digests that a peer sends of its own upstreams."""
        known = self._members.record_of(update.sender)
        if known is None or known.incarnation != update.incarnation:
            return
        self._probes.record_message(update.sender)
        self._members.merge(with_update(known, update))

    def on_probe_request(self, request: ProbeRequest) -> tuple[Send, ...]:
        """Probe an instance on behalf of a peer that got no answer from it."""
        target = request.target
        if target not in self._members.by_id:
            return ()
        self._requesters.add(target, request.sender)
        return (Send(target, self.message_for(target, True)),)

    def on_unreachable(self, instance: str) -> None:
        """Record that no message could be sent to an instance."""
        self._probes.record_unreachable(instance)

    def apply_leaving_flags(
        self, leaving: Iterable[str], staying: Iterable[str]
    ) -> bool:
        """Apply the platform's list, which lags and has no incarnations.

        Returns
        -------
        bool
            Whether the own instance must leave.
        """
        flagged = set(leaving)
        known = filter(None, map(self.record_of, flagged))
        incarnations = {record.instance: record.incarnation for record in known}
        return self._leaving_flags.replace(
            self._own.instance, flagged, staying, incarnations
        )

    @property
    def _is_large_fleet(self) -> bool:
        return len(self._members.present) > SMALL_FLEET_MAX_INSTANCES

    def _notify_requesters(self, target: str) -> tuple[Send, ...]:
        requesters = self._requesters.pop_requesters(target)
        if not requesters:
            return ()
        record = self._members.by_id[target].record
        message = Gossip(self._own.instance, False, (record,))
        return tuple(Send(requester, message) for requester in requesters)

    def _is_from_replaced_process(self, message: Gossip) -> bool:
        """Return whether the sender is an earlier process with a reused id."""
        known = self.record_of(message.sender)
        return known is not None and any(
            record.instance == message.sender and record.incarnation < known.incarnation
            for record in message.records
        )

    def _refute(self, record: MemberRecord) -> None:
        if record.incarnation != self._own.incarnation:
            return
        if record.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            heartbeat = max(self._own.heartbeat, record.heartbeat + 1)
            self._own = attrs.evolve(self._own, heartbeat=heartbeat)

    def _check_probes(self) -> list[Send]:
        sends = []
        for instance, result in self._probes.check_timeouts():
            if result is ProbeResult.PATH_LOST:
                self._members.set_path_lost(instance, True)
                sends.extend(self._probe_indirectly(instance))
            else:
                self._mark_unresponsive(instance)
        return sends

    def _probe_indirectly(self, target: str) -> list[Send]:
        member = self._members.by_id.get(target)
        if member is None or member.record.status is MemberStatus.DEAD:
            return []
        request = ProbeRequest(self._own.instance, target)
        others = [i for i in self._sample(PROBE_HELPER_COUNT + 1) if i != target]
        return [Send(helper, request) for helper in others[:PROBE_HELPER_COUNT]]

    def _mark_unresponsive(self, instance: str) -> None:
        member = self._members.by_id.get(instance)
        if member is None:
            return
        status = STATUS_IF_UNRESPONSIVE.get(member.record.status)
        if status is not None:
            self._members.merge(claim(member.record, status))

    def _expire_suspects(self, now_s: float) -> None:
        dead_after_s = self._suspect_after_s * DEAD_AFTER_PERIODS
        for instance in list(self._members.suspects):
            member = self._members.by_id[instance]
            if now_s - member.status_changed_s > dead_after_s:
                self._members.merge(claim(member.record, MemberStatus.DEAD))
        self._members.forget_dead()

    def _resume_after_pause(self, now_s: float) -> None:
        self._probes.reset()
        for instance in self._members.suspects:
            self._members.by_id[instance].status_changed_s = now_s

    def _partners(self) -> list[str]:
        partners = self._members.present.next_ids(Cursor.PROBE, 1)
        if self._members.service_peers and not self._is_large_fleet:
            partners.append(self._rng.choice(self._members.service_peers.ids()))
        elif len(self._members.present) > 1 and not self._is_large_fleet:
            partners.append(self._rng.choice(self._members.present.ids()))
        if self._members.lost_paths:
            partners.append(self._rng.choice(sorted(self._members.lost_paths)))
        if self._members.dead and self._rng.random() < DEAD_RETRY_FRACTION:
            partners.append(self._rng.choice(self._members.dead))
        return list(dict.fromkeys(partners))

    def _sample(self, count: int) -> list[str]:
        ids = self._members.present.ids()
        return self._rng.sample(ids, min(count, len(ids)))
