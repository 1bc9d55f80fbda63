"""Flow control of the answers that one link carries."""

import threading

from chicorychute.core.exceptions import ChuteError

WINDOW_CHUNKS = 16
STALL_TIMEOUT_S = 60.0


class LinkError(ChuteError):
    """A peer can't be reached, or a link to it is lost."""


class AnswerWindows:
    """Chunks that may still be sent of each answer, by the request's id.

    The receiver gives credit back as its caller takes the chunks, so an answer
    that a caller reads slowly waits at its upstream and fills no memory.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._credit_by_id: dict[int, int] = {}
        self._closed = False

    def open(self, id: int) -> None:
        """Begin an answer with a whole window."""
        with self._condition:
            self._credit_by_id[id] = WINDOW_CHUNKS

    def end(self, id: int) -> None:
        """Forget an answer."""
        with self._condition:
            self._credit_by_id.pop(id, None)

    def consume_credit(self, id: int) -> None:
        """Wait until one more chunk may be sent.

        Raises
        ------
        LinkError
            If the answer was cancelled, its link is lost, or nobody reads it.
        """
        with self._condition:
            ready = self._condition.wait_for(
                lambda: self._closed or self._credit_by_id.get(id, 1) > 0,
                STALL_TIMEOUT_S,
            )
            if not ready or self._closed or id not in self._credit_by_id:
                raise LinkError("the answer is not read", "ask again")
            self._credit_by_id[id] -= 1

    def credit(self, id: int, chunks: int) -> None:
        """Allow further chunks of an answer."""
        with self._condition:
            if id in self._credit_by_id:
                allowed = self._credit_by_id[id] + max(0, chunks)
                self._credit_by_id[id] = min(allowed, WINDOW_CHUNKS)
                self._condition.notify_all()

    def cancel(self, id: int) -> None:
        """End a sender that waits."""
        with self._condition:
            self._credit_by_id.pop(id, None)
            self._condition.notify_all()

    def close(self) -> None:
        """End every sender that waits; the link is lost."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()
