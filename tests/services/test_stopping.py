"""Signals that arrive while the main thread holds a lock."""

import signal
import threading

from chicorychute.services.stopping import StopSignals

WAIT_S = 60.0


def test_handler_that_interrupts_a_waiting_thread_does_not_lock_up():
    lock = threading.Lock()
    delivered = threading.Semaphore(0)

    def act():
        with lock:  # as the lock inside an event that the main thread waits on
            delivered.release()

    signals = StopSignals(act)
    signals.start()
    with lock:
        signals.handle(signal.SIGTERM, None)
        signals.handle(signal.SIGTERM, None)
    assert delivered.acquire(timeout=WAIT_S)
    assert delivered.acquire(timeout=WAIT_S), "the second signal was lost"
