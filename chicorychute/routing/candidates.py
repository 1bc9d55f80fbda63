"""Upstreams that a request may be sent to."""

from collections.abc import Iterable

import attrs

from chicorychute.core.messages import (
    MemberRecord,
    MemberStatus,
    UpstreamDigest,
    Verdict,
)

# Tuples, because a set computes the hash of an enumeration member at each lookup.
PRESENT_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
IN_ROTATION_VERDICTS = (Verdict.HEALTHY, Verdict.COLD)
# Fraction of its share of the requests that an upstream gets while it is probed.
PROBE_FRACTION = 0.1


class Distance:
    """Distance classes between the entry and a gate, nearest first."""

    LOCAL = 0
    SAME_ZONE = 1
    SAME_REGION = 2
    OTHER_REGION = 3


@attrs.frozen
class Candidate:
    """One upstream, with what the entry knows about the path to it.

    Attributes
    ----------
    trial : bool
        Whether the request tests if the upstream may return to rotation.
    load_reported : bool
        Whether its gate reports load and health to the entry. Otherwise the digest
        holds what the platform's list says.
    """

    instance: str
    digest: UpstreamDigest
    distance: int
    status: MemberStatus = MemberStatus.ALIVE
    trial: bool = False
    load_reported: bool = True


def distance_between(own: MemberRecord, other: MemberRecord) -> int:
    """Return the distance class between two instances."""
    if own.instance == other.instance:
        return Distance.LOCAL
    if (own.region, own.zone) == (other.region, other.zone):
        return Distance.SAME_ZONE
    if own.region == other.region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION


def eligible(
    candidates: Iterable[Candidate], floor: float, draw: float = 1.0
) -> list[Candidate]:
    """Leave out ejected upstreams as far as the floor allows.

    Capacity is counted in slots. Only upstreams that are alive, healthy and warm
    count towards the floor; cold ones stay in rotation without counting.

    Parameters
    ----------
    candidates : iterable of Candidate
        Every upstream of the service.
    floor : float
        Fraction of the capacity, 0 to 1, that must stay in rotation.
    draw : float
        Random number from 0 to 1 that decides whether the request tests an upstream
        which is probed for its return; 1 never does.

    Returns
    -------
    list of Candidate
        Healthy and cold upstreams, topped up to the floor with the least sick, and
        those that the request tests.
    """
    present = [c for c in candidates if c.status in PRESENT_STATUSES]
    alive = [c for c in present if c.status is MemberStatus.ALIVE]
    selected = [c for c in alive if c.digest.verdict in IN_ROTATION_VERDICTS]
    total_slots = sum(c.digest.slots for c in present)
    missing_slots = floor * total_slots - sum(map(_healthy_slots, selected))
    ejected = [c for c in alive if c.digest.verdict not in IN_ROTATION_VERDICTS]
    for candidate in sorted(ejected, key=_sickness_key):
        if missing_slots > 0:
            selected.append(candidate)
            missing_slots -= candidate.digest.slots
        elif _is_trial(candidate, draw, total_slots):
            selected.append(attrs.evolve(candidate, trial=True))
    return selected


def _healthy_slots(candidate: Candidate) -> float:
    digest = candidate.digest
    return digest.slots * digest.weight if digest.verdict is Verdict.HEALTHY else 0.0


def _sickness_key(candidate: Candidate) -> tuple[bool, float, float, float, str]:
    """Return the sort key that puts the least sick first; names break ties."""
    digest = candidate.digest
    return (
        digest.verdict is Verdict.SICK,
        digest.failure_share,
        digest.suspicion,
        digest.latency_ms,
        digest.upstream,
    )


def _is_trial(candidate: Candidate, draw: float, total_slots: int) -> bool:
    digest = candidate.digest
    if digest.verdict is not Verdict.PROBING:
        return False
    return draw * total_slots < PROBE_FRACTION * digest.slots
