"""Messages to peers that are sent without blocking the caller.

Guards against messages that get lost in the daemon itself: when the connections of a
daemon are reset, every request in flight on a link is recalled at the same moment,
while the link to the peer is still being opened. A recall that is dropped there ends a
lookup that has run as unknown, and an order after three.
"""

import threading
import time

import pytest

from chicorychute.core.messages import Cancel
from chicorychute.services.senders import (
    QUEUED_PER_DESTINATION_LIMIT,
    SENDER_THREADS,
    UNREPEATED_PER_DESTINATION_LIMIT,
    Senders,
)
from chicorychute.transport.links import LinkError

TIMEOUT_S = 10.0
POLL_S = 0.005
BUSY = ("10.0.0.1", 1)
OTHER = ("10.0.0.2", 1)
MANY = 40


class SlowHub:
    """Opens the link to one address only once it is allowed to."""

    def __init__(self):
        self.opened = threading.Event()
        self.failing_attempts = 0
        self.attempts = 0
        self.sent = []

    def link_to(self, address):
        if address == BUSY:
            self.attempts += 1
            fails = self.attempts <= self.failing_attempts
            assert self.opened.wait(TIMEOUT_S)
            if fails:
                raise LinkError("no route", "check the network")
        return self

    def send(self, message):
        self.sent.append(message)

    def wait_for(self, condition):
        end_s = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end_s
            time.sleep(POLL_S)


@pytest.fixture
def hub():
    running = SlowHub()
    yield running
    running.opened.set()


@pytest.fixture
def senders(hub):
    return Senders(lambda: hub)


def test_messages_that_nothing_repeats_are_all_sent_once_the_link_is_open(hub, senders):
    messages = [Cancel(number) for number in range(MANY)]
    for message in messages:
        senders.send_unrepeated(BUSY, message)
    hub.opened.set()
    hub.wait_for(lambda: len(hub.sent) == MANY)
    assert sorted(message.id for message in hub.sent) == list(range(MANY))


def test_a_peer_that_does_not_answer_leaves_threads_for_others(hub, senders):
    for number in range(MANY):
        senders.send_unrepeated(BUSY, Cancel(number))
        senders.send(BUSY, Cancel(number))
    senders.send(OTHER, Cancel(MANY))
    hub.wait_for(lambda: [message.id for message in hub.sent] == [MANY])
    assert hub.attempts <= QUEUED_PER_DESTINATION_LIMIT < SENDER_THREADS


def test_messages_to_a_peer_that_can_not_be_reached_are_given_up_together(hub, senders):
    hub.failing_attempts = QUEUED_PER_DESTINATION_LIMIT
    for number in range(MANY):
        senders.send_unrepeated(BUSY, Cancel(number))
    hub.opened.set()
    hub.wait_for(lambda: hub.attempts == QUEUED_PER_DESTINATION_LIMIT)
    hub.wait_for(lambda: BUSY not in senders._queued_by_destination)
    senders.send_unrepeated(BUSY, Cancel(MANY))
    hub.wait_for(lambda: hub.sent == [Cancel(MANY)])


def test_waiting_messages_are_bounded(hub, senders):
    for number in range(UNREPEATED_PER_DESTINATION_LIMIT + MANY):
        senders.send_unrepeated(BUSY, Cancel(number))
    hub.opened.set()
    limit = UNREPEATED_PER_DESTINATION_LIMIT + QUEUED_PER_DESTINATION_LIMIT
    hub.wait_for(lambda: len(hub.sent) >= limit)
    senders.send(OTHER, Cancel(-1))
    hub.wait_for(lambda: Cancel(-1) in hub.sent)
    assert len(hub.sent) == limit + 1
