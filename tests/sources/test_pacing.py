"""Reads of the platform stay bounded, also while it flaps."""

import random

from chicorychute.core.clock import ManualClock
from chicorychute.sources.pacing import LONGEST_PAUSE_S, ReadPace

TICK_S = 0.1
TODAY = 24
TODAY_BOUND = 200
TARGET = 4_200
TARGET_BOUND = 2_000


def most_in_a_second(daemons, spread_s, answers, seconds):
    """Count the reads of daemons that all start at once, each a reader."""
    clock = ManualClock()
    rng = random.Random(3)
    paces = [ReadPace(5.0, spread_s, clock, rng) for _ in range(daemons)]
    reads = []
    for tick in range(int(seconds / TICK_S)):
        now_s = clock.monotonic()
        for pace in paces:
            if pace.due():
                reads.append(now_s)
                if answers(tick):
                    pace.succeeded()
                else:
                    pace.failed()
        clock.advance(TICK_S)
    counts = [0] * (int(seconds) + 1)
    for at_s in reads:
        counts[int(at_s)] += 1
    return max(counts)


def test_all_of_today_restarting_while_the_store_flaps():
    flapping = lambda tick: tick // 13 % 2 == 0  # noqa: E731
    assert 2 * most_in_a_second(TODAY, 1.0, flapping, 60) < TODAY_BOUND


def test_all_of_the_target_restarting_while_the_store_is_down():
    down = lambda tick: False  # noqa: E731
    assert 2 * most_in_a_second(TARGET, 20.0, down, 60) < TARGET_BOUND


def test_pause_grows_to_its_limit_and_starts_again_after_an_answer():
    clock = ManualClock()
    pace = ReadPace(5.0, 0.0, clock, random.Random(1))
    for _ in range(20):
        pace.failed()
    clock.advance(LONGEST_PAUSE_S / 2 - 0.1)
    assert not pace.due()
    clock.advance(LONGEST_PAUSE_S)
    assert pace.due()
    pace.succeeded()
    pace.failed()
    clock.advance(1.0)
    assert pace.due()
