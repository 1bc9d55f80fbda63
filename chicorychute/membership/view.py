"""Merges records of instances by incarnation and heartbeat."""

import random

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import (
    Gossip,
    MemberRecord,
    MemberStatus,
    UpstreamDigest,
)

GOSSIP_FANOUT = 2
DEAD_AFTER_SUSPECT_FACTOR = 3  # silence, in suspicion periods, until given up


@attrs.define
class _Member:
    record: MemberRecord
    heard_s: float


class MembershipView:
    """What this daemon believes about every instance.

    Parameters
    ----------
    own : MemberRecord
        Record of the own instance; its heartbeat rises with each round.
    suspect_after_s : float
        Silence after which an instance is suspected.
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

    @property
    def own(self) -> MemberRecord:
        """Own record as last published."""
        return self._own

    def publish(self, table_version: int, upstreams: tuple[UpstreamDigest, ...]):
        """Raise the own heartbeat and replace the own digests."""
        self._own = attrs.evolve(
            self._own,
            heartbeat=self._own.heartbeat + 1,
            table_version=table_version,
            upstreams=upstreams,
        )

    def leave(self) -> Gossip:
        """Mark the own instance as leaving; returns the message for every peer."""
        self._own = attrs.evolve(
            self._own, heartbeat=self._own.heartbeat + 1, status=MemberStatus.LEAVING
        )
        return Gossip(self._own.instance, False, (self._own,))

    def merge(self, records: tuple[MemberRecord, ...]) -> None:
        """Keep the newer record of each instance."""
        for record in records:
            if record.instance == self._own.instance:
                continue
            known = self._member_by_id.get(record.instance)
            if known is None or _newer(record, known.record):
                now = self._clock.monotonic()
                self._member_by_id[record.instance] = _Member(record, now)

    def status_of(self, instance: str) -> MemberStatus:
        """Return the status of an instance, DEAD where it is unknown."""
        if instance == self._own.instance:
            return self._own.status
        member = self._member_by_id.get(instance)
        if member is None:
            return MemberStatus.DEAD
        if member.record.status is not MemberStatus.ALIVE:
            return member.record.status
        silence_s = self._clock.monotonic() - member.heard_s
        if silence_s > self._suspect_after_s * DEAD_AFTER_SUSPECT_FACTOR:
            return MemberStatus.DEAD
        if silence_s > self._suspect_after_s:
            return MemberStatus.SUSPECT
        return MemberStatus.ALIVE

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

    def gossip_round(self) -> tuple[tuple[str, ...], Gossip]:
        """Return the partners of this round and the message for them."""
        alive = [
            instance
            for instance in self._member_by_id
            if self.status_of(instance) is not MemberStatus.DEAD
        ]
        partners = self._rng.sample(alive, min(GOSSIP_FANOUT, len(alive)))
        return tuple(partners), Gossip(self._own.instance, True, self.records())

    def on_gossip(self, message: Gossip) -> Gossip | None:
        """Merge a peer's records; returns the answer if it asked for one."""
        self.merge(message.records)
        if not message.reply:
            return None
        return Gossip(self._own.instance, False, self.records())


def _newer(record: MemberRecord, known: MemberRecord) -> bool:
    return (record.incarnation, record.heartbeat) > (
        known.incarnation,
        known.heartbeat,
    )
