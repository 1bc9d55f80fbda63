"""Guards against private data in traces.

A real daemon records requests whose headers, path, query and body hold a secret: body,
headers, path, team and idempotency key must not reach the trace.
"""

import pytest

from bench.record import RecordedFleet
from chicorychute.replay.trace import RequestEvent, read_trace
from chicorychute.replay.users import SMRITI

SECRET = "secret-5309"
CALL_COUNT = 8


@pytest.mark.processes
def test_trace_holds_no_content_of_a_request(tmp_path):
    path = tmp_path / "trace.jsonl"
    headers = {
        "Authorization": SECRET,
        "Idempotency-Key": SECRET,
        "Chute-Team": SECRET,
        "Cookie": f"{SECRET}={SECRET}",
    }
    with RecordedFleet(SMRITI, path) as fleet:
        entry = fleet.nodes[0].edge_url
        for _ in range(CALL_COUNT):
            url = f"{entry}/kits/{SECRET}?q={SECRET}"
            fleet.http.request("GET", url, headers=headers, body=SECRET)
            fleet.http.request("POST", f"{entry}/orders", headers=headers, body=SECRET)
        fleet.stop()
        lines = path.read_text("utf-8").splitlines()
    events = [traced.event for traced in read_trace(lines)]
    assert any(isinstance(event, RequestEvent) for event in events)
    assert not [line for line in lines if SECRET in line]
