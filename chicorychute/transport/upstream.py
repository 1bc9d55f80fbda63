"""Sends requests to an upstream over HTTP."""

import contextlib
import re
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from http.client import HTTP_PORT, HTTPException, HTTPResponse, IncompleteRead
from urllib.parse import urlsplit

import attrs
import structlog
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from chicorychute.core.clock import Clock
from chicorychute.core.lines import is_header_value, is_visible_ascii
from chicorychute.core.messages import Headers, PeerRequest
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.transport.calls import TrackedConnection
from chicorychute.transport.dialect import Dialect
from chicorychute.transport.upstream_end import HOP_BY_HOP, UpstreamFailure

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 64 << 10
# Number of late answers to earlier requests that are skipped on a connection before
# the expected one.
MAX_LATE_ANSWERS = 2
is_length = re.compile(r"[0-9]{1,18}").fullmatch
INVALID_TARGET_CHARACTER = re.compile(r"[^\x21-\x7e]")
INVALID_HEADER_CHARACTER = re.compile(r"[\r\n\x00]|[^\x00-\xff]")

logger = structlog.get_logger()


@attrs.frozen
class UpstreamAnswer:
    """Head of an answer and the rest of its body.

    `chunks` raises UpstreamFailure if the upstream ends the body early; `close`
    discards the rest and closes the connection. `length` is the declared number of
    bytes, -1 if none is declared. `ends_with_connection` states whether only the end
    of the connection marks the end of the body.
    """

    status: int
    headers: Headers
    length: int
    chunks: Iterator[bytes]
    close: Callable[[], None]
    ends_with_connection: bool = False


class UpstreamClient:
    """HTTP client of one upstream, with a pool of connections.

    Lookups share connections. A request with an idempotency key gets a connection of
    its own: a reused one may break while it is used, and then it is unknown whether
    the upstream has read the request.

    Parameters
    ----------
    url : str
        ``http://host:port`` of the upstream.
    max_idle_connections : int
        Maximum number of idle connections kept open.
    dialect : Dialect, optional
        Defines the headers that are sent to the upstream and checks its answers.
    """

    def __init__(
        self,
        url: str,
        max_idle_connections: int,
        clock: Clock,
        dialect: Dialect | None = None,
    ):
        self._dialect = Dialect() if dialect is None else dialect
        parsed = urlsplit(url)
        self._address = (parsed.hostname, parsed.port or HTTP_PORT)
        self._clock = clock
        self._idle: deque[TrackedConnection] = deque()
        self._max_idle = max_idle_connections

    def send(
        self, work: PeerRequest, body: bytes, timeout_s: float, incarnation: str = ""
    ) -> UpstreamAnswer:
        """Send a request and return its answer once the head has been received.

        Parameters
        ----------
        timeout_s : float
            Time in seconds for the complete answer.
        incarnation : str
            Incarnation of the upstream that may run the request, empty for any.

        Raises
        ------
        UpstreamFailure
            If the head is invalid, no connection could be made, the upstream closed
            the connection, or its answer does not belong to this request.
        """
        _check_head(work)
        deadline_s = self._clock.monotonic() + timeout_s
        connection = self._open() if work.key else self._acquire()
        headers = self._dialect.upstream_headers(work, timeout_s, incarnation)
        try:
            answer = _send_request(connection, work, body, timeout_s, headers)
            answer = self._skip_late_answers(connection, work, answer)
            length = _length_of(answer)
            forwarded = _forwarded_headers(answer.headers.items())
            failure = self._dialect.answer_failure(work, answer.status, forwarded)
            ends_with_connection = answer.length is None and not answer.chunked
            if failure is None and ends_with_connection and connection.write_error:
                failure = _interrupted_answer(connection.write_error)
            if failure is not None:
                answer.close()
                raise failure
        except UpstreamFailure:
            connection.abort()
            raise

        def close() -> None:
            answer.close()
            connection.close()

        def release() -> None:
            answer.close()
            self._release(connection, shared=not work.key)

        chunks = self._chunks(connection, answer, deadline_s, close, release)
        return UpstreamAnswer(
            answer.status, forwarded, length, chunks, close, ends_with_connection
        )

    def _skip_late_answers(
        self, connection: TrackedConnection, work: PeerRequest, answer: HTTPResponse
    ) -> HTTPResponse:
        """Return the first answer that is not a late answer to an earlier request."""
        for _ in range(MAX_LATE_ANSWERS):
            if not self._dialect.is_for_other_request(
                work, tuple(answer.headers.items())
            ):
                break
            try:
                answer = connection.next_response()
            except (HTTPException, OSError, ValueError) as error:
                raise UpstreamFailure(
                    Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error)
                ) from error
        return answer

    def _open(self) -> TrackedConnection:
        return TrackedConnection(*self._address, self._clock)

    def _acquire(self) -> TrackedConnection:
        """Return a connection that the upstream has not closed, or a new one."""
        while self._idle:
            # Another thread may have taken the last connection.
            with contextlib.suppress(IndexError):
                connection = self._idle.pop()
                if connection.is_connected:
                    return connection
                connection.close()
        return self._open()

    def _release(self, connection: TrackedConnection, shared: bool) -> None:
        connection.detach_call()
        is_reusable = (
            shared and connection.sock is not None and not connection.has_unread_bytes()
        )
        if is_reusable and len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.close()

    def _chunks(
        self,
        connection: TrackedConnection,
        answer: HTTPResponse,
        deadline_s: float,
        close: Callable[[], None],
        release: Callable[[], None],
    ) -> Iterator[bytes]:
        try:
            connection.allow_body(READ_BYTES)
            while data := answer.read1(READ_BYTES):
                yield data
                self._check_deadline(deadline_s)
                connection.allow_body(READ_BYTES)
            if answer.length:
                raise IncompleteRead(b"", answer.length)
        except TimeoutError as error:
            close()
            raise _missed_deadline() from error
        except (HTTPException, OSError) as error:
            close()
            detail = f"answer ended early ({error})"
            raise UpstreamFailure(
                Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail
            ) from error
        except BaseException:
            close()
            raise
        release()

    def _check_deadline(self, deadline_s: float) -> None:
        """Raise UpstreamFailure if the deadline has passed."""
        if self._clock.monotonic() >= deadline_s:
            raise _missed_deadline()


