"""The log writer must neither block callers nor use unbounded memory.

Both would happen if the process that reads standard output stopped reading.
"""

import threading

from chicorychute.telemetry.writer import LineWriter

WAIT_S = 20.0


class GatedStream:
    """Stream whose writes block until it is opened."""

    def __init__(self):
        self.is_open = threading.Event()
        self.lines = []

    def write(self, text):
        assert self.is_open.wait(WAIT_S)
        self.lines.extend(text.splitlines())

    def flush(self):
        pass


def test_lines_beyond_the_limit_are_counted_and_reported():
    stream = GatedStream()
    writer = LineWriter(stream, max_lines=100)
    for number in range(1000):
        writer.msg(f"line {number}")
    left_out_count = writer.left_out_count
    assert left_out_count >= 1000 - 2 * 100
    stream.is_open.set()
    writer.flush(WAIT_S)
    writer.msg("last")
    writer.flush(WAIT_S)
    notices = [line for line in stream.lines if "were left out" in line]
    assert len(notices) == 1
    assert f'"count": {left_out_count}' in notices[0]
    assert stream.lines[0] == "line 0"
    assert "last" in stream.lines


def test_lines_keep_their_order():
    stream = GatedStream()
    stream.is_open.set()
    writer = LineWriter(stream)
    for number in range(500):
        writer.msg(str(number))
    writer.flush(WAIT_S)
    assert stream.lines == [str(number) for number in range(500)]


def test_broken_stream_does_not_fail_the_caller():
    class BrokenStream(GatedStream):
        def write(self, text):
            raise BrokenPipeError

    writer = LineWriter(BrokenStream())
    writer.msg("a")
    writer.flush(WAIT_S)
    writer.msg("b")
    writer.flush(WAIT_S)
    assert writer.left_out_count == 2
