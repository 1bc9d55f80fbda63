"""Writes the operators' configuration as rows of the product's table."""

import csv
import io
from collections import defaultdict

import attrs

from chicorychute.platform.wire import ConfigCells, RouteCells, RoutePart
from chicorychute.table.columns import ALL_COLUMN_NAMES, ANY_METHOD
from chicorychute.table.rows import Repeat

RANK_SHARE = 0.1  # slots kept for each rank in a flood of the others
DEFAULT_SLOTS = 4  # until an upstream tells its own
UNLIMITED_KBPS = 10_000_000  # the platform has no cell for traffic between regions
MS_PER_S = 1000


@attrs.frozen
class PolicyCells:
    """Cells of each row for which the platform has none."""

    retry_share: float
    retry_burst: float
    floor: float
    sensitivity: float = 1.0


@attrs.frozen(order=True)
class _Group:
    """What routes must have in common to share a row."""

    service: str
    urgency: int
    repeatable: bool
    target_ms: float
    timeout_ms: float
    attempts: int
    weight: float

    @property
    def rank(self) -> str:
        kind = "repeat" if self.repeatable else "once"
        return f"p{self.urgency}-{kind}-{self.target_ms:g}"


def render_table(config: ConfigCells, policy: PolicyCells) -> str:
    """Return the CSV text of the table; equal configurations give equal texts."""
    routes_by_group: dict[_Group, list[str]] = defaultdict(list)
    for route in config.routes:
        for part in route.parts:
            routes_by_group[_group(route, part)].append(_pattern(route))
    groups = sorted(routes_by_group)
    rows_by_service: dict[str, int] = defaultdict(int)
    for group in groups:
        rows_by_service[group.service] += 1
    text = io.StringIO()
    writer = csv.DictWriter(text, ALL_COLUMN_NAMES, lineterminator="\n")
    writer.writeheader()
    ranks: set[tuple[str, str]] = set()
    for group in groups:
        rank = _unused(group, ranks)
        ranks.add((group.service, rank))
        writer.writerow(
            {
                "service": group.service,
                "rank": rank,
                "routes": "; ".join(sorted(routes_by_group[group])),
                "priority": min(group.urgency + 1, 100),
                "share": min(RANK_SHARE, 1 / rows_by_service[group.service]),
                "target_ms": group.target_ms,
                "deadline_ms": group.timeout_ms,
                "repeat": _repeat(group).value,
                "retry_share": policy.retry_share,
                "slots": DEFAULT_SLOTS,
                "floor": policy.floor,
                "sensitivity": policy.sensitivity,
                "team_rate": 0,
                "cross_region_kbps": UNLIMITED_KBPS,
                "attempts": group.attempts,
                "retry_burst": policy.retry_burst,
                "weight": group.weight,
                "probe": config.probe_by_service.get(group.service, ""),
                "idle_s": config.idle_ms / MS_PER_S,
            }
        )
    return text.getvalue()


def _group(route: RouteCells, part: RoutePart) -> _Group:
    return _Group(
        part.service,
        route.urgency,
        route.repeatable,
        min(route.target_ms, route.timeout_ms),
        route.timeout_ms,
        min(route.attempts, 10),
        part.weight,
    )


def _pattern(route: RouteCells) -> str:
    return f"{ANY_METHOD} {route.host.lower()}{route.path_prefix}*"


def _repeat(group: _Group) -> Repeat:
    return Repeat.IDEMPOTENT if group.repeatable else Repeat.PER_SEND


def _unused(group: _Group, ranks: set[tuple[str, str]]) -> str:
    """Return the name of the group's rank, numbered where others have it too."""
    rank = group.rank
    number = 1
    while (group.service, rank) in ranks:
        number += 1
        rank = f"{group.rank}-{number}"
    return rank
