"""Differences between two tables, by row and cell."""

import attrs

from chicorychute.table.columns import KNOWN_NAMES, cell_of
from chicorychute.table.rows import Row, Table


@attrs.frozen
class RowAdded:
    """A service and rank that only the new table has."""

    row: Row


@attrs.frozen
class RowRemoved:
    """A service and rank that only the old table has."""

    row: Row


@attrs.frozen
class CellChanged:
    """A cell that differs."""

    row: Row
    column: str
    old: str
    new: str


Change = RowAdded | RowRemoved | CellChanged


def diff_tables(old: Table, new: Table) -> list[Change]:
    """Return what changes from `old` to `new`, in the order of the rows."""
    changes: list[Change] = [
        RowRemoved(row) for rank, row in old.by_rank.items() if rank not in new.by_rank
    ]
    for rank, row in new.by_rank.items():
        held = old.by_rank.get(rank)
        if held is None:
            changes.append(RowAdded(row))
            continue
        for column in KNOWN_NAMES:
            before, after = cell_of(held, column), cell_of(row, column)
            if before != after:
                changes.append(CellChanged(row, column, before, after))
    return changes
