"""A trace of a real daemon holds no body, header, path, team or key."""

import pytest

from bench.record import RecordedFleet
from chicorychute.replay.trace import RequestEvent, read_trace
from chicorychute.replay.users import SMRITI

MARKER = "secret-5309"
CALLS = 8


@pytest.mark.processes
def test_trace_holds_nothing_of_a_request_but_its_rank_and_times(tmp_path):
    path = tmp_path / "trace.jsonl"
    headers = {
        "Authorization": MARKER,
        "Idempotency-Key": MARKER,
        "Chute-Team": MARKER,
        "Cookie": f"{MARKER}={MARKER}",
    }
    with RecordedFleet(SMRITI, path) as fleet:
        entry = fleet.nodes[0].edge_url
        for _ in range(CALLS):
            url = f"{entry}/kits/{MARKER}?q={MARKER}"
            fleet.http.request("GET", url, headers=headers, body=MARKER)
            fleet.http.request("POST", f"{entry}/orders", headers=headers, body=MARKER)
        fleet.stop()
        lines = path.read_text("utf-8").splitlines()
    events = [traced.event for traced in read_trace(lines)]
    assert any(isinstance(event, RequestEvent) for event in events)
    assert not [line for line in lines if MARKER in line]
