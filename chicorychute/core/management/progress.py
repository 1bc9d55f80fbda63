"""Shows on a terminal that a long command is still running."""

import contextlib
import itertools
import sys
import threading
from collections.abc import Iterator

REFRESH_INTERVAL_S = 1.0
CLEAR_LINE = "\r\x1b[K"


@contextlib.contextmanager
def progress(command_name: str) -> Iterator[None]:
    """Rewrite one line of standard error each second, if it is a terminal."""
    if not sys.stderr.isatty():
        yield
        return
    finished = threading.Event()
    thread = threading.Thread(
        target=_rewrite_line, args=(command_name, finished), daemon=True
    )
    thread.start()
    try:
        yield
    finally:
        finished.set()
        thread.join()
        sys.stderr.write(CLEAR_LINE)
        sys.stderr.flush()


def _rewrite_line(command_name: str, finished: threading.Event) -> None:
    for second in itertools.count():
        sys.stderr.write(f"{CLEAR_LINE}{command_name}: at work for {second} s")
        sys.stderr.flush()
        if finished.wait(REFRESH_INTERVAL_S):
            return
