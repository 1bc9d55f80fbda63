"""Reading of answers that may never end.

The timeout of a socket limits each receive alone: a server that sends one byte now and
then, or lines without end, would be read for ever. Here a whole answer has a deadline,
and what is read besides the wanted bytes of a body has a limit.
"""

import io
import math
import socket
from http.client import HTTPException

import urllib3
from urllib3.connection import HTTPConnection

from chicorychute.core.clock import Clock
from chicorychute.transport.framing import AnswerReader, FramedResponse

# Limit of a status line and headers, also of all interim answers before them.
MAX_HEAD_BYTES = 256 << 10


class AnswerTooLong(HTTPException):
    """An answer has more bytes than its reader accepts."""


class RequestInterrupted(HTTPException):
    """The server ended the connection before the request was written."""


class ReadLimits:
    """Deadline and number of bytes for what is read from a connection."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._deadline_s = math.inf
        self._waits = True
        self.allowed_bytes = 0

    def set_deadline(self, deadline_s: float) -> None:
        """Set the time on the clock after which nothing more is read."""
        self._deadline_s = deadline_s
        self._waits = True

    def allow(self, byte_count: int) -> None:
        """Replace the number of bytes that may be received from now on."""
        self.allowed_bytes = byte_count

    def stop_waiting(self) -> None:
        """Read only what has arrived, until the next deadline is set."""
        self._waits = False

    def timeout_s(self) -> float | None:
        """Return the time that the next receive may take, None for no limit.

        Raises
        ------
        TimeoutError
            If the deadline has passed.
        """
        if not self._waits:
            return 0.0
        remaining_s = self._deadline_s - self._clock.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the answer did not end before the deadline")
        return None if remaining_s == math.inf else remaining_s


class BoundedReader(io.RawIOBase):
    """Raw reader of a socket within limits.

    Raises
    ------
    TimeoutError
        While reading, if the deadline has passed.
    AnswerTooLong
        While reading, if all bytes that were allowed have been received.
    """

    def __init__(self, sock: socket.socket, limits: ReadLimits):
        self._sock = sock
        self._limits = limits
        # Keeps the descriptor open where the connection is closed before the answer
        # has been read, as after "Connection: close".
        self._file = sock.makefile("rb", buffering=0)

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: bytearray) -> int | None:
        """Receive into a buffer; return None if nothing has arrived."""
        allowed_bytes = self._limits.allowed_bytes
        if not allowed_bytes:
            raise AnswerTooLong("the answer goes on beyond the limit of its bytes")
        self._sock.settimeout(self._limits.timeout_s())
        try:
            count = self._sock.recv_into(memoryview(buffer)[:allowed_bytes])
        except BlockingIOError:
            return None
        self._limits.allow(allowed_bytes - count)
        return count

    def close(self) -> None:
        """Release the descriptor."""
        self._file.close()
        super().close()


class _BoundedBuffer(AnswerReader):
    """Reader of one answer that reserves no memory beyond a limit.

    `io.BufferedReader` reserves what a read asks for, which may be any number that the
    server declared as the size of a body or of a chunk.
    """

    keep_open = False

    def __init__(self, raw: BoundedReader, max_read_bytes: int):
        super().__init__(raw)
        self._max_read_bytes = max_read_bytes

    def read(self, size: int | None = -1) -> bytes:
        """Read `size` bytes.

        Raises
        ------
        AnswerTooLong
            If the size is above the limit.
        """
        if size is not None and size > self._max_read_bytes:
            raise AnswerTooLong(
                f"the server declared {size} bytes, the limit is {self._max_read_bytes}"
            )
        return super().read(size)


class _BoundedSocket:
    """Socket whose file objects read within the limits of its connection."""

    def __init__(self, sock: socket.socket, limits: ReadLimits, max_read_bytes: int):
        self._sock = sock
        self._limits = limits
        self._max_read_bytes = max_read_bytes

    def __getattr__(self, name: str):
        return getattr(self._sock, name)

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a reader for one answer."""
        reader = BoundedReader(self._sock, self._limits)
        return _BoundedBuffer(reader, self._max_read_bytes)


def bounded_pool_manager(
    clock: Clock, max_answer_bytes: int, **options
) -> urllib3.PoolManager:
    """Return a pool manager for requests without a body and answers that end in time.

    An answer has a well-formed head, ends by the read timeout of its call, and comes
    after its request was written.

    Parameters
    ----------
    max_answer_bytes : int
        Limit of the head and the body of an answer together.
    **options
        Arguments of `urllib3.PoolManager`.
    """

    class BoundedConnection(HTTPConnection):
        response_class = FramedResponse

        def connect(self) -> None:
            super().connect()
            self._limits = ReadLimits(clock)
            self.sock = _BoundedSocket(self.sock, self._limits, max_answer_bytes)

        def request(self, *args, **request_options) -> None:
            try:
                super().request(*args, **request_options)
            except (BrokenPipeError, ConnectionResetError) as error:
                # `urllib3` ignores these, and reads what the server has sent before.
                raise RequestInterrupted(str(error)) from error

        def getresponse(self):
            timeout_s = math.inf if self.timeout is None else self.timeout
            self._limits.set_deadline(clock.monotonic() + timeout_s)
            self._limits.allow(max_answer_bytes)
            return super().getresponse()

    class BoundedPool(urllib3.HTTPConnectionPool):
        ConnectionCls = BoundedConnection

    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": BoundedPool}
    return manager
