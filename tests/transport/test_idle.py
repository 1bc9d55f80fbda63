"""A job goes to the thread that was busy last, and every job is done."""

import queue
import threading
import time

import pytest

from chicorychute.transport.idle import wake_last_idle

PATIENCE_S = 20.0
THREADS = 5


@pytest.fixture
def jobs():
    jobs = queue.Queue()
    wake_last_idle(jobs)
    return jobs


@pytest.fixture
def done(jobs):
    """Start threads that wait in order; returns what they put there when woken."""
    done = queue.Queue()

    def work(name):
        while (job := jobs.get(timeout=PATIENCE_S)) is not None:
            done.put((name, job))
            job.wait(PATIENCE_S)

    threads = []
    for name in range(THREADS):
        threads.append(threading.Thread(target=work, args=(name,)))
        threads[-1].start()
        while len(jobs.not_empty._waiters) <= name:
            time.sleep(0.001)
    yield done
    for _ in threads:
        jobs.put(None)
    for thread in threads:
        thread.join(PATIENCE_S)
        assert not thread.is_alive()


def test_last_idle_thread_is_woken_first(jobs, done):
    holds = [threading.Event() for _ in range(THREADS)]
    woken = []
    for hold in holds:
        jobs.put(hold)
        woken.append(done.get(timeout=PATIENCE_S))
    assert woken == [(THREADS - 1 - n, hold) for n, hold in enumerate(holds)]
    jobs.put(more := threading.Event())
    holds[2].set()
    assert done.get(timeout=PATIENCE_S) == (THREADS - 3, more)
    for hold in (*holds, more):
        hold.set()
