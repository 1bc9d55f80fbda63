"""Sends messages to peers without blocking the caller."""

import contextlib
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import structlog

from chicorychute.core.messages import Message, Refusal
from chicorychute.transport.links import Link, LinkError, LinkHub

SENDER_THREADS = 8
# Threads that may wait for one destination. Further messages that a later round repeats
# are dropped.
QUEUED_PER_DESTINATION_LIMIT = 4
# Further messages that nothing repeats, as many as requests in flight on one link.
UNREPEATED_PER_DESTINATION_LIMIT = 1024

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
        self._waiting_by_destination: dict[object, deque[Callable[[], None]]] = {}

    def send(
        self,
        address: Address,
        message: Message,
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        """Send a message that a later round repeats.

        It is dropped if others wait for the same address. `on_failure` is called if
        the link fails.
        """
        self._submit(address, lambda: self._hub().link_to(address), message, on_failure)

    def send_unrepeated(self, address: Address, message: Message) -> None:
        """Send a message once those before it to the same address are sent.

        It is dropped if the link fails, or if too many wait for the same address.
        """
        self._submit(
            address,
            lambda: self._hub().link_to(address),
            message,
            lambda: None,
            waits=True,
        )

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
        waits: bool = False,
    ) -> None:
        def run() -> None:
            try:
                open_link().send(message)
            except LinkError as error:
                given_up = self._give_up_waiting(destination)
                logger.debug(
                    "fleet: message was not sent", error=str(error), given_up=given_up
                )
                on_failure()
            except Exception:
                # The pool keeps it in a future that nobody reads.
                logger.exception("fleet: a sender failed")
            finally:
                self._finish(destination)

        with self._lock:
            queued = self._queued_by_destination.get(destination, 0)
            if queued < QUEUED_PER_DESTINATION_LIMIT:
                self._queued_by_destination[destination] = queued + 1
                self._pool.submit(run)
                return
            waiting = self._waiting_by_destination.setdefault(destination, deque())
            is_full = len(waiting) >= UNREPEATED_PER_DESTINATION_LIMIT
            if waits and not is_full:
                waiting.append(run)
        if waits and is_full:
            logger.warning("fleet: too many messages wait for a peer; one is dropped")

    def _give_up_waiting(self, destination: object) -> int:
        """Drop what waits for a destination whose link failed; return the number."""
        with self._lock:
            return len(self._waiting_by_destination.pop(destination, ()))

    def _finish(self, destination: object) -> None:
        """Send the next message that waits, or release the place of the one sent."""
        with self._lock:
            waiting = self._waiting_by_destination.get(destination)
            if waiting:
                self._pool.submit(waiting.popleft())
                return
            self._waiting_by_destination.pop(destination, None)
            self._queued_by_destination[destination] -= 1
            if not self._queued_by_destination[destination]:
                del self._queued_by_destination[destination]
