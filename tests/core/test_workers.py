"""Guards against tasks that the worker pool loses, runs twice or delays.

That happens when a task is submitted while all threads are busy, when a task
blocks its thread, or when it raises an exception that ends the thread.
"""

import queue
import threading

from chicorychute.core.workers import WorkerPool

RESULT_TIMEOUT_S = 20.0


def test_every_task_runs_once_with_fewer_threads_than_tasks():
    pool = WorkerPool("w", 3)
    results = queue.SimpleQueue()
    for number in range(200):
        pool.submit(lambda number=number: results.put(number))
    assert sorted(results.get(timeout=RESULT_TIMEOUT_S) for _ in range(200)) == list(
        range(200)
    )
    assert pool.started <= 3


def test_blocked_tasks_do_not_delay_others_below_the_thread_limit():
    pool = WorkerPool("w", 4)
    release = threading.Event()
    results = queue.SimpleQueue()
    for _ in range(3):
        pool.submit(release.wait)
    pool.submit(lambda: results.put("not delayed"))
    assert results.get(timeout=RESULT_TIMEOUT_S) == "not delayed"
    release.set()


def test_exception_in_a_task_does_not_end_its_thread():
    pool = WorkerPool("w", 1)
    results = queue.SimpleQueue()
    pool.submit(lambda: 1 / 0)
    pool.submit(lambda: results.put("next"))
    assert results.get(timeout=RESULT_TIMEOUT_S) == "next"
