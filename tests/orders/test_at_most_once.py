"""No interleaving runs an order twice, or runs it after it was reported as not run.

Sends may be delayed, repeated and lost, and homes may crash, freeze or be replaced
while an order is in transit. Three other schemes must fail the same property, which
shows that the steps can reach such interleavings.
"""

import importlib.util
from pathlib import Path

import pytest
from hypothesis import HealthCheck, Phase, find, given, settings
from hypothesis import strategies as st

from chicorychute.orders import ledger

spec = importlib.util.spec_from_file_location(
    "orders_world", Path(__file__).with_name("world.py")
)
world = importlib.util.module_from_spec(spec)
spec.loader.exec_module(world)

STEP_NAMES = (
    "place",
    "decide",
    "run",
    "run_without_answer",
    "refuse_at_gate",
    "refuse_early",
    "kill",
    "freeze",
    "resume",
    "leave",
    "refresh_view",
    "drop_from_view",
    "advance",
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("place", "decide") * 3 + STEP_NAMES),
        st.sampled_from(world.INSTANCES),
        st.integers(0, 11),
    ),
    min_size=40,
    max_size=60,
)
PROFILE = settings(
    max_examples=300,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


@pytest.fixture
def small_ledger(monkeypatch):
    """Lower the limits of the ledger so that a few orders reach them."""
    monkeypatch.setattr(ledger, "ENTRY_LIMIT", 2)
    monkeypatch.setattr(ledger, "RUNNING_LIMIT", 1)


@PROFILE
@given(STEPS)
def test_an_order_runs_at_most_once_and_never_after_not_run(steps):
    assert world.Model(world.HomeTokens()).play(steps).fault == ""


@PROFILE
@given(steps=STEPS)
def test_an_order_runs_at_most_once_with_a_full_ledger(small_ledger, steps):
    assert world.Model(world.HomeTokens()).play(steps).fault == ""


@pytest.mark.parametrize(
    "scheme", [world.ReusableKeys, world.HashOwner, world.NoMemory]
)
def test_the_property_fails_for_other_schemes(scheme):
    broken = find(
        STEPS,
        lambda steps: bool(world.Model(scheme()).play(steps).fault),
        settings=settings(PROFILE, max_examples=2_000, phases=[Phase.generate]),
    )
    assert broken
