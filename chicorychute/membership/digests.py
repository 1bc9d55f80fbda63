"""Tells each peer the digests of the services that it shares.

An instance tells its own digests itself, so that none is older than a turn through
its peers. A changed verdict goes first, to every peer of that service at once.
"""

import struct
from collections import deque

import attrs

from chicorychute.core.messages import (
    DigestUpdate,
    MemberRecord,
    MemberStatus,
    RankDigest,
    RankWait,
    UpstreamDigest,
)
from chicorychute.membership.members import Members
from chicorychute.membership.records import services_of
from chicorychute.membership.selection import DIGEST_PEERS, Turn

HALF_PRECISION_MAX = 65_504.0


def short(value: float) -> float:
    """Return the value to 3 digits, which take 3 bytes instead of 9."""
    form = "e" if abs(value) <= HALF_PRECISION_MAX else "f"
    return struct.unpack(form, struct.pack(form, value))[0]


def shorten(digest: UpstreamDigest) -> UpstreamDigest:
    """Return the digest with short numbers."""
    return attrs.evolve(
        digest,
        latency_ms=short(digest.latency_ms),
        failure_share=short(digest.failure_share),
        weight=short(digest.weight),
        suspicion=short(digest.suspicion),
        risk=short(digest.risk),
        ranks=tuple(_shorten_rank(rank) for rank in digest.ranks),
        waits=tuple(RankWait(w.rank, short(w.wait_ms)) for w in digest.waits),
    )


def _shorten_rank(rank: RankDigest) -> RankDigest:
    return RankDigest(
        rank.rank,
        rank.count,
        short(rank.p50_ms),
        short(rank.p90_ms),
        short(rank.failure_share),
        short(rank.shed_share),
        short(rank.empty_share),
    )


def of_services(
    digests: tuple[UpstreamDigest, ...], services: tuple[str, ...]
) -> tuple[UpstreamDigest, ...]:
    """Return the digests of some services."""
    return tuple(digest for digest in digests if digest.service in services)


def with_update(known: MemberRecord, update: DigestUpdate) -> MemberRecord:
    """Return a record with the told digests; those of other services stay."""
    told = {digest.service for digest in update.upstreams}
    kept = tuple(d for d in known.upstreams if d.service not in told)
    return attrs.evolve(
        known,
        heartbeat=update.heartbeat,
        status=MemberStatus.ALIVE,
        upstreams=update.upstreams + kept,
        whole=True,
    )


class DigestTeller:
    """Chooses whom to tell the own digests in a round."""

    def __init__(self, members: Members):
        self._members = members
        self._first: deque[str] = deque()

    def note(self, before: MemberRecord, now: MemberRecord) -> None:
        """Put the peers of each service with a changed verdict first."""
        verdicts = {(d.upstream, d.verdict) for d in before.upstreams}
        changed = (d for d in now.upstreams if (d.upstream, d.verdict) not in verdicts)
        for service in dict.fromkeys(digest.service for digest in changed):
            hosts = self._members.hosts.of(service)
            self._first.extend(sorted(hosts.difference(self._first)))

    def updates(self, own: MemberRecord) -> list[tuple[str, DigestUpdate]]:
        """Return the updates of one round with their receivers."""
        return [
            (instance, self._update(own, instance))
            for instance in self._receivers()
            if instance in self._members.present
        ]

    def _receivers(self) -> list[str]:
        first = [
            self._first.popleft() for _ in range(min(DIGEST_PEERS, len(self._first)))
        ]
        turn = self._members.sharing.take(Turn.DETAIL, DIGEST_PEERS - len(first))
        return list(dict.fromkeys(first + turn))

    def _update(self, own: MemberRecord, receiver: str) -> DigestUpdate:
        services = services_of(self._members.by_id[receiver].record)
        told = of_services(own.upstreams, services)
        return DigestUpdate(
            own.instance,
            own.incarnation,
            own.heartbeat,
            tuple(shorten(digest) for digest in told),
        )
