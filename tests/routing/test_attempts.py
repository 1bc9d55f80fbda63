"""What is told of a request is never less than what may have run."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.routing.attempts import (
    FINAL_REASONS,
    MAX_ATTEMPTS,
    Again,
    Answered,
    Attempts,
    Ended,
    Stop,
)
from chicorychute.routing.budget import MAX_SAVED_RETRIES, RetryBudget
from chicorychute.table.rows import Repeat

DEADLINE_S = 10.0
SHED, FAILED = 503, 500
ENDS = st.one_of(
    st.builds(Answered, st.sampled_from([200, 404, FAILED, SHED])),
    st.builds(Ended, st.sampled_from(Outcome), st.sampled_from(Reason)),
)


def attempts(repeat=Repeat.IDEMPOTENT, sent=0):
    return Attempts(repeat, RetryBudget(), DEADLINE_S, sent)


@pytest.mark.parametrize(
    "repeat, end, action",
    [
        (Repeat.ONCE, Ended(Outcome.NOT_RUN, Reason.OVERLOAD), Again()),
        (Repeat.ONCE, Ended(Outcome.UNKNOWN, Reason.PEER_LOST), Stop()),
        (Repeat.ONCE, Answered(FAILED), Stop()),
        (Repeat.ONCE, Answered(SHED), Stop()),
        (Repeat.IDEMPOTENT, Ended(Outcome.NOT_RUN, Reason.OVERLOAD), Again()),
        (Repeat.IDEMPOTENT, Ended(Outcome.UNKNOWN, Reason.PEER_LOST), Again()),
        (Repeat.IDEMPOTENT, Answered(FAILED), Again()),
        (Repeat.IDEMPOTENT, Answered(SHED), Again()),
        (Repeat.IDEMPOTENT, Answered(404), Stop()),
        (Repeat.IDEMPOTENT, Ended(Outcome.NOT_RUN, Reason.DEADLINE), Stop()),
        (Repeat.IDEMPOTENT, Ended(Outcome.NOT_RUN, Reason.QUARANTINED), Stop()),
    ],
)
def test_what_follows_an_attempt(repeat, end, action):
    made = attempts(repeat)
    assert made.may_start(0.0, 0.1)
    assert made.on_end(end, 1.0) == action


def test_unknown_attempt_is_not_hidden_by_a_later_refusal():
    made = attempts()
    made.may_start(0.0, 0.1)
    made.on_end(Ended(Outcome.UNKNOWN, Reason.PEER_LOST), 1.0)
    made.may_start(1.0, 0.1)
    made.on_end(Ended(Outcome.NOT_RUN, Reason.OVERLOAD), 2.0)
    assert made.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    "now_s, predicted_s, may", [(9.0, 0.9, True), (9.0, 1.1, False), (10.0, 0, False)]
)
def test_retry_needs_time_for_its_answer(now_s, predicted_s, may):
    made = attempts()
    made.may_start(0.0, 0.1)
    made.on_end(Ended(Outcome.NOT_RUN, Reason.OVERLOAD), 1.0)
    assert made.may_start(now_s, predicted_s) is may


def test_attempts_on_earlier_hops_count():
    made = attempts(sent=MAX_ATTEMPTS - 1)
    assert made.may_start(0.0, 0.1)
    assert made.on_end(Answered(FAILED), 1.0) == Stop()
    assert not attempts(sent=MAX_ATTEMPTS).may_start(0.0, 0.1)


@settings(max_examples=1000, derandomize=True, deadline=None, database=None)
@given(
    st.sampled_from(Repeat),
    st.lists(st.tuples(ENDS, st.floats(0, 5)), max_size=6),
    st.integers(0, MAX_ATTEMPTS),
)
def test_not_run_is_told_only_if_every_attempt_was_not_run(repeat, ends, sent):
    made = attempts(repeat, sent)
    now_s = 0.0
    reached = ran_at_most = 0
    for end, wait_s in ends:
        if not made.may_start(now_s, 0.1):
            break
        assert now_s < DEADLINE_S
        now_s += wait_s
        harmless = isinstance(end, Ended) and end.outcome is Outcome.NOT_RUN
        reached += not harmless
        ran_at_most += not harmless
        if made.on_end(end, now_s) == Stop():
            break
        assert not isinstance(end, Ended) or not (
            harmless and end.reason in FINAL_REASONS
        )
    assert made.sent <= MAX_ATTEMPTS
    assert (made.outcome is Outcome.NOT_RUN) is (reached == 0)
    assert repeat is Repeat.IDEMPOTENT or ran_at_most <= 1


@pytest.mark.parametrize("failing_share", [0.5, 1.0])
@pytest.mark.parametrize("share", [0.0, 0.1, 0.3])
def test_sends_stay_within_the_budget_while_upstreams_fail(failing_share, share):
    budget = RetryBudget()
    requests, sends = 5000, 0
    for number in range(requests):
        budget.deposit(share)
        made = Attempts(Repeat.IDEMPOTENT, budget, DEADLINE_S)
        while made.may_start(0.0, 0.1):
            sends += 1
            failed = (number * 7 + made.sent * 3) % 10 < failing_share * 10
            if made.on_end(Answered(FAILED if failed else 200), 1.0) == Stop():
                break
    assert sends <= requests * (1 + share) + MAX_SAVED_RETRIES
