"""Signals that arrive while the main thread holds a lock, or on another thread."""

import signal
import subprocess
import sys
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
        signals.note(signal.SIGTERM)
        signals.note(signal.SIGTERM)
    assert delivered.acquire(timeout=WAIT_S)
    assert delivered.acquire(timeout=WAIT_S), "the second signal was lost"


# The system may give a signal to any thread; here one sends it to itself.
ON_ANOTHER_THREAD = """
import signal, threading, time
from chicorychute.services.stopping import StopSignals
asked = threading.Event()
StopSignals(asked.set).listen()
def signal_itself():
    time.sleep(0.5)  # the main thread waits by now
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(3600)
threading.Thread(target=signal_itself, daemon=True).start()
asked.wait()
print("asked to stop")
"""


def test_signal_that_another_thread_got_is_acted_on_while_the_main_one_waits():
    found = subprocess.run(
        [sys.executable, "-c", ON_ANOTHER_THREAD],
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )
    assert found.stdout == "asked to stop\n"
