"""Keys, tokens and limits of the ledger of orders.

An order may run twice if a key is accepted that its home never minted or that has
expired, or if the ledger drops an entry whose key is still valid.
"""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import MemberRecord, MemberStatus
from chicorychute.core.outcomes import Reason
from chicorychute.orders import ledger as ledger_module
from chicorychute.orders.homes import NoHome, RelayTo, find_home
from chicorychute.orders.ledger import Deny, Dispatch, OrderLedger, StoredAnswer
from chicorychute.orders.token import TOKEN_LIFETIME_US, HomeToken, OrderKey, parse_key


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def ledger(clock):
    return OrderLedger("a", 7, clock)


def record(incarnation):
    return MemberRecord("a", incarnation, 0, MemberStatus.ALIVE, "", 0, "", "", 0, ())


@pytest.mark.parametrize(
    "text, reason",
    [
        ("", Reason.KEY_REQUIRED),
        ("order-1", Reason.KEY_REQUIRED),
        ("a@7.1", Reason.KEY_REQUIRED),
        ("a@7.1/", Reason.KEY_REQUIRED),
        ("a@7/order-1", Reason.KEY_REQUIRED),
        ("@7.1/order-1", Reason.KEY_REQUIRED),
        ("a@-7.1/order-1", Reason.KEY_REQUIRED),
        ("a@٧.1/order-1", Reason.KEY_REQUIRED),
        ("a@7.1/order 1", Reason.HOME_LOST),
        ("a@7.1/order/1", Reason.HOME_LOST),
        ("a@7.1/" + "x" * 65, Reason.HOME_LOST),
        ("a" * 200 + "@7.1/order-1", Reason.HOME_LOST),
        ("a@" + "7" * 19 + ".1/order-1", Reason.HOME_LOST),
    ],
)
def test_malformed_key_is_refused(text, reason):
    assert parse_key(text).err_value is reason


def test_written_key_parses_to_the_same_key():
    key = OrderKey(HomeToken("zone@a", 7, 1), "shop-7.order~1")
    assert parse_key(str(key)).ok_value == key


def test_tokens_differ_while_the_clock_stands_still(ledger):
    assert len({ledger.mint() for _ in range(100)}) == 100


def test_token_that_was_never_minted_is_not_accepted(ledger):
    key = OrderKey(HomeToken("a", 7, 10**15), "1")
    assert ledger.begin(key, "f") == Deny(Reason.KEY_REQUIRED)


@pytest.mark.parametrize(
    "age_us, decision",
    [
        (TOKEN_LIFETIME_US, Dispatch()),
        (TOKEN_LIFETIME_US + 1, Deny(Reason.KEY_EXPIRED)),
    ],
)
def test_token_expires_by_the_clock_of_its_home(ledger, clock, age_us, decision):
    key = OrderKey(ledger.mint(), "1")
    clock.advance(age_us / 1_000_000)
    assert ledger.begin(key, "f") == decision


def test_full_ledger_refuses_new_orders_and_keeps_old_ones(ledger, monkeypatch):
    monkeypatch.setattr(ledger_module, "ENTRY_LIMIT", 1)
    old, new = (OrderKey(ledger.mint(), "1") for _ in range(2))
    assert ledger.begin(old, "f") == Dispatch()
    ledger.record_unknown(old)
    assert ledger.begin(new, "f") == Deny(Reason.LEDGER_FULL)
    assert ledger.begin(old, "f") == ledger_module.OutcomeUnknown()


def test_answers_are_stored_within_the_byte_limit(ledger, monkeypatch):
    monkeypatch.setattr(ledger_module, "TOTAL_BYTES_LIMIT", 100)
    keys = [OrderKey(ledger.mint(), "1") for _ in range(4)]
    decisions = [ledger.begin(key, "f") for key in keys[:3]]
    assert decisions == [Dispatch()] * 3
    for key in keys[:3]:
        ledger.record_ran(key, StoredAnswer(200, (), b"x" * 50))
    assert ledger.answer_bytes == 100
    assert ledger.begin(keys[2], "f") == ledger_module.AnswerNotKept()
    assert ledger.begin(keys[3], "f") == Deny(Reason.LEDGER_FULL)


def test_entries_and_bytes_are_freed_when_tokens_expire(ledger, clock):
    key = OrderKey(ledger.mint(), "1")
    ledger.begin(key, "f")
    ledger.record_ran(key, StoredAnswer(200, (), b"x" * 50))
    clock.advance(TOKEN_LIFETIME_US / 1_000_000 + 1)
    assert ledger.begin(key, "f") == Deny(Reason.KEY_EXPIRED)
    assert (len(ledger), ledger.answer_bytes) == (0, 0)


def test_running_orders_are_bounded(ledger):
    for number in range(ledger_module.RUNNING_LIMIT):
        ledger.begin(OrderKey(ledger.mint(), str(number)), "f")
    assert ledger.begin(OrderKey(ledger.mint(), "x"), "f") == Deny(Reason.OVERLOAD)


@pytest.mark.parametrize(
    "known, relayed, expected",
    [
        (None, False, NoHome(Reason.HOME_UNREACHABLE)),
        (record(7), False, RelayTo(record(7))),
        (record(6), False, RelayTo(record(6))),
        (record(8), False, NoHome(Reason.HOME_LOST)),
        (record(7), True, NoHome(Reason.HOME_LOST)),
    ],
    ids=["not in view", "same incarnation", "view lags", "replaced", "already relayed"],
)
def test_home_of_an_order(known, relayed, expected):
    key = OrderKey(HomeToken("a", 7, 1), "1")
    assert find_home(key, known, relayed) == expected
