"""Read-only HTTP client of the platform's store."""

import socket
from urllib.parse import urlencode

import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from chicorychute.core.clock import Clock
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
from chicorychute.transport.bounded import bounded_pool_manager

# The store answers within milliseconds, from another region within 60 ms.
CONNECT_TIMEOUT_S = 1.0
# Below the 2.5 s within which a change must be in force.
READ_TIMEOUT_S = 2.0
# Added to the wait of a watch, for the network and the store's answer.
WATCH_READ_MARGIN_S = 1.0
# An unresponsive connection is closed within 3 s, before the 4 s after which the
# platform considers a daemon connected again.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
# A call fails if the store's host does not acknowledge its data within this time.
UNACKED_TIMEOUT_MS = 1500
# The pages of the store hold about 1 MB of values, which grow by a third as base64.
MAX_ANSWER_BYTES = 16 << 20
# One connection watches the upstreams, one the configuration.
POOL_SIZE = 2
NOT_FOUND = 404
GONE = 410


class HistoryGone(PlatformError):
    """The store has dropped the changes since a revision; read the items again."""


class StoreClient:
    """Client whose calls return Err of `PlatformError` if the store fails.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    """

    def __init__(self, url: str, clock: Clock):
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
        self._pool = bounded_pool_manager(
            clock,
            MAX_ANSWER_BYTES,
            retries=False,
            maxsize=POOL_SIZE,
            socket_options=options,
        )
        self.calls = Tally()

    def key(self, key: str) -> Result[tuple[StoreItem, int] | None, PlatformError]:
        """Return one item with the store's revision, None if the key is not set."""
        return self._call("kv-key", {"key": key}, read_item, NOT_FOUND)

    def items(
        self, prefix: str, allow_stale: bool = False
    ) -> Result[list[StorePage], PlatformError]:
        """Return every page of the items whose keys begin with `prefix`.

        Parameters
        ----------
        allow_stale : bool
            Whether the pages may be seconds old, which costs the store less.
        """
        pages: list[StorePage] = []
        query = {"path_prefix": prefix}
        if allow_stale:
            query["allow_stale"] = "1"
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
        """Wait at most `wait_s` for changes since revision `after`.

        Returns
        -------
        Ok of the changes; Err of HistoryGone if the store has dropped them
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
            problem = f"{name}: the store is unreachable ({type(error).__name__})"
            return Err(PlatformError(problem, "check the store and the network"))
        self.calls.add(name, str(answer.status))
        if missing_status and answer.status == missing_status:
            return Ok(None)
        if answer.status == GONE:
            return Err(
                HistoryGone(
                    f"{name}: the store dropped the changes since this revision",
                    "read the items again",
                )
            )
        if answer.status != 200:
            problem = f"{name}: the store answered with status {answer.status}"
            return Err(PlatformError(problem, "check the store"))
        try:
            return Ok(parse(answer.data))
        except WireError as error:
            problem = f"{name}: the store's answer is malformed ({error})"
            return Err(PlatformError(problem, "correct what the store serves"))
