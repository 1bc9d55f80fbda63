"""Writes log lines on a thread of its own, so that no request waits for a reader."""

import threading
from collections import deque
from typing import TextIO

MAX_BUFFERED_LINES = 4000  # about 1 MB; a reader that stops costs no more
LEFT_OUT_NOTICE = '{"event": "log: lines were left out", "count": %d}'


class LineWriter:
    """Bounded buffer of lines in front of a stream.

    What comes while the buffer is full is counted, and told in one line once the
    stream takes lines again.
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
        """Take a line; never waits for the stream."""
        with self._changed:
            if len(self._lines) >= self._max_lines:
                self.left_out_count += 1
                return
            self._lines.append(line)
            self._changed.notify()

    log = debug = info = warning = error = critical = exception = msg

    def flush(self, timeout_s: float) -> None:
        """Wait until every line is written, at most for `timeout_s`."""
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
