"""Interface of a platform backend."""

from collections.abc import Iterable

import attrs
from result import Result

from chicorychute.core.exceptions import ChuteError
from chicorychute.core.messages import ListedUpstream

# Longest wait of one call for a change. With the margin of its answer and the pause
# after a failure, a lost answer is noticed and the call repeated within 4 s: after that
# time the platform considers a daemon connected again.
WATCH_WAIT_S = 1.5
# Longest wait where a peer that waits less sends on what it learns: calls are charged.
BACKED_WATCH_WAIT_S = 20.0


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
    upstreams: tuple[ListedUpstream, ...] = ()


@attrs.frozen
class InstanceList:
    """The platform's list as it was read.

    Attributes
    ----------
    revision : int
        Revision up to which the list contains all changes, 0 where the platform
        counts none.
    """

    instances: tuple[ListedInstance, ...]
    revision: int = 0

    @property
    def upstreams(self) -> tuple[ListedUpstream, ...]:
        """The upstreams of all instances."""
        return tuple(u for instance in self.instances for u in instance.upstreams)


def instances_of(
    upstreams: Iterable[ListedUpstream], peer_port: int
) -> tuple[ListedInstance, ...]:
    """Return the instances that host upstreams, one for each host.

    Parameters
    ----------
    peer_port : int
        Port on which the daemon of every instance listens for peers.
    """
    upstreams_by_host: dict[str, list[ListedUpstream]] = {}
    for upstream in upstreams:
        host = upstream.address.rpartition(":")[0]
        upstreams_by_host.setdefault(host, []).append(upstream)
    return tuple(
        ListedInstance(host, host, peer_port, False, tuple(on_host))
        for host, on_host in upstreams_by_host.items()
    )


class PlatformBackend:
    """Reads the platform; every call may block and none writes."""

    def watch_table(
        self, known_version: int, wait_s: float
    ) -> Result[TableDocument | None, PlatformError]:
        """Return a table newer than `known_version`, or None after `wait_s`."""
        raise NotImplementedError

    def read_instances(
        self, wait_s: float = WATCH_WAIT_S
    ) -> Result[InstanceList, PlatformError]:
        """Return the platform's list, which lags behind the actual state.

        A call after the first may wait up to `wait_s` seconds for a change.
        """
        raise NotImplementedError
