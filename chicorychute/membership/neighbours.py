"""Choice of the peers with which an instance exchanges heartbeats.

Load pattern: hundreds of instances in a region, each of which sends a heartbeat twice a
second to all others, so that the traffic between availability zones grows with the
square of the region. An entry that asks a handful of gates for a free slot only needs
to know the load of about as many. It therefore exchanges heartbeats with a bounded
number of peers of each service: those of its own zone first, and a few of each other
zone of the region, which take its work if its own zone is short of capacity.

Instances choose by a rendezvous hash of the pair. The hash is the same for both sides,
so that most choices are mutual and each instance is chosen about equally often.
"""

import hashlib
from collections.abc import Iterable

from chicorychute.core.messages import MemberRecord

# Gates of one service whose load is known, if the region has as many. An entry asks at
# most five of them for a free slot before a request waits.
NEIGHBOURS_PER_SERVICE = 8
# Upper bound for one service in the own zone; its heartbeats cost processor time only.
OWN_ZONE_NEIGHBOURS_PER_SERVICE = 24
# Lower bound for one service in each other zone of the region.
OTHER_ZONE_NEIGHBOURS_PER_SERVICE = 1


def choose_neighbours(own: MemberRecord, peers: Iterable[MemberRecord]) -> set[str]:
    """Return the instances of the own region with which to exchange heartbeats.

    Parameters
    ----------
    own : MemberRecord
        Record of the choosing instance.
    peers : iterable of MemberRecord
        Other instances; those of other regions are ignored.

    Returns
    -------
    set of str
        For each service the nearest in rank of the own zone, at least one of each
        other zone, and others up to `NEIGHBOURS_PER_SERVICE`.
    """
    chosen: set[str] = set()
    for records in _by_service(own, peers).values():
        ranked = sorted(records, key=lambda record: _pair_rank(own, record))
        by_zone: dict[str, list[str]] = {}
        for record in ranked:
            by_zone.setdefault(record.zone, []).append(record.instance)
        own_zone = by_zone.pop(own.zone, [])[:OWN_ZONE_NEIGHBOURS_PER_SERVICE]
        of_service = set(own_zone)
        for instances in by_zone.values():
            of_service.update(instances[:OTHER_ZONE_NEIGHBOURS_PER_SERVICE])
        for record in ranked:
            if len(of_service) >= NEIGHBOURS_PER_SERVICE:
                break
            of_service.add(record.instance)
        chosen |= of_service
    return chosen


def _by_service(
    own: MemberRecord, peers: Iterable[MemberRecord]
) -> dict[str, list[MemberRecord]]:
    """Return the peers of the own region, grouped by the services they host."""
    by_service: dict[str, list[MemberRecord]] = {}
    for record in peers:
        if record.region == own.region and record.instance != own.instance:
            for service in record.services:
                by_service.setdefault(service, []).append(record)
    return by_service


def _pair_rank(own: MemberRecord, other: MemberRecord) -> tuple[bytes, str]:
    pair = "\n".join(sorted((own.instance, other.instance)))
    digest = hashlib.blake2b(pair.encode(), digest_size=8).digest()
    return digest, other.instance
