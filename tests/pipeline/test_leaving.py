"""What a leaving daemon refuses, and how it counts what it still answers."""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.leaving import Leaving, Stage
from chicorychute.pipeline.values import (
    Answer,
    AnswerBroken,
    Refused,
    Request,
    WholeBody,
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
def test_stage_refuses_as_not_run_what_is_new(stage, rank, key, refused):
    leaving = Leaving(ManualClock())
    leaving.stage = stage
    reply = leaving.refuse(lambda request: SERVED)(request_of(rank, key))
    expected = Refused(Outcome.NOT_RUN, Reason.LEAVING) if refused else SERVED
    assert reply == expected


def test_answer_counts_until_its_last_byte_is_taken():
    leaving = Leaving(ManualClock())
    answer = Answer(200, (), 1, WholeBody(b"x"))
    reply = leaving.count(lambda request: answer)(request_of("catalogue"))
    assert leaving.in_flight == 1
    assert b"".join(reply.chunks) == b"x"
    assert leaving.in_flight == 0
    reply.chunks.close()
    assert leaving.in_flight == 0


def test_refusal_and_failure_end_the_count():
    leaving = Leaving(ManualClock())
    leaving.count(lambda request: SERVED)(request_of("catalogue"))
    with pytest.raises(ZeroDivisionError):
        leaving.count(lambda request: 1 // 0)(request_of("catalogue"))
    assert leaving.in_flight == 0


def test_broken_and_closed_answers_end_the_count():
    class Broken(WholeBody):
        def __next__(self):
            raise AnswerBroken("lost")

    leaving = Leaving(ManualClock())
    broken = Answer(200, (), 1, Broken(b""))
    reply = leaving.count(lambda request: broken)(request_of("catalogue"))
    with pytest.raises(AnswerBroken):
        next(reply.chunks)
    whole = Answer(200, (), 1, WholeBody(b"x"))
    leaving.count(lambda request: whole)(request_of("catalogue")).chunks.close()
    assert leaving.in_flight == 0


def test_quiet_time_starts_with_the_last_end():
    clock = ManualClock()
    leaving = Leaving(clock)
    clock.advance(5)
    answer = Answer(200, (), 1, WholeBody(b"x"))
    reply = leaving.count(lambda request: answer)(request_of("catalogue"))
    assert leaving.quiet_s() == 0
    clock.advance(5)
    assert leaving.quiet_s() == 0
    reply.chunks.close()
    clock.advance(2)
    assert leaving.quiet_s() == 2


def test_what_comes_while_the_daemon_leaves_must_end_before_it_stops():
    leaving = Leaving(ManualClock())
    request = request_of("catalogue")
    request.deadline_s = 12.0
    handle = leaving.limit(lambda request: SERVED)
    handle(request)
    assert request.deadline_s == 12.0
    leaving.ends_s = 5.0
    handle(request)
    assert request.deadline_s == 5.0
    request.deadline_s = 1.0
    handle(request)
    assert request.deadline_s == 1.0


def test_what_waits_at_the_end_is_withdrawn_and_what_has_ended_is_not():
    leaving = Leaving(ManualClock())
    waiting, ended = request_of("catalogue"), request_of("catalogue")
    withdrawn = []

    def wait(request):
        request.scope.bind(lambda: withdrawn.append(request))
        leaving.withdraw()
        return Refused(Outcome.NOT_RUN, Reason.CANCELLED)

    leaving.count(lambda request: SERVED)(ended)
    leaving.count(wait)(waiting)
    assert withdrawn == [waiting]
    assert waiting.scope.cancelled
    assert not waiting.scope.caller_left
    assert not ended.scope.cancelled
    assert leaving.in_flight == 0
