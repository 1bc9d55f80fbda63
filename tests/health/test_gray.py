"""Failure episodes of a few seconds are noticed from the first failure on.

Guards against requests that are still sent to an upstream during an episode which is
over before the judge ejects it, and against upstreams avoided for rare errors.
"""

import random

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.health.gray import RISK_THRESHOLD, GrayEstimate


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def gray(clock):
    return GrayEstimate(clock)


def observe_results(gray, clock, results, gap_s=0.2):
    for failed in results:
        clock.advance(gap_s)
        gray.observe(failed)


def test_one_failure_puts_the_upstream_at_risk(gray, clock):
    observe_results(gray, clock, [False] * 20)
    assert gray.risk() < 0.1
    observe_results(gray, clock, [True])
    assert gray.risk() > RISK_THRESHOLD


def test_a_few_good_results_lower_the_risk(gray, clock):
    observe_results(gray, clock, [False] * 20 + [True, True])
    observe_results(gray, clock, [False] * 3)
    assert gray.risk() < RISK_THRESHOLD / 2


def test_risk_decays_without_evidence(gray, clock):
    observe_results(gray, clock, [True] * 3)
    clock.advance(10.0)
    assert gray.risk() < RISK_THRESHOLD


def test_rare_isolated_errors_seldom_put_the_upstream_at_risk(gray, clock):
    rng = random.Random(1)
    at_risk = 0
    for _ in range(2000):
        clock.advance(0.2)
        at_risk += gray.risk() > RISK_THRESHOLD
        gray.observe(rng.random() < 0.012)
    assert at_risk < 0.05 * 2000


def test_reset_discards_earlier_failures(gray, clock):
    observe_results(gray, clock, [True] * 5)
    gray.reset()
    assert gray.risk() < 0.1


@pytest.mark.parametrize("rate", [1.0, 5.0])
def test_fewer_requests_fail_than_with_a_random_choice(rate):
    """Replays episodes that fail three of four requests at 12 upstreams."""
    clock = ManualClock()
    rng = random.Random(7)
    estimates = [GrayEstimate(clock) for _ in range(12)]
    gray_until_s = [0.0] * 12
    normal_until_s = [rng.expovariate(1 / 6.3) for _ in range(12)]
    failed = {"random": 0, "estimate": 0}
    rounds = 4000
    for _ in range(rounds):
        clock.advance(1 / (12 * rate))
        now_s = clock.monotonic()
        for i in range(12):
            if now_s >= max(normal_until_s[i], gray_until_s[i]):
                gray_until_s[i] = now_s + rng.expovariate(1 / 2.7)
                normal_until_s[i] = gray_until_s[i] + rng.expovariate(1 / 6.3)
        fails = [now_s < until_s and rng.random() < 0.75 for until_s in gray_until_s]
        failed["random"] += fails[rng.randrange(12)]
        sample = rng.sample(range(12), 4)
        chosen = min(sample, key=lambda i: estimates[i].risk())
        estimates[chosen].observe(fails[chosen])
        failed["estimate"] += fails[chosen]
    assert failed["estimate"] < 0.35 * failed["random"]
