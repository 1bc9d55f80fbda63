"""Broken answers of the platform's store, and of a platform over HTTP.

Guards against an answer that is taken for one although its head is malformed, or the
connection was reset.
"""

import json
import time

import pytest
from result import Err, Ok
from urllib3.connection import HTTPConnection

from chicorychute.core.system_clock import SystemClock
from chicorychute.platform.store import StoreClient
from chicorychute.sources.http import HttpPlatform
from tests.transport.early_upstream import EarlyUpstream, Script
from tests.transport.scripted_server import ScriptedServer

BODY_BY_SOURCE = {
    "store": json.dumps({"current_rev": 7, "events": []}).encode(),
    "http": b"[]",
}
SCRIPT_NAME_BY_SOURCE = {"store": "kv-watch", "http": "instances"}
# The reset of an answer arrives within this time.
WRITE_PAUSE_S = 0.05
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


@pytest.fixture
def early_server():
    running = EarlyUpstream()
    yield running
    running.close()


def without_length(source):
    return HEAD + b"\r\n" + BODY_BY_SOURCE[source]


@pytest.mark.parametrize("pause_s", [0.0, WRITE_PAUSE_S])
def test_answer_without_a_length_before_a_reset_is_an_error(
    early_server, source, pause_s
):
    name = SCRIPT_NAME_BY_SOURCE[source]
    script = Script(without_length(source), pause_s=pause_s, resets=True)
    early_server.script_by_name[name] = script
    assert isinstance(read(source, early_server.port), Err)
    assert early_server.count_by_name == {name: 1}


def test_answer_without_a_length_before_a_close_is_read(early_server, source):
    script = Script(without_length(source))
    early_server.script_by_name[SCRIPT_NAME_BY_SOURCE[source]] = script
    assert isinstance(read(source, early_server.port), Ok)


@pytest.mark.parametrize("answer", [without_length, with_length])
def test_answer_that_comes_before_its_request_is_written_is_an_error(
    early_server, source, answer, monkeypatch
):
    # Guards against an answer to no request: the write of the request fails.
    connect = HTTPConnection.connect

    def slow_connect(connection):
        connect(connection)
        time.sleep(WRITE_PAUSE_S)

    monkeypatch.setattr(HTTPConnection, "connect", slow_connect)
    early_server.unasked_script = Script(answer(source), resets=True)
    assert isinstance(read(source, early_server.port), Err)
