"""Converts the platform's configuration into the text of the operators' table."""

import csv
import io
from collections import defaultdict

import attrs

from chicorychute.platform.wire import PlatformConfig, RouteConfig, WeightedService
from chicorychute.table.columns import ALL_COLUMN_NAMES, ANY_METHOD
from chicorychute.table.rows import Repeat

# Fraction of the slots that each rank keeps while other ranks flood the service.
RANK_SHARE = 0.1
# Used until an upstream reports its own number.
DEFAULT_SLOTS = 4
# The platform's configuration has no limit for traffic between regions.
UNLIMITED_KBPS = 10_000_000
MS_PER_S = 1000


@attrs.frozen
class PolicyValues:
    """Values of table columns that the platform's configuration does not have."""

    retry_share: float
    retry_burst: float
    floor: float
    sensitivity: float = 1.0


@attrs.frozen(order=True)
class _RowKey:
    """Properties that routes must have in common to share a row."""

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


def render_table(config: PlatformConfig, policy: PolicyValues) -> str:
    """Return the table as CSV; the order of the routes does not change the text."""
    patterns_by_row_key: dict[_RowKey, list[str]] = defaultdict(list)
    for route in config.routes:
        for weighted_service in route.weighted_services:
            patterns_by_row_key[_row_key(route, weighted_service)].append(
                _route_pattern(route)
            )
    row_keys = sorted(patterns_by_row_key)
    row_count_by_service: dict[str, int] = defaultdict(int)
    for row_key in row_keys:
        row_count_by_service[row_key.service] += 1
    text = io.StringIO()
    writer = csv.DictWriter(text, ALL_COLUMN_NAMES, lineterminator="\n")
    writer.writeheader()
    ranks: set[tuple[str, str]] = set()
    for row_key in row_keys:
        rank = _unused_rank(row_key, ranks)
        ranks.add((row_key.service, rank))
        writer.writerow(
            {
                "service": row_key.service,
                "rank": rank,
                "routes": "; ".join(sorted(patterns_by_row_key[row_key])),
                "priority": min(row_key.urgency + 1, 100),
                "share": min(RANK_SHARE, 1 / row_count_by_service[row_key.service]),
                "target_ms": row_key.target_ms,
                "deadline_ms": row_key.timeout_ms,
                "repeat": _repeat(row_key).value,
                "retry_share": policy.retry_share,
                "slots": DEFAULT_SLOTS,
                "floor": policy.floor,
                "sensitivity": policy.sensitivity,
                "team_rate": 0,
                "cross_region_kbps": UNLIMITED_KBPS,
                "attempts": row_key.attempts,
                "retry_burst": policy.retry_burst,
                "weight": row_key.weight,
                "probe": config.probe_by_service.get(row_key.service, ""),
                "idle_s": config.idle_ms / MS_PER_S,
            }
        )
    return text.getvalue()


def _row_key(route: RouteConfig, weighted_service: WeightedService) -> _RowKey:
    return _RowKey(
        weighted_service.service,
        route.urgency,
        route.repeatable,
        min(route.target_ms, route.timeout_ms),
        route.timeout_ms,
        min(route.attempts, 10),
        weighted_service.weight,
    )


def _route_pattern(route: RouteConfig) -> str:
    return f"{ANY_METHOD} {route.host.lower()}{route.path_prefix}*"


def _repeat(row_key: _RowKey) -> Repeat:
    return Repeat.IDEMPOTENT if row_key.repeatable else Repeat.PER_SEND


def _unused_rank(row_key: _RowKey, ranks: set[tuple[str, str]]) -> str:
    """Return the rank of the row, with a number added if the name is in use."""
    rank = row_key.rank
    number = 1
    while (row_key.service, rank) in ranks:
        number += 1
        rank = f"{row_key.rank}-{number}"
    return rank
