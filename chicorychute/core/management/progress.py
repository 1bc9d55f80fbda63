"""Shows on a terminal that a long command is at work."""

import contextlib
import itertools
import sys
import threading
from collections.abc import Iterator

PERIOD_S = 1.0
CLEAR_LINE = "\r\x1b[K"


@contextlib.contextmanager
def progress(work: str) -> Iterator[None]:
    """Rewrite one line of standard error each second, if that is a terminal."""
    if not sys.stderr.isatty():
        yield
        return
    ended = threading.Event()
    shower = threading.Thread(target=_show, args=(work, ended), daemon=True)
    shower.start()
    try:
        yield
    finally:
        ended.set()
        shower.join()
        sys.stderr.write(CLEAR_LINE)
        sys.stderr.flush()


def _show(work: str, ended: threading.Event) -> None:
    for second in itertools.count():
        sys.stderr.write(f"{CLEAR_LINE}{work}: at work for {second} s")
        sys.stderr.flush()
        if ended.wait(PERIOD_S):
            return
