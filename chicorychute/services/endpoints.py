"""Which incarnation of an upstream runs at its address, and if it takes work."""

import enum
from collections.abc import Iterable
from http.client import HTTP_PORT
from urllib.parse import urlsplit

from chicorychute.sources.base import ListedUpstream


class EndpointChange(enum.Enum):
    """Change of an endpoint by a list."""

    NONE = "none"
    RESIZED = "resized"
    REPLACED = "replaced"
    LEAVING = "leaving"
    GONE = "gone"
    BACK = "back"


def address_of(url: str) -> str:
    """Return the ``host:port`` of an upstream's URL."""
    parts = urlsplit(url)
    return f"{parts.hostname}:{parts.port or HTTP_PORT}"


class UpstreamEndpoint:
    """Address of an upstream and the incarnation that runs there.

    A later upstream may reuse the address.

    Parameters
    ----------
    requires_listing : bool
        Whether the upstream takes work only while the platform's list has it.
    """

    def __init__(self, address: str, requires_listing: bool):
        self._address = address
        self._requires_listing = requires_listing
        self._current: ListedUpstream | None = None
        self.takes_work = not requires_listing

    @property
    def incarnation(self) -> str:
        """Id of the incarnation that may run work, empty if any may."""
        return "" if self._current is None else self._current.id

    @property
    def slots(self) -> int:
        """Slots that the list reports, 0 if it reports none."""
        return 0 if self._current is None else self._current.slots

    def mark_replaced(self, incarnation: str) -> None:
        """Take no work until the next list with the upstream, which was replaced.

        Without effect where no listing is required, or if a list has named another
        incarnation since the request was sent that found this one replaced.
        """
        if incarnation == self.incarnation:
            self.takes_work = not self._requires_listing

    def update(
        self, listed: Iterable[ListedUpstream], service: str, complete: bool
    ) -> EndpointChange:
        """Apply the entries of a list.

        Parameters
        ----------
        service : str
            Service of the upstream by the daemon's settings. An entry of another
            service at the address is left from an upstream that had it before.
        complete : bool
            Whether an upstream that the list lacks is gone.
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
            resized = previous.slots != newest.slots
            return EndpointChange.RESIZED if resized else EndpointChange.NONE
        return EndpointChange.BACK if self.takes_work else EndpointChange.LEAVING

    def _apply_missing(self, complete: bool) -> EndpointChange:
        if not (complete and self._requires_listing and self.takes_work):
            return EndpointChange.NONE
        self.takes_work = False
        return EndpointChange.GONE


def _recency(entry: ListedUpstream) -> tuple[int, bool, str]:
    """Return the sort key of entries at one address; the last start is current."""
    return entry.started_ms, not entry.leaving, entry.id


def _incarnation_key(entry: ListedUpstream) -> tuple[str, int]:
    return entry.id, entry.started_ms
