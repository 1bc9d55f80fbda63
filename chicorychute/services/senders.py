"""Sends messages to peers without holding up the caller."""

import contextlib
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import structlog

from chicorychute.core.messages import Message, Refusal
from chicorychute.transport.links import Link, LinkError, LinkHub

SENDER_THREADS = 8
QUEUED_PER_DESTINATION_LIMIT = (
    4  # messages for one peer; a later round repeats what is dropped
)

Address = tuple[str, int]

logger = structlog.get_logger()


class Senders:
    """Small pool of threads; a peer that blocks holds up one of them at most.

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
        """Send a message to an address; `failed` is called if it can't be sent."""
        self._submit(address, lambda: self._hub().link_to(address), message, on_failure)

    def reply(self, link: Link, message: Message) -> None:
        """Send a message over the link that a question came on."""
        self._submit(link, lambda: link, message, lambda: None)

    def refuse(self, link: Link, refusal: Refusal) -> None:
        """Send the end of a request, which no later message repeats."""
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
