"""Precedence among the records of one instance.

Only the instance itself increments its heartbeat. A claim of a peer that it is suspect
repeats the heartbeat that the peer knows, so that any later heartbeat refutes it. A
claim that it is dead adds `DEAD_HEARTBEAT_STEP`: records that were in transit when the
instance died can't override the claim, and a live instance that receives it raises its
own heartbeat above it.
"""

from collections.abc import Iterable

import attrs

from chicorychute.core.messages import MemberRecord, MemberStatus, UpstreamDigest

# An instance needs several minutes for as many heartbeats.
DEAD_HEARTBEAT_STEP = 1_000

SEVERITY_BY_STATUS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}
HEARTBEAT_STEP_BY_STATUS = {
    MemberStatus.SUSPECT: 0,
    MemberStatus.DEAD: DEAD_HEARTBEAT_STEP,
}


def precedence_key(record: MemberRecord) -> tuple[int, int, int]:
    """Return the sort key of records of the same instance."""
    return record.incarnation, record.heartbeat, SEVERITY_BY_STATUS[record.status]


def resolve(known: MemberRecord, incoming: MemberRecord) -> MemberRecord:
    """Merge two records of the same instance.

    The newer one wins, but an incarnation that was LEAVING can only become DEAD.
    """
    newest = incoming if precedence_key(incoming) > precedence_key(known) else known
    if known.incarnation != incoming.incarnation:
        return newest
    statuses = (known.status, incoming.status)
    if MemberStatus.LEAVING not in statuses or newest.status is MemberStatus.DEAD:
        return newest
    if newest.status is MemberStatus.LEAVING:
        return newest
    return attrs.evolve(newest, status=MemberStatus.LEAVING)


def claim(record: MemberRecord, status: MemberStatus) -> MemberRecord:
    """Return the record with which a peer claims that an instance has `status`."""
    heartbeat = record.heartbeat + HEARTBEAT_STEP_BY_STATUS[status]
    return attrs.evolve(record, heartbeat=heartbeat, status=status)


def without_detail(record: MemberRecord) -> MemberRecord:
    """Return the record without its digests, for peers that share no service."""
    return attrs.evolve(record, upstreams=(), complete=False)


def services_of(record: MemberRecord) -> tuple[str, ...]:
    """Return the services that an instance hosts, sorted, each once."""
    return record.services or services_in(record.upstreams)


def services_in(upstreams: Iterable[UpstreamDigest]) -> tuple[str, ...]:
    """Return the services of the given digests, sorted, each once."""
    return tuple(sorted({digest.service for digest in upstreams}))
