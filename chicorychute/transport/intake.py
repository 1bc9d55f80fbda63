"""Assembly of a caller's request from the pieces in which it arrives.

Decides only where a request ends. Malformed heads are refused by the reader of the
head (`edge_request`), so a request that it will refuse counts as complete at once.
"""

import re
from collections.abc import Callable

import attrs

HEAD_END = b"\r\n\r\n"
MAX_CHUNK_LINE_BYTES = 1024
MAX_LENGTH_DIGITS = 18

_find_bare_newline = re.compile(rb"(?<!\r)\n").search
_find_framing_headers = re.compile(
    rb"\r\n(content-length|transfer-encoding|expect):[ \t]*([^\r\n]*)", re.IGNORECASE
).findall
_is_chunk_size = re.compile(rb"[0-9A-Fa-f]{1,16}").fullmatch


class TooLarge(Exception):
    """The body or the trailers of a request exceed the size limit."""


@attrs.frozen
class ReceivedRequest:
    """Bytes received of one request.

    Attributes
    ----------
    body_error : Exception, optional
        Why the body is incomplete: ValueError or TooLarge.
    """

    head: bytes
    body: bytes
    body_error: Exception | None


class Intake:
    """Assembles the requests of one connection from the bytes received.

    Parameters
    ----------
    max_head_bytes : int
        Size limit of a head, and of the trailers of a chunked body.
    max_body_bytes : int
        Size limit of a body.
    """

    def __init__(self, max_head_bytes: int, max_body_bytes: int):
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._unread = bytearray()
        self._reset()

    def _reset(self) -> None:
        self._head = b""
        self._body = bytearray()
        self._scanned_bytes = 0
        self._remaining_bytes = 0
        self._trailer_bytes = 0
        self._body_error: Exception | None = None
        self._step: Callable[[], bool] | None = self._read_head
        self.expects_continue = False

    @property
    def is_empty(self) -> bool:
        """Whether no byte of the next request has arrived."""
        return not self._unread and not self._head

    @property
    def ready(self) -> bool:
        """Whether the request is complete, or is going to be refused."""
        return self._step is None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes in memory."""
        return len(self._unread) + len(self._head) + len(self._body)

    def feed(self, data: bytes) -> bool:
        """Append received bytes; return whether the request is ready."""
        self._unread += data
        while self._step is not None and self._step():
            pass
        return self.ready

    def feed_eof(self) -> None:
        """End the request, as no more bytes will arrive."""
        if self.ready:
            return
        if self._step == self._read_head:
            self._finish_head(len(self._unread))
        else:
            self._body_error = ValueError("the body ended early")
        self._step = None

    def abort(self) -> None:
        """End the request early; free its body and all unread bytes."""
        self.feed_eof()
        self._body.clear()
        self._unread.clear()

    def pop_request(self) -> ReceivedRequest:
        """Return the request and start on the next one."""
        received = ReceivedRequest(self._head, bytes(self._body), self._body_error)
        self._reset()
        return received

    def _read_head(self) -> bool:
        # One empty line before a request is accepted.
        start = 2 if self._unread.startswith(b"\r\n") else 0
        end = self._unread.find(HEAD_END, max(start, self._scanned_bytes - 3))
        if end < 0:
            bare_newline = _find_bare_newline(
                self._unread, max(0, self._scanned_bytes - 1)
            )
            if bare_newline or len(self._unread) > self._max_head_bytes:
                self._finish_head(len(self._unread))
                self._step = None
            self._scanned_bytes = len(self._unread)
            return False
        self._finish_head(end + len(HEAD_END))
        self._step = self._step_after_head()
        return True

    def _finish_head(self, length: int) -> None:
        self._head = bytes(self._unread[:length])
        del self._unread[:length]

    def _step_after_head(self) -> Callable[[], bool] | None:
        """Return the step that reads the body, None if there is no body to read."""
        framing = [
            (name.lower(), value) for name, value in _find_framing_headers(self._head)
        ]
        if not framing or len(self._head) > self._max_head_bytes:
            return None
        self.expects_continue = any(
            name == b"expect" and value.lower().strip() == b"100-continue"
            for name, value in framing
        )
        match [(name, value.strip()) for name, value in framing if name != b"expect"]:
            case [(b"content-length", length)]:
                return self._step_for_content_length(length)
            case [(b"transfer-encoding", coding)] if coding.lower() == b"chunked":
                return self._read_chunk_size
        return None

    def _step_for_content_length(self, text: bytes) -> Callable[[], bool] | None:
        if not text.isdigit() or len(text) > MAX_LENGTH_DIGITS:
            return None
        self._remaining_bytes = int(text)
        return (
            self._read_sized_body
            if 0 < self._remaining_bytes <= self._max_body_bytes
            else None
        )

    def _read_sized_body(self) -> bool:
        self._move_body_bytes()
        if not self._remaining_bytes:
            self._step = None
        return False

    def _move_body_bytes(self) -> None:
        piece = self._unread[: self._remaining_bytes]
        self._body += piece
        self._remaining_bytes -= len(piece)
        del self._unread[: len(piece)]

    def _read_chunk_size(self) -> bool:
        line = self._pop_line()
        if line is None:
            return False
        text = line.partition(b";")[0].strip(b" \t")
        if not _is_chunk_size(text):
            return self._fail(ValueError("a chunk's size must be a hexadecimal number"))
        self._remaining_bytes = int(text, 16)
        if len(self._body) + self._remaining_bytes > self._max_body_bytes:
            return self._fail(TooLarge())
        self._step = self._read_chunk if self._remaining_bytes else self._read_trailer
        return True

    def _read_chunk(self) -> bool:
        self._move_body_bytes()
        if self._remaining_bytes or len(self._unread) < 2:
            return False
        if not self._unread.startswith(b"\r\n"):
            return self._fail(ValueError("a chunk must end with CRLF"))
        del self._unread[:2]
        self._step = self._read_chunk_size
        return True

    def _read_trailer(self) -> bool:
        line = self._pop_line()
        if line is None:
            return False
        self._trailer_bytes += len(line)
        if self._trailer_bytes > self._max_head_bytes:
            return self._fail(TooLarge())
        if not line:
            self._step = None
        return True

    def _pop_line(self) -> bytes | None:
        """Remove and return the next line without CRLF.

        None if the line is incomplete, or if it is malformed and the request fails.
        """
        end = self._unread.find(b"\n", 0, MAX_CHUNK_LINE_BYTES)
        if end < 0 and len(self._unread) < MAX_CHUNK_LINE_BYTES:
            return None
        if end < 1 or self._unread[end - 1 : end] != b"\r":
            self._fail(
                ValueError("a line of a chunked body is too long, or has no CRLF")
            )
            return None
        line = bytes(self._unread[: end - 1])
        del self._unread[: end + 1]
        return line

    def _fail(self, error: Exception) -> bool:
        self._body_error = error
        self._step = None
        return False
