"""Store of what is believed of every other instance, and its indices."""

from collections.abc import Callable

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import MemberRecord, MemberStatus
from chicorychute.membership.hosts import HostIndex
from chicorychute.membership.records import resolve, services_of
from chicorychute.membership.selection import News, Ring

TOMBSTONE_S = 300.0


@attrs.define
class Member:
    """One instance: its newest record, and the newest that has its upstreams."""

    record: MemberRecord
    detail: MemberRecord
    changed_s: float


class Members:
    """Members by id, with sets of them by status and service.

    Parameters
    ----------
    showed_life : callable
        Called with an instance whose heartbeat rose.
    """

    def __init__(self, clock: Clock, showed_life: Callable[[str], None]):
        self._clock = clock
        self._showed_life = showed_life
        self._own_services: tuple[str, ...] = ()
        self._dead_since_by_id: dict[str, float] = {}
        self.by_id: dict[str, Member] = {}
        self.hosts = HostIndex()
        self.present = Ring()
        self.sharing = Ring()
        self.suspects: set[str] = set()
        self.lost_paths: set[str] = set()
        self.news = News()

    @property
    def dead(self) -> list[str]:
        """Instances that were given up and are still remembered."""
        return list(self._dead_since_by_id)

    def record_of(self, instance: str) -> MemberRecord | None:
        """Return the newest record of an instance, or None."""
        member = self.by_id.get(instance)
        return None if member is None else member.record

    def share_services(self, services: tuple[str, ...]) -> None:
        """Take the services beside the own instance."""
        self._own_services = services
        self.sharing = Ring()
        for instance in self.present.ids():
            if self._shares(self.by_id[instance].record):
                self.sharing.add(instance)

    def merge(self, record: MemberRecord) -> None:
        """Take a record; a claim of death of an unknown instance is ignored."""
        member = self.by_id.get(record.instance)
        if member is not None:
            self._update(member, record)
        elif record.status is not MemberStatus.DEAD:
            self._add(record)

    def set_path_lost(self, instance: str, lost: bool) -> None:
        """Note whether the own way to an instance is lost."""
        if lost and instance in self.present:
            self.lost_paths.add(instance)
        else:
            self.lost_paths.discard(instance)

    def forget_dead(self) -> None:
        """Drop the instances that were given up long ago."""
        limit_s = self._clock.monotonic() - TOMBSTONE_S
        # Oldest first: an entry moves to the end whenever it is written again.
        for instance, since_s in list(self._dead_since_by_id.items()):
            if since_s >= limit_s:
                return
            self._forget(instance)

    def _update(self, member: Member, record: MemberRecord) -> None:
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
            self._showed_life(record.instance)
        if newest.upstreams is not member.detail.upstreams:
            newest = attrs.evolve(newest, upstreams=member.detail.upstreams)
        member.record = newest
        self._note(member, known)

    def _add(self, record: MemberRecord) -> None:
        member = Member(record, record, self._clock.monotonic())
        self.by_id[record.instance] = member
        self._index(record)
        self._note_status(member)

    def _note(self, member: Member, before: MemberRecord) -> None:
        record = member.record
        if services_of(record) != services_of(before):
            self._unindex(before)
            self._index(record)
        if record.incarnation != before.incarnation:
            self.lost_paths.discard(record.instance)
        if (record.incarnation, record.status) != (before.incarnation, before.status):
            self._note_status(member)

    def _note_status(self, member: Member) -> None:
        instance = member.record.instance
        status = member.record.status
        member.changed_s = self._clock.monotonic()
        self.news.add(instance, len(self.by_id))
        self.suspects.discard(instance)
        self._dead_since_by_id.pop(instance, None)
        if status is MemberStatus.DEAD:
            self._dead_since_by_id[instance] = member.changed_s
            self.present.discard(instance)
            self.sharing.discard(instance)
            self.lost_paths.discard(instance)
            return
        if status is MemberStatus.SUSPECT:
            self.suspects.add(instance)
        self.present.add(instance)
        if self._shares(member.record):
            self.sharing.add(instance)

    def _index(self, record: MemberRecord) -> None:
        self.hosts.add(record)
        if self._shares(record) and record.instance in self.present:
            self.sharing.add(record.instance)

    def _unindex(self, record: MemberRecord) -> None:
        self.hosts.discard(record)
        self.sharing.discard(record.instance)

    def _shares(self, record: MemberRecord) -> bool:
        return not set(services_of(record)).isdisjoint(self._own_services)

    def _forget(self, instance: str) -> None:
        member = self.by_id.pop(instance)
        self._unindex(member.record)
        self.news.discard((instance,))
        del self._dead_since_by_id[instance]


def _newer(record: MemberRecord, known: MemberRecord) -> bool:
    return (record.incarnation, record.heartbeat) > (
        known.incarnation,
        known.heartbeat,
    )
