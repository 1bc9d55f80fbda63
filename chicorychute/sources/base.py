"""Interface of a platform backend."""

import attrs
from result import Result

from chicorychute.core.exceptions import ChuteError


class PlatformError(ChuteError):
    """The platform could not be read."""


@attrs.frozen
class TableDocument:
    """Published text of the operators' table."""

    version: int
    text: str


@attrs.frozen
class ListedInstance:
    """Instance on the platform's instance list."""

    instance: str
    host: str
    peer_port: int
    leaving: bool
    upstreams: tuple["ListedUpstream", ...] = ()


@attrs.frozen
class ListedUpstream:
    """Incarnation of an upstream on the platform's instance list.

    Attributes
    ----------
    id : str
        Identifies this incarnation of the upstream, and no other.
    address : str
        ``host:port`` at which it listens; a later upstream may reuse it.
    leaving : bool
        Whether it accepts no new work.
    cold_s : float
        Seconds for which it is still slow after its start.
    started_ms : int
        Its start in milliseconds of Unix time, 0 if unknown.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_s: float
    started_ms: int


class PlatformBackend:
    """Reads the platform; every call may block and none writes."""

    def watch_table(
        self, known_version: int, wait_s: float
    ) -> Result[TableDocument | None, PlatformError]:
        """Return a table newer than `known_version`, or None after `wait_s`."""
        raise NotImplementedError

    def read_instances(self) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Return the platform's list, which lags behind the actual state.

        A call after the first may wait some seconds for a change.
        """
        raise NotImplementedError
