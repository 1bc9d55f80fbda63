"""When a request is recalled, and what its gate may answer.

A network path can stop delivering while its connection stays open. An entry that only
waits loses the answer, and one that sends the request elsewhere runs it twice. So a
gate must never answer "not run" for a request that it may have run, also after it has
dropped the end for lack of memory.
"""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import AnswerHead, Refusal
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.routing import recall
from chicorychute.routing.recall import (
    END_RETENTION_S,
    MAX_STORED_END_BYTES,
    OTHER_REGION_PING_TIMEOUT_S,
    PING_AFTER_S,
    PING_TIMEOUT_S,
    RECALL_INTERVAL_S,
    REVOCATION_MARGIN_S,
    RUNNING_RECALL_INTERVAL_S,
    SEEN_RETENTION_S,
    LinkLiveness,
    RecallDecision,
    RecallRegistry,
    Recalls,
    SendKey,
    Step,
    next_step,
)

KEY = SendKey("entry", 1, 7)
REMAINING_S = 2.0


def answer_head(size=2):
    return AnswerHead(7, 200, (), size, b"x" * size, True, 0, 0)


@pytest.mark.parametrize(
    ("now_s", "liveness", "step"),
    [
        (PING_AFTER_S / 2, LinkLiveness(0.0), Step.WAIT),
        (PING_AFTER_S, LinkLiveness(0.0), Step.PING),
        (
            10.0,
            LinkLiveness(10.0 - PING_AFTER_S / 2),
            Step.WAIT,
        ),  # other answers arrived
        (10.0, LinkLiveness(9.9, 9.8), Step.WAIT),  # heard after the ping
        (10.0, LinkLiveness(9.5, 10.0 - PING_TIMEOUT_S / 2), Step.WAIT),
        (10.0, LinkLiveness(9.5, 9.99 - PING_TIMEOUT_S), Step.RECALL),
        (10.0, LinkLiveness(9.5, 9.99 - PING_TIMEOUT_S, other_region=True), Step.WAIT),
        (
            10.0,
            LinkLiveness(9.5, 9.99 - OTHER_REGION_PING_TIMEOUT_S, other_region=True),
            Step.RECALL,
        ),
        (0.01, LinkLiveness(0.0, link_closed=True), Step.RECALL),
    ],
)
def test_silent_link_is_pinged_and_then_its_requests_are_recalled(
    now_s, liveness, step
):
    assert next_step(now_s, Recalls(0.0, repeatable=False), liveness) is step


@pytest.mark.parametrize(
    ("repeatable", "link_closed", "end"),
    [
        (True, False, Step.GIVE_UP),
        (False, True, Step.GIVE_UP),
        (False, False, Step.WAIT),
    ],
)
def test_request_is_given_up_if_recalls_fail_and_waiting_cannot_help(
    repeatable, link_closed, end
):
    liveness = LinkLiveness(0.0, 0.3, link_closed=link_closed)
    recalls = Recalls(0.0, repeatable)
    now_s = 1.0
    for _ in range(recalls.max_unanswered):
        assert next_step(now_s, recalls, liveness) is Step.RECALL
        recalls.record_sent(now_s)
        assert next_step(now_s + RECALL_INTERVAL_S / 2, recalls, liveness) is Step.WAIT
        now_s += RECALL_INTERVAL_S
    assert next_step(now_s, recalls, liveness) is end


def test_request_that_runs_is_recalled_again_later():
    liveness = LinkLiveness(0.0, 0.3)
    recalls = Recalls(0.0, repeatable=True)
    recalls.record_sent(1.0)
    recalls.record_running(1.1)
    assert (
        next_step(1.1 + RUNNING_RECALL_INTERVAL_S / 2, recalls, liveness) is Step.WAIT
    )
    assert next_step(1.1 + RUNNING_RECALL_INTERVAL_S, recalls, liveness) is Step.RECALL


def test_request_that_never_arrived_is_revoked_beyond_its_deadline():
    clock = ManualClock()
    registry = RecallRegistry(clock)
    assert registry.recall(KEY, REMAINING_S, "helper") == (RecallDecision.REVOKED, None)
    clock.advance(REMAINING_S + REVOCATION_MARGIN_S / 2)
    assert not registry.register(KEY)
    assert registry.recall(KEY, 0.0, "helper") == (RecallDecision.REVOKED, None)
    assert registry.register(SendKey("entry", 1, 8))
    assert registry.register(SendKey("entry", 2, 7))  # a later incarnation of the entry


def test_end_of_a_running_request_goes_to_each_waiter():
    registry = RecallRegistry(ManualClock())
    assert registry.register(KEY)
    for waiter in ("one", "two", "one"):
        assert registry.recall(KEY, REMAINING_S, waiter) == (
            RecallDecision.RUNNING,
            None,
        )
    assert registry.record_end(KEY, answer_head()) == ["one", "two"]
    assert registry.recall(KEY, REMAINING_S, "three") == (
        RecallDecision.ENDED,
        answer_head(),
    )


def test_end_expires_and_is_then_forgotten_but_never_revoked():
    clock = ManualClock()
    registry = RecallRegistry(clock)
    registry.register(KEY)
    registry.record_end(KEY, answer_head())
    clock.advance(END_RETENTION_S * 1.01)
    assert registry.recall(KEY, REMAINING_S, "helper") == (
        RecallDecision.FORGOTTEN,
        None,
    )
    clock.advance(SEEN_RETENTION_S)
    assert registry.register(SendKey("entry", 1, 9))
    assert registry.recall(KEY, REMAINING_S, "helper") == (
        RecallDecision.FORGOTTEN,
        None,
    )


def test_answer_too_long_to_store_is_forgotten():
    registry = RecallRegistry(ManualClock())
    registry.register(KEY)
    assert registry.record_end(KEY, None) == []
    assert registry.recall(KEY, REMAINING_S, "helper") == (
        RecallDecision.FORGOTTEN,
        None,
    )


def test_memory_is_bounded_and_dropped_requests_are_forgotten(monkeypatch):
    monkeypatch.setattr(recall, "MAX_SEEN_REQUESTS", 10)
    monkeypatch.setattr(recall, "MAX_REVOKED_REQUESTS", 3)
    registry = RecallRegistry(ManualClock())
    for id in range(20):
        key = SendKey("entry", 1, id)
        registry.register(key)
        registry.record_end(key, answer_head(MAX_STORED_END_BYTES // 4))
    stored_ids = [
        id
        for id in range(20)
        if registry.recall(SendKey("entry", 1, id), REMAINING_S, "h")[0]
        is RecallDecision.ENDED
    ]
    assert stored_ids == [16, 17, 18, 19]
    decisions = [
        registry.recall(SendKey("entry", 1, id), REMAINING_S, "h")[0]
        for id in range(30, 40)
    ]
    assert decisions == [RecallDecision.REVOKED] * 3 + [RecallDecision.FORGOTTEN] * 7


def test_refusal_is_stored_as_an_end():
    registry = RecallRegistry(ManualClock())
    registry.register(KEY)
    refusal = Refusal(7, Outcome.NOT_RUN, Reason.NO_FREE_SLOT, "")
    registry.record_end(KEY, refusal)
    assert registry.recall(KEY, REMAINING_S, "helper") == (
        RecallDecision.ENDED,
        refusal,
    )
