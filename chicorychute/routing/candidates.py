"""Upstreams that a request may be sent to."""

import math
from collections.abc import Iterable

import attrs

from chicorychute.core.messages import (
    MemberRecord,
    MemberStatus,
    UpstreamDigest,
    Verdict,
)


class Distance:
    """Steps from the entry to a gate, nearest first."""

    LOCAL = 0
    ZONE = 1
    REGION = 2
    BEYOND = 3


@attrs.frozen
class Candidate:
    """One upstream with what the entry knows about the way to it."""

    instance: str
    digest: UpstreamDigest
    distance: int


def distance_between(own: MemberRecord, other: MemberRecord) -> int:
    """Return the distance class between two instances."""
    if own.instance == other.instance:
        return Distance.LOCAL
    if (own.region, own.zone) == (other.region, other.zone):
        return Distance.ZONE
    if own.region == other.region:
        return Distance.REGION
    return Distance.BEYOND


def eligible(candidates: Iterable[Candidate], floor: float) -> list[Candidate]:
    """Drop sick upstreams as far as the floor allows.

    Parameters
    ----------
    candidates : iterable of Candidate
        Every live upstream of the service.
    floor : float
        Share of them, 0 to 1, that must stay in rotation.

    Returns
    -------
    list of Candidate
        The healthy ones, topped up to the floor with the least sick.
    """
    known = list(candidates)
    kept = [c for c in known if c.digest.verdict is not Verdict.SICK]
    needed = math.ceil(floor * len(known))
    if len(kept) >= needed:
        return kept
    sick = [c for c in known if c.digest.verdict is Verdict.SICK]
    sick.sort(key=lambda c: (c.digest.failure_share, c.digest.latency_ms))
    return kept + sick[: needed - len(kept)]


def live(statuses: Iterable[tuple[MemberRecord, MemberStatus]]) -> list[MemberRecord]:
    """Return the records of instances that may get new work."""
    return [record for record, status in statuses if status is MemberStatus.ALIVE]
