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


class DrainState:
    """Stage of the own daemon and the requests that it still answers.

    While it leaves it serves as before, but gives no home to new orders. Once it
    closes it refuses as not run whatever is new, except orders that already name
    their home: only their home can tell whether they ran.

    Attributes
    ----------
    ends_s : float, optional
        When the daemon stops answering; what is new must end before it.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._request_by_id: dict[int, Request] = {}
        self._last_change_s = clock.monotonic()
        self.stops_at_s: float | None = None
        self.stage = Stage.SERVING

    @property
    def in_flight(self) -> int:
        """Requests whose answer is not at its end."""
        return len(self._request_by_id)

    def is_serving(self) -> bool:
        """Return whether the daemon stays."""
        return self.stage is Stage.SERVING

    def quiet_s(self) -> float:
        """Return the seconds since a request came or ended, 0 with one in flight."""
        if self._request_by_id:
            return 0.0
        return self._clock.monotonic() - self._last_change_s

    def track(self, handler: Handler) -> Handler:
        """Count a request until the last byte of its answer was taken."""

        def run(request: Request) -> Reply:
            self._record_start(request)
            try:
                reply = handler(request)
            except BaseException:
                self._record_end(request)
                raise
            if not isinstance(reply, Answer):
                self._record_end(request)
                return reply
            body = _TrackedBody(reply.chunks, lambda: self._record_end(request))
            return Answer(
                reply.status, reply.headers, reply.length, body, reply.upstream
            )

        return run

    def limit_deadline(self, handler: Handler) -> Handler:
        """Have a request that comes while the daemon leaves end before it stops.

        Its gate then refuses it at once where it would wait longer, and its caller
        can go to another daemon.
        """

        def run(request: Request) -> Reply:
            if self.stops_at_s is not None:
                request.deadline_s = min(request.deadline_s, self.stops_at_s)
            return handler(request)

        return run

    def cancel_requests(self) -> None:
        """Withdraw every request that still waits, so that it is answered."""
        with self._lock:
            requests = list(self._request_by_id.values())
        for request in requests:
            request.scope.cancel(caller_left=False)

    def refuse_new(self, handler: Handler) -> Handler:
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

    def _record_start(self, request: Request) -> None:
        with self._lock:
            self._request_by_id[id(request)] = request
            self._last_change_s = self._clock.monotonic()

    def _record_end(self, request: Request) -> None:
        with self._lock:
            self._request_by_id.pop(id(request), None)
            self._last_change_s = self._clock.monotonic()


class _TrackedBody:
    """Body that calls `done` once, at its end or when it is closed."""

    def __init__(self, body: Body, on_end):
        self._body = body
        self._on_end = on_end

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
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end()
