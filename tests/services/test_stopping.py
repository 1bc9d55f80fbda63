"""Signals that arrive while the main thread holds a lock, or on another thread.

A handler on the main thread would deadlock in the first case, and would not run in the
second while that thread waits.
"""

import signal
import subprocess
import sys
import threading

from chicorychute.services.stopping import StopSignals

WAIT_S = 60.0


def test_signal_while_the_main_thread_holds_a_lock_does_not_deadlock():
    lock = threading.Lock()
    delivered = threading.Semaphore(0)

    def acquire_lock():
        # Stands for the lock inside the event that the main thread waits on.
        with lock:
            delivered.release()

    signals = StopSignals(acquire_lock)
    signals.start()
    with lock:
        signals.enqueue(signal.SIGTERM)
        signals.enqueue(signal.SIGTERM)
    assert delivered.acquire(timeout=WAIT_S)
    assert delivered.acquire(timeout=WAIT_S), "the second signal was lost"


# The system may deliver a signal to any thread; here a thread sends it to itself.
ON_ANOTHER_THREAD = """
import signal, threading, time
from chicorychute.services.stopping import StopSignals
asked = threading.Event()
StopSignals(asked.set).listen()
def signal_itself():
    time.sleep(0.5)  # By then the main thread waits.
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(3600)
threading.Thread(target=signal_itself, daemon=True).start()
asked.wait()
print("asked to stop")
"""


def test_signal_to_another_thread_is_handled_while_the_main_thread_waits():
    process = subprocess.run(
        [sys.executable, "-c", ON_ANOTHER_THREAD],
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )
    assert process.stdout == "asked to stop\n"
