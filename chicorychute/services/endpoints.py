"""Which start of an upstream runs at its address, and whether it takes work."""

import enum
from collections.abc import Iterable
from http.client import HTTP_PORT
from urllib.parse import urlsplit

from chicorychute.sources.base import ListedUpstream


class EndpointChange(enum.Enum):
    """What a list changed at an address."""

    NONE = "none"
    REPLACED = "replaced"
    LEAVING = "leaving"
    GONE = "gone"
    BACK = "back"


def address_of(url: str) -> str:
    """Return the ``host:port`` of an upstream's URL."""
    parts = urlsplit(url)
    return f"{parts.hostname}:{parts.port or HTTP_PORT}"


class UpstreamEndpoint:
    """Address of one upstream, which a later one may reuse.

    Parameters
    ----------
    requires_listing : bool
        Whether the upstream takes work only while the platform's list names it.
    """

    def __init__(self, address: str, requires_listing: bool):
        self._address = address
        self._requires_listing = requires_listing
        self._current: ListedUpstream | None = None
        self.takes_work = not requires_listing

    @property
    def incarnation(self) -> str:
        """Name of the start that may run work, empty for any."""
        return "" if self._current is None else self._current.id

    @property
    def slots(self) -> int:
        """Slots that the list tells, 0 where it tells none."""
        return 0 if self._current is None else self._current.slots

    def mark_replaced(self) -> None:
        """Take no work until the list names the upstream anew: it was replaced."""
        self.takes_work = not self._requires_listing

    def update(
        self, listed: Iterable[ListedUpstream], service: str, complete: bool
    ) -> EndpointChange:
        """Take a list; one that is not `complete` proves nobody gone.

        Parameters
        ----------
        service : str
            Service beside the daemon, by its settings. An entry of another one at
            the address is of an upstream that had it before.
        """
        matching = [
            entry
            for entry in listed
            if entry.address == self._address and entry.service == service
        ]
        newest = max(matching, key=_recency, default=None)
        if newest is None:
            return self._apply_missing(complete)
        previous, self._current = self._current, newest
        took_work, self.takes_work = self.takes_work, not newest.leaving
        if previous is None or _incarnation_key(previous) != _incarnation_key(newest):
            return EndpointChange.REPLACED
        if took_work == self.takes_work:
            return EndpointChange.NONE
        return EndpointChange.BACK if self.takes_work else EndpointChange.LEAVING

    def _apply_missing(self, complete: bool) -> EndpointChange:
        if not (complete and self._requires_listing and self.takes_work):
            return EndpointChange.NONE
        self.takes_work = False
        return EndpointChange.GONE


def _recency(entry: ListedUpstream) -> tuple[int, bool, str]:
    """Return the key of the entry to believe: the last start goes first."""
    return entry.started_ms, not entry.leaving, entry.id


def _incarnation_key(entry: ListedUpstream) -> tuple[str, int]:
    return entry.id, entry.started_ms
