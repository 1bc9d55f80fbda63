"""What one daemon believes where traffic between regions is dear.

Load pattern: most work is served within its region, so only peers of the region tell
each other load and verdicts, each its own and none relayed. Upstreams of other
regions are known from the platform's list alone; their gates refuse what they have
no room for. Each beat echoes the last one heard from its receiver, which proves
the way there and back without a message of its own: a way cut in one direction,
or silent, stops being confirmed. Most beats tell only what changes with the load.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import (
    Beat,
    MemberRecord,
    MemberStatus,
    Pulse,
    UpstreamDigest,
    Verdict,
)
from chicorychute.membership.digests import shorten
from chicorychute.membership.records import services_in
from chicorychute.membership.sends import Send
from chicorychute.sources.base import ListedInstance, ListedUpstream

CONFIRM_ROUNDS = 3.5  # rounds without an echo after which a way counts as lost
BEATS_KEPT = 64  # own beats whose echo is still understood
FAR_DOUBT_S = 3.0  # time for which a way to another region stays lost after a failure
WHOLE_ROUNDS = 4  # between two whole beats, which repair what a peer missed
FORGET_S = 4.0  # silence after which a peer that the list dropped is forgotten


@attrs.define
class Peer:
    """Another instance: its record, and what proves the way to it.

    Attributes
    ----------
    heard_s : float, optional
        When its last beat came.
    confirmed_s : float, optional
        When the newest own beat was sent that it has echoed.
    lost_s : float, optional
        When a message to it could not be sent, or nothing came back.
    echoed : int
        Newest own heartbeat that it has echoed.
    """

    record: MemberRecord
    listed: bool = True
    heard_s: float | None = None
    confirmed_s: float | None = None
    lost_s: float | None = None
    echoed: int = 0


class NearbyView:
    """Beliefs of one daemon on its own region and, by the list, on all others.

    Parameters
    ----------
    own : MemberRecord
        Record of the own instance; its heartbeat numbers the beats.
    interval_s : float
        Time between two rounds of beats.
    region_by_zone : mapping
        Region of each availability zone.
    """

    alone = False

    def __init__(
        self,
        own: MemberRecord,
        interval_s: float,
        clock: Clock,
        region_by_zone: Mapping[str, str],
    ):
        self._own = own
        self._limit_s = interval_s * CONFIRM_ROUNDS
        self._clock = clock
        self._region_by_zone = region_by_zone
        self._peer_by_id: dict[str, Peer] = {}
        self._sent_s_by_beat: OrderedDict[int, float] = OrderedDict()
        self._rounds = 0
        self._changed_at = own.heartbeat  # last change of more than the load

    @property
    def own(self) -> MemberRecord:
        """Own record as last published."""
        return self._own

    def publish(
        self,
        table_version: int,
        upstreams: tuple[UpstreamDigest, ...],
        table_hash: str = "",
    ) -> None:
        """Replace the own digests."""
        self._change(
            table_version=table_version,
            table_hash=table_hash,
            upstreams=upstreams,
            services=services_in(upstreams),
        )

    def leave(self) -> None:
        """Mark the own instance as leaving."""
        self._change(status=MemberStatus.LEAVING)

    def _change(self, **changes: object) -> None:
        before = self._own
        heartbeat = before.heartbeat + 1
        self._own = attrs.evolve(before, heartbeat=heartbeat, **changes)
        if _lasting(before) != _lasting(self._own):
            self._changed_at = heartbeat

    def tell_own(self) -> tuple[Send, ...]:
        """Return a beat for every peer of the region, out of turn."""
        return self.gossip_round()

    def merge_list(self, leaving: Iterable[str], staying: Iterable[str]) -> bool:
        """Return False: no instance leaves by the list, only its upstreams do."""
        return False

    def gossip_round(self) -> tuple[Send, ...]:
        """Return a beat for every peer of the region."""
        self._note_sent()
        self._rounds += 1
        whole = self._rounds % WHOLE_ROUNDS == 0
        told = self._told()
        load = tuple(attrs.evolve(digest, ranks=()) for digest in told.upstreams)
        return tuple(
            Send(instance, _beat(told, peer))
            if whole or not self._knows_the_rest(peer)
            else Send(instance, Pulse(told.heartbeat, peer.record.heartbeat, load))
            for instance, peer in self._peer_by_id.items()
            if peer.record.region == self._own.region
        )

    def answer(self, instance: str) -> tuple[Send, ...]:
        """Return a whole beat for a peer that asks for one."""
        peer = self._peer_by_id.get(instance)
        if peer is None:
            return ()
        self._note_sent()
        return (Send(instance, _beat(self._told(), peer)),)

    def _note_sent(self) -> None:
        self._sent_s_by_beat[self._own.heartbeat] = self._clock.monotonic()
        while len(self._sent_s_by_beat) > BEATS_KEPT:
            self._sent_s_by_beat.popitem(last=False)

    def _told(self) -> MemberRecord:
        """Return the own record with short numbers."""
        return attrs.evolve(
            self._own, upstreams=tuple(map(shorten, self._own.upstreams))
        )

    def _knows_the_rest(self, peer: Peer) -> bool:
        """Return whether a peer has echoed all that a short beat leaves out."""
        return peer.echoed >= self._changed_at > 0

    def on_beat(self, beat: Beat) -> bool:
        """Take a peer's beat; returns whether its sender asks for one at once."""
        record = beat.record
        if record.instance == self._own.instance:
            return False
        now_s = self._clock.monotonic()
        known = self._peer_by_id.get(record.instance)
        if known is not None and _order(record) < _order(known.record):
            return False
        if known is None or known.record.incarnation != record.incarnation:
            known = Peer(record, listed=known is not None and known.listed)
            self._peer_by_id[record.instance] = known
        known.record = record
        known.heard_s = now_s
        if beat.echo_incarnation != self._own.incarnation:
            return True
        self._take_echo(known, beat.echo)
        return False

    def on_pulse(self, instance: str, incarnation: int, pulse: Pulse) -> None:
        """Take a peer's short beat; one of a start that is not known tells nothing."""
        known = self._peer_by_id.get(instance)
        if known is None or known.record.incarnation != incarnation:
            return
        if pulse.heartbeat <= known.record.heartbeat:
            return
        ranks_by_id = {d.upstream: d.ranks for d in known.record.upstreams}
        digests = tuple(
            attrs.evolve(digest, ranks=ranks_by_id.get(digest.upstream, ()))
            for digest in pulse.upstreams
        )
        known.record = attrs.evolve(
            known.record, heartbeat=pulse.heartbeat, upstreams=digests
        )
        known.heard_s = self._clock.monotonic()
        self._take_echo(known, pulse.echo)

    def _take_echo(self, peer: Peer, echo: int) -> None:
        if echo in self._sent_s_by_beat:
            peer.confirmed_s = self._sent_s_by_beat[echo]
            peer.echoed = max(peer.echoed, echo)

    def take_listed(self, listed: Iterable[ListedInstance]) -> None:
        """Take the platform's list; what it drops is forgotten once it is silent."""
        now_s = self._clock.monotonic()
        for peer in self._peer_by_id.values():
            peer.listed = False
        for item in listed:
            if item.instance != self._own.instance and item.upstreams:
                self._take_item(item)
        for instance, peer in list(self._peer_by_id.items()):
            silent = peer.heard_s is None or now_s - peer.heard_s > FORGET_S
            if not peer.listed and silent:
                del self._peer_by_id[instance]

    def _take_item(self, item: ListedInstance) -> None:
        peer = self._peer_by_id.get(item.instance)
        digests = tuple(
            _digest_of(item.instance, u) for u in item.upstreams if not u.leaving
        )
        if peer is None:
            record = self._record_of(item, digests)
            self._peer_by_id[item.instance] = Peer(record)
            return
        peer.listed = True
        if peer.heard_s is None:
            peer.record = attrs.evolve(
                peer.record, upstreams=digests, services=services_in(digests)
            )

    def _record_of(
        self, item: ListedInstance, digests: tuple[UpstreamDigest, ...]
    ) -> MemberRecord:
        zone = item.upstreams[0].zone
        return MemberRecord(
            item.instance,
            0,
            0,
            MemberStatus.ALIVE,
            item.host,
            item.peer_port,
            zone,
            self._region_by_zone.get(zone, zone),
            0,
            digests,
            services=services_in(digests),
        )

    def status_of(self, instance: str) -> MemberStatus:
        """Return the status of an instance, DEAD where it is unknown.

        A peer of the region is ALIVE while the way there and back is confirmed;
        one of another region until a message to it fails.
        """
        if instance == self._own.instance:
            return self._own.status
        peer = self._peer_by_id.get(instance)
        if peer is None:
            return MemberStatus.DEAD
        if peer.record.status is not MemberStatus.ALIVE:
            return peer.record.status
        now_s = self._clock.monotonic()
        if peer.record.region != self._own.region:
            alive = peer.lost_s is None or now_s - peer.lost_s > FAR_DOUBT_S
        elif peer.confirmed_s is None:
            alive = False
        else:
            proved = peer.lost_s is None or peer.confirmed_s > peer.lost_s
            alive = proved and now_s - peer.confirmed_s <= self._limit_s
        return MemberStatus.ALIVE if alive else MemberStatus.SUSPECT

    def record_of(self, instance: str) -> MemberRecord | None:
        """Return the newest record of an instance, or None."""
        if instance == self._own.instance:
            return self._own
        peer = self._peer_by_id.get(instance)
        return None if peer is None else peer.record

    def records(self) -> tuple[MemberRecord, ...]:
        """Return every record, the own first."""
        return (self._own, *(peer.record for peer in self._peer_by_id.values()))

    def hosts(self, service: str) -> list[MemberRecord]:
        """Return the records of the instances beside which a service runs."""
        return [record for record in self.records() if service in record.services]

    def on_unreachable(self, instance: str) -> None:
        """Note that no message could be sent to an instance."""
        peer = self._peer_by_id.get(instance)
        if peer is not None:
            peer.lost_s = self._clock.monotonic()


def _beat(told: MemberRecord, peer: Peer) -> Beat:
    return Beat(told, peer.record.heartbeat, peer.record.incarnation)


def _lasting(record: MemberRecord) -> tuple[object, ...]:
    """Return what a short beat leaves out."""
    upstreams = tuple((d.upstream, d.service) for d in record.upstreams)
    return record.status, record.table_version, record.table_hash, upstreams


def _order(record: MemberRecord) -> tuple[int, int]:
    return record.incarnation, record.heartbeat


def _digest_of(instance: str, listed: ListedUpstream) -> UpstreamDigest:
    """Return what the list alone tells: a place with slots and no known load."""
    verdict = Verdict.COLD if listed.cold_s > 0 else Verdict.HEALTHY
    return UpstreamDigest(
        instance, listed.service, verdict, listed.slots, 0, 0, 0.0, 0.0, 1.0
    )
