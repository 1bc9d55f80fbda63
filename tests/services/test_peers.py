"""Requests of a peer that are cancelled, or whose link is lost, while they run.

A lookup is aborted at its upstream. An order must run to its end: if it were aborted,
its outcome would be unknown.
"""

import pytest

from chicorychute.admission.queue import Granted, Ticket
from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    PROTOCOL_VERSION,
    Cancel,
    Forward,
    Hello,
    PeerRequest,
)
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Refused
from chicorychute.services.peers import PeerService
from chicorychute.transport.link import DelayEstimator


class FakeGate:
    """Grants a slot at once and records the call of the request that it runs."""

    def __init__(self):
        self.runs = []
        self.call = None

    def ticket(self, upstream_id, work, body, deadline_s):
        return Ticket(work.rank, deadline_s)

    def submit(self, upstream_id, ticket, starter):
        starter(Granted(ticket))

    def run_in_pool(self, run):
        self.runs.append(run)

    def cancel(self, upstream_id, ticket, call):
        call.cancel()

    def run(self, upstream_id, ticket, work, body, call):
        self.call = call
        return Refused(Outcome.UNKNOWN, Reason.UPSTREAM_LOST)


class FakeLink:
    peer = Hello(PROTOCOL_VERSION, "entry", 1, "z", "r")

    def __init__(self):
        self.delay_estimator = DelayEstimator()

    def send(self, message):
        pass


@pytest.mark.parametrize("key, is_cancelled", [("", True), ("home@1.0/a", False)])
@pytest.mark.parametrize("withdrawal", ["cancel", "closed"])
def test_running_lookup_is_cancelled_and_running_order_runs_to_its_end(
    key, is_cancelled, withdrawal
):
    gate = FakeGate()
    peers = PeerService(gate, ManualClock(), None, lambda: None)
    link = FakeLink()
    work = PeerRequest("POST", "/orders", (), "s", "order", "", key, "", 1, 1000.0)
    peers.on_peer_request(link, Forward(1, 0.0, "u", work, b"{}", False))
    if withdrawal == "cancel":
        peers.on_cancel(link, Cancel(1))
    else:
        peers.on_closed(link)
    gate.runs.pop()()
    assert gate.call.cancelled is is_cancelled
