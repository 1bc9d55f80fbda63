"""Which start of an upstream runs at its address, and whether it takes work."""

import enum
from collections.abc import Iterable
from http.client import HTTP_PORT
from urllib.parse import urlsplit

from chicorychute.sources.base import ListedUpstream


class PlaceChange(enum.Enum):
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


class UpstreamPlace:
    """Address of one upstream, which a later one may reuse.

    Parameters
    ----------
    listed : bool
        Whether the upstream takes work only while the platform's list names it.
    """

    def __init__(self, address: str, listed: bool):
        self._address = address
        self._listed = listed
        self._known: ListedUpstream | None = None
        self.takes_work = not listed

    @property
    def incarnation(self) -> str:
        """Name of the start that may run work, empty for any."""
        return "" if self._known is None else self._known.id

    @property
    def slots(self) -> int:
        """Slots that the list tells, 0 where it tells none."""
        return 0 if self._known is None else self._known.slots

    def doubt(self) -> None:
        """Take no work until the list names the upstream anew: it was replaced."""
        self.takes_work = not self._listed

    def take(
        self, listed: Iterable[ListedUpstream], service: str, complete: bool
    ) -> PlaceChange:
        """Take a list; one that is not `complete` proves nobody gone.

        Parameters
        ----------
        service : str
            Service beside the daemon, by its settings. An entry of another one at
            the address is of an upstream that had it before.
        """
        here = [
            entry
            for entry in listed
            if entry.address == self._address and entry.service == service
        ]
        newest = max(here, key=_seniority, default=None)
        if newest is None:
            return self._missing(complete)
        before, self._known = self._known, newest
        took_work, self.takes_work = self.takes_work, not newest.leaving
        if before is None or _start_of(before) != _start_of(newest):
            return PlaceChange.REPLACED
        if took_work == self.takes_work:
            return PlaceChange.NONE
        return PlaceChange.BACK if self.takes_work else PlaceChange.LEAVING

    def _missing(self, complete: bool) -> PlaceChange:
        if not (complete and self._listed and self.takes_work):
            return PlaceChange.NONE
        self.takes_work = False
        return PlaceChange.GONE


def _seniority(entry: ListedUpstream) -> tuple[int, bool, str]:
    """Return the key of the entry to believe: the last start goes first."""
    return entry.started_ms, not entry.leaving, entry.id


def _start_of(entry: ListedUpstream) -> tuple[str, int]:
    return entry.id, entry.started_ms
