"""Requests are assembled alike, however their bytes are split into pieces.

TCP may deliver a request in any pieces. Guards against a request whose end, body or
error depends on them, and against buffers that grow without bound.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorychute.transport.intake import Intake, TooLarge

HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"
SIZED = HEAD + b"content-length:  5 \r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: Chunked\r\n\r\n"
MAX_HEAD_BYTES = 200
MAX_BODY_BYTES = 50

# Values: bytes, body, type of the body's error, bytes that follow and must
# be kept for the next request (None where that is not checked).
REQUESTS = {
    "no-body": (HEAD + b"\r\n", b"", None, b"GET"),
    "empty-line-first": (b"\r\n" + HEAD + b"\r\n", b"", None, b""),
    "sized": (SIZED + b"abcde", b"abcde", None, b"next"),
    "length-zero": (HEAD + b"Content-Length: 0\r\n\r\n", b"", None, b"next"),
    "chunked": (
        CHUNKED + b"3\r\nabc\r\n02;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n",
        b"abcde",
        None,
        b"GET / HTTP/1.1",
    ),
    "chunk-size": (CHUNKED + b"0x2\r\n", b"", ValueError, b""),
    "chunk-sign": (CHUNKED + b"-2\r\n", b"", ValueError, b""),
    "chunk-end": (CHUNKED + b"2\r\nabcd", b"ab", ValueError, None),
    "chunk-newline": (CHUNKED + b"2\n", b"", ValueError, None),
    "chunk-line": (CHUNKED + b"2;" + b"x" * 1100, b"", ValueError, None),
    "chunks-large": (CHUNKED + b"33\r\n", b"", TooLarge, b""),
    "trailers": (CHUNKED + b"0\r\n" + b"T: 1\r\n" * 60, b"", TooLarge, None),
    "claim-large": (HEAD + b"Content-Length: 51\r\n\r\n", b"", None, b""),
    "claim-huge": (HEAD + b"Content-Length: %s\r\n\r\n" % (b"9" * 90), b"", None, b""),
    "two-lengths": (
        HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
        b"",
        None,
        b"",
    ),
    "bare-newline": (b"GET /a HTTP/1.1\nHost: a\n", b"", None, None),
    "head-large": (b"x" * 300, b"", None, None),
}


def feed_pieces(intake, data, cuts):
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    for start, end in zip(bounds, bounds[1:], strict=False):
        intake.feed(data[start:end])


@pytest.mark.parametrize("name", REQUESTS)
@given(cuts=st.lists(st.integers(0, 2000), max_size=12))
def test_request_does_not_depend_on_how_its_bytes_are_split(name, cuts):
    data, body, error_type, rest = REQUESTS[name]
    intake = Intake(MAX_HEAD_BYTES, MAX_BODY_BYTES)
    feed_pieces(intake, data + (rest or b""), cuts)
    assert intake.ready
    received = intake.pop_request()
    assert (received.body, type(received.body_error)) == (
        body,
        error_type or type(None),
    )
    assert data.startswith(received.head)
    if rest is not None:
        assert intake.buffered_bytes == len(rest)


@given(data=st.binary(max_size=400), cuts=st.lists(st.integers(0, 400), max_size=5))
def test_buffered_bytes_are_bounded_for_any_input(data, cuts):
    intake = Intake(MAX_HEAD_BYTES, MAX_BODY_BYTES)
    for start in (b"", SIZED, CHUNKED):
        feed_pieces(intake, start + data, cuts)
        intake.feed_eof()
        intake.abort()
        assert intake.ready
        assert intake.buffered_bytes <= MAX_HEAD_BYTES + len(start) + len(data)
        intake.pop_request()


@pytest.mark.parametrize("data", [HEAD, SIZED + b"ab", CHUNKED + b"3\r\na"])
def test_aborted_request_is_ready_and_its_body_is_freed(data):
    intake = Intake(MAX_HEAD_BYTES, MAX_BODY_BYTES)
    assert not intake.feed(data)
    intake.abort()
    assert intake.ready
    assert intake.buffered_bytes <= len(data)
    assert intake.pop_request().body == b""