def _missed_deadline() -> UpstreamFailure:
    detail = "the answer did not end before the deadline"
    return UpstreamFailure(Outcome.UNKNOWN, Reason.DEADLINE, detail)


def _interrupted_answer(write_error: OSError) -> UpstreamFailure:
    """Return the failure of an answer whose body only the connection's end marks.

    Such an answer is complete unless the connection reports an error (RFC 9112,
    section 8).
    """
    detail = f"the connection broke ({write_error}) and the answer has no length"
    return UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail)


def _forwarded_headers(received: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers to pass on, which every peer accepts."""
    return tuple(
        (name, value)
        for name, value in received
        if name.lower() not in HOP_BY_HOP
        and is_visible_ascii(name)
        and is_header_value(value)
    )


def _send_request(
    connection: TrackedConnection,
    work: PeerRequest,
    body: bytes,
    timeout_s: float,
    headers: dict[str, str],
) -> HTTPResponse:
    try:
        connection.set_timeouts(min(CONNECT_TIMEOUT_S, timeout_s), timeout_s)
        connection.request(work.method, work.target, body or None, headers)
        if connection.write_error is not None:
            logger.info(
                "request: its connection broke while it was written",
                id=work.id,
                upstream=connection.host,
                error=str(connection.write_error),
            )
        return connection.getresponse()
    except (NewConnectionError, ConnectTimeoutError) as error:
        raise UpstreamFailure(
            Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED, str(error)
        ) from error
    except TimeoutError as error:
        raise UpstreamFailure(
            Outcome.UNKNOWN, Reason.DEADLINE, "no answer before the deadline"
        ) from error
    except (HTTPError, HTTPException, OSError, ValueError) as error:
        raise UpstreamFailure(
            Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error)
        ) from error


def _check_head(work: PeerRequest) -> None:
    """Reject a head that can't be sent, before a connection is made."""
    texts = [work.traceparent, work.key]
    for pair in work.headers:
        texts.extend(pair)
    if INVALID_TARGET_CHARACTER.search(work.method + work.target):
        raise UpstreamFailure(Outcome.NOT_RUN, Reason.BAD_REQUEST, "bad target")
    if any(INVALID_HEADER_CHARACTER.search(text) for text in texts):
        raise UpstreamFailure(Outcome.NOT_RUN, Reason.BAD_REQUEST, "bad header")


def _length_of(answer: HTTPResponse) -> int:
    texts = answer.headers.get_all("Content-Length")
    if texts is None:
        return -1
    text = ", ".join(texts)
    if is_length(text):
        return int(text)
    answer.close()
    detail = f"Content-Length {text!r} is not a number"
    raise UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail)
