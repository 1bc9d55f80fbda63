"""Requests that the gate has ended while their upstream may still run them."""

import attrs
import structlog

from chicorychute.admission.queue import Ticket
from chicorychute.core.clock import Clock
from chicorychute.transport.calls import AbandonedConnection

# After this time a slot is released even if the upstream ignores the closed connection.
ABANDONED_LIMIT_S = 60.0

logger = structlog.get_logger()


@attrs.frozen
class _AbandonedRequest:
    ticket: Ticket
    connection: AbandonedConnection
    expires_s: float


class AbandonedRequests:
    """Abandoned requests of one upstream, each of which still occupies a slot.

    A slot is free again once the upstream has answered or closed the connection, or
    after `ABANDONED_LIMIT_S`.
    """

    def __init__(self, upstream: str, clock: Clock):
        self._upstream = upstream
        self._clock = clock
        self._requests: list[_AbandonedRequest] = []

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, ticket: Ticket, connection: AbandonedConnection) -> None:
        """Add a request whose slot stays occupied."""
        expires_s = self._clock.monotonic() + ABANDONED_LIMIT_S
        self._requests.append(_AbandonedRequest(ticket, connection, expires_s))

    def pop_ended(self) -> list[Ticket]:
        """Remove and return the requests whose slots are free again."""
        now_s = self._clock.monotonic()
        ended = []
        for request in list(self._requests):
            expired = now_s >= request.expires_s
            if not expired and not request.connection.has_ended():
                continue
            if expired:
                logger.warning(
                    "gate: upstream ignores a cancelled request, restart it",
                    upstream=self._upstream,
                )
            request.connection.close()
            self._requests.remove(request)
            ended.append(request.ticket)
        return ended
