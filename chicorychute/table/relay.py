"""Chooses the peers to which a new table is announced, the same zone first."""

import random
from collections.abc import Iterable

import attrs

ZONE_FANOUT = 4


@attrs.frozen
class Location:
    """Zone and region of an instance."""

    instance: str
    zone: str
    region: str


def announce_targets(
    own: Location,
    others: Iterable[Location],
    source: Location | None,
    rng: random.Random,
) -> list[str]:
    """Return the instances to which a newly accepted table is announced.

    A few instances of the own zone are always among them. An instance that has
    the table from outside its region adds one of each other zone of the region,
    and one that has it from the platform also one of each other region.

    Parameters
    ----------
    source : Location, optional
        Location of the peer that sent the table, None for the platform.
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
