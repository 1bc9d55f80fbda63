"""Filters for the drain of a daemon: track requests in flight, refuse new ones."""

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
    """Stage of a daemon on its way to a stop."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"


class DrainState:
    """Stage of this daemon, and the requests that it still answers.

    While leaving, the daemon serves as before, except that it is the home of no new
    orders. While closing, it refuses all new requests as not run, except orders that
    already name their home: only their home knows whether they ran.

    Attributes
    ----------
    stops_at_s : float, optional
        Clock reading at which the daemon stops answering; new requests must end
        before it.
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
        """Number of requests whose answer has not ended."""
        return len(self._request_by_id)

    def is_serving(self) -> bool:
        """Return whether the daemon is neither leaving nor closing."""
        return self.stage is Stage.SERVING

    def quiet_s(self) -> float:
        """Return the seconds since a request last ended, 0 while one is in flight."""
        if self._request_by_id:
            return 0.0
        return self._clock.monotonic() - self._last_change_s

    def track(self, handler: Handler) -> Handler:
        """Count a request as in flight until the last byte of its answer is read."""

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
        """Limit the deadline of a new request to the stop of a leaving daemon.

        Its gate then refuses it at once if it would wait longer, and its caller can
        go to another daemon.
        """

        def run(request: Request) -> Reply:
            if self.stops_at_s is not None:
                request.deadline_s = min(request.deadline_s, self.stops_at_s)
            return handler(request)

        return run

    def cancel_requests(self) -> None:
        """Cancel every request in flight, so that one that still waits is answered."""
        with self._lock:
            requests = list(self._request_by_id.values())
        for request in requests:
            request.scope.cancel(caller_left=False)

    def refuse_new(self, handler: Handler) -> Handler:
        """Refuse requests that a leaving or closing daemon must not start."""

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
    """Body that calls `on_end` once, at its end or when it is closed."""

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
        """Discard the rest."""
        self._body.close()
        self._end()

    def _end(self) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end()
