"""How callers and upstreams name what a request and its end carry.

The product's own names are the base; another dialect overrides what differs.
"""

import functools
import itertools
import re

import attrs

from chicorychute.core.messages import Headers, Work
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
HEADER_NAME_CACHE_COUNT = 256  # of headers; a caller may send any

_is_duration = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?").fullmatch
_request_numbers = itertools.count(1)


@attrs.frozen
class CallerHeaders:
    """What a caller's headers say.

    Attributes
    ----------
    id : str
        Names the request in the logs of every daemon that it passes.
    asked_ms : float, optional
        Time that the caller gives the request.
    headers : tuple of (str, str)
        What goes on to the upstream.
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
    """Answer that a caller gets in place of an upstream's."""

    status: int
    phrase: str
    headers: Headers
    body: bytes


class Dialect:
    """The product's own names, which `docs/ref/headers.md` lists."""

    def parse_headers(self, environ: dict) -> CallerHeaders:
        """Read the headers of a caller.

        Raises
        ------
        ValueError
            If one is malformed.
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
        """Return the answer for a request that no upstream answered.

        Parameters
        ----------
        home : str
            Token under which orders may be placed here, empty for none.
        keeps_serving : bool
            Whether the daemon goes on serving.
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
        """Return the status line of a refusal as the request was read.

        Parameters
        ----------
        status : str
            What the HTTP server would answer.
        """
        return status

    def answer_headers(self, answer: Answer, home: str, keeps_serving: bool) -> Headers:
        """Return the headers of an upstream's answer as its caller gets them."""
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
        self, work: Work, timeout_s: float, incarnation: str
    ) -> dict[str, str]:
        """Return the headers of a request to an upstream.

        Parameters
        ----------
        timeout_s : float
            Seconds that are left for the answer.
        incarnation : str
            The only start of the upstream that may run the request, empty where
            the platform names none.
        """
        headers = dict(work.headers)
        headers["traceparent"] = work.traceparent
        headers["Chute-Deadline-Ms"] = f"{timeout_s * 1000:.0f}"
        if work.key:
            headers["Idempotency-Key"] = work.key
        return headers

    def answer_failure(
        self, work: Work, status: int, headers: Headers
    ) -> UpstreamFailure | None:
        """Return why an upstream's answer is none to this request, if so."""
        return None

    def is_for_other_request(self, work: Work, headers: Headers) -> bool:
        """Return whether an answer names another request than the one sent."""
        return False


def forwarded_headers(environ: dict, excluded: frozenset[str]) -> Headers:
    """Return the headers of a caller that concern more than its connection."""
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
    """Return the name under which a header is passed on, empty where it is not."""
    lower_name = name[5:].replace("_", "-").lower()
    return "" if lower_name in HOP_BY_HOP else lower_name


def _bounded_value(environ: dict, name: str, max_chars: int) -> str:
    value = environ.get("HTTP_" + name.upper().replace("-", "_"), "")
    if len(value) > max_chars:
        raise ValueError(f"{name} is longer than {max_chars} characters")
    return value


def duration_ms(environ: dict, name: str) -> float | None:
    """Return the milliseconds that a header gives, None where it is absent.

    Raises
    ------
    ValueError
        If it is not a number.
    """
    value = environ.get("HTTP_" + name.upper().replace("-", "_"))
    if value is None:
        return None
    if not _is_duration(value):
        raise ValueError(f"{name} must be a number of milliseconds, such as 250")
    return float(value)
