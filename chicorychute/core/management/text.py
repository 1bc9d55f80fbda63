"""Plain text of tables: aligned on a terminal, separated by tabs in a pipe."""

import shutil
import sys
from collections.abc import Iterable, Sequence

COLUMN_GAP = "  "
TRUNCATION_MARK = "~"


def is_terminal() -> bool:
    """Return whether the output goes to a terminal."""
    return sys.stdout.isatty()


def terminal_width() -> int:
    """Return the width of the terminal in characters."""
    return shutil.get_terminal_size().columns


def format_columns(rows: Iterable[Sequence[object]]) -> list[str]:
    """Return a line for each row, the first of which is the heading.

    On a terminal the columns are aligned and lines truncated to its width; in a
    pipe the cells are complete and separated by tabs.
    """
    cells = [[str(cell) for cell in row] for row in rows]
    if not is_terminal():
        return ["\t".join(row) for row in cells]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        truncate(
            COLUMN_GAP.join(map(str.ljust, row, widths)).rstrip(), terminal_width()
        )
        for row in cells
    ]


def truncate(line: str, max_length: int) -> str:
    """Return the line, shortened to at most `max_length` characters."""
    return line if len(line) <= max_length else line[: max_length - 1] + TRUNCATION_MARK
