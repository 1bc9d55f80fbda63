"""Differences between two tables, by row and cell."""

import attrs

from chicorychute.table.columns import ALL_COLUMN_NAMES, format_cell
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
    """A cell of `row`, the new one, that differs.

    Attributes
    ----------
    old, new : str
        Cells in the form in which an operator writes them.
    """

    row: Row
    column: str
    old: str
    new: str


Change = RowAdded | RowRemoved | CellChanged


def diff_tables(old: Table, new: Table) -> list[Change]:
    """Return the changes from `old` to `new`: removed rows first, in row order."""
    changes: list[Change] = [
        RowRemoved(row) for key, row in old.by_rank.items() if key not in new.by_rank
    ]
    for key, row in new.by_rank.items():
        old_row = old.by_rank.get(key)
        if old_row is None:
            changes.append(RowAdded(row))
            continue
        for column in ALL_COLUMN_NAMES:
            old_cell, new_cell = format_cell(old_row, column), format_cell(row, column)
            if old_cell != new_cell:
                changes.append(CellChanged(row, column, old_cell, new_cell))
    return changes
