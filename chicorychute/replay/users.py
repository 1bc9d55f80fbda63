"""Services of the two users: their tables and their traffic."""

import enum

import attrs

from chicorychute.replay.traffic import RankLoad, ServiceTime, Tail
from chicorychute.table.parse import parse_table
from chicorychute.table.rows import Row

TABLE_HEADER = (
    "service,rank,routes,priority,share,target_ms,deadline_ms,repeat,retry_share,"
    "slots,floor,sensitivity,team_rate,cross_region_kbps"
)


class MainMeasure(enum.Enum):
    """Measure that matters most to a user."""

    FALSE_EJECTIONS = "false ejections"
    RANK_SERVICE = "service by rank"


@attrs.frozen
class User:
    """A user's service: its table and its traffic.

    Attributes
    ----------
    ranks : tuple of str
        Most urgent first.
    rows : tuple of str
        Lines of the table as CSV, in the order of `ranks`.
    """

    name: str
    service: str
    main_measure: MainMeasure
    ranks: tuple[str, str, str]
    loads: tuple[RankLoad, ...]
    rows: tuple[str, ...]

    def table_csv(self) -> str:
        """Return the table as CSV."""
        return "\n".join([TABLE_HEADER, *self.rows]) + "\n"

    def parsed_rows(self) -> tuple[Row, ...]:
        """Return the parsed rows of the table."""
        return parse_table(1, self.table_csv()).ok_value.rows


SMRITI = User(
    "smriti",
    "orders",
    MainMeasure.FALSE_EJECTIONS,
    ("order", "catalogue", "ledger"),
    (
        RankLoad("order", 0.2, ServiceTime(0.015)),
        RankLoad("catalogue", 0.6, ServiceTime(0.010)),
        RankLoad("ledger", 0.2, ServiceTime(0.015, Tail.PARETO, 1.8)),
    ),
    (
        "orders,order,POST /orders,1,0.3,400,2000,once,0.2,4,0.7,1,0,1000",
        "orders,catalogue,GET /kits/*,2,0.3,400,2000,idempotent,0.2,4,0.7,1,0,1000",
        "orders,ledger,GET /ledger/*,9,0.1,2000,2000,idempotent,0.2,4,0.7,1,0,1000",
    ),
)
PENTAGRAMA = User(
    "pentagrama",
    "scores",
    MainMeasure.RANK_SERVICE,
    ("lookup", "commission", "check"),
    (
        RankLoad("lookup", 0.6, ServiceTime(0.010)),
        RankLoad("commission", 0.2, ServiceTime(0.015)),
        RankLoad("check", 0.2, ServiceTime(0.04, Tail.PARETO, 1.8)),
    ),
    (
        "scores,lookup,GET /scores/*,1,0.4,400,2000,idempotent,0.2,4,0.5,1.5,0,1000",
        "scores,commission,POST /commissions,2,0.3,600,4000,once,0.2,4,0.5,1.5,0,1000",
        "scores,check,GET /checks/*,9,0.1,2000,2000,idempotent,0.2,4,0.5,1.5,0,1000",
    ),
)
USERS = (SMRITI, PENTAGRAMA)
