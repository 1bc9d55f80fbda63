"""Requests are assembled alike, however their bytes are cut into pieces."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorychute.transport.intake import Intake, TooLarge

HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"
SIZED = HEAD + b"content-length:  5 \r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: Chunked\r\n\r\n"
MAX_HEAD = 200
MAX_BODY = 50

# name: bytes, body, kind of fault, bytes left for the next request
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


def feed(intake, data, cuts):
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        intake.feed(data[start:end])


@pytest.mark.parametrize("name", REQUESTS)
@given(cuts=st.lists(st.integers(0, 2000), max_size=12))
def test_any_pieces_give_the_same_request(name, cuts):
    data, body, fault, rest = REQUESTS[name]
    intake = Intake(MAX_HEAD, MAX_BODY)
    feed(intake, data + (rest or b""), cuts)
    assert intake.ready
    arrived = intake.take()
    assert (arrived.body, type(arrived.fault)) == (body, fault or type(None))
    assert data.startswith(arrived.head)
    if rest is not None:
        assert intake.held == len(rest)


@given(data=st.binary(max_size=400), cuts=st.lists(st.integers(0, 400), max_size=5))
def test_what_is_held_of_any_bytes_is_bounded(data, cuts):
    intake = Intake(MAX_HEAD, MAX_BODY)
    for start in (b"", SIZED, CHUNKED):
        feed(intake, start + data, cuts)
        intake.end()
        intake.cut()
        assert intake.ready
        assert intake.held <= MAX_HEAD + len(start) + len(data)
        intake.take()


@pytest.mark.parametrize("data", [HEAD, SIZED + b"ab", CHUNKED + b"3\r\na"])
def test_what_is_cut_short_is_handed_over_and_its_body_freed(data):
    intake = Intake(MAX_HEAD, MAX_BODY)
    assert not intake.feed(data)
    intake.cut()
    assert intake.ready
    assert intake.held <= len(data)
    assert intake.take().body == b""
