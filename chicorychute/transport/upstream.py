"""Sends one request to an upstream over HTTP."""

import re
from collections.abc import Callable, Iterable, Iterator

import attrs
import urllib3

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

    Lookups share a pool. A request with an idempotency key gets a connection
    of its own: a pooled one may die as it is used, and then nobody can tell
    whether the request was read.

    Parameters
    ----------
    url : str
        ``http://host:port`` of the upstream.
    connections : int
        Most connections kept open.
    """

    def __init__(self, url: str, connections: int, clock: Clock):
        self._url = url
        self._clock = clock
        self._pool = self._make_pool(connections)

    def send(self, work: Work, body: bytes, timeout_s: float) -> UpstreamAnswer:
        """Send a request and return its answer once the head has come.

        Raises
        ------
        UpstreamFailure
            If no connection could be made, or the upstream hung up.
        """
        _check_head(work)
        deadline_s = self._clock.monotonic() + timeout_s
        pool = self._pool
        if work.key:
            pool = self._make_pool(1)
        try:
            answer = _request(pool, work, body, timeout_s)
            length = _length_of(answer)
        except UpstreamFailure:
            self._release(pool)
            raise
        kept = _kept_headers(answer.headers.items())

        def close() -> None:
            answer.close()
            self._release(pool)

        chunks = self._chunks(answer, deadline_s, pool)
        return UpstreamAnswer(answer.status, kept, length, chunks, close)

    def _make_pool(self, connections: int) -> urllib3.HTTPConnectionPool:
        pool = urllib3.connection_from_url(self._url, maxsize=connections, block=False)
        pool.ConnectionCls = TrackedConnection
        return pool

    def _chunks(
        self,
        answer: urllib3.HTTPResponse,
        deadline_s: float,
        pool: urllib3.HTTPConnectionPool,
    ) -> Iterator[bytes]:
        try:
            while data := answer.read1(READ_BYTES, decode_content=False):
                yield data
                self._check(answer, deadline_s)
        except urllib3.exceptions.HTTPError as error:
            answer.close()
            detail = f"answer ended early ({error})"
            raise UpstreamFailure(
                Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail
            ) from error
        finally:
            self._release(pool)
        answer.release_conn()

    def _check(self, answer: urllib3.HTTPResponse, deadline_s: float) -> None:
        """Give an answer up at its deadline, else wait no longer than that."""
        left_s = deadline_s - self._clock.monotonic()
        if left_s <= 0:
            answer.close()
            detail = "the answer did not end before the deadline"
            raise UpstreamFailure(Outcome.UNKNOWN, Reason.DEADLINE, detail)
        connection = answer.connection
        if connection is not None and connection.sock is not None:
            connection.sock.settimeout(left_s)

    def _release(self, pool: urllib3.HTTPConnectionPool) -> None:
        if pool is not self._pool:
            pool.close()


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
    pool: urllib3.HTTPConnectionPool, work: Work, body: bytes, timeout_s: float
) -> urllib3.HTTPResponse:
    connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
    try:
        return pool.urlopen(
            work.method,
            work.target,
            body=body or None,
            headers=_headers(work, timeout_s),
            retries=False,
            redirect=False,
            preload_content=False,
            decode_content=False,
            timeout=urllib3.Timeout(connect=connect_s, read=timeout_s),
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise UpstreamFailure(
            Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED, str(error)
        ) from error
    except urllib3.exceptions.ReadTimeoutError as error:
        raise UpstreamFailure(
            Outcome.UNKNOWN, Reason.DEADLINE, "no answer before the deadline"
        ) from error
    except (urllib3.exceptions.HTTPError, ValueError) as error:
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


def _length_of(answer: urllib3.HTTPResponse) -> int:
    text = answer.headers.get("Content-Length", "-1")
    try:
        return int(text)
    except ValueError as error:
        answer.close()
        detail = f"Content-Length {text!r} is not a number"
        raise UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail) from error
