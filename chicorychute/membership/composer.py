"""Composes gossip messages, bounded at any size of the fleet."""

import random

from chicorychute.core.messages import Gossip, MemberRecord, MemberStatus
from chicorychute.membership.members import Member, Members
from chicorychute.membership.records import services_of, without_detail
from chicorychute.membership.selection import (
    DETAIL_RECORDS,
    REPAIR_RECORDS,
    SMALL_FLEET,
    SMALL_FLEET_RECORDS,
    Turn,
)


class Composer:
    """Chooses which records a peer is told, and which of them whole."""

    def __init__(self, members: Members, rng: random.Random):
        self._members = members
        self._rng = rng

    def message(self, own: MemberRecord, receiver: str, reply: bool) -> Gossip:
        """Return the gossip of one round for a peer."""
        records = {own.instance: self._shown(own, receiver)}
        for instance in self._chosen(own, receiver):
            member = self._members.by_id.get(instance)
            if member is not None:
                records[instance] = self._told(member, receiver)
        return Gossip(own.instance, reply, tuple(records.values()))

    def everything(self, own: MemberRecord, receiver: str) -> Gossip:
        """Return the answer for a newcomer: every instance that is present."""
        records = [self._shown(own, receiver)]
        for instance in self._members.present.ids():
            records.append(self._told(self._members.by_id[instance], receiver))
        return Gossip(own.instance, False, tuple(records))

    def _chosen(self, own: MemberRecord, receiver: str) -> list[str]:
        chosen = [receiver] if self._doubted(receiver) else []
        chosen.extend(self._members.news.take())
        if len(self._members.present) <= SMALL_FLEET:
            chosen.extend(self._members.present.take(Turn.DETAIL, SMALL_FLEET_RECORDS))
        else:
            chosen.extend(self._hosts_shared(own, receiver))
        chosen.extend(self._members.present.take(Turn.REPAIR, REPAIR_RECORDS))
        return chosen

    def _hosts_shared(self, own: MemberRecord, receiver: str) -> list[str]:
        member = self._members.by_id.get(receiver)
        if member is None:
            return []
        shared = set(services_of(member.record)).intersection(own.services)
        hosts = {i for service in shared for i in self._members.hosts.of(service)}
        present = sorted(hosts & self._members.present.members() - {receiver})
        return self._rng.sample(present, min(DETAIL_RECORDS, len(present)))

    def _doubted(self, instance: str) -> bool:
        member = self._members.by_id.get(instance)
        return member is not None and member.record.status is not MemberStatus.ALIVE

    def _told(self, member: Member, receiver: str) -> MemberRecord:
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
        if len(self._members.present) <= SMALL_FLEET:
            return True
        member = self._members.by_id.get(receiver)
        if member is None:
            return False
        wanted = services_of(member.record)
        return not set(services_of(record)).isdisjoint(wanted)
