"""A request whose caller has left while it was held or waited is not started.

Guards against work that nobody waits for: a request may wait for earlier answers of its
connection, or for the first table, and its caller may close the connection meanwhile.
An order that is started then runs to its end.
"""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.filters import in_turn
from chicorychute.pipeline.startup import StartupHold
from chicorychute.pipeline.values import Answer, BufferedBody, Refused, Request
from chicorychute.table.parse import parse_table
from standins.demo import make_table

ROW_BY_RANK = {row.rank: row for row in parse_table(1, make_table(5000)).ok_value.rows}


class LeavingCaller:
    """Turn of a request whose caller leaves while earlier requests are answered."""

    def __init__(self, request):
        self._request = request

    def wait(self):
        self._request.scope.cancel()
        return True

    def read_ahead(self):
        self._request.scope.cancel()


def request_of(rank):
    request = Request("GET", "/x", (), b"", "", "", "", 0.0)
    request.row = ROW_BY_RANK[rank]
    return request


@pytest.mark.parametrize("rank", ["catalogue", "order"])
@pytest.mark.parametrize("leaves", [True, False], ids=["left", "waits"])
def test_request_is_not_started_for_a_caller_that_left(rank, leaves):
    started = []

    def handle(request):
        started.append(request)
        return Answer(200, (), 2, BufferedBody(b"ok"))

    request = request_of(rank)
    if leaves:
        request.turn = LeavingCaller(request)
    reply = in_turn(handle)(request)
    assert len(started) == (not leaves)
    if leaves:
        assert isinstance(reply, Refused)
        assert (reply.outcome, reply.reason) == (Outcome.NOT_RUN, Reason.CANCELLED)


def test_request_is_not_started_for_a_caller_that_left_during_the_hold():
    started = []
    clock = ManualClock()
    request = request_of("catalogue")

    def table_comes_after_the_caller_left():
        return request.scope.cancelled

    hold = StartupHold(table_comes_after_the_caller_left, clock)
    request.scope.cancel()
    hold.update()
    hold.filter(in_turn(started.append))(request)
    assert started == []
