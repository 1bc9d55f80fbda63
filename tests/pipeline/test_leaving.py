"""What a leaving daemon refuses, and how it tracks the requests in flight.

A daemon that counts too few requests stops before their answers are sent; one that
counts too many waits until its drain limit. An order that may have run here must not
be refused as not run.
"""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.leaving import DrainState, Stage
from chicorychute.pipeline.values import (
    Answer,
    AnswerBroken,
    BufferedBody,
    Refused,
    Request,
)
from chicorychute.table.parse import parse_table
from standins.demo import make_table

ROW_BY_RANK = {row.rank: row for row in parse_table(1, make_table(5000)).ok_value.rows}
SERVED = Refused(Outcome.RAN, Reason.DEADLINE)


def request_of(rank, key=""):
    request = Request("GET", "/x", (), b"", "", key, "", 0.0)
    request.row = ROW_BY_RANK[rank]
    return request


@pytest.mark.parametrize(
    ("stage", "rank", "key", "refused"),
    [
        (Stage.SERVING, "catalogue", "", False),
        (Stage.SERVING, "order", "", False),
        (Stage.LEAVING, "catalogue", "", False),
        (Stage.LEAVING, "order", "", True),
        (Stage.LEAVING, "order", "home/1", False),
        (Stage.CLOSING, "catalogue", "", True),
        (Stage.CLOSING, "catalogue", "home/1", True),
        (Stage.CLOSING, "order", "", True),
        (Stage.CLOSING, "order", "home/1", False),  # it may have run here
    ],
)
def test_stage_refuses_new_requests_as_not_run(stage, rank, key, refused):
    drain_state = DrainState(ManualClock())
    drain_state.stage = stage
    reply = drain_state.refuse_new(lambda request: SERVED)(request_of(rank, key))
    expected = Refused(Outcome.NOT_RUN, Reason.LEAVING) if refused else SERVED
    assert reply == expected


def test_answer_counts_as_in_flight_until_its_last_byte_is_read():
    drain_state = DrainState(ManualClock())
    answer = Answer(200, (), 1, BufferedBody(b"x"))
    reply = drain_state.track(lambda request: answer)(request_of("catalogue"))
    assert drain_state.in_flight == 1
    assert b"".join(reply.chunks) == b"x"
    assert drain_state.in_flight == 0
    reply.chunks.close()
    assert drain_state.in_flight == 0


def test_refusal_and_failure_end_the_count():
    drain_state = DrainState(ManualClock())
    drain_state.track(lambda request: SERVED)(request_of("catalogue"))
    with pytest.raises(ZeroDivisionError):
        drain_state.track(lambda request: 1 // 0)(request_of("catalogue"))
    assert drain_state.in_flight == 0


def test_broken_and_closed_answers_end_the_count():
    class Broken(BufferedBody):
        def __next__(self):
            raise AnswerBroken("lost")

    drain_state = DrainState(ManualClock())
    broken = Answer(200, (), 1, Broken(b""))
    reply = drain_state.track(lambda request: broken)(request_of("catalogue"))
    with pytest.raises(AnswerBroken):
        next(reply.chunks)
    complete = Answer(200, (), 1, BufferedBody(b"x"))
    drain_state.track(lambda request: complete)(request_of("catalogue")).chunks.close()
    assert drain_state.in_flight == 0


def test_quiet_time_starts_with_the_last_end():
    clock = ManualClock()
    drain_state = DrainState(clock)
    clock.advance(5)
    answer = Answer(200, (), 1, BufferedBody(b"x"))
    reply = drain_state.track(lambda request: answer)(request_of("catalogue"))
    assert drain_state.quiet_s() == 0
    clock.advance(5)
    assert drain_state.quiet_s() == 0
    reply.chunks.close()
    clock.advance(2)
    assert drain_state.quiet_s() == 2


def test_deadline_of_a_new_request_is_limited_to_the_stop():
    drain_state = DrainState(ManualClock())
    request = request_of("catalogue")
    request.deadline_s = 12.0
    handle = drain_state.limit_deadline(lambda request: SERVED)
    handle(request)
    assert request.deadline_s == 12.0
    drain_state.stops_at_s = 5.0
    handle(request)
    assert request.deadline_s == 5.0
    request.deadline_s = 1.0
    handle(request)
    assert request.deadline_s == 1.0


def test_waiting_request_is_cancelled_and_an_ended_one_is_not():
    drain_state = DrainState(ManualClock())
    waiting, ended = request_of("catalogue"), request_of("catalogue")
    cancelled_requests = []

    def wait(request):
        request.scope.bind(lambda: cancelled_requests.append(request))
        drain_state.cancel_requests()
        return Refused(Outcome.NOT_RUN, Reason.CANCELLED)

    drain_state.track(lambda request: SERVED)(ended)
    drain_state.track(wait)(waiting)
    assert cancelled_requests == [waiting]
    assert waiting.scope.cancelled
    assert not waiting.scope.caller_left
    assert not ended.scope.cancelled
    assert drain_state.in_flight == 0
