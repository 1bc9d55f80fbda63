"""Order of the answers on a connection whose caller sends requests ahead.

Load pattern: a caller that sends further requests before the first one is answered.
Repeatable requests run at the same time, so that a slow one delays none at the
upstreams, but their answers leave in the order of the requests. What stands behind an
answer that closes the connection was not read, as far as the caller knows, and is sent
again: its run is cancelled, and its answer dropped.
"""

import threading
from collections import deque

from chicorychute.pipeline.cancel import CancelScope


class Turn:
    """Place of one request in the order of its connection.

    Attributes
    ----------
    scope : CancelScope
        Cancelled if an earlier answer closes the connection.
    """

    def __init__(self) -> None:
        self.scope = CancelScope()
        self._decided = threading.Event()
        self._may_answer = False
        self.has_ended = False
        self.keeps_open = True

    def wait(self) -> bool:
        """Wait until earlier answers have ended; return whether this one may begin."""
        self._decided.wait()
        return self._may_answer

    def decide(self, may_answer: bool) -> None:
        """Let the answer begin, or have it dropped."""
        self._may_answer = may_answer
        self._decided.set()


class AnswerOrder:
    """Turns of the requests of one connection that are not answered yet."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._turns: deque[Turn] = deque()
        self._accepts_requests = True
        self._pending = 0

    @property
    def pending(self) -> int:
        """Number of requests whose turn has not ended."""
        return self._pending

    def join(self) -> Turn | None:
        """Return the turn of the next request, None if the connection closes."""
        with self._lock:
            if not self._accepts_requests:
                return None
            turn = Turn()
            if not self._turns:
                turn.decide(may_answer=True)
            self._turns.append(turn)
            self._pending += 1
        return turn

    def try_close(self, turn: Turn) -> bool:
        """Accept no further request if none stands behind `turn`.

        Returns
        -------
        bool
            Whether the answer of `turn` is the last one of the connection.
        """
        with self._lock:
            is_last = not self._turns or self._turns[-1] is turn
            if is_last:
                self._accepts_requests = False
        return is_last

    def end(self, turn: Turn, keeps_open: bool) -> bool:
        """End a turn; the next one begins, or all others are cancelled.

        Parameters
        ----------
        keeps_open : bool
            Whether further answers may follow on the connection.

        Returns
        -------
        bool
            Whether this end closes the connection.
        """
        closes = False
        dropped: list[Turn] = []
        with self._lock:
            self._pending -= 1
            turn.has_ended, turn.keeps_open = True, keeps_open
            while self._turns and self._turns[0].has_ended:
                if not self._turns.popleft().keeps_open:
                    self._accepts_requests = False
                    closes = True
                    dropped = list(self._turns)
                    self._turns.clear()
            if self._turns:
                self._turns[0].decide(may_answer=True)
        for dropped_turn in dropped:
            dropped_turn.decide(may_answer=False)
            dropped_turn.scope.cancel(caller_left=False)
        return closes
