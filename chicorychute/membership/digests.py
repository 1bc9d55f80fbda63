"""Distribution of digests to the peers that host the same services.

An instance sends its own digests itself, so that none is older than one round robin
over its peers. A changed verdict is sent first, to every peer of that service without
waiting for the round robin.
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
from chicorychute.membership.selection import DIGEST_PEERS_PER_ROUND, Cursor

HALF_PRECISION_MAX = 65_504.0


def reduce_precision(value: float) -> float:
    """Return the value to 3 digits, which take 3 bytes instead of 9 on the wire.

    Above `HALF_PRECISION_MAX` it is kept in single precision, which takes 5 bytes.
    """
    format_code = "e" if abs(value) <= HALF_PRECISION_MAX else "f"
    return struct.unpack(format_code, struct.pack(format_code, value))[0]


def with_reduced_precision(digest: UpstreamDigest) -> UpstreamDigest:
    """Return the digest with its numbers in reduced precision."""
    return attrs.evolve(
        digest,
        latency_ms=reduce_precision(digest.latency_ms),
        failure_share=reduce_precision(digest.failure_share),
        weight=reduce_precision(digest.weight),
        suspicion=reduce_precision(digest.suspicion),
        risk=reduce_precision(digest.risk),
        ranks=tuple(_rank_with_reduced_precision(rank) for rank in digest.ranks),
        waits=tuple(
            RankWait(w.rank, reduce_precision(w.wait_ms)) for w in digest.waits
        ),
    )


def _rank_with_reduced_precision(rank: RankDigest) -> RankDigest:
    return RankDigest(
        rank.rank,
        rank.count,
        reduce_precision(rank.p50_ms),
        reduce_precision(rank.p90_ms),
        reduce_precision(rank.failure_share),
        reduce_precision(rank.shed_share),
        reduce_precision(rank.empty_share),
    )


def filter_by_service(
    digests: tuple[UpstreamDigest, ...], services: tuple[str, ...]
) -> tuple[UpstreamDigest, ...]:
    """Return the digests of the given services."""
    return tuple(digest for digest in digests if digest.service in services)


def with_update(known: MemberRecord, update: DigestUpdate) -> MemberRecord:
    """Return the record with the updated digests; those of other services are kept."""
    updated_services = {digest.service for digest in update.upstreams}
    others = tuple(d for d in known.upstreams if d.service not in updated_services)
    return attrs.evolve(
        known,
        heartbeat=update.heartbeat,
        status=MemberStatus.ALIVE,
        upstreams=update.upstreams + others,
        complete=True,
    )


class DigestScheduler:
    """Chooses the peers that receive the own digests in a round."""

    def __init__(self, members: Members):
        self._members = members
        self._urgent_receivers: deque[str] = deque()

    def enqueue_verdict_changes(
        self, previous: MemberRecord, current: MemberRecord
    ) -> None:
        """Queue the peers of each service with a changed verdict as next receivers."""
        verdicts = {(d.upstream, d.verdict) for d in previous.upstreams}
        changed = (
            d for d in current.upstreams if (d.upstream, d.verdict) not in verdicts
        )
        for service in dict.fromkeys(digest.service for digest in changed):
            hosts = self._members.hosts.of(service)
            self._urgent_receivers.extend(
                sorted(hosts.difference(self._urgent_receivers))
            )

    def next_updates(self, own: MemberRecord) -> list[tuple[str, DigestUpdate]]:
        """Return the receivers of one round, each with its update."""
        return [
            (instance, self._update_for(own, instance))
            for instance in self._next_receivers()
            if instance in self._members.present
        ]

    def _next_receivers(self) -> list[str]:
        urgent = [
            self._urgent_receivers.popleft()
            for _ in range(min(DIGEST_PEERS_PER_ROUND, len(self._urgent_receivers)))
        ]
        regular = self._members.service_peers.next_ids(
            Cursor.DETAIL, DIGEST_PEERS_PER_ROUND - len(urgent)
        )
        return list(dict.fromkeys(urgent + regular))

    def _update_for(self, own: MemberRecord, receiver: str) -> DigestUpdate:
        services = services_of(self._members.by_id[receiver].record)
        shared = filter_by_service(own.upstreams, services)
        return DigestUpdate(
            own.instance,
            own.incarnation,
            own.heartbeat,
            tuple(with_reduced_precision(digest) for digest in shared),
        )
