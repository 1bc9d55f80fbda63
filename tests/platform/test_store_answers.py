"""Broken answers of the platform's store, and of a platform over HTTP.

Guards against an answer that is taken for one although its head is malformed, or the
connection was reset.
"""

import json

import pytest
from result import Err, Ok

from chicorychute.core.system_clock import SystemClock
from chicorychute.platform.store import StoreClient
from chicorychute.sources.http import HttpPlatform
from tests.transport.scripted_server import ScriptedServer

BODY_BY_SOURCE = {
    "store": json.dumps({"current_rev": 7, "events": []}).encode(),
    "http": b"[]",
}
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


@pytest.fixture
def server():
    running = ScriptedServer()
    yield running
    running.close()


@pytest.fixture(params=BODY_BY_SOURCE)
def source(request):
    return request.param


def read(source, port):
    url = f"http://127.0.0.1:{port}"
    if source == "store":
        return StoreClient(url, SystemClock()).watch("servers/", 1, 0.0)
    return HttpPlatform(url, SystemClock()).read_instances()


def with_length(source, head=HEAD):
    body = BODY_BY_SOURCE[source]
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def test_sound_answer_is_read(server, source):
    server.scripts = [[with_length(source)]]
    assert isinstance(read(source, server.port), Ok)


@pytest.mark.parametrize("status", [b"000 OK", b"000"])
def test_answer_with_status_000_is_an_error(server, source, status):
    server.scripts = [[with_length(source).replace(b"200 OK", status), None]]
    assert isinstance(read(source, server.port), Err)


@pytest.mark.parametrize("place", ["first", "last"])
@pytest.mark.parametrize(
    "name",
    [b"X A", b" X-A", b"X-A ", b"\tX-A", b"\nX-A", b"X\x01A", b"X\x7fA", b"From X"],
)
def test_blank_or_control_byte_in_a_field_name_is_an_error(server, source, name, place):
    field = name + b": b\r\n"
    status_line, _, fields = HEAD.partition(b"\r\n")
    spoilt_by_place = {
        "first": status_line + b"\r\n" + field + fields,
        "last": HEAD + field,
    }
    server.scripts = [[with_length(source, spoilt_by_place[place]), None]]
    assert isinstance(read(source, server.port), Err)
