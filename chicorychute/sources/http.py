"""Platform backend over HTTP.

``GET /config/table?after=VERSION&wait=SECONDS`` answers 200 with JSON
``{"version", "text"}`` or 304; ``GET /instances`` answers a JSON list of
``{"instance", "host", "peer_port", "leaving"}``.
"""

import json

import urllib3
from result import Err, Ok, Result

from chicorychute.core.clock import Clock
from chicorychute.sources.base import (
    WATCH_WAIT_S,
    InstanceList,
    ListedInstance,
    PlatformBackend,
    PlatformError,
    TableDocument,
)
from chicorychute.transport.bounded import bounded_pool_manager

READ_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
# A table of 2,000 services takes about a tenth of this.
MAX_ANSWER_BYTES = 64 << 20


class HttpPlatform(PlatformBackend):
    """Platform that serves the table and the instance list over HTTP.

    Parameters
    ----------
    url : str
        Base URL without a trailing slash.

    Attributes
    ----------
    reads : int
        Number of requests sent to the platform so far.
    """

    def __init__(self, url: str, clock: Clock):
        self._url = url.rstrip("/")
        self._pool = bounded_pool_manager(clock, MAX_ANSWER_BYTES, retries=False)
        self.reads = 0

    def watch_table(
        self, known_version: int, wait_s: float
    ) -> Result[TableDocument | None, PlatformError]:
        """Wait for a table newer than `known_version`."""
        path = f"/config/table?after={known_version}&wait={wait_s:g}"
        match self._get(path, wait_s + READ_TIMEOUT_S):
            case Ok(None):
                return Ok(None)
            case Ok(document):
                try:
                    version = int(document["version"])
                    return Ok(TableDocument(version, str(document["text"])))
                except (KeyError, TypeError, ValueError):
                    return Err(_malformed_response(path))
            case Err(error):
                return Err(error)

    def read_instances(
        self, wait_s: float = WATCH_WAIT_S
    ) -> Result[InstanceList, PlatformError]:
        """Read the instance list, without a wait."""
        match self._get("/instances", READ_TIMEOUT_S):
            case Ok(listed):
                try:
                    instances = tuple(ListedInstance(**item) for item in listed)
                    return Ok(InstanceList(instances))
                except TypeError:
                    return Err(_malformed_response("/instances"))
            case Err(error):
                return Err(error)

    def _get(self, path: str, timeout_s: float) -> Result[object, PlatformError]:
        self.reads += 1
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = self._pool.request("GET", self._url + path, timeout=timeout)
        except urllib3.exceptions.HTTPError as error:
            return Err(
                PlatformError(
                    f"platform did not answer {path} ({error})",
                    "check its address and network; the read is retried",
                )
            )
        if response.status == 304:
            return Ok(None)
        if response.status != 200:
            return Err(
                PlatformError(
                    f"platform answered {path} with {response.status}, not 200 or 304",
                    "check the platform; the read is retried",
                )
            )
        try:
            return Ok(json.loads(response.data))
        except ValueError:
            return Err(_malformed_response(path))


def _malformed_response(path: str) -> PlatformError:
    return PlatformError(
        f"platform answered {path} with malformed content",
        "correct what the platform serves there",
    )
