"""Retries, their budget and the outcome reported for all attempts at a request.

An upstream may have run a request although its answer was lost. A later refusal must
not turn that outcome into "not run", because the caller would then send the request
again, and a request that may run only once must not be retried.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.routing.attempts import (
    FINAL_REASONS,
    MAX_ATTEMPTS,
    Answered,
    Attempts,
    Retry,
    Stop,
    Unanswered,
)
from chicorychute.routing.budget import MAX_SAVED_RETRIES, RetryBudget, burst_of_one
from chicorychute.table.rows import Repeat

DEADLINE_S = 10.0
SHED_STATUS, FAILED_STATUS = 503, 500
ENDS = st.one_of(
    st.builds(Answered, st.sampled_from([200, 404, FAILED_STATUS, SHED_STATUS])),
    st.builds(Unanswered, st.sampled_from(Outcome), st.sampled_from(Reason)),
)


def make_attempts(repeat=Repeat.IDEMPOTENT, sent=0):
    return Attempts(repeat, RetryBudget(), DEADLINE_S, sent)


@pytest.mark.parametrize(
    "repeat, end, action",
    [
        (Repeat.ONCE, Unanswered(Outcome.NOT_RUN, Reason.OVERLOAD), Retry()),
        (Repeat.ONCE, Unanswered(Outcome.UNKNOWN, Reason.PEER_LOST), Stop()),
        (Repeat.ONCE, Answered(FAILED_STATUS), Stop()),
        (Repeat.ONCE, Answered(SHED_STATUS), Stop()),
        (Repeat.IDEMPOTENT, Unanswered(Outcome.NOT_RUN, Reason.OVERLOAD), Retry()),
        (Repeat.IDEMPOTENT, Unanswered(Outcome.UNKNOWN, Reason.PEER_LOST), Retry()),
        (Repeat.IDEMPOTENT, Answered(FAILED_STATUS), Retry()),
        (Repeat.IDEMPOTENT, Answered(SHED_STATUS), Retry()),
        (Repeat.IDEMPOTENT, Answered(404), Stop()),
        (Repeat.IDEMPOTENT, Unanswered(Outcome.NOT_RUN, Reason.DEADLINE), Stop()),
        (Repeat.IDEMPOTENT, Unanswered(Outcome.NOT_RUN, Reason.QUARANTINED), Stop()),
    ],
)
def test_action_after_an_attempt(repeat, end, action):
    attempts = make_attempts(repeat)
    assert attempts.try_start(0.0, 0.1)
    assert attempts.on_end(end, 1.0) == action


def test_unknown_attempt_is_not_hidden_by_a_later_refusal():
    attempts = make_attempts()
    attempts.try_start(0.0, 0.1)
    attempts.on_end(Unanswered(Outcome.UNKNOWN, Reason.PEER_LOST), 1.0)
    attempts.try_start(1.0, 0.1)
    attempts.on_end(Unanswered(Outcome.NOT_RUN, Reason.OVERLOAD), 2.0)
    assert attempts.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    "now_s, predicted_s, expected",
    [(9.0, 0.9, True), (9.0, 1.1, False), (10.0, 0, False)],
)
def test_retry_needs_time_for_its_answer(now_s, predicted_s, expected):
    attempts = make_attempts()
    attempts.try_start(0.0, 0.1)
    attempts.on_end(Unanswered(Outcome.NOT_RUN, Reason.OVERLOAD), 1.0)
    assert attempts.try_start(now_s, predicted_s) is expected


def test_attempts_on_earlier_hops_count():
    attempts = make_attempts(sent=MAX_ATTEMPTS - 1)
    assert attempts.try_start(0.0, 0.1)
    assert attempts.on_end(Answered(FAILED_STATUS), 1.0) == Stop()
    assert not make_attempts(sent=MAX_ATTEMPTS).try_start(0.0, 0.1)


@settings(max_examples=1000, derandomize=True, deadline=None, database=None)
@given(
    st.sampled_from(Repeat),
    st.lists(st.tuples(ENDS, st.floats(0, 5)), max_size=6),
    st.integers(0, MAX_ATTEMPTS),
)
def test_outcome_is_not_run_only_if_no_attempt_may_have_run(repeat, ends, sent):
    attempts = make_attempts(repeat, sent)
    now_s = 0.0
    reached = max_runs = 0
    for end, wait_s in ends:
        if not attempts.try_start(now_s, 0.1):
            break
        assert now_s < DEADLINE_S
        now_s += wait_s
        not_run = isinstance(end, Unanswered) and end.outcome is Outcome.NOT_RUN
        reached += not not_run
        max_runs += not not_run
        if attempts.on_end(end, now_s) == Stop():
            break
        assert not isinstance(end, Unanswered) or not (
            not_run and end.reason in FINAL_REASONS
        )
    assert attempts.sent <= MAX_ATTEMPTS
    assert (attempts.outcome is Outcome.NOT_RUN) is (reached == 0)
    assert repeat is Repeat.IDEMPOTENT or max_runs <= 1


@pytest.mark.parametrize("failure_fraction", [0.5, 1.0])
@pytest.mark.parametrize("retry_share", [0.0, 0.1, 0.3])
def test_sends_stay_within_the_budget_while_upstreams_fail(
    failure_fraction, retry_share
):
    budget = RetryBudget()
    requests, sends = 5000, 0
    for number in range(requests):
        budget.deposit(retry_share)
        attempts = Attempts(Repeat.IDEMPOTENT, budget, DEADLINE_S)
        while attempts.try_start(0.0, 0.1):
            sends += 1
            failed = (number * 7 + attempts.sent * 3) % 10 < failure_fraction * 10
            if (
                attempts.on_end(Answered(FAILED_STATUS if failed else 200), 1.0)
                == Stop()
            ):
                break
    assert sends <= requests * (1 + retry_share) + MAX_SAVED_RETRIES


# A failure that every daemon sees at once: the retries that each has saved up add up.
# Daemons, and the retries that the platform allows all of them, from its site files and
# a small twin of the largest.
@pytest.mark.parametrize(
    ("daemons", "fleet_burst"), [(24, 58), (30, 60), (94, 192), (235, 430), (27, 25)]
)
def test_all_daemons_together_save_up_no_more_than_the_fleet_may(daemons, fleet_burst):
    burst = burst_of_one(2.0, fleet_burst, daemons)
    budgets = [RetryBudget(burst) for _ in range(daemons)]
    spent = sum(budget.withdraw() for budget in budgets for _ in range(5))
    assert spent <= max(fleet_burst, daemons)


def test_without_a_limit_of_the_fleet_the_row_decides():
    assert burst_of_one(2.0, 0.0, 235) == 2.0


# Attempts sent, attempts of the row, retries left, whether a failure would be final. A
# request that is sent to an upstream at risk needs another attempt behind it.
@pytest.mark.parametrize(
    ("sent", "max_attempts", "retries", "is_final"),
    [
        (0, 1, 5, True),
        (0, 2, 5, False),
        (0, 2, 0, True),
        (1, 2, 5, True),
        (1, 3, 5, False),
        (1, 3, 1, True),
    ],
)
def test_next_attempt_is_final_where_no_other_may_follow(
    sent, max_attempts, retries, is_final
):
    attempts = Attempts(
        Repeat.IDEMPOTENT, RetryBudget(retries), DEADLINE_S, sent, max_attempts
    )
    assert attempts.is_next_final() is is_final
    order = Attempts(Repeat.ONCE, RetryBudget(5), DEADLINE_S, sent)
    assert order.is_next_final()
