"""Record of what was sent, answered and run."""

import json
import time
from pathlib import Path


class Record:
    """Writes one JSON line for each event, with the seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self._events: list[dict] = []

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def add(self, event: str, **fields: object) -> float:
        """Write an event and return its time."""
        now_s = self.now_s()
        written = {"s": round(now_s, 3), "event": event, **fields}
        self._events.append(written)
        self._file.write(json.dumps(written) + "\n")
        self._file.flush()
        return now_s

    def events(self, event: str) -> list[dict]:
        """Return all events of one name."""
        return [written for written in self._events if written["event"] == event]

    def close(self) -> None:
        """Close the file."""
        self._file.close()
