"""Strict reading of the framing of an upstream's answer.

`http.client` makes the best of a malformed answer: it takes a head that ends early for
a complete one, joins a line that begins with a blank to the one before, drops lines or
the whole rest of the head where a line is no header, and does not look at what ends a
chunk. A proxy would pass the rest on as a complete answer.
"""

import enum
import io
import re
from http import HTTPStatus
from http.client import HTTPException, HTTPResponse, IncompleteRead

CRLF = b"\r\n"
INTERIM_STATUSES = range(100, 200)
# A name holds neither blanks nor control characters (RFC 9110, section 5.1). A line
# that begins with a blank is obsolete folding, which a sender must not generate and a
# proxy may refuse (RFC 9112, section 5.2).
starts_with_field_name = re.compile(rb"[\x21-\x39\x3b-\x7e]*:").match
# Bytes of a malformed line that an error quotes.
MAX_QUOTED_BYTES = 40


class MalformedAnswer(HTTPException):
    """An answer does not follow the grammar of HTTP/1.1 (RFC 9112)."""


class LineForm(enum.Enum):
    """Form that a line must have."""

    ANY = "any"
    # Ends with CRLF and has no other carriage return.
    WHOLE = "whole"
    # Whole, and either empty or a header.
    FIELD = "field"


class AnswerReader(io.BufferedReader):
    """Reader of a connection, which answers share one after the other.

    Attributes
    ----------
    keep_open : bool
        Whether the reader stays open after an answer read with it is closed.
    line_form : LineForm
        Form that each line must have.
    """

    keep_open = True
    line_form = LineForm.ANY

    def close(self) -> None:
        """Close the reader, unless it must stay open for further answers."""
        if not self.keep_open:
            super().close()

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line.

        Raises
        ------
        IncompleteRead
            If whole lines are required and the connection ends within the line.
        MalformedAnswer
            If the line does not have the required form.
        """
        line = super().readline(size)
        is_cut_by_size = size is not None and 0 <= size <= len(line)
        if self.line_form is LineForm.ANY or is_cut_by_size:
            return line
        if not line.endswith(b"\n"):
            raise IncompleteRead(line)
        if not line.endswith(CRLF) or b"\r" in line[: -len(CRLF)]:
            raise MalformedAnswer("a line must end with CRLF and hold no other CR")
        is_field = line == CRLF or starts_with_field_name(line)
        if self.line_form is LineForm.FIELD and not is_field:
            quoted = line[:MAX_QUOTED_BYTES]
            raise MalformedAnswer(f"the head has a line that is no header: {quoted!r}")
        return line


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
            reader.line_form = LineForm.ANY
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
        reader.line_form = LineForm.WHOLE if reader.peek(1) else LineForm.ANY
        version, status, reason = super()._read_status()
        reader.line_form = LineForm.FIELD
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
        reader.line_form = LineForm.WHOLE
        try:
            return super()._read_next_chunk_size()
        finally:
            reader.line_form = LineForm.ANY
