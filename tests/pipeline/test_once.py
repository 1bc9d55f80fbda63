"""Orders run at most once at their home, whatever their callers and sends do.

Callers repeat a send while the first one runs, after it was refused, or after its
answer was lost. None of the sends may run the order again, or report as not run an
order that ran.
"""

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
    BufferedBody,
    Refused,
    Request,
)
from chicorychute.table.rows import Repeat, Row

TIMEOUT_S = 20.0
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
    """Handler that counts its runs and waits for `may_answer` before it answers."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.runs = 0
        self.deadlines_s = []
        self.may_answer = threading.Event()
        self.may_answer.set()

    def __call__(self, request):
        self.runs += 1
        self.deadlines_s.append(request.deadline_s)
        assert self.may_answer.wait(TIMEOUT_S)
        return self.replies.pop(0) if self.replies else answer()


def answer(body=b"jars", status=200):
    return Answer(status, (), len(body), BufferedBody(body), "u1")


def fail_if_relayed(request, key):
    raise AssertionError("an order of this home was relayed")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def home(clock):
    return OrderHome(OrderLedger("a", 1, clock), fail_if_relayed, clock)


def request(key, deadline_s=TIMEOUT_S, **fields):
    made = Request("POST", "/orders", (), b"kit 7", "team", key, "", 0.0)
    return attrs.evolve(made, **{"row": ROW, "deadline_s": deadline_s, **fields})


def in_thread(run):
    results = []
    thread = threading.Thread(target=lambda: results.append(run()), daemon=True)
    thread.start()
    return thread, results


def body_of(reply):
    return b"".join(reply.chunks)


def test_second_send_waits_for_the_running_order_and_gets_its_answer(home):
    upstream = Upstream()
    upstream.may_answer.clear()
    send = home.handle_orders(upstream)
    key = f"{home.new_token()}/1"
    first, first_reply = in_thread(lambda: send(request(key)))
    second, second_reply = in_thread(lambda: send(request(key)))
    upstream.may_answer.set()
    first.join(TIMEOUT_S)
    second.join(TIMEOUT_S)
    assert [body_of(r[0]) for r in (first_reply, second_reply)] == [b"jars", b"jars"]
    assert upstream.runs == 1


def test_caller_with_a_short_deadline_can_ask_for_the_answer_later(home):
    upstream = Upstream()
    upstream.may_answer.clear()
    send = home.handle_orders(upstream)
    key = f"{home.new_token()}/1"
    thread, replies = in_thread(lambda: send(request(key, deadline_s=0.0)))
    thread.join(TIMEOUT_S)
    assert replies == [
        Refused(Outcome.UNKNOWN, Reason.ALREADY_RUNNING, "the order still runs")
    ]
    upstream.may_answer.set()
    assert body_of(send(request(key))) == b"jars"
    assert (upstream.runs, upstream.deadlines_s) == (1, [ROW.deadline_ms / 1000])


def test_order_that_did_not_run_closes_its_key(home):
    upstream = Upstream(Refused(Outcome.NOT_RUN, Reason.OVERLOAD))
    send = home.handle_orders(upstream)
    key = f"{home.new_token()}/1"
    assert send(request(key)) == Refused(Outcome.NOT_RUN, Reason.OVERLOAD)
    assert send(request(key)) == Refused(Outcome.NOT_RUN, Reason.KEY_CLOSED)
    assert body_of(send(request(f"{home.new_token()}/1"))) == b"jars"
    assert upstream.runs == 2


@pytest.mark.parametrize("failure", [500, 503])
def test_error_answer_counts_as_run_and_is_not_repeated(home, failure):
    upstream = Upstream(answer(b"broken", failure))
    send = home.handle_orders(upstream)
    key = f"{home.new_token()}/1"
    replies = [send(request(key)), send(request(key))]
    assert [(r.status, body_of(r)) for r in replies] == [(failure, b"broken")] * 2
    assert upstream.runs == 1


def test_resend_may_differ_only_in_headers_outside_the_fingerprint(home):
    send = home.handle_orders(Upstream())
    key = f"{home.new_token()}/1"
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


class TruncatedBody:
    """Body that is lost after its first bytes."""

    def __iter__(self):
        yield b"ja"
        raise AnswerBroken("aborted")

    def close(self):
        pass


def raise_unexpectedly(request):
    raise RuntimeError("error in a filter")


@pytest.mark.parametrize(
    "handler",
    [
        lambda request: Answer(200, (), 4, TruncatedBody()),
        lambda request: Refused(Outcome.UNKNOWN, Reason.PEER_LOST),
        raise_unexpectedly,
    ],
    ids=["answer aborted", "peer lost", "handler raised"],
)
def test_order_without_a_known_end_stays_unknown(home, handler):
    key = f"{home.new_token()}/1"
    first = home.handle_orders(handler)(request(key))
    upstream = Upstream()
    again = home.handle_orders(upstream)(request(key))
    assert (first.outcome, again.outcome) == (Outcome.UNKNOWN, Outcome.UNKNOWN)
    assert upstream.runs == 0


def test_answer_too_large_to_store_is_reported_as_ran(home):
    large = b"x" * (ledger_module.ANSWER_BYTES_LIMIT + 1)
    upstream = Upstream(answer(large))
    send = home.handle_orders(upstream)
    key = f"{home.new_token()}/1"
    assert body_of(send(request(key))) == large
    again = send(request(key))
    assert (again.outcome, again.reason) == (Outcome.RAN, Reason.ANSWER_NOT_KEPT)
    assert upstream.runs == 1


def test_refusal_before_the_home_decided_is_unknown_for_a_known_key(home):
    late = Refused(Outcome.NOT_RUN, Reason.DEADLINE)
    key = f"{home.new_token()}/1"
    home.handle_orders(Upstream())(request(key))
    final_reply = home.confirm_not_run(lambda request: late)(request(key))
    assert (final_reply.outcome, final_reply.reason) == (
        Outcome.UNKNOWN,
        Reason.DEADLINE,
    )


def test_refusal_before_the_home_decided_closes_a_new_key(home):
    late = Refused(Outcome.NOT_RUN, Reason.DEADLINE)
    key = f"{home.new_token()}/1"
    assert home.confirm_not_run(lambda request: late)(request(key)) == late
    delayed = home.confirm_not_run(home.handle_orders(Upstream()))(request(key))
    assert delayed == Refused(Outcome.NOT_RUN, Reason.KEY_CLOSED)


def test_refusal_of_an_entry_that_is_not_the_home_is_unknown(home, clock):
    other = OrderHome(OrderLedger("b", 1, clock), fail_if_relayed, clock)
    refused = Refused(Outcome.NOT_RUN, Reason.NO_ROUTE)
    final_reply = home.confirm_not_run(lambda request: refused)(
        request(f"{other.new_token()}/1", row=None)
    )
    assert final_reply.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("key", "outcome"),
    [("h@1.2/of/a@later.release", Outcome.UNKNOWN), ("mine", Outcome.NOT_RUN)],
)
def test_refusal_of_a_malformed_key_is_not_run_if_it_names_no_home(home, key, outcome):
    refused = Refused(Outcome.NOT_RUN, Reason.OVERLOAD)
    assert (
        home.confirm_not_run(lambda _: refused)(request(key, row=None)).outcome
        is outcome
    )


def test_leaving_home_answers_known_orders_and_takes_no_new_ones(home):
    upstream = Upstream()
    send = home.handle_orders(upstream)
    known, new = f"{home.new_token()}/1", f"{home.new_token()}/2"
    send(request(known))
    home.leave()
    assert home.new_token() == ""
    assert body_of(send(request(known))) == b"jars"
    assert send(request(new)) == Refused(Outcome.NOT_RUN, Reason.LEAVING)
    assert upstream.runs == 1


def test_home_is_idle_once_its_orders_have_ended(home):
    upstream = Upstream()
    upstream.may_answer.clear()
    key = f"{home.new_token()}/1"
    home.handle_orders(upstream)(request(key, deadline_s=0.0))
    assert not home.idle()
    upstream.may_answer.set()
    home.handle_orders(upstream)(request(key))
    assert home.idle()


def test_order_runs_detached_from_the_request_of_its_caller(home):
    seen = []

    def handler(own):
        seen.append(own)
        return answer()

    first = request(f"{home.new_token()}/1", attempt=1)
    home.handle_orders(handler)(first)
    assert seen[0] is not first
    assert (seen[0].key, seen[0].attempt, seen[0].row) == (first.key, 1, ROW)
