"""Writes log lines on a separate thread, so no request waits for the log reader."""

import threading
from collections import deque
from typing import TextIO

# About 1 MB: bounds the memory used while the log reader does not read.
MAX_BUFFERED_LINES = 4000
LEFT_OUT_NOTICE = '{"event": "log: lines were left out", "count": %d}'


class LineWriter:
    """Bounded buffer of lines in front of a stream.

    Lines that arrive while the buffer is full are dropped and counted. The count is
    written as one line once the stream accepts lines again.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_BUFFERED_LINES):
        self._stream = stream
        self._max_lines = max_lines
        self._changed = threading.Condition()
        self._lines: deque[str] = deque()
        self._writing = False
        self.left_out_count = 0
        self._reported_left_out_count = 0
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def msg(self, line: str) -> None:
        """Enqueue a line without waiting for the stream."""
        with self._changed:
            if len(self._lines) >= self._max_lines:
                self.left_out_count += 1
                return
            self._lines.append(line)
            self._changed.notify()

    log = debug = info = warning = error = critical = exception = msg

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written or `timeout_s` has passed."""
        with self._changed:
            self._changed.wait_for(
                lambda: not (self._lines or self._writing), timeout_s
            )

    def _run(self) -> None:
        while True:
            with self._changed:
                self._writing = False
                self._changed.notify_all()
                self._changed.wait_for(lambda: self._lines)
                lines = list(self._lines)
                self._lines.clear()
                self._writing = True
                unreported_count = self.left_out_count - self._reported_left_out_count
            notices = [LEFT_OUT_NOTICE % unreported_count] if unreported_count else []
            try:
                self._stream.write("\n".join(lines + notices) + "\n")
                self._stream.flush()
                self._reported_left_out_count += unreported_count
            except (OSError, ValueError):
                with self._changed:
                    self.left_out_count += len(lines)
