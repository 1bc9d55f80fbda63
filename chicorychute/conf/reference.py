"""Reference page of the settings, written from the defaults.

``make reference`` writes it to ``docs/ref/settings.md``.
"""

from collections.abc import Iterable
from datetime import timedelta
from pathlib import Path

from chicorychute.conf.defaults import KEYS, REQUIRED, UPSTREAM_KEYS, Key

PAGE = Path("docs/ref/settings.md")
INTRODUCTION = """# Settings

Written by `make reference` from `chicorychute/conf/defaults.py`.

One INI file in UTF-8 holds the settings of one daemon. A key that is left out has
its default; *required* ones have none. An unknown section or key, a value out of
range, or settings that exclude each other stop the daemon before it starts, with one
line for each fault and exit code 2. `chicorychute check -c daemon.ini` shows the same
lines and starts nothing.

Policy (weights, limits, floors, targets) is not here: it stands in the operators'
table, see [table.md](table.md).
"""
UPSTREAM_INTRODUCTION = """## [upstream:ID]

One section for each upstream beside the daemon, at least one. ID is the name of the
upstream, unique in the fleet.
"""


def render_reference() -> str:
    """Return the page as Markdown."""
    sections = dict.fromkeys(key.section for key in KEYS)
    parts = [INTRODUCTION]
    for section in sections:
        keys = [key for key in KEYS if key.section == section]
        parts.append(f"## [{section}]\n\n{_table(keys)}")
    parts.append(f"{UPSTREAM_INTRODUCTION}\n{_table(UPSTREAM_KEYS)}")
    return "\n".join(parts)


def _table(keys: Iterable[Key]) -> str:
    rows = ["| key | default | accepted | what it is |", "|---|---|---|---|"]
    rows.extend(
        f"| `{key.name}` | {_shown(key.default)} | {key.accepts} | {key.doc} |"
        for key in keys
    )
    return "\n".join(rows) + "\n"


def _shown(default: object) -> str:
    if default is REQUIRED:
        return "*required*"
    if default in ("", ()):
        return "none"
    if isinstance(default, timedelta):
        return f"{default.total_seconds():g}"
    return str(default)


if __name__ == "__main__":
    PAGE.write_text(render_reference(), "utf-8")
