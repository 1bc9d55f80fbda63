"""Store of the records of all other instances, with its indices."""

from collections.abc import Callable

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import MemberRecord, MemberStatus
from chicorychute.membership.hosts import HostIndex
from chicorychute.membership.records import resolve, services_of
from chicorychute.membership.selection import RecentUpdates, RoundRobinSet

TOMBSTONE_S = 300.0


@attrs.define
class Member:
    """Known state of one instance.

    Attributes
    ----------
    record : MemberRecord
        Newest record, with the upstreams of `detail`.
    detail : MemberRecord
        Newest record that includes the upstreams.
    status_changed_s : float
        Monotonic time at which the status or the incarnation last changed.
    """

    record: MemberRecord
    detail: MemberRecord
    status_changed_s: float


class Members:
    """Members by id, with sets of them by status and service.

    Parameters
    ----------
    on_newer_heartbeat : callable
        Called with the id of an instance whose heartbeat increased.
    """

    def __init__(self, clock: Clock, on_newer_heartbeat: Callable[[str], None]):
        self._clock = clock
        self._on_newer_heartbeat = on_newer_heartbeat
        self._own_services: tuple[str, ...] = ()
        self._dead_since_by_id: dict[str, float] = {}
        self.by_id: dict[str, Member] = {}
        self.hosts = HostIndex()
        self.present = RoundRobinSet()
        self.service_peers = RoundRobinSet()
        self.suspects: set[str] = set()
        self.lost_paths: set[str] = set()
        self.recent_updates = RecentUpdates()

    @property
    def dead(self) -> list[str]:
        """Dead instances, which are remembered for `TOMBSTONE_S`."""
        return list(self._dead_since_by_id)

    def record_of(self, instance: str) -> MemberRecord | None:
        """Return the newest record of an instance, or None."""
        member = self.by_id.get(instance)
        return None if member is None else member.record

    def set_own_services(self, services: tuple[str, ...]) -> None:
        """Replace the services of the own instance and rebuild `service_peers`."""
        self._own_services = services
        self.service_peers = RoundRobinSet()
        for instance in self.present.ids():
            if self._shares_service(self.by_id[instance].record):
                self.service_peers.add(instance)

    def merge(self, record: MemberRecord) -> None:
        """Merge a record; a claim that an unknown instance is dead is ignored."""
        member = self.by_id.get(record.instance)
        if member is not None:
            self._update(member, record)
        elif record.status is not MemberStatus.DEAD:
            self._add(record)

    def set_path_lost(self, instance: str, lost: bool) -> None:
        """Set whether the network path from here to an instance is lost."""
        if lost and instance in self.present:
            self.lost_paths.add(instance)
        else:
            self.lost_paths.discard(instance)

    def forget_dead(self) -> None:
        """Remove the instances that have been dead for more than `TOMBSTONE_S`."""
        cutoff_s = self._clock.monotonic() - TOMBSTONE_S
        # Oldest first: an instance that dies again is reinserted at the end.
        for instance, since_s in list(self._dead_since_by_id.items()):
            if since_s >= cutoff_s:
                return
            self._forget(instance)

    def _update(self, member: Member, record: MemberRecord) -> None:
        known = member.record
        detail = member.detail
        newest = resolve(known, record)
        if record.complete and _is_newer(record, detail):
            member.detail = record
        elif newest.incarnation != detail.incarnation:
            member.detail = newest
        if newest is known and member.detail is detail:
            return
        if newest.status is not MemberStatus.DEAD and _is_newer(newest, known):
            self._on_newer_heartbeat(record.instance)
        if newest.upstreams is not member.detail.upstreams:
            newest = attrs.evolve(newest, upstreams=member.detail.upstreams)
        member.record = newest
        self._apply_change(member, known)

    def _add(self, record: MemberRecord) -> None:
        member = Member(record, record, self._clock.monotonic())
        self.by_id[record.instance] = member
        self._index(record)
        self._apply_status(member)

    def _apply_change(self, member: Member, previous: MemberRecord) -> None:
        record = member.record
        if services_of(record) != services_of(previous):
            self._unindex(previous)
            self._index(record)
        if record.incarnation != previous.incarnation:
            self.lost_paths.discard(record.instance)
        if (record.incarnation, record.status) != (
            previous.incarnation,
            previous.status,
        ):
            self._apply_status(member)

    def _apply_status(self, member: Member) -> None:
        instance = member.record.instance
        status = member.record.status
        member.status_changed_s = self._clock.monotonic()
        self.recent_updates.add(instance, len(self.by_id))
        self.suspects.discard(instance)
        self._dead_since_by_id.pop(instance, None)
        if status is MemberStatus.DEAD:
            self._dead_since_by_id[instance] = member.status_changed_s
            self.present.discard(instance)
            self.service_peers.discard(instance)
            self.lost_paths.discard(instance)
            return
        if status is MemberStatus.SUSPECT:
            self.suspects.add(instance)
        self.present.add(instance)
        if self._shares_service(member.record):
            self.service_peers.add(instance)

    def _index(self, record: MemberRecord) -> None:
        self.hosts.add(record)
        if self._shares_service(record) and record.instance in self.present:
            self.service_peers.add(record.instance)

    def _unindex(self, record: MemberRecord) -> None:
        self.hosts.discard(record)
        self.service_peers.discard(record.instance)

    def _shares_service(self, record: MemberRecord) -> bool:
        return not set(services_of(record)).isdisjoint(self._own_services)

    def _forget(self, instance: str) -> None:
        member = self.by_id.pop(instance)
        self._unindex(member.record)
        self.recent_updates.discard((instance,))
        del self._dead_since_by_id[instance]


def _is_newer(record: MemberRecord, known: MemberRecord) -> bool:
    return (record.incarnation, record.heartbeat) > (
        known.incarnation,
        known.heartbeat,
    )
