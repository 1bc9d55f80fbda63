"""Bodies of upstreams' answers, and the results of the requests that they end."""

from collections.abc import Callable, Iterator

import attrs
import structlog

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.health.evidence import Result
from chicorychute.pipeline.values import (
    AnswerBroken,
    Body,
    BufferedBody,
    Refused,
    Reply,
)
from chicorychute.transport.calls import UpstreamCall
from chicorychute.transport.upstream import UpstreamAnswer
from chicorychute.transport.upstream_end import UpstreamFailure

SERVER_ERROR = 500
BUFFER_LIMIT_BYTES = 64 << 10  # read of an answer before any of it is passed on
SERVICE_UNAVAILABLE = 503
CANCELLED_DETAIL = "the request was cancelled before its answer was complete"
SHED_REASONS = (Reason.UPSTREAM_BUSY, Reason.UPSTREAM_REPLACED)

logger = structlog.get_logger()


class UpstreamBody:
    """Body of an upstream's answer; reports the result once, at its end or on `close`.

    The reported latency is the time spent waiting for the upstream, without the time
    that the reader of the body takes.

    Parameters
    ----------
    head_wait_s : float
        Time that the head of the answer took.
    on_end : callable
        Called with the result, the latency in seconds and the bytes that were read.
    """

    def __init__(
        self,
        answer: UpstreamAnswer,
        call: UpstreamCall,
        clock: Clock,
        head_wait_s: float,
        on_end: Callable[[Result, float, int], None],
    ):
        self._answer = answer
        self._call = call
        self._clock = clock
        self._upstream_wait_s = head_wait_s
        self._read_bytes = 0
        self._on_end = on_end
        self._has_ended = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        started_s = self._clock.monotonic()
        try:
            chunk = next(self._answer.chunks)
        except StopIteration:
            self._upstream_wait_s += self._clock.monotonic() - started_s
            if self._answer.ends_with_connection and self._call.cancelled:
                # The cancellation closes the connection, as the upstream does at the
                # end of such a body: nobody knows whether the body is complete.
                self._end(Result.CANCELLED)
                raise AnswerBroken(CANCELLED_DETAIL) from None
            self._end(result_of_status(self._answer.status))
            raise
        except Exception as error:
            failure = failure_of(error)
            self._upstream_wait_s += self._clock.monotonic() - started_s
            if self._read_bytes == self._answer.length:
                # The answer was complete; the failure came after it.
                self._end(result_of_status(self._answer.status))
                raise StopIteration from None
            self._end(result_of_failure(failure, self._call))
            raise AnswerBroken(failure.detail) from error
        self._upstream_wait_s += self._clock.monotonic() - started_s
        self._read_bytes += len(chunk)
        return chunk

    def close(self) -> None:
        """Discard the rest; the connection to the upstream is closed."""
        if not self._has_ended:
            self._answer.close()
            self._end(Result.CANCELLED)

    def _end(self, result: Result) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._on_end(result, self._upstream_wait_s, self._read_bytes)


class _PrefixedBody:
    """Bytes that were already read, followed by the rest of a body."""

    def __init__(self, prefix: bytes, rest: Body):
        self._prefix = prefix
        self._rest = rest

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._prefix:
            prefix, self._prefix = self._prefix, b""
            return prefix
        return next(self._rest)

    def close(self) -> None:
        """Discard the rest."""
        self._rest.close()


def buffer_short_answer(reply: Reply) -> Reply:
    """Read a short answer completely, so that a broken one can still be refused.

    None of it was sent to the caller yet: an idempotent request can then run at
    another upstream, and any other ends with a refusal that states its unknown
    outcome instead of an aborted connection.
    """
    if isinstance(reply, Refused):
        return reply
    data = bytearray()
    try:
        for chunk in reply.chunks:
            data += chunk
            if len(data) > BUFFER_LIMIT_BYTES:
                rest = _PrefixedBody(bytes(data), reply.chunks)
                return attrs.evolve(reply, chunks=rest)
    except AnswerBroken as error:
        return Refused(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error))
    length = reply.length if not data else len(data)
    return attrs.evolve(reply, chunks=BufferedBody(bytes(data)), length=length)


def result_of_status(status: int) -> Result:
    """Return the result of a request with a complete answer of this status."""
    if status == SERVICE_UNAVAILABLE:
        return Result.SHED
    return Result.FAILED if status >= SERVER_ERROR else Result.OK


def failure_of(error: Exception) -> UpstreamFailure:
    """Return the failure of a request whose upstream client raised `error`.

    After an exception that no client should raise, nobody knows how much of the
    request was sent: the outcome is unknown, and the slot is released as at any
    other end.
    """
    if isinstance(error, UpstreamFailure):
        return error
    logger.error(
        "gate: upstream client raised an unexpected exception, report it",
        exc_info=error,
    )
    detail = f"the client failed ({type(error).__name__})"
    return UpstreamFailure(Outcome.UNKNOWN, Reason.INTERNAL, detail)


def result_of_failure(failure: UpstreamFailure, call: UpstreamCall) -> Result:
    """Return the result of a failed request; only its own deadline is TIMED_OUT."""
    if call.cancelled and failure.reason is not Reason.DEADLINE:
        return Result.CANCELLED
    if failure.reason in SHED_REASONS:
        return Result.SHED
    timed_out = failure.reason is Reason.DEADLINE
    return Result.TIMED_OUT if timed_out else Result.FAILED
