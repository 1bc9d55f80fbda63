"""Sends one request to an upstream over HTTP."""

import contextlib
import re
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from http.client import HTTP_PORT, HTTPException, HTTPResponse, IncompleteRead
from urllib.parse import urlsplit

import attrs
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
MAX_STRAYS = 2  # answers to earlier requests, read before the one that is due
NOT_IN_TARGET = re.compile(r"[^\x21-\x7e]")
NOT_IN_HEADER = re.compile(r"[\r\n\x00]|[^\x00-\xff]")


@attrs.frozen
class UpstreamAnswer:
    """Head of an answer and the rest of its body.

    `chunks` raises UpstreamFailure where the upstream ends the body early;
    `close` gives the rest up and closes the connection.
    """

    status: int
    headers: Headers
    length: int
    chunks: Iterator[bytes]
    close: Callable[[], None]


class UpstreamClient:
    """Connections to one upstream.

    Lookups share connections. A request with an idempotency key gets one of its
    own: a kept one may die as it is used, and then nobody can tell whether the
    request was read.

    Parameters
    ----------
    url : str
        ``http://host:port`` of the upstream.
    connections : int
        Most connections kept open.
    dialect : Dialect, optional
        Names what the upstream gets and answers.
    """

    def __init__(
        self,
        url: str,
        connections: int,
        clock: Clock,
        dialect: Dialect | None = None,
    ):
        self._dialect = Dialect() if dialect is None else dialect
        parsed = urlsplit(url)
        self._address = (parsed.hostname, parsed.port or HTTP_PORT)
        self._clock = clock
        self._idle: deque[TrackedConnection] = deque()
        self._most_idle = connections

    def send(
        self, work: PeerRequest, body: bytes, timeout_s: float, incarnation: str = ""
    ) -> UpstreamAnswer:
        """Send a request and return its answer once the head has come.

        Parameters
        ----------
        incarnation : str
            The only start of the upstream that may run it, empty for any.

        Raises
        ------
        UpstreamFailure
            If no connection could be made, the upstream hung up, or its answer
            is none to this request.
        """
        _check_head(work)
        deadline_s = self._clock.monotonic() + timeout_s
        connection = self._open() if work.key else self._take()
        headers = self._dialect.upstream_headers(work, timeout_s, incarnation)
        try:
            answer = _request(connection, work, body, timeout_s, headers)
            answer = self._skip_strays(connection, work, answer)
            length = _length_of(answer)
            kept = _kept_headers(answer.headers.items())
            failure = self._dialect.answer_failure(work, answer.status, kept)
            if failure is not None:
                answer.close()
                raise failure
        except UpstreamFailure:
            connection.close()
            raise

        def close() -> None:
            answer.close()
            connection.close()

        def release() -> None:
            answer.close()
            self._release(connection, shared=not work.key)

        chunks = self._chunks(connection, answer, deadline_s, close, release)
        return UpstreamAnswer(answer.status, kept, length, chunks, close)

    def _skip_strays(
        self, connection: TrackedConnection, work: PeerRequest, answer: HTTPResponse
    ) -> HTTPResponse:
        """Return the first answer that is not a late one to an earlier request."""
        for _ in range(MAX_STRAYS):
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
        return TrackedConnection(*self._address)

    def _take(self) -> TrackedConnection:
        """Return a connection that the upstream has not closed, or a new one."""
        while self._idle:
            with contextlib.suppress(IndexError):  # another thread took the last
                connection = self._idle.pop()
                if connection.is_connected:
                    return connection
                connection.close()
        return self._open()

    def _release(self, connection: TrackedConnection, shared: bool) -> None:
        connection.part()
        kept = shared and connection.sock is not None and not connection.has_surplus()
        if kept and len(self._idle) < self._most_idle:
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
            while data := answer.read1(READ_BYTES):
                yield data
                self._wait_until(deadline_s, connection)
            if answer.length:
                raise IncompleteRead(b"", answer.length)
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

    def _wait_until(self, deadline_s: float, connection: TrackedConnection) -> None:
        """Give an answer up at its deadline, else wait no longer than that."""
        left_s = deadline_s - self._clock.monotonic()
        if left_s <= 0:
            detail = "the answer did not end before the deadline"
            raise UpstreamFailure(Outcome.UNKNOWN, Reason.DEADLINE, detail)
        if connection.sock is not None:
            connection.sock.settimeout(left_s)


def _kept_headers(given: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers to pass on, in a form that every peer takes."""
    kept = []
    for name, value in given:
        if not is_header_value(value):
            value = " ".join(value.split())  # a value folded over several lines
        if (
            name.lower() not in HOP_BY_HOP
            and is_visible_ascii(name)
            and is_header_value(value)
        ):
            kept.append((name, value))
    return tuple(kept)


def _request(
    connection: TrackedConnection,
    work: PeerRequest,
    body: bytes,
    timeout_s: float,
    headers: dict[str, str],
) -> HTTPResponse:
    try:
        connection.limit(min(CONNECT_TIMEOUT_S, timeout_s), timeout_s)
        # An upstream may answer and close before it has read a whole body.
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            connection.request(work.method, work.target, body or None, headers)
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
    """Refuse a head that can't be written, before a connection is made."""
    texts = [work.traceparent, work.key]
    for pair in work.headers:
        texts.extend(pair)
    if NOT_IN_TARGET.search(work.method + work.target):
        raise UpstreamFailure(Outcome.NOT_RUN, Reason.BAD_REQUEST, "bad target")
    if any(NOT_IN_HEADER.search(text) for text in texts):
        raise UpstreamFailure(Outcome.NOT_RUN, Reason.BAD_REQUEST, "bad header")


def _length_of(answer: HTTPResponse) -> int:
    text = ", ".join(answer.headers.get_all("Content-Length", ["-1"]))
    try:
        return int(text)
    except ValueError as error:
        answer.close()
        detail = f"Content-Length {text!r} is not a number"
        raise UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail) from error
