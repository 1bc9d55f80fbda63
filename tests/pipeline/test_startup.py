"""Requests that come while a daemon starts are served once it knows its state.

Guards against a refusal of all requests that come between the start of listening and
the first table and list, some tenths of a second later, as after a loss of power of
all daemons with traffic running; and against requests that are held in vain where the
platform can't be reached.
"""

import threading

import attrs
import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.core.system_clock import SystemClock
from chicorychute.pipeline.startup import STARTUP_HOLD_S, StartupHold
from chicorychute.pipeline.values import Answer, BufferedBody, Refused, Request

CALLERS = 40
WAIT_S = 20.0


@attrs.define(slots=False)
class StartingDaemon:
    """Handler of a daemon that refuses requests while it knows no table or no list."""

    clock: object
    has_table: bool = False
    has_list: bool = False

    def __attrs_post_init__(self):
        self.hold = StartupHold(self.can_route, self.clock)

    def can_route(self):
        return self.has_table and self.has_list

    def handle(self, request):
        return self.hold.filter(self._serve)(request)

    def _serve(self, request):
        if not self.can_route():
            return Refused(Outcome.NOT_RUN, Reason.NO_TABLE)
        return Answer(200, (), 2, BufferedBody(b"ok"))

    def learn(self, **known):
        for name, value in known.items():
            setattr(self, name, value)
        self.hold.update()


def request_of(clock, asked_ms=None):
    return Request(
        "GET", "/x", (), b"", "", "", "", clock.monotonic(), asked_ms=asked_ms
    )


class Callers:
    """Callers that each send one request at the same moment."""

    def __init__(self, daemon, asked_ms=None):
        self.replies = []
        self._threads = [
            threading.Thread(target=self._call, args=(daemon, asked_ms))
            for _ in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def _call(self, daemon, asked_ms):
        self.replies.append(daemon.handle(request_of(daemon.clock, asked_ms)))

    def served(self):
        for thread in self._threads:
            thread.join(WAIT_S)
        return sum(isinstance(reply, Answer) for reply in self.replies)


def test_all_that_come_before_table_and_list_are_served():
    daemon = StartingDaemon(SystemClock())
    callers = Callers(daemon, asked_ms=8000.0)
    daemon.learn(has_table=True)
    assert callers.replies == []
    daemon.learn(has_list=True)
    assert callers.served() == CALLERS


@pytest.mark.parametrize("asked_ms", [None, 8000.0])
def test_none_is_held_long_after_the_start(asked_ms):
    clock = ManualClock()
    daemon = StartingDaemon(clock)
    clock.advance(STARTUP_HOLD_S)
    assert daemon.handle(request_of(clock, asked_ms)).reason is Reason.NO_TABLE


def test_none_is_held_beyond_the_time_of_its_caller():
    daemon = StartingDaemon(SystemClock())
    callers = Callers(daemon, asked_ms=1.0)
    assert callers.served() == 0


def test_a_daemon_that_loses_its_list_later_holds_nothing():
    daemon = StartingDaemon(SystemClock(), has_table=True, has_list=True)
    daemon.learn()
    daemon.has_list = False
    assert daemon.handle(request_of(daemon.clock)).reason is Reason.NO_TABLE
