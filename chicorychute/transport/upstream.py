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
from chicorychute.core.lines import is_line, is_word
from chicorychute.core.messages import Headers, Work
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.transport.calls import TrackedConnection

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 64 << 10
NOT_IN_TARGET = re.compile(r"[^\x21-\x7e]")
NOT_IN_HEADER = re.compile(r"[\r\n\x00]|[^\x00-\xff]")
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    }
)


class UpstreamFailure(Exception):
    """A request ended at the upstream without a whole answer.

    Parameters
    ----------
    outcome : Outcome
        NOT_RUN only where no byte of the request reached the upstream.
    """

    def __init__(self, outcome: Outcome, reason: Reason, detail: str):
        super().__init__(detail)
        self.outcome = outcome
        self.reason = reason
        self.detail = detail


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
    """

    def __init__(self, url: str, connections: int, clock: Clock):
        parsed = urlsplit(url)
        self._address = (parsed.hostname, parsed.port or HTTP_PORT)
        self._clock = clock
        self._idle: deque[TrackedConnection] = deque()
        self._most_idle = connections

    def send(self, work: Work, body: bytes, timeout_s: float) -> UpstreamAnswer:
        """Send a request and return its answer once the head has come.

        Raises
        ------
        UpstreamFailure
            If no connection could be made, or the upstream hung up.
        """
        _check_head(work)
        deadline_s = self._clock.monotonic() + timeout_s
        connection = self._open() if work.key else self._take()
        try:
            answer = _request(connection, work, body, timeout_s)
            length = _length_of(answer)
        except UpstreamFailure:
            connection.close()
            raise
        kept = _kept_headers(answer.headers.items())

        def close() -> None:
            answer.close()
            connection.close()

        def release() -> None:
            answer.close()
            self._release(connection, shared=not work.key)

        chunks = self._chunks(connection, answer, deadline_s, close, release)
        return UpstreamAnswer(answer.status, kept, length, chunks, close)

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
        kept = shared and connection.sock is not None
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
        if not is_line(value):
            value = " ".join(value.split())  # a value folded over several lines
        if name.lower() not in HOP_BY_HOP and is_word(name) and is_line(value):
            kept.append((name, value))
    return tuple(kept)


def _request(
    connection: TrackedConnection, work: Work, body: bytes, timeout_s: float
) -> HTTPResponse:
    try:
        connection.limit(min(CONNECT_TIMEOUT_S, timeout_s), timeout_s)
        # An upstream may answer and close before it has read a whole body.
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            headers = _headers(work, timeout_s)
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


def _check_head(work: Work) -> None:
    """Refuse a head that can't be written, before a connection is made."""
    texts = [work.traceparent, work.key]
    for pair in work.headers:
        texts.extend(pair)
    if NOT_IN_TARGET.search(work.method + work.target):
        raise UpstreamFailure(Outcome.NOT_RUN, Reason.BAD_REQUEST, "bad target")
    if any(NOT_IN_HEADER.search(text) for text in texts):
        raise UpstreamFailure(Outcome.NOT_RUN, Reason.BAD_REQUEST, "bad header")


def _headers(work: Work, timeout_s: float) -> dict[str, str]:
    headers = dict(work.headers)
    headers["traceparent"] = work.traceparent
    headers["Chute-Deadline-Ms"] = f"{timeout_s * 1000:.0f}"
    if work.key:
        headers["Idempotency-Key"] = work.key
    return headers


def _length_of(answer: HTTPResponse) -> int:
    text = ", ".join(answer.headers.get_all("Content-Length", ["-1"]))
    try:
        return int(text)
    except ValueError as error:
        answer.close()
        detail = f"Content-Length {text!r} is not a number"
        raise UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail) from error
