"""Order of the records of one instance.

An instance alone raises its heartbeat. A peer's claim against it repeats the
heartbeat that the peer knew, so that any later heartbeat refutes a suspicion. A
claim of death goes `DEAD_HEARTBEAT_STEP` further: records that were under way
when the instance died can't outrun it, and a living instance that hears of it
raises its heartbeat beyond.
"""

from collections.abc import Iterable

import attrs

from chicorychute.core.messages import MemberRecord, MemberStatus, UpstreamDigest

DEAD_HEARTBEAT_STEP = 1_000  # heartbeats of several minutes

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
    """Return what two records of the same instance say together.

    The newer one wins, but an incarnation that said it leaves never stays again.
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
    """Return the record by which a peer claims `status` of an instance."""
    heartbeat = record.heartbeat + HEARTBEAT_STEP_BY_STATUS[status]
    return attrs.evolve(record, heartbeat=heartbeat, status=status)


def without_detail(record: MemberRecord) -> MemberRecord:
    """Return the record without its upstreams, for peers that share no service."""
    return attrs.evolve(record, upstreams=(), whole=False)


def services_of(record: MemberRecord) -> tuple[str, ...]:
    """Return the services beside an instance, each once."""
    return record.services or services_in(record.upstreams)


def services_in(upstreams: Iterable[UpstreamDigest]) -> tuple[str, ...]:
    """Return the services of some upstreams, each once."""
    return tuple(sorted({digest.service for digest in upstreams}))
