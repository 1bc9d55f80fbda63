"""Minimal HTTP/1.1 over sockets, for the stand-ins of clients and backends."""

import socket

import attrs

READ_BYTES = 64 << 10


class Closed(Exception):
    """The other side closed or reset the connection within a message."""


@attrs.frozen
class Head:
    """Start line and headers of a message, header names in lower case."""

    start: str
    value_by_name: dict[str, str]


@attrs.frozen
class ClientAnswer:
    """How a client's request ended.

    Attributes
    ----------
    status : int
        0 if no head came.
    whole : bool
        Whether the answer is complete by its framing.
    """

    status: int
    value_by_name: dict[str, str]
    body: bytes
    whole: bool
    detail: str = ""


class Reader:
    """Reads messages from a socket."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._unread = b""

    def _receive(self) -> bool:
        data = self._sock.recv(READ_BYTES)
        self._unread += data
        return bool(data)

    def head(self) -> Head | None:
        """Return the next head, None if the connection closes before its first byte."""
        while b"\r\n\r\n" not in self._unread:
            if not self._receive():
                if self._unread:
                    raise Closed("closed within a head")
                return None
        text, _, self._unread = self._unread.partition(b"\r\n\r\n")
        start, *lines = text.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        return Head(start, {n.strip().lower(): v.strip() for n, _, v in pairs})

    def exactly(self, size: int) -> bytes:
        """Return `size` bytes."""
        while len(self._unread) < size:
            if not self._receive():
                raise Closed(f"{len(self._unread)} of {size} bytes came")
        data, self._unread = self._unread[:size], self._unread[size:]
        return data

    def chunked(self) -> bytes:
        """Return a chunked body."""
        body = b""
        while True:
            while b"\r\n" not in self._unread:
                if not self._receive():
                    raise Closed("closed before a chunk")
            line, _, self._unread = self._unread.partition(b"\r\n")
            size = int(line.partition(b";")[0], 16)
            body += self.exactly(size + 2)[:-2]
            if not size:
                return body

    def to_end(self) -> bytes:
        """Return everything up to the end of the connection."""
        while self._receive():
            pass
        data, self._unread = self._unread, b""
        return data

    def body_of_request(self, head: Head) -> bytes:
        """Return the body of a request."""
        if "chunked" in head.value_by_name.get("transfer-encoding", ""):
            return self.chunked()
        return self.exactly(int(head.value_by_name.get("content-length", "0")))


def read_answer(sock: socket.socket, method: str) -> ClientAnswer:
    """Read one answer from a client's connection."""
    reader = Reader(sock)
    status, headers, body = 0, {}, b""
    try:
        head = reader.head()
        if head is None:
            return ClientAnswer(0, {}, b"", False, "closed without an answer")
        status, headers = int(head.start.split()[1]), head.value_by_name
        if method == "HEAD" or status in (204, 304):
            pass
        elif "chunked" in headers.get("transfer-encoding", ""):
            body = reader.chunked()
        elif "content-length" in headers:
            body = reader.exactly(int(headers["content-length"]))
        else:
            body = reader.to_end()
    except (Closed, OSError) as error:
        detail = f"{type(error).__name__}: {error}"
        return ClientAnswer(status, headers, body, False, detail)
    return ClientAnswer(status, headers, body, True)


def request_bytes(
    method: str, path: str, header_by_name: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a request with the length of its body."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in header_by_name.items()]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
