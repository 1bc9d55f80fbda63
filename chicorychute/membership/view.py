"""What one daemon believes about every instance, spread by gossip.

Every round asks one instance in turn and one peer that shares a service. The
messages are bounded: own record, changes, peers that share a service, and a few
others in turn. Silence accuses nobody; a failed round trip does, see `probes`.
"""

import random
from collections.abc import Iterable

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import (
    Gossip,
    MemberRecord,
    MemberStatus,
    Message,
    ProbeRequest,
    UpstreamDigest,
)
from chicorychute.membership.probes import Finding, Probes
from chicorychute.membership.records import (
    claim,
    resolve,
    services_of,
    without_detail,
)
from chicorychute.membership.selection import (
    DETAIL_RECORDS,
    REPAIR_RECORDS,
    SMALL_FLEET,
    SMALL_FLEET_RECORDS,
    News,
    Ring,
    Turn,
)

HELPERS = 3
PAUSE_FACTOR = 0.5  # of the suspicion period, between two rounds: was paused
DEAD_FACTOR = 2  # suspicion periods without a refutation until given up
TOMBSTONE_S = 300.0
LIST_LAG_S = 120.0
DEAD_RETRY_SHARE = 0.1  # of the rounds ask a dead instance, to heal a split

NEXT_ON_SILENCE = {
    MemberStatus.ALIVE: MemberStatus.SUSPECT,
    MemberStatus.LEAVING: MemberStatus.DEAD,
}


@attrs.frozen
class Send:
    """A message for an instance."""

    instance: str
    message: Message


