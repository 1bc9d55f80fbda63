"""Headers and statuses by which callers and upstreams speak on the platform."""

from collections.abc import Callable

from chicorychute.core.messages import Headers, PeerRequest
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Answer, Refused
from chicorychute.transport.dialect import (
    CallerHeaders,
    Dialect,
    RefusalResponse,
    duration_ms,
    forwarded_headers,
)
from chicorychute.transport.refusal import refusal_body
from chicorychute.transport.upstream_end import UpstreamFailure

REQUEST_ID = "x-request-id"
CALLER = "x-caller"  # service beside which the request began
DEADLINE = "x-deadline-ms"  # milliseconds that are left
EXPECTED_INCARNATION = "x-expect-instance"
NOT_RUN = "x-not-run"  # on an answer: the upstream did not run the request
INCARNATION = "x-instance-id"
SET_HERE = frozenset({CALLER, DEADLINE, EXPECTED_INCARNATION, NOT_RUN, "expect"})

MISDIRECTED = 421
# 429, 503, 408 and 421 promise that the request has not run and never will.
STATUS_BY_NOT_RUN_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_ROUTE: 404,
    Reason.SLOW_REQUEST: 408,
    Reason.TOO_LARGE: 413,
    Reason.RATE: 429,
}
NOT_RUN_STATUS = 503
STATUS_BY_UNKNOWN_REASON = {Reason.DEADLINE: 504}
UNKNOWN_STATUS = 502
LEAST_RETRY_S = 0.1  # an answer that says less would only add to the load


class MeshDialect(Dialect):
    """The platform's names.

    Parameters
    ----------
    own_service : callable
        Returns the service beside this daemon, where its callers' requests begin.
    """

    def __init__(self, own_service: Callable[[], str]):
        self._own_service = own_service

    def parse_headers(self, environ: dict) -> CallerHeaders:
        """Read the headers of a caller."""
        host = environ.get("HTTP_HOST", "")
        headers = forwarded_headers(environ, SET_HERE)
        return CallerHeaders(
            environ.get("HTTP_X_REQUEST_ID", ""),
            duration_ms(environ, DEADLINE),
            "",
            "",
            "",
            host,
            (("host", host), *headers, (CALLER, self._own_service())),
        )

    def refusal(
        self, refused: Refused, home: str, keeps_serving: bool
    ) -> RefusalResponse:
        """Return a refusal whose status promises no more than is proved."""
        status = status_of(refused)
        headers = [("Content-Type", "application/json")]
        if status in (NOT_RUN_STATUS, STATUS_BY_NOT_RUN_REASON[Reason.RATE]):
            retry_s = max(refused.retry_s, LEAST_RETRY_S)
            headers.append(("Retry-After", f"{retry_s:.2f}"))
        if not keeps_serving:
            headers.append(("Connection", "close"))
        body = refusal_body(refused.outcome, refused.reason, refused.detail)
        return RefusalResponse(status, refused.reason.value, tuple(headers), body)

    def server_refusal_status(self, status: str, response: RefusalResponse) -> str:
        """Return the status of the refusal: the HTTP server knows no promises."""
        return f"{response.status} {response.phrase}"

    def answer_headers(self, answer: Answer, home: str, keeps_serving: bool) -> Headers:
        """Return the upstream's headers unchanged."""
        return (
            answer.headers
            if keeps_serving
            else (*answer.headers, ("Connection", "close"))
        )

    def upstream_headers(
        self, work: PeerRequest, timeout_s: float, incarnation: str
    ) -> dict[str, str]:
        """Return the caller's headers with the time left and the wanted start."""
        headers = dict(work.headers)
        headers[DEADLINE] = f"{max(timeout_s, 0) * 1000:.0f}"
        if incarnation:
            headers[EXPECTED_INCARNATION] = incarnation
        return headers

    def answer_failure(
        self, work: PeerRequest, status: int, headers: Headers
    ) -> UpstreamFailure | None:
        """Tell a rejection, and an answer to another request, from an answer."""
        value_by_name = {name.lower(): value for name, value in headers}
        asked = _value(work.headers, REQUEST_ID)
        given = value_by_name.get(REQUEST_ID, "")
        if given and given != asked:
            detail = f"the answer is that of request {given}"
            return UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail)
        if status == MISDIRECTED:
            detail = f"{value_by_name.get(INCARNATION, 'another')} has the address"
            return UpstreamFailure(Outcome.NOT_RUN, Reason.UPSTREAM_REPLACED, detail)
        if NOT_RUN in value_by_name:
            return UpstreamFailure(
                Outcome.NOT_RUN, Reason.UPSTREAM_BUSY, f"status {status}"
            )
        if asked and not given:
            detail = "the answer names no request"
            return UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail)
        if "content-encoding" in value_by_name:
            detail = "the body is encoded, which nobody asked for"
            return UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail)
        return None

    def is_for_other_request(self, work: PeerRequest, headers: Headers) -> bool:
        """Return whether an answer names another request than the one sent."""
        given = _value(headers, REQUEST_ID)
        return bool(given) and given != _value(work.headers, REQUEST_ID)


def _value(headers: Headers, name: str) -> str:
    return next((value for n, value in headers if n.lower() == name), "")


def status_of(refused: Refused) -> int:
    """Return the status for an end without an upstream's answer."""
    if refused.outcome is Outcome.NOT_RUN:
        return STATUS_BY_NOT_RUN_REASON.get(refused.reason, NOT_RUN_STATUS)
    return STATUS_BY_UNKNOWN_REASON.get(refused.reason, UNKNOWN_STATUS)
