"""Strict reading of the framing of an answer, of an upstream or the platform.

`http.client` makes the best of a malformed answer: it takes a head that ends early for
a complete one, joins a line that begins with a blank to the one before, drops lines or
the whole rest of the head where a line is no header, and does not look at what ends a
chunk. A proxy would pass the rest of such an answer on as a complete one.
"""

import io
import re
from collections.abc import Callable
from http import HTTPStatus
from http.client import HTTPException, HTTPResponse, IncompleteRead

CRLF = b"\r\n"
INTERIM_STATUSES = range(100, 200)
# A line ends with CRLF and has no other carriage return.
is_whole_line = re.compile(rb"[^\r]*\r\n").fullmatch
# The name of a header holds neither blanks nor control characters (RFC 9110, section
# 5.1). A line that begins with a blank is obsolete folding, which a sender must not
# generate and a proxy may refuse (RFC 9112, section 5.2). An empty line ends the head.
is_head_line = re.compile(rb"([\x21-\x39\x3b-\x7e]*:[^\r]*)?\r\n").fullmatch
# Bytes of a malformed line that an error quotes.
MAX_QUOTED_BYTES = 40


class MalformedAnswer(HTTPException):
    """An answer does not follow the grammar of HTTP/1.1 (RFC 9112)."""


class AnswerReader(io.BufferedReader):
    """Reader of a connection, which answers share one after the other.

    Attributes
    ----------
    keep_open : bool
        Whether the reader stays open after an answer read with it is closed.
    is_valid_line : callable, optional
        Returns whether a line has the required form; absent if any line is valid.
    """

    keep_open = True
    is_valid_line: Callable[[bytes], object] | None = None

    def close(self) -> None:
        """Close the reader, unless it must stay open for further answers."""
        if not self.keep_open:
            super().close()

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line.

        Raises
        ------
        IncompleteRead
            If a form is required and the connection ends within the line.
        MalformedAnswer
            If the line does not have the required form.
        """
        line = super().readline(size)
        if self.is_valid_line is None or self.is_valid_line(line):
            return line
        if size is not None and 0 <= size <= len(line):
            # The caller refuses a line that it has not read to its end.
            return line
        if not line.endswith(b"\n"):
            raise IncompleteRead(line)
        raise MalformedAnswer(f"malformed line {line[:MAX_QUOTED_BYTES]!r}")


class FramedResponse(HTTPResponse):
    """Answer whose head and chunks must be well-formed and complete.

    Its socket must give an `AnswerReader`.
    """

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        RemoteDisconnected
            If the connection ends before the first byte.
        IncompleteRead
            If the connection ends within the head.
        MalformedAnswer
            If the head is malformed, or the length of the body is ambiguous.
        """
        reader = self.fp
        try:
            super().begin()
        finally:
            reader.is_valid_line = None
        if self.status in INTERIM_STATUSES:
            raise MalformedAnswer(f"status {self.status} ends no request")
        encodings = self.headers.get_all("Transfer-Encoding", [])
        if encodings and [text.strip().lower() for text in encodings] != ["chunked"]:
            raise MalformedAnswer(f"Transfer-Encoding {encodings} is not supported")
        if encodings and "Content-Length" in self.headers:
            raise MalformedAnswer("the head has a Content-Length and chunks")

    def _read_status(self) -> tuple[str, int, str]:
        reader = self.fp
        # A connection that ends before the first byte is no malformed line.
        reader.is_valid_line = is_whole_line if reader.peek(1) else None
        version, status, reason = super()._read_status()
        reader.is_valid_line = is_head_line
        if status in INTERIM_STATUSES and status != HTTPStatus.SWITCHING_PROTOCOLS:
            # `begin` skips the answers with this status.
            status = HTTPStatus.CONTINUE
        return version, status, reason

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            if self._safe_read(len(CRLF)) != CRLF:
                raise MalformedAnswer("a chunk is longer than its size")
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_next_chunk_size(self) -> int:
        reader = self.fp
        reader.is_valid_line = is_whole_line
        try:
            return super()._read_next_chunk_size()
        finally:
            reader.is_valid_line = None
