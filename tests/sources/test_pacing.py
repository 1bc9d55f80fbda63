"""Reads of the platform stay bounded while a whole fleet restarts.

Guards against bursts of reads from daemons that start at the same time or retry
without backoff, while the store is down or flaps.
"""

import random

from chicorychute.core.clock import ManualClock
from chicorychute.sources.pacing import MAX_PAUSE_S, ReadPace

TICK_S = 0.1
CURRENT_DAEMONS = 24
CURRENT_MAX_READS_PER_S = 200
TARGET_DAEMONS = 4_200
TARGET_MAX_READS_PER_S = 2_000


def peak_reads_per_s(daemons, spread_s, is_up, seconds):
    """Return the most reads in a second by daemons that all start at the same time.

    Each is a reader. A daemon has two such paces, of the list and of the table.
    """
    clock = ManualClock()
    rng = random.Random(3)
    paces = [ReadPace(5.0, spread_s, clock, rng) for _ in range(daemons)]
    reads = []
    for tick in range(int(seconds / TICK_S)):
        now_s = clock.monotonic()
        for pace in paces:
            if pace.due():
                reads.append(now_s)
                if is_up(tick):
                    pace.record_success()
                else:
                    pace.record_failure()
        clock.advance(TICK_S)
    counts = [0] * (int(seconds) + 1)
    for at_s in reads:
        counts[int(at_s)] += 1
    return max(counts)


def test_current_fleet_restarting_while_the_store_flaps():
    flapping = lambda tick: tick // 13 % 2 == 0  # noqa: E731
    assert (
        2 * peak_reads_per_s(CURRENT_DAEMONS, 1.0, flapping, 60)
        < CURRENT_MAX_READS_PER_S
    )


def test_target_fleet_restarting_while_the_store_is_down():
    down = lambda tick: False  # noqa: E731
    assert 2 * peak_reads_per_s(TARGET_DAEMONS, 20.0, down, 60) < TARGET_MAX_READS_PER_S


def test_pause_grows_to_its_limit_and_resets_after_a_success():
    clock = ManualClock()
    pace = ReadPace(5.0, 0.0, clock, random.Random(1))
    for _ in range(20):
        pace.record_failure()
    clock.advance(MAX_PAUSE_S / 2 - 0.1)
    assert not pace.due()
    clock.advance(MAX_PAUSE_S)
    assert pace.due()
    pace.record_success()
    pace.record_failure()
    clock.advance(1.0)
    assert pace.due()
