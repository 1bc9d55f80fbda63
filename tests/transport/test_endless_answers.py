"""Answers that never end, of an upstream and of the platform.

Guards against a server whose bytes without end keep a slot, fill the memory of the
daemon or hold its caller up beyond the deadline: each read alone is in time, and a
status line, headers, interim answers, chunk sizes, trailers or a body go on for ever.
"""

import time
import tracemalloc

import pytest
from result import Err

from chicorychute.core.clock import ManualClock
from chicorychute.core.outcomes import Outcome
from chicorychute.platform.store import StoreClient
from chicorychute.sources.http import HttpPlatform
from chicorychute.transport.dialect import Dialect
from chicorychute.transport.upstream import UpstreamClient, UpstreamFailure
from tests.transport.scripted_server import ScriptedServer
from tests.transport.test_upstream import CHUNKED, HEAD, work

# Time for the whole answer. A reader that waits for the end takes the server's 20 s.
TIMEOUT_S = 1.0
# Beyond the timeout, for a busy machine.
SLACK_S = 2.0
BYTES = b"x" * (64 << 10)
LINES = b"X: y\r\n" * 8192
# Peak of what one endless answer may take: limits of a head and of a read, twice.
MAX_MEMORY_BYTES = 2 << 20
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 2048

ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", BYTES),
    "header": (HEAD + b"X: ", BYTES),
    "headers": (HEAD, LINES),
    "interim answers": (b"", INTERIM),
    "body with a length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", BYTES),
    "body without a length": (HEAD + b"\r\n", BYTES),
    "chunks": (CHUNKED, b"1\r\nx\r\n" * 8192),
    "chunk with a size": (CHUNKED + b"ffffffffffff\r\n", BYTES),
    "chunk size": (CHUNKED, b"0" * (64 << 10)),
    "chunk extension": (CHUNKED + b"1;", BYTES),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", LINES),
}
PAUSE_S_BY_PACE = {"at once": 0.0, "slowly": 0.2}


class MonotonicClock:
    monotonic = staticmethod(time.monotonic)


class LateAnswers(Dialect):
    """Takes every answer for a late one to an earlier request."""

    def is_for_other_request(self, work, headers):
        return True


@pytest.fixture
def server():
    running = ScriptedServer()
    yield running
    running.close()


def endless(start, repeated, pause_s):
    """Return a script that repeats bytes, or one byte after each pause."""

    def send_on():
        time.sleep(pause_s)

    yield start
    while True:
        if pause_s:
            yield send_on
        yield repeated[:1] if pause_s else repeated


def read_discarding(client):
    """Read an answer like a caller that keeps nothing of it."""
    answer = client.send(work(), b"", TIMEOUT_S)
    for _ in answer.chunks:
        pass


def client_of(server, dialect=None):
    url = f"http://127.0.0.1:{server.port}"
    return UpstreamClient(url, 4, MonotonicClock(), dialect)


@pytest.mark.parametrize("pace", PAUSE_S_BY_PACE)
@pytest.mark.parametrize("place", ENDLESS)
def test_endless_answer_of_an_upstream_ends_at_the_deadline(server, place, pace):
    server.scripts = [endless(*ENDLESS[place], PAUSE_S_BY_PACE[pace])]
    tracemalloc.start()
    started_s = time.monotonic()
    try:
        with pytest.raises(UpstreamFailure) as failure:
            read_discarding(client_of(server))
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert failure.value.outcome is Outcome.UNKNOWN
    assert time.monotonic() - started_s < TIMEOUT_S + SLACK_S
    assert peak_bytes < MAX_MEMORY_BYTES
    assert server.wait_until_idle(SLACK_S)


def test_bytes_without_end_behind_an_answer_close_the_connection(server):
    server.scripts = [
        endless(HEAD + b"Content-Length: 2\r\n\r\nok", BYTES, 0.0),
        [HEAD + b"Content-Length: 2\r\n\r\nok"],
    ]
    client = client_of(server)
    read_discarding(client)
    assert server.wait_until_idle(SLACK_S)
    read_discarding(client)
    assert server.connections == 2


def test_late_answer_without_end_is_not_read_to_its_end(server):
    server.scripts = [endless(*ENDLESS["body without a length"], 0.0)]
    url = f"http://127.0.0.1:{server.port}"
    # No deadline passes on this clock: only the limit of bytes ends the answer.
    client = UpstreamClient(url, 4, ManualClock(), LateAnswers())
    with pytest.raises(UpstreamFailure):
        read_discarding(client)
    assert server.wait_until_idle(SLACK_S)


def test_a_deadline_does_not_cut_the_next_answer_on_a_connection(server):
    clock = ManualClock()
    client = UpstreamClient(f"http://127.0.0.1:{server.port}", 4, clock)
    server.scripts = [[HEAD + b"Content-Length: 2\r\n\r\nok"]] * 2
    read_discarding(client)
    clock.advance(TIMEOUT_S * 5)
    read_discarding(client)
    assert server.connections == 1


@pytest.mark.parametrize("pace", PAUSE_S_BY_PACE)
@pytest.mark.parametrize("place", ENDLESS)
@pytest.mark.parametrize("source", ["store", "http"])
def test_endless_answer_of_the_platform_is_an_error(
    server, monkeypatch, source, place, pace
):
    monkeypatch.setattr("chicorychute.platform.store.READ_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr("chicorychute.sources.http.READ_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr("chicorychute.platform.store.WATCH_READ_MARGIN_S", TIMEOUT_S)
    server.scripts = [endless(*ENDLESS[place], PAUSE_S_BY_PACE[pace])]
    url = f"http://127.0.0.1:{server.port}"
    read_by_source = {
        "store": lambda: StoreClient(url, MonotonicClock()).watch("servers/", 1, 0.0),
        "http": lambda: HttpPlatform(url, MonotonicClock()).read_instances(),
    }
    started_s = time.monotonic()
    assert isinstance(read_by_source[source](), Err)
    assert time.monotonic() - started_s < TIMEOUT_S + SLACK_S
    assert server.wait_until_idle(SLACK_S)
