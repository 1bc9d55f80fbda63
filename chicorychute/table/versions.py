"""Decides which table is in force: versions only rise, one content wins a version."""

import enum
import hashlib
from collections import OrderedDict

import attrs
from result import Err, Ok, Result

from chicorychute.core.clock import Clock
from chicorychute.core.messages import TableAnnounce, TableRequest, TableUpdate
from chicorychute.table.edits import parse_edit
from chicorychute.table.exceptions import TableFault
from chicorychute.table.parse import parse_table
from chicorychute.table.rows import Table

REQUEST_TIMEOUT_S = 0.5
MAX_REFUSED_COUNT = 64
HASH_BYTES = 8

VersionKey = tuple[int, str]


class OfferDecision(enum.Enum):
    """What happened to a table that was offered."""

    ACCEPTED = "taken"
    IN_FORCE = "held"
    OLDER = "older"
    REFUSED = "refused"
    REFUSED_BEFORE = "refused-before"


@attrs.frozen
class OfferResult:
    """Decision on an offered table, with its faults.

    Attributes
    ----------
    conflict : bool
        Whether another content is known under the same version.
    faults : tuple of TableFault
        Faults of a refused table.
    """

    decision: OfferDecision
    conflict: bool = False
    faults: tuple[TableFault, ...] = ()


def content_hash(text: str) -> str:
    """Return the hash that distinguishes two contents of one version."""
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).hexdigest()


class TableVersions:
    """Table in force of one daemon, and the messages that spread it to peers.

    If two contents have the same version, the one with the higher hash wins on every
    daemon, whichever came first.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._table: Table | None = None
        self._hash = ""
        self._refused: OrderedDict[VersionKey, None] = OrderedDict()
        self._conflicts: set[VersionKey] = set()
        self._request_expires_s = float("-inf")

    @property
    def table(self) -> Table | None:
        """Table in force, None before the first."""
        return self._table

    @property
    def key(self) -> VersionKey:
        """Version and hash in force, version 0 before the first."""
        return (0 if self._table is None else self._table.version), self._hash

    @property
    def conflict_count(self) -> int:
        """Number of contents seen whose version already had another content."""
        return len(self._conflicts)

    @property
    def highest_seen_version(self) -> int:
        """Highest version in force or refused, above which the next one is awaited."""
        return max([self.key[0], *(version for version, _ in self._refused)])

    def would_accept(self, version: int, hash: str) -> bool:
        """Return whether a peer's table is newer and was not refused before."""
        key = (version, hash)
        return key > self.key and key not in self._refused

    def offer(self, version: int, text: str) -> OfferResult:
        """Check a table and put it in force if its version and hash are higher.

        The version is compared first, then the hash of the content.
        """
        key = (version, content_hash(text))
        if key == self.key:
            return OfferResult(OfferDecision.IN_FORCE)
        conflict = version == self.key[0]
        if conflict:
            self._conflicts.add(key)
        if key < self.key:
            return OfferResult(OfferDecision.OLDER, conflict)
        if key in self._refused:
            return OfferResult(OfferDecision.REFUSED_BEFORE, conflict)
        self._request_expires_s = float("-inf")
        match self._parse(version, text):
            case Ok(table):
                self._table = table
                self._hash = key[1]
                return OfferResult(OfferDecision.ACCEPTED, conflict)
            case Err(faults):
                self._record_refused(key)
                return OfferResult(OfferDecision.REFUSED, conflict, tuple(faults))

    def announce(self) -> TableAnnounce:
        """Return the message that announces the table in force to peers."""
        return TableAnnounce(*self.key)

    def on_announce(self, announce: TableAnnounce) -> TableRequest | None:
        """Return a request to the announcer if its table is newer and none is open."""
        now_s = self._clock.monotonic()
        if not self.would_accept(announce.version, announce.hash):
            return None
        if now_s < self._request_expires_s:
            return None
        self._request_expires_s = now_s + REQUEST_TIMEOUT_S
        return TableRequest(*self.key)

    def on_request(self, request: TableRequest) -> TableUpdate | None:
        """Return the table in force for a peer that has an older one."""
        peer_key = (request.known_version, request.known_hash)
        if self._table is None or peer_key >= self.key:
            return None
        return TableUpdate(self._table.version, self._table.text)

    def _parse(self, version: int, text: str) -> Result[Table, list[TableFault]]:
        current = self._table
        edited = None if current is None else parse_edit(current, version, text)
        return parse_table(version, text) if edited is None else Ok(edited)

    def _record_refused(self, key: VersionKey) -> None:
        self._refused[key] = None
        if len(self._refused) > MAX_REFUSED_COUNT:
            self._refused.popitem(last=False)