@attrs.define
class _Member:
    record: MemberRecord
    detail: MemberRecord
    changed_s: float


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
        self._member_by_id: dict[str, _Member] = {}
        self._hosts_by_service: dict[str, set[str]] = {}
        self._present = Ring()
        self._sharing = Ring()
        self._dead_since_by_id: dict[str, float] = {}
        self._suspects: set[str] = set()
        self._lost_paths: set[str] = set()
        self._news = News()
        self._probes = Probes(suspect_after_s, clock)
        self._asker_by_target: dict[str, dict[str, float]] = {}
        self._listed_leaving_by_id: dict[str, int] = {}
        self._own_listed_since_s: float | None = None
        self._own_seen_staying = False
        self._last_round_s = clock.monotonic()

    @property
    def own(self) -> MemberRecord:
        """Own record as last published."""
        return self._own

    @property
    def alone(self) -> bool:
        """Whether no other instance is known to live."""
        return len(self._present) == 0

    @property
    def news_left(self) -> int:
        """Changes that are still being told."""
        return len(self._news)

    def publish(
        self,
        table_version: int,
        upstreams: tuple[UpstreamDigest, ...],
        table_hash: str = "",
    ) -> None:
        """Raise the own heartbeat and replace the own digests."""
        services = tuple(sorted({digest.service for digest in upstreams}))
        changed = services != self._own.services
        self._own = attrs.evolve(
            self._own,
            heartbeat=self._own.heartbeat + 1,
            table_version=table_version,
            table_hash=table_hash,
            upstreams=upstreams,
            services=services,
        )
        if changed:
            self._rebuild_sharing()

    def leave(self) -> Gossip:
        """Mark the own instance as leaving; returns the message for every peer."""
        self._own = attrs.evolve(
            self._own, heartbeat=self._own.heartbeat + 1, status=MemberStatus.LEAVING
        )
        return Gossip(self._own.instance, False, (self._own,))

    def merge(self, records: Iterable[MemberRecord]) -> None:
        """Take what a peer believes."""
        for record in records:
            if record.instance == self._own.instance:
                self._refute(record)
            else:
                self._merge_one(record)

    def status_of(self, instance: str) -> MemberStatus:
        """Return the status of an instance, DEAD where it is unknown.

        An instance that the fleet holds for alive, but to which the own way is
        lost, is SUSPECT here and nowhere else.
        """
        if instance == self._own.instance:
            return self._own.status
        member = self._member_by_id.get(instance)
        if member is None:
            return MemberStatus.DEAD
        status = member.record.status
        if status is not MemberStatus.ALIVE:
            return status
        incarnation = self._listed_leaving_by_id.get(instance)
        if incarnation == member.record.incarnation:
            return MemberStatus.LEAVING
        return MemberStatus.SUSPECT if instance in self._lost_paths else status

    def record_of(self, instance: str) -> MemberRecord | None:
        """Return the newest record of an instance, or None."""
        if instance == self._own.instance:
            return self._own
        member = self._member_by_id.get(instance)
        return None if member is None else member.record

    def records(self) -> tuple[MemberRecord, ...]:
        """Return every record, the own first."""
        others = tuple(member.record for member in self._member_by_id.values())
        return (self._own, *others)

    def hosts(self, service: str) -> list[MemberRecord]:
        """Return the records of the instances beside which a service runs."""
        ids = self._hosts_by_service.get(service, ())
        hosts = [self._member_by_id[instance].record for instance in ids]
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
        self._drop_askers(now_s)
        for partner in self._partners():
            self._probes.start(partner)
            sends.append(Send(partner, self.message_for(partner, True)))
        return tuple(sends)

    def message_for(self, instance: str, reply: bool) -> Gossip:
        """Return the gossip for a peer; `reply` asks for its answer."""
        records = {self._own.instance: self._shown(self._own, instance)}
        for other in self._chosen(instance):
            member = self._member_by_id.get(other)
            if member is not None:
                records[other] = self._told(member, instance)
        return Gossip(self._own.instance, reply, tuple(records.values()))

    def on_gossip(self, message: Gossip) -> tuple[Send, ...]:
        """Merge a peer's records; returns the answer if it asked for one."""
        sender = message.sender
        newcomer = sender not in self._present
        self.merge(message.records)
        self._probes.heard(sender)
        if not message.reply:
            self._probes.answered(sender)
            self._set_path_lost(sender, False)
            return self._tell_askers(sender)
        if newcomer and len(self._present) > 1:
            return (Send(sender, self._everything(sender)),)
        return (Send(sender, self.message_for(sender, False)),)

    def on_probe_request(self, request: ProbeRequest) -> tuple[Send, ...]:
        """Ask an instance for a peer that got no answer from it."""
        target = request.target
        if target not in self._member_by_id:
            return ()
        askers = self._asker_by_target.setdefault(target, {})
        askers[request.sender] = self._clock.monotonic()
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
        for instance in flagged:
            record = self.record_of(instance)
            if record is not None:
                self._listed_leaving_by_id.setdefault(instance, record.incarnation)
        for instance in [i for i in self._listed_leaving_by_id if i not in flagged]:
            del self._listed_leaving_by_id[instance]
        return self._own_must_leave(flagged, set(staying))

    def _own_must_leave(self, leaving: set[str], staying: set[str]) -> bool:
        if self._own.instance not in leaving:
            self._own_listed_since_s = None
            self._own_seen_staying |= self._own.instance in staying
            return False
        now_s = self._clock.monotonic()
        if self._own_listed_since_s is None:
            self._own_listed_since_s = now_s
        # The flag of an earlier process under this id lasts as long as the list lags.
        return self._own_seen_staying or now_s - self._own_listed_since_s > LIST_LAG_S

    def _tell_askers(self, target: str) -> tuple[Send, ...]:
        askers = self._asker_by_target.pop(target, {})
        if not askers:
            return ()
        record = self._member_by_id[target].record
        message = Gossip(self._own.instance, False, (record,))
        return tuple(Send(asker, message) for asker in askers)

    def _drop_askers(self, now_s: float) -> None:
        for target, askers in list(self._asker_by_target.items()):
            if now_s - max(askers.values()) > self._suspect_after_s:
                del self._asker_by_target[target]

    def _refute(self, record: MemberRecord) -> None:
        if record.incarnation != self._own.incarnation:
            return
        if record.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            heartbeat = max(self._own.heartbeat, record.heartbeat + 1)
            self._own = attrs.evolve(self._own, heartbeat=heartbeat)

    def _merge_one(self, record: MemberRecord) -> None:
        member = self._member_by_id.get(record.instance)
        if member is None:
            if record.status is not MemberStatus.DEAD:
                self._add(record)
            return
        known = member.record
        detail = member.detail
        newest = resolve(known, record)
        if record.whole and _newer(record, detail):
            member.detail = record
        elif newest.incarnation != detail.incarnation:
            member.detail = newest
        if newest is known and member.detail is detail:
            return
        if newest.status is not MemberStatus.DEAD and _newer(newest, known):
            self._probes.showed_life(record.instance)
        if newest.upstreams is not member.detail.upstreams:
            newest = attrs.evolve(newest, upstreams=member.detail.upstreams)
        member.record = newest
        self._note(member, known)

    def _add(self, record: MemberRecord) -> None:
        member = _Member(record, record, self._clock.monotonic())
        self._member_by_id[record.instance] = member
        self._index(record)
        self._note_status(member)

    def _note(self, member: _Member, before: MemberRecord) -> None:
        record = member.record
        if record.services != before.services or record.upstreams != before.upstreams:
            self._unindex(before)
            self._index(record)
        if record.incarnation != before.incarnation:
            self._lost_paths.discard(record.instance)
        if (record.incarnation, record.status) != (before.incarnation, before.status):
            self._note_status(member)

    def _note_status(self, member: _Member) -> None:
        instance = member.record.instance
        status = member.record.status
        member.changed_s = self._clock.monotonic()
        self._news.add(instance, len(self._member_by_id))
        self._suspects.discard(instance)
        self._dead_since_by_id.pop(instance, None)
        if status is MemberStatus.DEAD:
            self._dead_since_by_id[instance] = member.changed_s
            self._present.discard(instance)
            self._sharing.discard(instance)
            self._lost_paths.discard(instance)
            return
        if status is MemberStatus.SUSPECT:
            self._suspects.add(instance)
        self._present.add(instance)
        if self._shares(member.record):
            self._sharing.add(instance)

    def _index(self, record: MemberRecord) -> None:
        for service in services_of(record):
            self._hosts_by_service.setdefault(service, set()).add(record.instance)
        if self._shares(record) and record.instance in self._present:
            self._sharing.add(record.instance)

    def _unindex(self, record: MemberRecord) -> None:
        for service in services_of(record):
            hosts = self._hosts_by_service.get(service, set())
            hosts.discard(record.instance)
            if not hosts:
                self._hosts_by_service.pop(service, None)
        self._sharing.discard(record.instance)

    def _rebuild_sharing(self) -> None:
        self._sharing = Ring()
        for instance in self._present.ids():
            if self._shares(self._member_by_id[instance].record):
                self._sharing.add(instance)

    def _shares(self, record: MemberRecord) -> bool:
        return not set(services_of(record)).isdisjoint(self._own.services)

    def _judge(self) -> list[Send]:
        sends = []
        for instance, finding in self._probes.due():
            if finding is Finding.PATH_LOST:
                self._set_path_lost(instance, True)
                sends.extend(self._ask_helpers(instance))
            else:
                self._accuse(instance)
        return sends

    def _ask_helpers(self, target: str) -> list[Send]:
        member = self._member_by_id.get(target)
        if member is None or member.record.status is MemberStatus.DEAD:
            return []
        request = ProbeRequest(self._own.instance, target)
        others = [i for i in self._sample(HELPERS + 1) if i != target]
        return [Send(helper, request) for helper in others[:HELPERS]]

    def _accuse(self, instance: str) -> None:
        member = self._member_by_id.get(instance)
        if member is None:
            return
        status = NEXT_ON_SILENCE.get(member.record.status)
        if status is not None:
            self._merge_one(claim(member.record, status))

    def _set_path_lost(self, instance: str, lost: bool) -> None:
        if lost and instance in self._present:
            self._lost_paths.add(instance)
        else:
            self._lost_paths.discard(instance)

    def _expire(self, now_s: float) -> None:
        limit_s = self._suspect_after_s * DEAD_FACTOR
        for instance in list(self._suspects):
            member = self._member_by_id[instance]
            if now_s - member.changed_s > limit_s:
                self._merge_one(claim(member.record, MemberStatus.DEAD))
        # Oldest first: an entry moves to the end whenever it is written again.
        for instance, since_s in list(self._dead_since_by_id.items()):
            if now_s - since_s <= TOMBSTONE_S:
                break
            self._forget(instance)

    def _forget(self, instance: str) -> None:
        member = self._member_by_id.pop(instance)
        self._unindex(member.record)
        self._news.discard((instance,))
        del self._dead_since_by_id[instance]

    def _after_pause(self, now_s: float) -> None:
        self._probes.forget()
        for instance in self._suspects:
            self._member_by_id[instance].changed_s = now_s

    def _partners(self) -> list[str]:
        partners = self._present.take(Turn.PROBE, 1)
        if self._sharing:
            partners.append(self._rng.choice(self._sharing.ids()))
        elif len(self._present) > 1:
            partners.append(self._rng.choice(self._present.ids()))
        if self._lost_paths:
            partners.append(self._rng.choice(sorted(self._lost_paths)))
        if self._dead_since_by_id and self._rng.random() < DEAD_RETRY_SHARE:
            partners.append(self._rng.choice(list(self._dead_since_by_id)))
        return list(dict.fromkeys(partners))

    def _sample(self, count: int) -> list[str]:
        ids = self._present.ids()
        return self._rng.sample(ids, min(count, len(ids)))

    def _chosen(self, receiver: str) -> list[str]:
        chosen = [receiver] if self._doubted(receiver) else []
        chosen.extend(self._news.take())
        if len(self._present) <= SMALL_FLEET:
            chosen.extend(self._present.take(Turn.DETAIL, SMALL_FLEET_RECORDS))
        else:
            chosen.extend(self._hosts_shared_with(receiver))
        chosen.extend(self._present.take(Turn.REPAIR, REPAIR_RECORDS))
        return chosen

    def _hosts_shared_with(self, receiver: str) -> list[str]:
        member = self._member_by_id.get(receiver)
        if member is None:
            return []
        shared = set(services_of(member.record)).intersection(self._own.services)
        hosts = {i for s in shared for i in self._hosts_by_service.get(s, ())}
        present = sorted(hosts & self._present.members() - {receiver})
        return self._rng.sample(present, min(DETAIL_RECORDS, len(present)))

    def _doubted(self, instance: str) -> bool:
        member = self._member_by_id.get(instance)
        return member is not None and member.record.status is not MemberStatus.ALIVE

    def _everything(self, receiver: str) -> Gossip:
        records = [self._shown(self._own, receiver)]
        for instance in self._present.ids():
            records.append(self._told(self._member_by_id[instance], receiver))
        return Gossip(self._own.instance, False, tuple(records))

    def _told(self, member: _Member, receiver: str) -> MemberRecord:
        return self._shown(member.record, receiver, member.detail)

    def _shown(
        self,
        record: MemberRecord,
        receiver: str,
        detail: MemberRecord | None = None,
    ) -> MemberRecord:
        if not self._wants_detail(record, receiver):
            return without_detail(record)
        if detail is None or detail.heartbeat == record.heartbeat:
            return record
        if record.status is MemberStatus.ALIVE and detail.whole:
            return detail
        return record

    def _wants_detail(self, record: MemberRecord, receiver: str) -> bool:
        if len(self._present) <= SMALL_FLEET:
            return True
        member = self._member_by_id.get(receiver)
        if member is None:
            return False
        wanted = services_of(member.record)
        return not set(services_of(record)).isdisjoint(wanted)


def _newer(record: MemberRecord, known: MemberRecord) -> bool:
    return (record.incarnation, record.heartbeat) > (
        known.incarnation,
        known.heartbeat,
    )
