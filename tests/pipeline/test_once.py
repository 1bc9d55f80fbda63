import threading

import attrs
import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.orders import ledger as ledger_module
from chicorychute.orders.ledger import OrderLedger
from chicorychute.pipeline.once import OrderHome
from chicorychute.pipeline.values import (
    Answer,
    AnswerBroken,
    Refused,
    Request,
    WholeBody,
)
from chicorychute.table.rows import Repeat, Row

PATIENCE_S = 20.0
ROW = Row(
    "orders",
    "order",
    ("POST /orders",),
    1,
    0.5,
    500,
    5000,
    Repeat.ONCE,
    0.1,
    4,
    0.5,
    1,
    0,
    100,
)


class Upstream:
    """Handler that counts runs and answers when told to."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.runs = 0
        self.deadlines_s = []
        self.may_answer = threading.Event()
        self.may_answer.set()

    def __call__(self, request):
        self.runs += 1
        self.deadlines_s.append(request.deadline_s)
        assert self.may_answer.wait(PATIENCE_S)
        return self.replies.pop(0) if self.replies else answer()


def answer(body=b"jars", status=200):
    return Answer(status, (), len(body), WholeBody(body), "u1")


def never(request, key):
    raise AssertionError("relayed")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def home(clock):
    return OrderHome(OrderLedger("a", 1, clock), never, clock)


def request(key, deadline_s=PATIENCE_S, **fields):
    made = Request("POST", "/orders", (), b"kit 7", "team", key, "", 0.0)
    return attrs.evolve(made, **{"row": ROW, "deadline_s": deadline_s, **fields})


def in_thread(run):
    results = []
    thread = threading.Thread(target=lambda: results.append(run()), daemon=True)
    thread.start()
    return thread, results


def body_of(reply):
    return b"".join(reply.chunks)


def test_send_while_the_first_runs_waits_and_gets_its_answer(home):
    upstream = Upstream()
    upstream.may_answer.clear()
    send = home.filter(upstream)
    key = f"{home.home()}/1"
    first, first_reply = in_thread(lambda: send(request(key)))
    second, second_reply = in_thread(lambda: send(request(key)))
    upstream.may_answer.set()
    first.join(PATIENCE_S)
    second.join(PATIENCE_S)
    assert [body_of(r[0]) for r in (first_reply, second_reply)] == [b"jars", b"jars"]
    assert upstream.runs == 1


def test_caller_with_a_short_deadline_can_ask_for_the_answer_later(home):
    upstream = Upstream()
    upstream.may_answer.clear()
    send = home.filter(upstream)
    key = f"{home.home()}/1"
    thread, replies = in_thread(lambda: send(request(key, deadline_s=0.0)))
    thread.join(PATIENCE_S)
    assert replies == [
        Refused(Outcome.UNKNOWN, Reason.ALREADY_RUNNING, "the order still runs")
    ]
    upstream.may_answer.set()
    assert body_of(send(request(key))) == b"jars"
    assert (upstream.runs, upstream.deadlines_s) == (1, [ROW.deadline_ms / 1000])


def test_not_run_is_final_for_its_key(home):
    upstream = Upstream(Refused(Outcome.NOT_RUN, Reason.OVERLOAD))
    send = home.filter(upstream)
    key = f"{home.home()}/1"
    assert send(request(key)) == Refused(Outcome.NOT_RUN, Reason.OVERLOAD)
    assert send(request(key)) == Refused(Outcome.NOT_RUN, Reason.KEY_CLOSED)
    assert body_of(send(request(f"{home.home()}/1"))) == b"jars"
    assert upstream.runs == 2


@pytest.mark.parametrize("failure", [500, 503])
def test_failure_told_by_the_upstream_has_run_and_is_not_repeated(home, failure):
    upstream = Upstream(answer(b"broken", failure))
    send = home.filter(upstream)
    key = f"{home.home()}/1"
    replies = [send(request(key)), send(request(key))]
    assert [(r.status, body_of(r)) for r in replies] == [(failure, b"broken")] * 2
    assert upstream.runs == 1


def test_re_send_differs_only_in_what_the_order_is_not(home):
    send = home.filter(Upstream())
    key = f"{home.home()}/1"
    send(request(key))
    again = request(key, traceparent="00-x", headers=(("user-agent", "b"),))
    assert body_of(send(again)) == b"jars"
    others = [
        request(key, body=b"kit 8"),
        request(key, target="/orders?shop=2"),
        request(key, team="other"),
        request(key, headers=(("content-type", "text/csv"),)),
    ]
    mismatch = Refused(Outcome.NOT_RUN, Reason.KEY_MISMATCH)
    assert [send(other) for other in others] == [mismatch] * 4


class CutBody:
    """Body that is lost after its first bytes."""

    def __iter__(self):
        yield b"ja"
        raise AnswerBroken("cut")

    def close(self):
        pass


def fail(request):
    raise RuntimeError("fault in a filter")


@pytest.mark.parametrize(
    "handler",
    [
        lambda request: Answer(200, (), 4, CutBody()),
        lambda request: Refused(Outcome.UNKNOWN, Reason.PEER_LOST),
        fail,
    ],
    ids=["answer cut", "peer lost", "handler raised"],
)
def test_order_without_a_known_end_is_unknown_for_good(home, handler):
    key = f"{home.home()}/1"
    first = home.filter(handler)(request(key))
    upstream = Upstream()
    again = home.filter(upstream)(request(key))
    assert (first.outcome, again.outcome) == (Outcome.UNKNOWN, Outcome.UNKNOWN)
    assert upstream.runs == 0


def test_answer_too_large_to_keep_is_told_as_ran(home):
    large = b"x" * (ledger_module.ANSWER_BYTES_LIMIT + 1)
    upstream = Upstream(answer(large))
    send = home.filter(upstream)
    key = f"{home.home()}/1"
    assert body_of(send(request(key))) == large
    again = send(request(key))
    assert (again.outcome, again.reason) == (Outcome.RAN, Reason.ANSWER_NOT_KEPT)
    assert upstream.runs == 1


def test_refusal_before_the_home_ruled_is_not_called_not_run_for_a_known_key(home):
    late = Refused(Outcome.NOT_RUN, Reason.DEADLINE)
    key = f"{home.home()}/1"
    home.filter(Upstream())(request(key))
    told = home.guard(lambda request: late)(request(key))
    assert (told.outcome, told.reason) == (Outcome.UNKNOWN, Reason.DEADLINE)


def test_refusal_before_the_home_ruled_closes_a_new_key(home):
    late = Refused(Outcome.NOT_RUN, Reason.DEADLINE)
    key = f"{home.home()}/1"
    assert home.guard(lambda request: late)(request(key)) == late
    delayed = home.guard(home.filter(Upstream()))(request(key))
    assert delayed == Refused(Outcome.NOT_RUN, Reason.KEY_CLOSED)


def test_entry_that_is_not_the_home_proves_nothing(home, clock):
    other = OrderHome(OrderLedger("b", 1, clock), never, clock)
    refused = Refused(Outcome.NOT_RUN, Reason.NO_ROUTE)
    told = home.guard(lambda request: refused)(request(f"{other.home()}/1", row=None))
    assert told.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("key", "outcome"),
    [("h@1.2/of/a@later.release", Outcome.UNKNOWN), ("mine", Outcome.NOT_RUN)],
)
def test_refusal_of_a_malformed_key_is_not_run_if_it_names_no_home(home, key, outcome):
    refused = Refused(Outcome.NOT_RUN, Reason.OVERLOAD)
    assert home.guard(lambda _: refused)(request(key, row=None)).outcome is outcome


def test_leaving_home_answers_known_orders_and_takes_no_new_ones(home):
    upstream = Upstream()
    send = home.filter(upstream)
    known, new = f"{home.home()}/1", f"{home.home()}/2"
    send(request(known))
    home.leave()
    assert home.home() == ""
    assert body_of(send(request(known))) == b"jars"
    assert send(request(new)) == Refused(Outcome.NOT_RUN, Reason.LEAVING)
    assert upstream.runs == 1


def test_home_is_idle_once_its_orders_have_ended(home):
    upstream = Upstream()
    upstream.may_answer.clear()
    key = f"{home.home()}/1"
    home.filter(upstream)(request(key, deadline_s=0.0))
    assert not home.idle()
    upstream.may_answer.set()
    home.filter(upstream)(request(key))
    assert home.idle()


def test_order_is_run_apart_from_what_its_caller_does(home):
    seen = []

    def handler(own):
        seen.append(own)
        return answer()

    first = request(f"{home.home()}/1", attempt=1)
    home.filter(handler)(first)
    assert seen[0] is not first
    assert (seen[0].key, seen[0].attempt, seen[0].row) == (first.key, 1, ROW)
