"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio

import attrs

MAX_HEAD_BYTES = 64 << 10


@attrs.frozen
class Message:
    """A request or an answer.

    Attributes
    ----------
    start_line : tuple of str
        The three parts of the request line or the status line.
    header_by_name : dict
        Values by name in lower case.
    """

    start_line: tuple[str, str, str]
    header_by_name: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start_line[1])


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[tuple[str, str, str], dict[str, str]]:
    """Read a start line and the headers.

    Raises
    ------
    asyncio.IncompleteReadError
        If the connection ends before the head does.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    parts = lines[0].split(" ", 2)
    first, second, third = (*parts, "", "")[:3]
    header_by_name = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        header_by_name[name.strip().lower()] = value.strip()
    return (first, second, third), header_by_name


async def read_body(
    reader: asyncio.StreamReader, header_by_name: dict[str, str], to_end: bool = False
) -> bytes:
    """Read the body that the headers announce.

    Parameters
    ----------
    to_end : bool
        Whether a body without a length ends with its connection.
    """
    if header_by_name.get("transfer-encoding", "").lower() == "chunked":
        return await _read_chunks(reader)
    if "content-length" in header_by_name:
        return await reader.readexactly(int(header_by_name["content-length"]))
    return await reader.read() if to_end else b""


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return bytes(body)
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_message(reader: asyncio.StreamReader, is_answer: bool) -> Message:
    """Read a complete message."""
    start_line, header_by_name = await read_head(reader)
    body = await read_body(reader, header_by_name, to_end=is_answer)
    return Message(start_line, header_by_name, body)


def render(start_line: str, header_by_name: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start_line, *(f"{n}: {v}" for n, v in header_by_name.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
