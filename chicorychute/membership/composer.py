"""Composes gossip messages, bounded at any size of the fleet."""

import attrs

from chicorychute.core.messages import Gossip, MemberRecord, MemberStatus
from chicorychute.membership.digests import of_services
from chicorychute.membership.members import Member, Members
from chicorychute.membership.records import services_of, without_detail
from chicorychute.membership.selection import (
    REPAIR_RECORDS,
    SMALL_FLEET,
    SMALL_FLEET_RECORDS,
    Turn,
)


class Composer:
    """Chooses which records a peer is told, and which of them whole."""

    def __init__(self, members: Members):
        self._members = members

    def message(self, own: MemberRecord, receiver: str, reply: bool) -> Gossip:
        """Return the gossip of one round for a peer."""
        records = {own.instance: self._shown(own)}
        for instance in self._chosen(own, receiver):
            member = self._members.by_id.get(instance)
            if member is not None:
                records[instance] = self._shown(self._told(member))
        return Gossip(own.instance, reply, tuple(records.values()))

    def everything(self, own: MemberRecord, receiver: str) -> Gossip:
        """Return the answer for a newcomer: every instance that is present."""
        records = [own]
        for instance in self._members.present.ids():
            records.append(self._told(self._members.by_id[instance]))
        if not self._small:
            wanted = services_of(self._members.by_id[receiver].record)
            records = [_shared(record, wanted) for record in records]
        return Gossip(own.instance, False, tuple(records))

    def _chosen(self, own: MemberRecord, receiver: str) -> list[str]:
        chosen = [receiver] if self._doubted(receiver) else []
        chosen.extend(self._members.news.take())
        if self._small:
            chosen.extend(self._members.present.take(Turn.DETAIL, SMALL_FLEET_RECORDS))
        chosen.extend(self._members.present.take(Turn.REPAIR, REPAIR_RECORDS))
        return chosen

    def _doubted(self, instance: str) -> bool:
        member = self._members.by_id.get(instance)
        return member is not None and member.record.status is not MemberStatus.ALIVE

    def _shown(self, record: MemberRecord) -> MemberRecord:
        return record if self._small else without_detail(record)

    def _told(self, member: Member) -> MemberRecord:
        record, detail = member.record, member.detail
        if detail.heartbeat == record.heartbeat or not detail.whole:
            return record
        return detail if record.status is MemberStatus.ALIVE else record

    @property
    def _small(self) -> bool:
        return len(self._members.present) <= SMALL_FLEET


def _shared(record: MemberRecord, wanted: tuple[str, ...]) -> MemberRecord:
    """Return the record with the digests of the services that a peer hosts."""
    told = of_services(record.upstreams, wanted)
    if not told:
        return without_detail(record)
    return attrs.evolve(record, upstreams=told)
