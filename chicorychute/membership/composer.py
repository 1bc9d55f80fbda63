"""Composition of gossip messages, bounded for any fleet size."""

import attrs

from chicorychute.core.messages import Gossip, MemberRecord, MemberStatus
from chicorychute.membership.digests import filter_by_service
from chicorychute.membership.members import Member, Members
from chicorychute.membership.records import services_of, without_detail
from chicorychute.membership.selection import (
    DETAIL_RECORDS_PER_MESSAGE,
    REPAIR_RECORDS_PER_MESSAGE,
    SMALL_FLEET_MAX_INSTANCES,
    Cursor,
)


class GossipComposer:
    """Chooses the records of a gossip message and which of them include digests."""

    def __init__(self, members: Members):
        self._members = members

    def message(self, own: MemberRecord, receiver: str, reply: bool) -> Gossip:
        """Return the gossip message of one round for a peer."""
        records = {own.instance: self._without_detail_if_large(own)}
        for instance in self._selected_ids(own, receiver):
            member = self._members.by_id.get(instance)
            if member is not None:
                records[instance] = self._without_detail_if_large(
                    self._record_to_send(member)
                )
        return Gossip(own.instance, reply, tuple(records.values()))

    def full_message(self, own: MemberRecord, receiver: str) -> Gossip:
        """Return the reply to a new peer: every instance that is not dead.

        In a large fleet it includes only the digests of services that the peer hosts.
        """
        records = [own]
        for instance in self._members.present.ids():
            records.append(self._record_to_send(self._members.by_id[instance]))
        if not self._is_small_fleet:
            services = services_of(self._members.by_id[receiver].record)
            records = [_with_shared_digests(record, services) for record in records]
        return Gossip(own.instance, False, tuple(records))

    def _selected_ids(self, own: MemberRecord, receiver: str) -> list[str]:
        selected = [receiver] if self._is_known_not_alive(receiver) else []
        selected.extend(self._members.recent_updates.next_ids())
        if self._is_small_fleet:
            selected.extend(
                self._members.present.next_ids(
                    Cursor.DETAIL, DETAIL_RECORDS_PER_MESSAGE
                )
            )
        selected.extend(
            self._members.present.next_ids(Cursor.REPAIR, REPAIR_RECORDS_PER_MESSAGE)
        )
        return selected

    def _is_known_not_alive(self, instance: str) -> bool:
        member = self._members.by_id.get(instance)
        return member is not None and member.record.status is not MemberStatus.ALIVE

    def _without_detail_if_large(self, record: MemberRecord) -> MemberRecord:
        return record if self._is_small_fleet else without_detail(record)

    def _record_to_send(self, member: Member) -> MemberRecord:
        """Return the newest record or, while it is ALIVE, the newest with digests."""
        record, detail = member.record, member.detail
        if detail.heartbeat == record.heartbeat or not detail.complete:
            return record
        return detail if record.status is MemberStatus.ALIVE else record

    @property
    def _is_small_fleet(self) -> bool:
        return len(self._members.present) <= SMALL_FLEET_MAX_INSTANCES


def _with_shared_digests(
    record: MemberRecord, services: tuple[str, ...]
) -> MemberRecord:
    """Return the record with only the digests of the given services."""
    shared = filter_by_service(record.upstreams, services)
    if not shared:
        return without_detail(record)
    return attrs.evolve(record, upstreams=shared)
