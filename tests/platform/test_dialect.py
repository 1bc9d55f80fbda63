"""No status promises more than is proved; answers of others are none."""

import itertools

import pytest

from chicorychute.core.messages import PeerRequest
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Refused
from chicorychute.platform.dialect import MeshDialect, status_of

PROMISES = {408, 421, 429, 503}
DIALECT = MeshDialect(lambda: "orders")
WORK = PeerRequest(
    "GET", "/a", (("x-request-id", "id1"),), "s", "r", "", "", "", 1, 1000.0, "id1"
)


@pytest.mark.parametrize(
    "outcome, reason", list(itertools.product(Outcome, Reason)), ids=str
)
def test_promise_is_given_for_what_has_not_run_alone(outcome, reason):
    status = status_of(Refused(outcome, reason))
    if outcome is not Outcome.NOT_RUN:
        assert status not in PROMISES
        assert status in (502, 504)
    else:
        assert status in PROMISES | {400, 404, 413}


def test_missing_table_is_no_missing_route():
    assert status_of(Refused(Outcome.NOT_RUN, Reason.NO_TABLE)) == 503
    assert status_of(Refused(Outcome.NOT_RUN, Reason.NO_ROUTE)) == 404


@pytest.mark.parametrize(
    "status, headers, outcome, reason",
    [
        (421, {"X-Instance-Id": "i2"}, Outcome.NOT_RUN, Reason.UPSTREAM_REPLACED),
        (503, {"X-Not-Run": "1"}, Outcome.NOT_RUN, Reason.UPSTREAM_BUSY),
        (
            503,
            {"X-Not-Run": "1", "X-Request-Id": "id1"},
            Outcome.NOT_RUN,
            Reason.UPSTREAM_BUSY,
        ),
        (200, {}, Outcome.UNKNOWN, Reason.UPSTREAM_LOST),
        (200, {"X-Request-Id": "id2"}, Outcome.UNKNOWN, Reason.UPSTREAM_LOST),
        (
            503,
            {"X-Not-Run": "1", "X-Request-Id": "id2"},
            Outcome.UNKNOWN,
            Reason.UPSTREAM_LOST,
        ),
        (
            200,
            {"X-Request-Id": "id1", "Content-Encoding": "gzip"},
            Outcome.UNKNOWN,
            Reason.UPSTREAM_LOST,
        ),
    ],
)
def test_answer_that_is_none_to_the_request(status, headers, outcome, reason):
    failure = DIALECT.answer_failure(WORK, status, tuple(headers.items()))
    assert (failure.outcome, failure.reason) == (outcome, reason)


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_own_answer_of_an_upstream_is_passed_on(status):
    assert DIALECT.answer_failure(WORK, status, (("X-Request-Id", "id1"),)) is None


def test_caller_cannot_set_what_the_system_sets():
    environ = {
        "HTTP_HOST": "h.example",
        "HTTP_X_REQUEST_ID": "id1",
        "HTTP_X_DEADLINE_MS": "3000",
        "HTTP_X_CALLER": "someone",
        "HTTP_X_EXPECT_INSTANCE": "i9",
        "HTTP_CONNECTION": "keep-alive",
        "HTTP_ACCEPT": "*/*",
    }
    terms = DIALECT.parse_headers(environ)
    assert (terms.id, terms.asked_ms, terms.host) == ("id1", 3000.0, "h.example")
    assert dict(terms.headers) == {
        "host": "h.example",
        "x-request-id": "id1",
        "accept": "*/*",
        "x-caller": "orders",
    }
    sent = DIALECT.upstream_headers(WORK, 1.25, "i1")
    assert sent["x-deadline-ms"] == "1250"
    assert sent["x-expect-instance"] == "i1"
