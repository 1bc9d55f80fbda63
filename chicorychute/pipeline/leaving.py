"""Filters of a daemon that leaves: count what is in flight, refuse what is new."""

import enum
import threading
from collections.abc import Iterator

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import (
    Answer,
    Body,
    Handler,
    Refused,
    Reply,
    Request,
)
from chicorychute.table.rows import Repeat


class Stage(enum.Enum):
    """How far a daemon is on its way out."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"


class Leaving:
    """Stage of the own daemon and the requests that it still answers.

    While it leaves it serves as before, but gives no home to new orders. Once it
    closes it refuses as not run whatever is new, except orders that already name
    their home: only their home can tell whether they ran.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._in_flight = 0
        self._last_s = clock.monotonic()
        self.stage = Stage.SERVING

    @property
    def in_flight(self) -> int:
        """Requests whose answer is not at its end."""
        return self._in_flight

    def serving(self) -> bool:
        """Return whether the daemon stays."""
        return self.stage is Stage.SERVING

    def quiet_s(self) -> float:
        """Return the seconds since a request came or ended, 0 with one in flight."""
        if self._in_flight:
            return 0.0
        return self._clock.monotonic() - self._last_s

    def count(self, handler: Handler) -> Handler:
        """Count a request until the last byte of its answer was taken."""

        def run(request: Request) -> Reply:
            self._step(1)
            try:
                reply = handler(request)
            except BaseException:
                self._step(-1)
                raise
            if not isinstance(reply, Answer):
                self._step(-1)
                return reply
            body = _CountedBody(reply.chunks, lambda: self._step(-1))
            return Answer(
                reply.status, reply.headers, reply.length, body, reply.upstream
            )

        return run

    def refuse(self, handler: Handler) -> Handler:
        """Refuse what a leaving daemon must not begin."""

        def run(request: Request) -> Reply:
            if self._refuses(request):
                return Refused(Outcome.NOT_RUN, Reason.LEAVING)
            return handler(request)

        return run

    def _refuses(self, request: Request) -> bool:
        names_home = request.row.repeat is Repeat.ONCE and bool(request.key)
        match self.stage:
            case Stage.SERVING:
                return False
            case Stage.LEAVING:
                return request.row.repeat is Repeat.ONCE and not names_home
            case Stage.CLOSING:
                return not names_home

    def _step(self, change: int) -> None:
        with self._lock:
            self._in_flight += change
            self._last_s = self._clock.monotonic()


class _CountedBody:
    """Body that calls `done` once, at its end or when it is closed."""

    def __init__(self, body: Body, done):
        self._body = body
        self._done = done

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._body)
        except BaseException:
            self._end()
            raise

    def close(self) -> None:
        """Give the rest up."""
        self._body.close()
        self._end()

    def _end(self) -> None:
        done, self._done = self._done, None
        if done is not None:
            done()
