"""Slots of requests that ended here while their upstream may still run them."""

import attrs
import structlog

from chicorychute.admission.queue import Ticket
from chicorychute.core.clock import Clock
from chicorychute.transport.calls import HeldConnection

HOLD_LIMIT_S = 60.0  # an upstream that ignores a closed connection for so long

logger = structlog.get_logger()


@attrs.frozen
class _HeldSlot:
    ticket: Ticket
    connection: HeldConnection
    until_s: float


class HeldSlots:
    """Slots of one upstream that are returned once it has stopped the request."""

    def __init__(self, upstream: str, clock: Clock):
        self._upstream = upstream
        self._clock = clock
        self._held: list[_HeldSlot] = []

    def __len__(self) -> int:
        return len(self._held)

    def add(self, ticket: Ticket, connection: HeldConnection) -> None:
        """Hold the slot of a request."""
        until_s = self._clock.monotonic() + HOLD_LIMIT_S
        self._held.append(_HeldSlot(ticket, connection, until_s))

    def take_ended(self) -> list[Ticket]:
        """Return the requests whose slots are free again."""
        now_s = self._clock.monotonic()
        ended = []
        for slot in list(self._held):
            expired = now_s >= slot.until_s
            if not expired and not slot.connection.ended():
                continue
            if expired:
                logger.warning(
                    "gate: upstream ignores a cancelled request, restart it",
                    upstream=self._upstream,
                )
            slot.connection.close()
            self._held.remove(slot)
            ended.append(slot.ticket)
        return ended
