"""Client of the platform's store; it only reads."""

import socket
from urllib.parse import urlencode

import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from chicorychute.platform.wire import (
    StoreChanges,
    StoreItem,
    StorePage,
    WireError,
    read_changes,
    read_item,
    read_page,
)
from chicorychute.sources.base import PlatformError
from chicorychute.telemetry.tally import Tally

CONNECT_TIMEOUT_S = 1.0  # the store answers in milliseconds, 60 ms from elsewhere
READ_TIMEOUT_S = 2.0  # below the 2.5 s in which a change must be in force
WATCH_READ_MARGIN_S = 1.0
# A connection that went silent ends within 3 s, before the 4 s after which the
# platform counts a daemon as in touch again.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
UNACKED_TIMEOUT_MS = 1500  # a call that no packet of the store confirms has failed
POOL_SIZE = 2  # one for the list, one for the table
NOT_FOUND = 404
GONE = 410


class HistoryGone(PlatformError):
    """The changes since a revision are no longer kept: read the items again."""


class StoreClient:
    """Calls of the store, each answered or ended by a `PlatformError`.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    """

    def __init__(self, url: str):
        self._url = url
        unacked_option = (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKED_TIMEOUT_MS,
        )
        options = [
            *HTTPConnection.default_socket_options,
            *KEEPALIVE_OPTIONS,
            unacked_option,
        ]
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=POOL_SIZE, socket_options=options
        )
        self.calls = Tally()

    def key(self, key: str) -> Result[tuple[StoreItem, int] | None, PlatformError]:
        """Return one item with the store's revision, None where there is none."""
        return self._call("kv-key", {"key": key}, read_item, NOT_FOUND)

    def items(self, prefix: str) -> Result[list[StorePage], PlatformError]:
        """Return every page of the items whose keys begin with `prefix`."""
        pages: list[StorePage] = []
        query = {"path_prefix": prefix}
        while not pages or not pages[-1].is_last:
            match self._call("kv-range", query, read_page):
                case Ok(page):
                    pages.append(page)
                case Err(error):
                    return Err(error)
            if not page.items:
                break
            query["after"] = page.items[-1].key
        return Ok(pages)

    def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[StoreChanges, PlatformError]:
        """Return what changed since revision `after`, at most `wait_s` later.

        Returns
        -------
        Ok of the changes; Err of HistoryGone where the store has dropped them
        """
        query = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        read_timeout_s = wait_s + WATCH_READ_MARGIN_S
        return self._call(
            "kv-watch", query, read_changes, read_timeout_s=read_timeout_s
        )

    def _call(
        self,
        name,
        query,
        parse,
        missing_status: int = 0,
        read_timeout_s: float = READ_TIMEOUT_S,
    ):
        url = f"{self._url}/chicorychute/{name}?{urlencode(query, safe='/')}"
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)
        try:
            answer = self._pool.request("GET", url, timeout=timeout)
        except urllib3.exceptions.HTTPError as error:
            self.calls.add(name, "unreachable")
            problem = f"the store is unreachable ({type(error).__name__})"
            return Err(PlatformError(problem, "wait for it"))
        self.calls.add(name, str(answer.status))
        if missing_status and answer.status == missing_status:
            return Ok(None)
        if answer.status == GONE:
            return Err(HistoryGone("the store dropped its history", "read it again"))
        if answer.status != 200:
            problem = f"the store answered {answer.status}"
            return Err(PlatformError(problem, "wait for it"))
        try:
            return Ok(parse(answer.data))
        except WireError as error:
            problem = f"the store gave a malformed answer ({error})"
            return Err(PlatformError(problem, "correct what it serves"))
