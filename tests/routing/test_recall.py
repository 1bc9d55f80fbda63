"""When a request is recalled, and what its gate may say of it."""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import AnswerHead, Refusal
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.routing import recall
from chicorychute.routing.recall import (
    AGAIN_S,
    ASK_AFTER_S,
    FAR_PATIENCE_S,
    KEPT_BYTES,
    KEPT_S,
    NOTED_S,
    PATIENCE_S,
    REVOKED_EXTRA_S,
    SEEN_S,
    LinkSigns,
    RecallBook,
    Recalls,
    Ruling,
    SendKey,
    Step,
    next_step,
)

KEY = SendKey("entry", 1, 7)
LEFT_S = 2.0


def answer(size=2):
    return AnswerHead(7, 200, (), size, b"x" * size, True, 0, 0)


@pytest.mark.parametrize(
    ("now_s", "signs", "step"),
    [
        (ASK_AFTER_S / 2, LinkSigns(0.0), Step.WAIT),
        (ASK_AFTER_S, LinkSigns(0.0), Step.PING),
        (10.0, LinkSigns(10.0 - ASK_AFTER_S / 2), Step.WAIT),  # other answers came
        (10.0, LinkSigns(9.9, 9.8), Step.WAIT),  # and a sign of life
        (10.0, LinkSigns(9.5, 10.0 - PATIENCE_S / 2), Step.WAIT),
        (10.0, LinkSigns(9.5, 9.99 - PATIENCE_S), Step.RECALL),
        (10.0, LinkSigns(9.5, 9.99 - PATIENCE_S, far=True), Step.WAIT),
        (10.0, LinkSigns(9.5, 9.99 - FAR_PATIENCE_S, far=True), Step.RECALL),
        (0.01, LinkSigns(0.0, lost=True), Step.RECALL),
    ],
)
def test_a_silent_link_is_asked_for_a_sign_and_then_gone_round(now_s, signs, step):
    assert next_step(now_s, Recalls(0.0, repeatable=False), signs) is step


@pytest.mark.parametrize(
    ("repeatable", "lost", "end"),
    [
        (True, False, Step.GIVE_UP),
        (False, True, Step.GIVE_UP),
        (False, False, Step.WAIT),
    ],
)
def test_recalls_without_reply_end_where_more_waiting_helps_nobody(
    repeatable, lost, end
):
    signs = LinkSigns(0.0, 0.3, lost=lost)
    recalls = Recalls(0.0, repeatable)
    now_s = 1.0
    for _ in range(recalls.most):
        assert next_step(now_s, recalls, signs) is Step.RECALL
        recalls.asked(now_s)
        assert next_step(now_s + AGAIN_S / 2, recalls, signs) is Step.WAIT
        now_s += AGAIN_S
    assert next_step(now_s, recalls, signs) is end


def test_a_gate_that_runs_the_request_is_asked_again_later():
    signs = LinkSigns(0.0, 0.3)
    recalls = Recalls(0.0, repeatable=True)
    recalls.asked(1.0)
    recalls.noted(1.1)
    assert next_step(1.1 + NOTED_S / 2, recalls, signs) is Step.WAIT
    assert next_step(1.1 + NOTED_S, recalls, signs) is Step.RECALL


def test_what_never_came_is_revoked_for_longer_than_its_deadline():
    clock = ManualClock()
    book = RecallBook(clock)
    assert book.recall(KEY, LEFT_S, "helper") == (Ruling.REVOKED, None)
    clock.advance(LEFT_S + REVOKED_EXTRA_S / 2)
    assert not book.came(KEY)
    assert book.recall(KEY, 0.0, "helper") == (Ruling.REVOKED, None)
    assert book.came(SendKey("entry", 1, 8))
    assert book.came(SendKey("entry", 2, 7))  # a later start of the entry


def test_what_runs_is_told_at_its_end_to_each_that_asked():
    book = RecallBook(ManualClock())
    assert book.came(KEY)
    for asker in ("one", "two", "one"):
        assert book.recall(KEY, LEFT_S, asker) == (Ruling.RUNS, None)
    assert book.ended(KEY, answer()) == ["one", "two"]
    assert book.recall(KEY, LEFT_S, "three") == (Ruling.ENDED, answer())


def test_an_end_is_kept_for_a_time_and_never_told_as_not_run_after_it():
    clock = ManualClock()
    book = RecallBook(clock)
    book.came(KEY)
    book.ended(KEY, answer())
    clock.advance(KEPT_S * 1.01)
    assert book.recall(KEY, LEFT_S, "helper") == (Ruling.FORGOTTEN, None)
    clock.advance(SEEN_S)
    assert book.came(SendKey("entry", 1, 9))
    assert book.recall(KEY, LEFT_S, "helper") == (Ruling.FORGOTTEN, None)


def test_a_long_answer_is_told_as_unknown():
    book = RecallBook(ManualClock())
    book.came(KEY)
    assert book.ended(KEY, None) == []
    assert book.recall(KEY, LEFT_S, "helper") == (Ruling.FORGOTTEN, None)


def test_memory_is_bounded_and_what_gives_way_is_told_as_unknown(monkeypatch):
    monkeypatch.setattr(recall, "SEEN_LIMIT", 10)
    monkeypatch.setattr(recall, "REVOKED_LIMIT", 3)
    book = RecallBook(ManualClock())
    for id in range(20):
        key = SendKey("entry", 1, id)
        book.came(key)
        book.ended(key, answer(KEPT_BYTES // 4))
    kept = [
        id
        for id in range(20)
        if book.recall(SendKey("entry", 1, id), LEFT_S, "h")[0] is Ruling.ENDED
    ]
    assert kept == [16, 17, 18, 19]
    rulings = [
        book.recall(SendKey("entry", 1, id), LEFT_S, "h")[0] for id in range(30, 40)
    ]
    assert rulings == [Ruling.REVOKED] * 3 + [Ruling.FORGOTTEN] * 7


def test_a_refusal_is_kept_as_an_end():
    book = RecallBook(ManualClock())
    book.came(KEY)
    refusal = Refusal(7, Outcome.NOT_RUN, Reason.NO_FREE_SLOT, "")
    book.ended(KEY, refusal)
    assert book.recall(KEY, LEFT_S, "helper") == (Ruling.ENDED, refusal)
