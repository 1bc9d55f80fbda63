"""State of instances as seen by one daemon where cross-region traffic is expensive.

Load pattern: most work is served within its region, so only neighbours of the same
region exchange load and verdicts, each its own and none relayed. All other upstreams
are known from the platform's list alone; their gates refuse requests for which they
have no capacity. Each heartbeat echoes the last one received from its receiver, which
confirms the network path in both directions without a message of its own: a path that
is blocked in one direction, or unresponsive, is no longer confirmed. Most
heartbeats are short and carry only what changes with the load.
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
from chicorychute.membership.digests import with_reduced_precision
from chicorychute.membership.neighbours import choose_neighbours
from chicorychute.membership.records import services_in
from chicorychute.membership.sends import Send
from chicorychute.sources.base import ListedInstance, ListedUpstream

# Rounds without an echo after which a network path counts as lost.
PATH_TIMEOUT_ROUNDS = 3.5
# Own heartbeats that are remembered; an echo of an older one is ignored.
MAX_SENT_HEARTBEATS = 64
# Time for which an instance without heartbeats is suspect after a failed message.
LISTED_SUSPECT_S = 3.0
# Rounds between two complete heartbeats, which repair what a peer missed.
COMPLETE_HEARTBEAT_ROUNDS = 4
# Silence after which a peer that is no longer listed is removed, and one that is no
# neighbour gets no more heartbeats.
SILENT_PEER_TIMEOUT_S = 4.0


@attrs.define
class Peer:
    """Another instance: its record, and what confirms the network path to it.

    Times are readings of the own monotonic clock.

    Attributes
    ----------
    listed : bool
        Whether it is on the platform's list.
    last_heard_s : float, optional
        When its last heartbeat came.
    path_confirmed_s : float, optional
        When the newest own heartbeat that it has echoed was sent.
    path_lost_s : float, optional
        When a message to it last could not be sent, or got no answer.
    last_echoed : int
        Newest own heartbeat that it has echoed.
    """

    record: MemberRecord
    listed: bool = True
    last_heard_s: float | None = None
    path_confirmed_s: float | None = None
    path_lost_s: float | None = None
    last_echoed: int = 0


class RegionalView:
    """View of neighbours in the own region by heartbeats, of others by the list.

    Heartbeats go to the chosen neighbours, and to the peers that have sent one lately:
    an instance answers those that have chosen it.

    Parameters
    ----------
    own : MemberRecord
        Record of the own instance; its heartbeat numbers the messages.
    interval_s : float
        Time in seconds between two rounds of heartbeats.
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
        self._path_timeout_s = interval_s * PATH_TIMEOUT_ROUNDS
        self._clock = clock
        self._region_by_zone = region_by_zone
        self._peer_by_id: dict[str, Peer] = {}
        self._sent_s_by_heartbeat: OrderedDict[int, float] = OrderedDict()
        self._rounds = 0
        self._neighbours: set[str] = set()
        self._neighbours_outdated = True
        # Own heartbeat at the last change of what short heartbeats omit.
        self._lasting_change_heartbeat = own.heartbeat

    @property
    def own(self) -> MemberRecord:
        """Own record as last published."""
        return self._own

    @property
    def size(self) -> int:
        """Number of known instances of all regions, the own included."""
        return len(self._peer_by_id) + 1

    def publish(
        self,
        table_version: int,
        upstreams: tuple[UpstreamDigest, ...],
        table_hash: str = "",
        list_revision: int = 0,
    ) -> None:
        """Replace the own digests and what the own record states."""
        self._update_own(
            list_revision=list_revision,
            table_version=table_version,
            table_hash=table_hash,
            upstreams=upstreams,
            services=services_in(upstreams),
        )

    def leave(self) -> None:
        """Mark the own instance as leaving."""
        self._update_own(status=MemberStatus.LEAVING)

    def _update_own(self, **changes: object) -> None:
        previous = self._own
        heartbeat = previous.heartbeat + 1
        self._own = attrs.evolve(previous, heartbeat=heartbeat, **changes)
        if _lasting_fields(previous) != _lasting_fields(self._own):
            self._lasting_change_heartbeat = heartbeat

    def broadcast_own(self) -> tuple[Send, ...]:
        """Return a heartbeat for every partner, between regular rounds."""
        return self.gossip_round()

    def apply_leaving_flags(
        self, leaving: Iterable[str], staying: Iterable[str]
    ) -> bool:
        """Return False: the list only marks upstreams as leaving, not the instance."""
        return False

    def gossip_round(self) -> tuple[Send, ...]:
        """Return a heartbeat for every neighbour, and for those that sent one."""
        self._record_sent()
        self._rounds += 1
        self._choose_neighbours()
        complete = self._rounds % COMPLETE_HEARTBEAT_ROUNDS == 0
        own_record = self._own_with_reduced_precision()
        load_digests = tuple(
            attrs.evolve(digest, ranks=()) for digest in own_record.upstreams
        )
        return tuple(
            Send(instance, _heartbeat_message(own_record, peer))
            if complete or not self._has_echoed_lasting_change(peer)
            else Send(
                instance,
                Pulse(
                    own_record.heartbeat,
                    peer.record.heartbeat,
                    load_digests,
                    own_record.list_revision,
                ),
            )
            for instance, peer in self._peer_by_id.items()
            if self.reports_load(instance)
        )

    def reports_load(self, instance: str) -> bool:
        """Return whether heartbeats are exchanged with an instance."""
        if instance == self._own.instance:
            return True
        peer = self._peer_by_id.get(instance)
        if peer is None or peer.record.region != self._own.region:
            return False
        return instance in self._neighbours or self._is_heard(peer)

    def _is_heard(self, peer: Peer) -> bool:
        """Return whether a peer has sent a heartbeat lately."""
        return (
            peer.last_heard_s is not None
            and self._clock.monotonic() - peer.last_heard_s <= SILENT_PEER_TIMEOUT_S
        )

    def _choose_neighbours(self) -> None:
        if not self._neighbours_outdated:
            return
        self._neighbours_outdated = False
        self._neighbours = choose_neighbours(
            self._own, (peer.record for peer in self._peer_by_id.values())
        )

    def complete_heartbeat_for(self, instance: str) -> tuple[Send, ...]:
        """Return a complete heartbeat for a peer that needs one."""
        peer = self._peer_by_id.get(instance)
        if peer is None:
            return ()
        self._record_sent()
        return (
            Send(
                instance, _heartbeat_message(self._own_with_reduced_precision(), peer)
            ),
        )

    def _record_sent(self) -> None:
        self._sent_s_by_heartbeat[self._own.heartbeat] = self._clock.monotonic()
        while len(self._sent_s_by_heartbeat) > MAX_SENT_HEARTBEATS:
            self._sent_s_by_heartbeat.popitem(last=False)

    def _own_with_reduced_precision(self) -> MemberRecord:
        """Return the own record with its digests in reduced precision."""
        return attrs.evolve(
            self._own, upstreams=tuple(map(with_reduced_precision, self._own.upstreams))
        )

    def _has_echoed_lasting_change(self, peer: Peer) -> bool:
        """Return whether a peer has echoed the newest of what short heartbeats omit."""
        return peer.last_echoed >= self._lasting_change_heartbeat > 0

    def on_heartbeat(self, complete_heartbeat: Beat) -> bool:
        """Apply a peer's heartbeat.

        Returns
        -------
        bool
            Whether the sender does not know this process, and needs a complete
            heartbeat at once.
        """
        record = complete_heartbeat.record
        if record.instance == self._own.instance:
            return False
        now_s = self._clock.monotonic()
        known_peer = self._peer_by_id.get(record.instance)
        if known_peer is not None and _recency_key(record) < _recency_key(
            known_peer.record
        ):
            return False
        if known_peer is None or known_peer.record.incarnation != record.incarnation:
            known_peer = Peer(
                record, listed=known_peer is not None and known_peer.listed
            )
            self._peer_by_id[record.instance] = known_peer
        if record.services != known_peer.record.services:
            self._neighbours_outdated = True
        known_peer.record = record
        known_peer.last_heard_s = now_s
        if complete_heartbeat.echo_incarnation != self._own.incarnation:
            return True
        self._apply_echo(known_peer, complete_heartbeat.echo)
        return False

    def on_short_heartbeat(
        self, instance: str, incarnation: int, short_heartbeat: Pulse
    ) -> None:
        """Apply a peer's short heartbeat; one of an unknown incarnation is ignored."""
        known_peer = self._peer_by_id.get(instance)
        if known_peer is None or known_peer.record.incarnation != incarnation:
            return
        if short_heartbeat.heartbeat <= known_peer.record.heartbeat:
            return
        ranks_by_id = {d.upstream: d.ranks for d in known_peer.record.upstreams}
        digests = tuple(
            attrs.evolve(digest, ranks=ranks_by_id.get(digest.upstream, ()))
            for digest in short_heartbeat.upstreams
        )
        known_peer.record = attrs.evolve(
            known_peer.record,
            heartbeat=short_heartbeat.heartbeat,
            upstreams=digests,
            list_revision=short_heartbeat.list_revision,
        )
        known_peer.last_heard_s = self._clock.monotonic()
        self._apply_echo(known_peer, short_heartbeat.echo)

    def _apply_echo(self, peer: Peer, echo: int) -> None:
        if echo in self._sent_s_by_heartbeat:
            peer.path_confirmed_s = self._sent_s_by_heartbeat[echo]
            peer.last_echoed = max(peer.last_echoed, echo)

    def apply_instance_list(self, listed: Iterable[ListedInstance]) -> None:
        """Apply the platform's list; remove unresponsive peers that it lacks."""
        self._neighbours_outdated = True
        for peer in self._peer_by_id.values():
            peer.listed = False
        for item in listed:
            if item.instance != self._own.instance and item.upstreams:
                self._apply_listed(item)
        for instance, peer in list(self._peer_by_id.items()):
            if not peer.listed and not self._is_heard(peer):
                del self._peer_by_id[instance]

    def _apply_listed(self, item: ListedInstance) -> None:
        peer = self._peer_by_id.get(item.instance)
        digests = tuple(
            _digest_from_list(item.instance, u) for u in item.upstreams if not u.leaving
        )
        if peer is None:
            record = self._record_from_list(item, digests)
            self._peer_by_id[item.instance] = Peer(record)
            return
        peer.listed = True
        if not self.reports_load(item.instance) or peer.last_heard_s is None:
            # The load that a former partner reported is outdated.
            peer.record = attrs.evolve(
                peer.record, upstreams=digests, services=services_in(digests)
            )

    def _record_from_list(
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

        A peer with which heartbeats are exchanged is ALIVE while the network path is
        confirmed in both directions; any other instance until a message to it fails.
        """
        if instance == self._own.instance:
            return self._own.status
        peer = self._peer_by_id.get(instance)
        if peer is None:
            return MemberStatus.DEAD
        if peer.record.status is not MemberStatus.ALIVE:
            return peer.record.status
        now_s = self._clock.monotonic()
        if not self.reports_load(instance):
            is_alive = (
                peer.path_lost_s is None or now_s - peer.path_lost_s > LISTED_SUSPECT_S
            )
        elif peer.path_confirmed_s is None:
            is_alive = False
        else:
            is_confirmed = (
                peer.path_lost_s is None or peer.path_confirmed_s > peer.path_lost_s
            )
            is_alive = (
                is_confirmed and now_s - peer.path_confirmed_s <= self._path_timeout_s
            )
        return MemberStatus.ALIVE if is_alive else MemberStatus.SUSPECT

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
        """Return the records of the instances that host a service."""
        return [record for record in self.records() if service in record.services]

    def on_unreachable(self, instance: str) -> None:
        """Record that no message could be sent to an instance."""
        peer = self._peer_by_id.get(instance)
        if peer is not None:
            peer.path_lost_s = self._clock.monotonic()


def _heartbeat_message(own_record: MemberRecord, peer: Peer) -> Beat:
    return Beat(own_record, peer.record.heartbeat, peer.record.incarnation)


def _lasting_fields(record: MemberRecord) -> tuple[object, ...]:
    """Return the fields that a short heartbeat omits."""
    upstreams = tuple((d.upstream, d.service) for d in record.upstreams)
    return record.status, record.table_version, record.table_hash, upstreams


def _recency_key(record: MemberRecord) -> tuple[int, int]:
    return record.incarnation, record.heartbeat


def _digest_from_list(instance: str, listed: ListedUpstream) -> UpstreamDigest:
    """Return a digest from the list alone: slots are known, the load is not."""
    verdict = Verdict.COLD if listed.cold_s > 0 else Verdict.HEALTHY
    return UpstreamDigest(
        instance, listed.service, verdict, listed.slots, 0, 0, 0.0, 0.0, 1.0
    )
