"""Finds the row of a request by method, host and path."""

import re

import attrs

from chicorychute.table.columns import ANY_METHOD, WILDCARD_SUFFIX
from chicorychute.table.rows import Row, Table

# Characters that are equivalent in %-encoded form (RFC 3986, section 2.3).
UNRESERVED = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)
AMBIGUOUS_SEGMENTS = frozenset({"", ".", ".."})
METHOD_FALLBACK = {"HEAD": "GET"}

_escapes = re.compile(r"%([0-9A-Fa-f]{2})")


@attrs.define
class SharedRoute:
    """Rows that divide the requests of one route by their weights.

    Smooth weighted round robin keeps the requests of each row within one of the
    number that its weight gives.
    """

    rows: tuple[Row, ...]
    _credits: list[float] = attrs.field(init=False)

    @_credits.default
    def _initial_credits(self) -> list[float]:
        return [0.0] * len(self.rows)

    def next(self) -> Row:
        """Return the row for the next request."""
        if len(self.rows) == 1:
            return self.rows[0]
        total = sum(row.weight for row in self.rows)
        for index, row in enumerate(self.rows):
            self._credits[index] += row.weight
        chosen = max(range(len(self.rows)), key=self._credits.__getitem__)
        self._credits[chosen] -= total
        return self.rows[chosen]


class RouteIndex:
    """Lookup of rows by route, exact paths before the longest prefix.

    A lookup costs one dictionary access for each segment that a pattern can match,
    whatever the number of routes and the length of the path.

    A path with empty, ``.`` or ``..`` segments has no route: an upstream could read
    it as another path, and a caller could pass an order off as a lookup. Letters,
    digits and ``-._~`` match in %-encoded form too. Patterns with a host are compared
    with the path as it was sent, which is also how the upstream receives it.
    """

    def __init__(self, table: Table):
        # The keys are the pattern strings of the rows, so that none is copied.
        self._row_by_pattern: dict[str, Row] = {}
        self._shared_by_pattern: dict[str, SharedRoute] = {}
        self._hosts: set[str] = set()
        self._max_depth = 0
        for row in table.rows:
            for pattern in row.routes:
                self._add(pattern, row)

    def _add(self, pattern: str, row: Row) -> None:
        first_row = self._row_by_pattern.setdefault(pattern, row)
        if first_row is not row:
            shared = self._shared_by_pattern.get(pattern, SharedRoute((first_row,)))
            self._shared_by_pattern[pattern] = SharedRoute((*shared.rows, row))
        target = pattern.partition(" ")[2]
        if not target.startswith("/"):
            self._hosts.add(target.partition("/")[0])
        if pattern.endswith(WILDCARD_SUFFIX):
            self._max_depth = max(self._max_depth, pattern.count("/"))

    def find(self, method: str, path: str, host: str = "") -> Row | None:
        """Return the row for `method`, `host` and `path`, without query, or None."""
        host = host.lower()
        if host in self._hosts or host.partition(":")[0] in self._hosts:
            known_host = host if host in self._hosts else host.partition(":")[0]
            row = self._find_with_fallback(method, known_host, path)
            if row is not None:
                return row
        if "%" in path or "//" in path or "/." in path:
            path = _normalize_path(path)
        return self._find_with_fallback(method, "", path)

    def _find_with_fallback(self, method: str, host: str, path: str) -> Row | None:
        fallback = METHOD_FALLBACK.get(method)
        for candidate in (method, fallback, ANY_METHOD):
            row = None if candidate is None else self._find(candidate, host, path)
            if row is not None:
                return row
        return None

    def _find(self, method: str, host: str, path: str) -> Row | None:
        row = self._row_for_pattern(f"{method} {host}{path}")
        if row is not None:
            return row
        segment_ends = []
        end = -1
        while (
            len(segment_ends) < self._max_depth
            and (end := path.find("/", end + 1)) >= 0
        ):
            segment_ends.append(end)
        for end in reversed(segment_ends):
            row = self._row_for_pattern(f"{method} {host}{path[:end]}{WILDCARD_SUFFIX}")
            if row is not None:
                return row
        return None

    def _row_for_pattern(self, pattern: str) -> Row | None:
        shared = self._shared_by_pattern.get(pattern)
        return self._row_by_pattern.get(pattern) if shared is None else shared.next()


def _normalize_path(path: str) -> str:
    """Return the path with unreserved characters decoded, empty if ambiguous."""
    normalized = _escapes.sub(_decode, path)
    segments = normalized.split("/")[1:]
    if any(segment in AMBIGUOUS_SEGMENTS for segment in segments[:-1]):
        return ""
    return "" if segments and segments[-1] in (".", "..") else normalized


def _decode(escape: re.Match[str]) -> str:
    character = chr(int(escape[1], 16))
    return character if character in UNRESERVED else escape[0].upper()
