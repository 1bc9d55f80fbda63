"""Sends messages to peers without blocking the caller."""

import contextlib
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import structlog

from chicorychute.core.messages import Message, Refusal
from chicorychute.transport.links import Link, LinkError, LinkHub

SENDER_THREADS = 8
# Further messages are dropped; a later round repeats them.
QUEUED_PER_DESTINATION_LIMIT = 4

Address = tuple[str, int]

logger = structlog.get_logger()


class Senders:
    """Small pool of threads, of which a peer that blocks can occupy only some.

    Parameters
    ----------
    hub : callable
        Returns the hub of peer links.
    """

    def __init__(self, hub: Callable[[], LinkHub]):
        self._hub = hub
        self._pool = ThreadPoolExecutor(SENDER_THREADS, thread_name_prefix="sender")
        self._lock = threading.Lock()
        self._queued_by_destination: dict[object, int] = {}

    def send(
        self,
        address: Address,
        message: Message,
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        """Send a message to an address; calls `on_failure` if the link fails."""
        self._submit(address, lambda: self._hub().link_to(address), message, on_failure)

    def reply(self, link: Link, message: Message) -> None:
        """Send a reply over the link that the peer's message came on."""
        self._submit(link, lambda: link, message, lambda: None)

    def refuse(self, link: Link, refusal: Refusal) -> None:
        """Send a refusal; it is never dropped, as no later message repeats it."""
        self._pool.submit(self._refuse, link, refusal)

    def _refuse(self, link: Link, refusal: Refusal) -> None:
        with contextlib.suppress(LinkError):
            link.send(refusal)

    def _submit(
        self,
        destination: object,
        open_link: Callable[[], Link],
        message: Message,
        on_failure: Callable[[], None],
    ) -> None:
        with self._lock:
            queued = self._queued_by_destination.get(destination, 0)
            if queued >= QUEUED_PER_DESTINATION_LIMIT:
                return
            self._queued_by_destination[destination] = queued + 1

        def run() -> None:
            try:
                open_link().send(message)
            except LinkError as error:
                logger.debug("fleet: message was not sent", error=str(error))
                on_failure()
            finally:
                self._release(destination)

        self._pool.submit(run)

    def _release(self, destination: object) -> None:
        with self._lock:
            self._queued_by_destination[destination] -= 1
            if not self._queued_by_destination[destination]:
                del self._queued_by_destination[destination]
