"""Headers and statuses that callers, the daemon and upstreams exchange.

The base class has the product's own names; another dialect overrides what differs.
"""

import functools
import itertools
import re

import attrs

from chicorychute.core.messages import Headers, PeerRequest
from chicorychute.core.outcomes import REASON_SPECS, Outcome
from chicorychute.pipeline.values import Answer, Refused
from chicorychute.transport.refusal import refusal_body
from chicorychute.transport.upstream_end import HOP_BY_HOP, UpstreamFailure

OWN_HEADERS = frozenset(
    {"idempotency-key", "chute-deadline-ms", "chute-team", "traceparent"}
)
OWN_PREFIX = "chute-"
MAX_KEY_CHARS = 512
MAX_TEAM_CHARS = 128
# Callers may send any header name, so the cache has to be bounded.
HEADER_NAME_CACHE_COUNT = 256

_is_duration = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?").fullmatch
_request_numbers = itertools.count(1)


@attrs.frozen
class CallerHeaders:
    """Values of a caller's headers.

    Attributes
    ----------
    id : str
        Identifies the request in the logs of every daemon that it passes.
    asked_ms : float, optional
        Time that the caller allows for the request, in milliseconds.
    team : str
        Team that the caller names, empty for none.
    key : str
        Idempotency key, empty for none.
    headers : tuple of (str, str)
        Headers that are forwarded to the upstream.
    """

    id: str
    asked_ms: float | None
    team: str
    key: str
    traceparent: str
    host: str
    headers: Headers


@attrs.frozen
class RefusalResponse:
    """HTTP response that a caller gets instead of an upstream's answer."""

    status: int
    phrase: str
    headers: Headers
    body: bytes


class Dialect:
    """Dialect of the product itself; `docs/ref/headers.md` lists its headers."""

    def parse_headers(self, environ: dict) -> CallerHeaders:
        """Return the values of a caller's headers.

        Parameters
        ----------
        environ : dict
            WSGI environment of the request.

        Raises
        ------
        ValueError
            If a header is malformed or too long.
        """
        return CallerHeaders(
            environ.get("HTTP_X_REQUEST_ID") or f"r{next(_request_numbers)}",
            duration_ms(environ, "Chute-Deadline-Ms"),
            _bounded_value(environ, "Chute-Team", MAX_TEAM_CHARS),
            _bounded_value(environ, "Idempotency-Key", MAX_KEY_CHARS),
            environ.get("HTTP_TRACEPARENT", ""),
            environ.get("HTTP_HOST", ""),
            forwarded_headers(environ, OWN_HEADERS),
        )

    def refusal(
        self, refused: Refused, home: str, keeps_serving: bool
    ) -> RefusalResponse:
        """Return the response to a request that no upstream answered.

        Parameters
        ----------
        home : str
            Token under which orders may be placed here, empty for none.
        keeps_serving : bool
            Whether the daemon continues to serve; False while it leaves.
        """
        spec = REASON_SPECS[refused.reason]
        headers = (
            ("Content-Type", "application/json"),
            ("Chute-Outcome", refused.outcome.value),
            ("Chute-Reason", refused.reason.value),
            *self._connection_headers(home, keeps_serving),
        )
        body = refusal_body(refused.outcome, refused.reason, refused.detail)
        return RefusalResponse(spec.status, refused.reason.value, headers, body)

    def server_refusal_status(self, status: str, response: RefusalResponse) -> str:
        """Return the status of a refusal that the HTTP server itself issues.

        Parameters
        ----------
        status : str
            Status code and phrase that the HTTP server would send.
        response : RefusalResponse
            Response of this dialect for the same refusal.
        """
        return status

    def answer_headers(self, answer: Answer, home: str, keeps_serving: bool) -> Headers:
        """Return the headers that the caller gets with an upstream's answer."""
        headers = [
            (name, value)
            for name, value in answer.headers
            if not name.lower().startswith(OWN_PREFIX)
        ]
        headers.append(("Chute-Outcome", Outcome.RAN.value))
        headers.extend(self._connection_headers(home, keeps_serving))
        if answer.upstream:
            headers.append(("Chute-Upstream", answer.upstream))
        return tuple(headers)

    def _connection_headers(self, home: str, keeps_serving: bool) -> Headers:
        if not keeps_serving:
            return (("Connection", "close"),)
        return (("Chute-Home", home),) if home else ()

    def upstream_headers(
        self, work: PeerRequest, timeout_s: float, incarnation: str
    ) -> dict[str, str]:
        """Return the headers of a request to an upstream.

        Parameters
        ----------
        timeout_s : float
            Seconds that are left for the answer.
        incarnation : str
            Incarnation of the upstream that alone may run the request, empty where
            the platform names none.
        """
        headers = dict(work.headers)
        headers["traceparent"] = work.traceparent
        headers["Chute-Deadline-Ms"] = f"{timeout_s * 1000:.0f}"
        if work.key:
            headers["Idempotency-Key"] = work.key
        return headers

    def answer_failure(
        self, work: PeerRequest, status: int, headers: Headers
    ) -> UpstreamFailure | None:
        """Return the failure if an answer is not a valid one to this request."""
        return None

    def is_for_other_request(self, work: PeerRequest, headers: Headers) -> bool:
        """Return whether an answer names a request other than the one sent."""
        return False


def forwarded_headers(environ: dict, excluded: frozenset[str]) -> Headers:
    """Return the end-to-end headers of a caller.

    Parameters
    ----------
    excluded : frozenset of str
        Names, in lower case, of headers that are not forwarded.
    """
    headers = []
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            forwarded = _forwarded_name(name)
            if forwarded and forwarded not in excluded:
                headers.append((forwarded, value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("content-type", environ["CONTENT_TYPE"]))
    return tuple(headers)


@functools.lru_cache(HEADER_NAME_CACHE_COUNT)
def _forwarded_name(name: str) -> str:
    """Return the name under which a header is forwarded, empty if it is not."""
    lower_name = name[5:].replace("_", "-").lower()
    return "" if lower_name in HOP_BY_HOP else lower_name


def _bounded_value(environ: dict, name: str, max_chars: int) -> str:
    value = environ.get("HTTP_" + name.upper().replace("-", "_"), "")
    if len(value) > max_chars:
        raise ValueError(f"{name} is longer than {max_chars} characters")
    return value


def duration_ms(environ: dict, name: str) -> float | None:
    """Return the duration that a header gives, in ms; None if it is absent.

    Raises
    ------
    ValueError
        If the value is not a decimal number of at most 12 digits before and 9
        after the point.
    """
    value = environ.get("HTTP_" + name.upper().replace("-", "_"))
    if value is None:
        return None
    if not _is_duration(value):
        raise ValueError(f"{name} must be a number of milliseconds, such as 250")
    return float(value)
