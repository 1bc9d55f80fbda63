"""Tasks of a ticker, on a clock that only the test advances.

Guards against tasks that are called too often, too late or not at all, and against
needless wake-ups.
"""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.services.ticker import IDLE_PAUSE_S, Task, Ticker

FAST_S = 0.05
SLOW_S = 0.1


def drive(ticker, clock, seconds):
    """Run due tasks as the thread does; return the number of wake-ups."""
    end_s = clock.monotonic() + seconds
    wake_ups = 0
    while clock.monotonic() < end_s:
        clock.advance(ticker.run_due_tasks())
        wake_ups += 1
    return wake_ups


def test_tasks_share_wake_ups_and_keep_their_pace():
    clock = ManualClock()
    calls = []
    tasks = [
        Task("fast", FAST_S, lambda: calls.append("fast")),
        Task("slow", SLOW_S, lambda: calls.append("slow")),
        Task("rare", 1.0, lambda: calls.append("rare")),
    ]
    wake_ups = drive(Ticker("test", tasks, clock), clock, 10.0)
    assert wake_ups == pytest.approx(10 / FAST_S, abs=2)
    assert calls.count("fast") == wake_ups
    assert calls.count("slow") == pytest.approx(10 / SLOW_S, abs=2)
    assert calls.count("rare") == pytest.approx(10, abs=1)


def test_an_idle_daemon_wakes_less_often():
    clock = ManualClock()
    tasks = [Task("fast", FAST_S, lambda: None)]
    wake_ups = drive(Ticker("test", tasks, clock, lambda: True), clock, 10.0)
    assert wake_ups == pytest.approx(10 / IDLE_PAUSE_S, abs=1)


def test_task_with_its_own_pause_is_not_called_before_it_is_due():
    clock = ManualClock()
    calls_s = []
    task = Task("read", SLOW_S, lambda: calls_s.append(clock.monotonic()), lambda: 2.5)
    drive(Ticker("test", [task], clock), clock, 6.0)
    assert calls_s == [0.0, 2.5, 5.0]


def test_task_due_long_ago_is_called_at_its_interval():
    clock = ManualClock()
    calls_s = []
    task = Task("read", SLOW_S, lambda: calls_s.append(clock.monotonic()), lambda: -3.0)
    drive(Ticker("test", [task], clock), clock, 1.0)
    assert len(calls_s) == pytest.approx(1.0 / SLOW_S, abs=1)


def test_task_that_fails_delays_no_other():
    clock = ManualClock()
    calls = []

    def fail():
        raise ValueError("broken")

    tasks = [Task("bad", FAST_S, fail), Task("good", FAST_S, lambda: calls.append(1))]
    wake_ups = drive(Ticker("test", tasks, clock), clock, 1.0)
    assert len(calls) == wake_ups > 1
