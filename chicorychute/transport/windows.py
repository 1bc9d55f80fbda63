"""Flow control of the answers that are sent on one link."""

import threading

from chicorychute.core.exceptions import ChuteError

WINDOW_CHUNKS = 16
STALL_TIMEOUT_S = 60.0


class LinkError(ChuteError):
    """A peer can't be reached, or a link to it is lost."""


class AnswerWindows:
    """Number of chunks that may still be sent of each answer, by the request's id.

    The receiver grants credit as its caller reads the chunks, so an answer that a
    caller reads slowly waits at its upstream and does not fill memory.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._credit_by_id: dict[int, int] = {}
        self._closed = False

    def open(self, id: int) -> None:
        """Begin an answer with a full window."""
        with self._condition:
            self._credit_by_id[id] = WINDOW_CHUNKS

    def end(self, id: int) -> None:
        """Remove the window of an answer that has ended."""
        with self._condition:
            self._credit_by_id.pop(id, None)

    def consume_credit(self, id: int) -> None:
        """Wait until one more chunk may be sent, and use up its credit.

        Raises
        ------
        LinkError
            If the answer was cancelled, its link is lost, or it is not read for
            `STALL_TIMEOUT_S`.
        """
        with self._condition:
            ready = self._condition.wait_for(
                lambda: self._closed or self._credit_by_id.get(id, 1) > 0,
                STALL_TIMEOUT_S,
            )
            if not ready or self._closed or id not in self._credit_by_id:
                raise LinkError(
                    f"answer {id} cancelled, link lost, or not read for"
                    f" {STALL_TIMEOUT_S:g} s",
                    "send the request again",
                )
            self._credit_by_id[id] -= 1

    def credit(self, id: int, chunks: int) -> None:
        """Allow further chunks of an answer, up to a full window."""
        with self._condition:
            if id in self._credit_by_id:
                allowed = self._credit_by_id[id] + max(0, chunks)
                self._credit_by_id[id] = min(allowed, WINDOW_CHUNKS)
                self._condition.notify_all()

    def cancel(self, id: int) -> None:
        """Stop the sender of an answer; its next wait raises LinkError."""
        with self._condition:
            self._credit_by_id.pop(id, None)
            self._condition.notify_all()

    def close(self) -> None:
        """Stop every sender, as the link is lost."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()
