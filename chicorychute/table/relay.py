"""Chooses the peers that are told of a new table, the same zone first."""

import random
from collections.abc import Iterable

import attrs

ZONE_FANOUT = 4


@attrs.frozen
class Location:
    """Where an instance stands."""

    instance: str
    zone: str
    region: str


def announce_targets(
    own: Location,
    others: Iterable[Location],
    source: Location | None,
    rng: random.Random,
) -> list[str]:
    """Return the instances to tell of a table that was just taken.

    A few of the own zone are always told. One of each other zone of the region
    is told by those that took the table from outside their region, and one of
    each other region by those that took it from the platform.

    Parameters
    ----------
    source : Place, optional
        Peer that gave the table, None for the platform.
    """
    same_zone: list[str] = []
    instances_by_zone: dict[str, list[str]] = {}
    instances_by_region: dict[str, list[str]] = {}
    for location in others:
        if location.region != own.region:
            instances_by_region.setdefault(location.region, []).append(
                location.instance
            )
        elif location.zone != own.zone:
            instances_by_zone.setdefault(location.zone, []).append(location.instance)
        else:
            same_zone.append(location.instance)
    targets = rng.sample(same_zone, min(ZONE_FANOUT, len(same_zone)))
    if source is None or source.region != own.region:
        targets.extend(rng.choice(group) for group in instances_by_zone.values())
    if source is None:
        targets.extend(rng.choice(group) for group in instances_by_region.values())
    return targets
