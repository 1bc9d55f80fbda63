"""What one daemon believes about every instance, spread by gossip.

Every round asks one instance in turn. The messages are bounded: own record, changes
and a few others in turn. In a small fleet a round asks a second peer, and records
hold digests; in a large one `digests` tells them to those that share a service.
Silence accuses nobody; a failed round trip does, see `probes`.
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
from chicorychute.membership.composer import Composer
from chicorychute.membership.digests import DigestTeller, with_update
from chicorychute.membership.listing import Listing
from chicorychute.membership.members import Members
from chicorychute.membership.probes import Askers, Finding, Probes
from chicorychute.membership.records import claim, services_in
from chicorychute.membership.selection import SMALL_FLEET, Turn
from chicorychute.membership.sends import Send

HELPERS = 3
PAUSE_FACTOR = 0.5  # of the suspicion period, between two rounds: was paused
DEAD_FACTOR = 2  # suspicion periods without a refutation until given up
DEAD_RETRY_SHARE = 0.1  # of the rounds ask a dead instance, to heal a split

NEXT_ON_SILENCE = {
    MemberStatus.ALIVE: MemberStatus.SUSPECT,
    MemberStatus.LEAVING: MemberStatus.DEAD,
}


class MembershipView:
    """What this daemon believes about every instance.

    Parameters
    ----------
    own : MemberRecord
        Record of the own instance; its heartbeat rises with each round.
    suspect_after_s : float
        Time without a sign of life after which an asked instance is suspected.
    rng : random.Random
        Source of the choice of gossip partners.
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
        self._members = Members(clock, self._probes.showed_life)
        self._members.share_services(own.services)
        self._composer = Composer(self._members)
        self._teller = DigestTeller(self._members)
        self._askers = Askers(suspect_after_s, clock)
        self._listing = Listing(clock)
        self._last_round_s = clock.monotonic()

    @property
    def own(self) -> MemberRecord:
        """Own record as last published."""
        return self._own

    @property
    def alone(self) -> bool:
        """Whether no other instance is known to live."""
        return len(self._members.present) == 0

    @property
    def news_left(self) -> int:
        """Changes that are still being told."""
        return len(self._members.news)

    def publish(
        self,
        table_version: int,
        upstreams: tuple[UpstreamDigest, ...],
        table_hash: str = "",
    ) -> None:
        """Raise the own heartbeat and replace the own digests."""
        services = services_in(upstreams)
        before = self._own
        self._own = attrs.evolve(
            self._own,
            heartbeat=self._own.heartbeat + 1,
            table_version=table_version,
            table_hash=table_hash,
            upstreams=upstreams,
            services=services,
        )
        if services != before.services:
            self._members.share_services(services)
        if self._large:
            self._teller.note(before, self._own)

    def leave(self) -> Gossip:
        """Mark the own instance as leaving; returns the message for every peer."""
        self._own = attrs.evolve(
            self._own, heartbeat=self._own.heartbeat + 1, status=MemberStatus.LEAVING
        )
        return self._news_of_own()

    def tell_own(self) -> tuple[Send, ...]:
        """Return the own record for every instance that is not given up."""
        message = self._news_of_own()
        return tuple(Send(i, message) for i in list(self._members.present.ids()))

    def _news_of_own(self) -> Gossip:
        return Gossip(self._own.instance, False, (self._own,))

    def take_listed(self, listed: Iterable[object]) -> None:
        """Do nothing: upstreams are told by their own gates."""

    def on_beat(self, beat: Beat) -> bool:
        """Take no beat: it belongs to the scope of a region."""
        return False

    def merge(self, records: Iterable[MemberRecord]) -> None:
        """Take what a peer believes."""
        for record in records:
            if record.instance == self._own.instance:
                self._refute(record)
            else:
                self._members.merge(record)

    def status_of(self, instance: str) -> MemberStatus:
        """Return the status of an instance, DEAD where it is unknown.

        An instance that the fleet holds for alive, but to which the own way is
        lost, is SUSPECT here and nowhere else.
        """
        if instance == self._own.instance:
            return self._own.status
        member = self._members.by_id.get(instance)
        if member is None:
            return MemberStatus.DEAD
        status = member.record.status
        if status is not MemberStatus.ALIVE:
            return status
        if self._listing.says_leaving(instance, member.record.incarnation):
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
        """Return the records of the instances beside which a service runs."""
        ids = self._members.hosts.of(service)
        hosts = [self._members.by_id[instance].record for instance in ids]
        if service in self._own.services:
            hosts.append(self._own)
        return hosts

    def gossip_round(self) -> tuple[Send, ...]:
        """Judge open probes and ask this round's partners."""
        now_s = self._clock.monotonic()
        if now_s - self._last_round_s > self._suspect_after_s * PAUSE_FACTOR:
            self._after_pause(now_s)
        self._last_round_s = now_s
        sends = self._judge()
        self._expire(now_s)
        self._askers.expire()
        for partner in self._partners():
            self._probes.start(partner)
            sends.append(Send(partner, self.message_for(partner, True)))
        if self._large and self._own.status is MemberStatus.ALIVE:
            updates = self._teller.updates(self._own)
            sends.extend(Send(peer, update) for peer, update in updates)
        return tuple(sends)

    def message_for(self, instance: str, reply: bool) -> Gossip:
        """Return the gossip for a peer; `reply` asks for its answer."""
        return self._composer.message(self._own, instance, reply)

    def on_gossip(self, message: Gossip) -> tuple[Send, ...]:
        """Merge a peer's records; returns the answer if it asked for one."""
        sender = message.sender
        newcomer = sender not in self._members.present
        self.merge(message.records)
        if self._is_replaced(message):
            return ()
        self._probes.heard(sender)
        if not message.reply:
            self._probes.answered(sender)
            self._members.set_path_lost(sender, False)
            return self._tell_askers(sender)
        if newcomer and len(self._members.present) > 1:
            return (Send(sender, self._composer.everything(self._own, sender)),)
        return (Send(sender, self.message_for(sender, False)),)

    def on_digests(self, update: DigestUpdate) -> None:
        """Take the digests that a peer tells of its own upstreams."""
        known = self._members.record_of(update.sender)
        if known is None or known.incarnation != update.incarnation:
            return
        self._probes.heard(update.sender)
        self._members.merge(with_update(known, update))

    def on_probe_request(self, request: ProbeRequest) -> tuple[Send, ...]:
        """Ask an instance for a peer that got no answer from it."""
        target = request.target
        if target not in self._members.by_id:
            return ()
        self._askers.add(target, request.sender)
        return (Send(target, self.message_for(target, True)),)

    def on_unreachable(self, instance: str) -> None:
        """Note that no message could be sent to an instance."""
        self._probes.unreachable(instance)

    def merge_list(self, leaving: Iterable[str], staying: Iterable[str]) -> bool:
        """Take the platform's list, which lags and holds no incarnations.

        Returns
        -------
        bool
            Whether the list tells the own instance to leave.
        """
        flagged = set(leaving)
        known = filter(None, map(self.record_of, flagged))
        incarnations = {record.instance: record.incarnation for record in known}
        return self._listing.take(self._own.instance, flagged, staying, incarnations)

    @property
    def _large(self) -> bool:
        return len(self._members.present) > SMALL_FLEET

    def _tell_askers(self, target: str) -> tuple[Send, ...]:
        askers = self._askers.take(target)
        if not askers:
            return ()
        record = self._members.by_id[target].record
        message = Gossip(self._own.instance, False, (record,))
        return tuple(Send(asker, message) for asker in askers)

    def _is_replaced(self, message: Gossip) -> bool:
        """Return whether the sender is an old process under a reused id."""
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

    def _judge(self) -> list[Send]:
        sends = []
        for instance, finding in self._probes.due():
            if finding is Finding.PATH_LOST:
                self._members.set_path_lost(instance, True)
                sends.extend(self._ask_helpers(instance))
            else:
                self._accuse(instance)
        return sends

    def _ask_helpers(self, target: str) -> list[Send]:
        member = self._members.by_id.get(target)
        if member is None or member.record.status is MemberStatus.DEAD:
            return []
        request = ProbeRequest(self._own.instance, target)
        others = [i for i in self._sample(HELPERS + 1) if i != target]
        return [Send(helper, request) for helper in others[:HELPERS]]

    def _accuse(self, instance: str) -> None:
        member = self._members.by_id.get(instance)
        if member is None:
            return
        status = NEXT_ON_SILENCE.get(member.record.status)
        if status is not None:
            self._members.merge(claim(member.record, status))

    def _expire(self, now_s: float) -> None:
        limit_s = self._suspect_after_s * DEAD_FACTOR
        for instance in list(self._members.suspects):
            member = self._members.by_id[instance]
            if now_s - member.changed_s > limit_s:
                self._members.merge(claim(member.record, MemberStatus.DEAD))
        self._members.forget_dead()

    def _after_pause(self, now_s: float) -> None:
        self._probes.forget()
        for instance in self._members.suspects:
            self._members.by_id[instance].changed_s = now_s

    def _partners(self) -> list[str]:
        partners = self._members.present.take(Turn.PROBE, 1)
        if self._members.sharing and not self._large:
            partners.append(self._rng.choice(self._members.sharing.ids()))
        elif len(self._members.present) > 1 and not self._large:
            partners.append(self._rng.choice(self._members.present.ids()))
        if self._members.lost_paths:
            partners.append(self._rng.choice(sorted(self._members.lost_paths)))
        if self._members.dead and self._rng.random() < DEAD_RETRY_SHARE:
            partners.append(self._rng.choice(self._members.dead))
        return list(dict.fromkeys(partners))

    def _sample(self, count: int) -> list[str]:
        ids = self._members.present.ids()
        return self._rng.sample(ids, min(count, len(ids)))
