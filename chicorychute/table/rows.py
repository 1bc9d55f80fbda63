"""Rows of the operators' table and the table itself."""

import enum

import attrs


class Repeat(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    PER_SEND = "per-send"


@attrs.frozen
class Row:
    """Policy for one rank of work of one service.

    Attributes
    ----------
    routes : tuple of str
        ``METHOD /path`` or ``METHOD host/path`` patterns; a trailing ``/*`` matches
        any rest.
    priority : int
        Priority among the ranks, 1 is the most urgent.
    share : float
        Fraction of the slots guaranteed to the rank under load, 0 to 1.
    target_ms, deadline_ms : float
        Target time of an answer, and time after which it is of no use.
    retry_share : float
        Retries allowed, as a fraction of the service's requests.
    slots : int
        Maximum number of requests that one upstream runs at a time.
    floor : float
        Fraction of the service's upstreams that ejection leaves in rotation.
    sensitivity : float
        Sensitivity of ejection: above 1 ejects sooner, below 1 later.
    team_rate : float
        Maximum requests a second of each team at one gate, 0 for no limit.
    cross_region_kbps : float
        Budget of one daemon for the service's traffic to other regions, in
        kilobytes a second, 0 for none.
    attempts : int
        Maximum number of upstreams that one request may reach.
    retry_burst : float
        Maximum number of unused retries that one daemon accumulates for the service.
    weight : float
        Relative weight of this row for a route in rows of several services, 0 for
        a route of this row alone.
    probe : str
        Path by which the service's upstreams are probed, empty for the path in the
        settings.
    idle_s : float
        Time that callers may keep an idle connection, 0 for the default of the
        edge; the maximum of all rows applies.
    """

    service: str
    rank: str
    routes: tuple[str, ...]
    priority: int
    share: float
    target_ms: float
    deadline_ms: float
    repeat: Repeat
    retry_share: float
    slots: int
    floor: float
    sensitivity: float
    team_rate: float
    cross_region_kbps: float
    attempts: int = 3
    retry_burst: float = 10.0
    weight: float = 0.0
    probe: str = ""
    idle_s: float = 0.0


@attrs.frozen
class Table:
    """Table of one version that passed all checks.

    Attributes
    ----------
    text : str
        CSV text of the rows, as sent to peers.
    by_rank : dict
        Row of each service and rank.
    by_service : dict
        Rows of each service, the most urgent first.
    """

    version: int
    text: str
    rows: tuple[Row, ...]
    by_rank: dict[tuple[str, str], Row] = attrs.field(init=False, eq=False, repr=False)
    by_service: dict[str, tuple[Row, ...]] = attrs.field(
        init=False, eq=False, repr=False
    )

    @by_rank.default
    def _index_by_rank(self) -> dict[tuple[str, str], Row]:
        return {(row.service, row.rank): row for row in self.rows}

    @by_service.default
    def _index_by_service(self) -> dict[str, tuple[Row, ...]]:
        rows_by_service: dict[str, list[Row]] = {}
        for row in self.rows:
            rows_by_service.setdefault(row.service, []).append(row)
        return {
            service: tuple(sorted(rows, key=lambda row: row.priority))
            for service, rows in rows_by_service.items()
        }
