"""Sends one request to an upstream over HTTP."""

from collections.abc import Callable, Iterable, Iterator

import attrs
import urllib3

from chicorychute.core.lines import is_line, is_word
from chicorychute.core.messages import Headers, Work
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.transport.calls import TrackedConnection

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 64 << 10
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
    """Pool of connections to one upstream.

    Parameters
    ----------
    url : str
        ``http://host:port`` of the upstream.
    connections : int
        Most connections kept open.
    """

    def __init__(self, url: str, connections: int):
        self._pool = urllib3.connection_from_url(url, maxsize=connections, block=False)
        self._pool.ConnectionCls = TrackedConnection

    def send(self, work: Work, body: bytes, timeout_s: float) -> UpstreamAnswer:
        """Send a request and return its answer once the head has come.

        Raises
        ------
        UpstreamFailure
            If no connection could be made, or the upstream hung up.
        """
        headers = dict(work.headers)
        headers["traceparent"] = work.traceparent
        headers["Chute-Deadline-Ms"] = f"{timeout_s * 1000:.0f}"
        if work.key:
            headers["Idempotency-Key"] = work.key
        try:
            answer = self._pool.urlopen(
                work.method,
                work.target,
                body=body or None,
                headers=headers,
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                timeout=urllib3.Timeout(
                    connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
                ),
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
        except urllib3.exceptions.HTTPError as error:
            raise UpstreamFailure(
                Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error)
            ) from error
        kept = _kept_headers(answer.headers.items())
        length = int(answer.headers.get("Content-Length", -1))
        return UpstreamAnswer(
            answer.status, kept, length, _chunks(answer), answer.close
        )


def _kept_headers(given: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers to pass on, in a form that every peer takes."""
    kept = []
    for name, value in given:
        if not is_line(value):
            value = " ".join(value.split())  # a value folded over several lines
        if name.lower() not in HOP_BY_HOP and is_word(name) and is_line(value):
            kept.append((name, value))
    return tuple(kept)


def _chunks(answer: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    try:
        yield from answer.stream(READ_BYTES, decode_content=False)
    except urllib3.exceptions.HTTPError as error:
        raise UpstreamFailure(
            Outcome.UNKNOWN, Reason.UPSTREAM_LOST, f"answer ended early ({error})"
        ) from error
    answer.release_conn()
