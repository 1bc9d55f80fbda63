"""Finds the row of a request by method and path."""

from chicorychute.table.rows import Row, Table


class RouteIndex:
    """Lookup of rows by route, exact paths before the longest prefix.

    Costs one dictionary access per path segment, whatever the number of routes.
    """

    def __init__(self, table: Table):
        self._row_by_path: dict[tuple[str, str], Row] = {}
        self._row_by_prefix: dict[tuple[str, str], Row] = {}
        for row in table.rows:
            for pattern in row.routes:
                method, _, path = pattern.partition(" ")
                if path.endswith("*"):
                    self._row_by_prefix.setdefault((method, path[:-1]), row)
                else:
                    self._row_by_path.setdefault((method, path), row)

    def find(self, method: str, path: str) -> Row | None:
        """Return the row for `method` and `path`, without query, or None."""
        row = self._row_by_path.get((method, path))
        if row is not None:
            return row
        end = len(path)
        while end >= 0:
            row = self._row_by_prefix.get((method, path[:end]))
            if row is not None:
                return row
            end -= 1
        return None
