import queue
import threading

from chicorychute.core.workers import WorkerPool

RESULT_TIMEOUT_S = 20.0


def test_every_run_runs_once_whatever_the_number_of_threads():
    pool = WorkerPool("w", 3)
    results = queue.SimpleQueue()
    for number in range(200):
        pool.submit(lambda number=number: results.put(number))
    assert sorted(results.get(timeout=RESULT_TIMEOUT_S) for _ in range(200)) == list(
        range(200)
    )
    assert pool.started <= 3


def test_runs_that_block_do_not_hold_up_others_while_threads_are_left():
    pool = WorkerPool("w", 4)
    release = threading.Event()
    results = queue.SimpleQueue()
    for _ in range(3):
        pool.submit(release.wait)
    pool.submit(lambda: results.put("through"))
    assert results.get(timeout=RESULT_TIMEOUT_S) == "through"
    release.set()


def test_a_run_that_raises_does_not_end_its_thread():
    pool = WorkerPool("w", 1)
    results = queue.SimpleQueue()
    pool.submit(lambda: 1 / 0)
    pool.submit(lambda: results.put("next"))
    assert results.get(timeout=RESULT_TIMEOUT_S) == "next"
