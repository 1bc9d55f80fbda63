"""Finds the row of a request by method and path."""

import re

from chicorychute.table.columns import ANY_REST
from chicorychute.table.rows import Row, Table

UNRESERVED = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)
NO_SEGMENTS = frozenset({"", ".", ".."})
METHOD_FALLBACK = {"HEAD": "GET"}

_escapes = re.compile(r"%([0-9A-Fa-f]{2})")


class RouteIndex:
    """Lookup of rows by route, exact paths before the longest prefix.

    Costs one dictionary access for each segment that a pattern can match,
    whatever the number of routes and the length of the path.

    A path that an upstream could read as another one has no route, so that no
    caller can pass an order off as a lookup: one with empty, ``.`` or ``..``
    segments. Letters, digits and ``-._~`` match in %-encoded form too.
    """

    def __init__(self, table: Table):
        # The keys are the patterns of the rows themselves, which cost no copy.
        self._row_by_pattern: dict[str, Row] = {}
        self._depth = 0
        for row in table.rows:
            for pattern in row.routes:
                self._row_by_pattern.setdefault(pattern, row)
                if pattern.endswith(ANY_REST):
                    self._depth = max(self._depth, pattern.count("/"))

    def find(self, method: str, path: str) -> Row | None:
        """Return the row for `method` and `path`, without query, or None."""
        if "%" in path or "//" in path or "/." in path:
            path = _plain(path)
        row = self._find(method, path)
        if row is None and method in METHOD_FALLBACK:
            return self._find(METHOD_FALLBACK[method], path)
        return row

    def _find(self, method: str, path: str) -> Row | None:
        row = self._row_by_pattern.get(f"{method} {path}")
        if row is not None:
            return row
        ends = []
        end = -1
        while len(ends) < self._depth and (end := path.find("/", end + 1)) >= 0:
            ends.append(end)
        for end in reversed(ends):
            row = self._row_by_pattern.get(f"{method} {path[:end]}{ANY_REST}")
            if row is not None:
                return row
        return None


def _plain(path: str) -> str:
    """Return the path with plain characters decoded, empty if it is ambiguous."""
    plain = _escapes.sub(_decode, path)
    inner = plain.split("/")[1:]
    if any(segment in NO_SEGMENTS for segment in inner[:-1]):
        return ""
    return "" if inner and inner[-1] in (".", "..") else plain


def _decode(escape: re.Match[str]) -> str:
    character = chr(int(escape[1], 16))
    return character if character in UNRESERVED else escape[0].upper()
