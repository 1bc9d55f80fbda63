"""Reference pages that ``make reference`` generates from the code."""

from collections.abc import Iterable
from datetime import timedelta
from pathlib import Path

from chicorychute.conf.defaults import KEYS, REQUIRED, UPSTREAM_KEYS, Key
from chicorychute.core.outcomes import REASON_SPECS
from chicorychute.table.columns import COLUMNS

DIRECTORY = Path(__file__).resolve().parent.parent / "docs" / "ref"
SETTINGS_INTRODUCTION = """# Settings

Written by `make reference` from `chicorychute/conf/defaults.py`.

One INI file in UTF-8 holds the settings of one daemon. A key that is left out has
its default; *required* ones have none. An unknown section or key, a value out of
range, or settings that exclude each other stop the daemon before it starts, with one
line for each fault and exit code 2. `chicorychute check -c daemon.ini` shows the same
lines and starts nothing.

Policy (weights, limits, floors, targets) is not set here but in the operators'
table, see [table.md](table.md).
"""
UPSTREAM_INTRODUCTION = """## [upstream:ID]

One section for each local upstream of the daemon, at least one. ID is the name of the
upstream, unique in the fleet.
"""


TABLE_INTRODUCTION = """# The operators' table

Written by `make reference` from `chicorychute/table/columns.py`.

CSV in UTF-8 with a header line, one row for each service and rank of work. Columns may
be in any order. Commas, semicolons or tabs separate the cells. A byte-order mark,
quoted cells, CRLF and blank rows are accepted, as spreadsheets write them. Decimals
have a point.

A table with any fault is refused as a whole: each bad cell is reported with line,
column, value and remedy, and the previous table stays in force. Besides each single
cell, these are checked: one row for each service and rank (E003), rows as long as the
header (E004), shares of a service of 1 at most (E005), targets not above deadlines
(E006), each route in one row (E007), and the same value in every row of a service for
the columns marked *service* (E008). The floor is a share, so that a fleet of any size
can meet it.

## Routes

`METHOD /path` matches this path; `METHOD /path/*` every path below it. The exact path
goes first, then the longest pattern. HEAD takes the row of GET where it has none of
its own. The query does not count. Letters, digits and `-._~` match in %-encoded form
too. A path with empty, `.` or `..` segments has no route: an upstream might read it as
another.

## Columns

"""
REASONS_INTRODUCTION = """# Reasons

Written by `make reference` from `chicorychute/core/outcomes.py`.

An answer that no upstream gave carries its reason in `Chute-Reason` and in the JSON
body, beside the outcome (see [headers.md](headers.md)) and the remedy below.

"""


def render_table() -> str:
    """Return the reference page of the operators' table."""
    rows = ["| column | of | accepted | what it is |", "|---|---|---|---|"]
    rows.extend(
        f"| `{column.name}` | {'service' if column.service_wide else 'rank'}"
        f" | {column.accepts} | {column.doc} |"
        for column in COLUMNS
    )
    return TABLE_INTRODUCTION + "\n".join(rows) + "\n"


def render_reasons() -> str:
    """Return the reference page of the refusal reasons."""
    rows = ["| reason | status | what a caller can do |", "|---|---|---|"]
    rows.extend(
        f"| `{reason.value}` | {spec.status} | {spec.remedy} |"
        for reason, spec in REASON_SPECS.items()
    )
    return REASONS_INTRODUCTION + "\n".join(rows) + "\n"


def render_settings() -> str:
    """Return the reference page of the settings."""
    sections = dict.fromkeys(key.section for key in KEYS)
    blocks = [SETTINGS_INTRODUCTION]
    for section in sections:
        keys = [key for key in KEYS if key.section == section]
        blocks.append(f"## [{section}]\n\n{_key_table(keys)}")
    blocks.append(f"{UPSTREAM_INTRODUCTION}\n{_key_table(UPSTREAM_KEYS)}")
    return "\n".join(blocks)


def _key_table(keys: Iterable[Key]) -> str:
    rows = ["| key | default | accepted | what it is |", "|---|---|---|---|"]
    rows.extend(
        f"| `{key.name}` | {_format_default(key.default)} | {key.accepts} | {key.doc} |"
        for key in keys
    )
    return "\n".join(rows) + "\n"


def _format_default(default: object) -> str:
    if default is REQUIRED:
        return "*required*"
    if default is None or default in ("", (), {}):
        return "none"
    if isinstance(default, timedelta):
        return f"{default.total_seconds():g}"
    return str(default)


RENDER_BY_PAGE = {
    "reasons.md": render_reasons,
    "settings.md": render_settings,
    "table.md": render_table,
}


def main() -> None:
    """Write every page."""
    for page, render in RENDER_BY_PAGE.items():
        (DIRECTORY / page).write_text(render(), "utf-8")


if __name__ == "__main__":
    main()
