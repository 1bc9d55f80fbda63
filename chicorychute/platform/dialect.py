"""Headers and statuses that callers and upstreams use on the platform."""

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

REQUEST_ID_HEADER = "x-request-id"
# Service of the local upstream of the entry.
CALLER_HEADER = "x-caller"
# Milliseconds left for the answer.
DEADLINE_HEADER = "x-deadline-ms"
EXPECTED_INCARNATION_HEADER = "x-expect-instance"
# On an answer: the upstream did not run the request.
NOT_RUN_HEADER = "x-not-run"
INCARNATION_HEADER = "x-instance-id"
# On an answer: signs the upstream's status and body.
STAMP_HEADER = "x-response-stamp"
SUCCESS_STATUSES = range(200, 300)
DAEMON_SET_HEADERS = frozenset(
    {
        CALLER_HEADER,
        DEADLINE_HEADER,
        EXPECTED_INCARNATION_HEADER,
        NOT_RUN_HEADER,
        "expect",
    }
)

MISDIRECTED_STATUS = 421
# On the platform, 408, 421, 429 and 503 guarantee that the request has not run and
# never will.
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
# Earlier retries would only add to the load.
MIN_RETRY_AFTER_S = 0.1


class MeshDialect(Dialect):
    """Dialect with the platform's headers and statuses.

    Parameters
    ----------
    own_service : callable
        Returns the service of the local upstream, sent as the caller of its requests.
    """

    def __init__(self, own_service: Callable[[], str]):
        self._own_service = own_service

    def parse_headers(self, environ: dict) -> CallerHeaders:
        """Read the headers of a caller."""
        host = environ.get("HTTP_HOST", "")
        headers = forwarded_headers(environ, DAEMON_SET_HEADERS)
        return CallerHeaders(
            environ.get("HTTP_X_REQUEST_ID", ""),
            duration_ms(environ, DEADLINE_HEADER),
            "",
            "",
            "",
            host,
            (("host", host), *headers, (CALLER_HEADER, self._own_service())),
        )

    def refusal(
        self, refused: Refused, home: str, keeps_serving: bool
    ) -> RefusalResponse:
        """Return a refusal; its status claims "not run" only if that is certain."""
        status = refusal_status(refused)
        headers = [("Content-Type", "application/json")]
        if status in (NOT_RUN_STATUS, STATUS_BY_NOT_RUN_REASON[Reason.RATE]):
            retry_s = max(refused.retry_s, MIN_RETRY_AFTER_S)
            headers.append(("Retry-After", f"{retry_s:.2f}"))
        if not keeps_serving:
            headers.append(("Connection", "close"))
        body = refusal_body(refused.outcome, refused.reason, refused.detail)
        return RefusalResponse(status, refused.reason.value, tuple(headers), body)

    def server_refusal_status(self, status: str, response: RefusalResponse) -> str:
        """Return the refusal's status.

        The HTTP server's own status may wrongly claim that the request has not run.
        """
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
        """Return the caller's headers with the time left and the incarnation."""
        headers = dict(work.headers)
        headers[DEADLINE_HEADER] = f"{max(timeout_s, 0) * 1000:.0f}"
        if incarnation:
            headers[EXPECTED_INCARNATION_HEADER] = incarnation
        return headers

    def answer_failure(
        self, work: PeerRequest, status: int, headers: Headers
    ) -> UpstreamFailure | None:
        """Return the failure if this is a rejection or answers another request."""
        value_by_name = {name.lower(): value for name, value in headers}
        request_id = _header_value(work.headers, REQUEST_ID_HEADER)
        answer_request_id = value_by_name.get(REQUEST_ID_HEADER, "")
        if answer_request_id and answer_request_id != request_id:
            detail = f"the answer is that of request {answer_request_id}"
            return UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail)
        if status == MISDIRECTED_STATUS:
            detail = (
                f"{value_by_name.get(INCARNATION_HEADER, 'another')} has the address"
            )
            return UpstreamFailure(Outcome.NOT_RUN, Reason.UPSTREAM_REPLACED, detail)
        if NOT_RUN_HEADER in value_by_name:
            return UpstreamFailure(
                Outcome.NOT_RUN, Reason.UPSTREAM_BUSY, f"status {status}"
            )
        if request_id and not answer_request_id:
            detail = "the answer names no request"
            return UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail)
        if (
            request_id
            and status in SUCCESS_STATUSES
            and not value_by_name.get(STAMP_HEADER)
        ):
            detail = "the success has no stamp of its upstream"
            return UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail)
        if "content-encoding" in value_by_name:
            detail = "the body is encoded, which nobody asked for"
            return UpstreamFailure(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, detail)
        return None

    def is_for_other_request(self, work: PeerRequest, headers: Headers) -> bool:
        """Return whether an answer names another request than the one sent."""
        answer_request_id = _header_value(headers, REQUEST_ID_HEADER)
        return bool(answer_request_id) and answer_request_id != _header_value(
            work.headers, REQUEST_ID_HEADER
        )


def _header_value(headers: Headers, name: str) -> str:
    return next((value for n, value in headers if n.lower() == name), "")


def refusal_status(refused: Refused) -> int:
    """Return the status of a request that ended without an upstream's answer."""
    if refused.outcome is Outcome.NOT_RUN:
        return STATUS_BY_NOT_RUN_REASON.get(refused.reason, NOT_RUN_STATUS)
    return STATUS_BY_UNKNOWN_REASON.get(refused.reason, UNKNOWN_STATUS)
