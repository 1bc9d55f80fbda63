"""Record of what a case sent, answered and ran."""

import threading
import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start of the case.

    Parameters
    ----------
    path : Path
        File to write; an existing one is replaced.
    """

    def __init__(self, path: Path):
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, who: str, event: str) -> float:
        """Write a line; return its time in seconds since the start."""
        with self._lock:
            now_s = self.now_s()
            self._file.write(f"{now_s:9.3f} s  {who}: {event}\n")
            self._file.flush()
        return now_s
