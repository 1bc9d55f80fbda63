"""A sampled request over two daemons has one span for each hop.

A hop that drops or replaces the trace context would break the chain of parent spans.
"""

import json

import pytest

from standins.demo import make_table
from standins.fleet import Fleet

pytestmark = pytest.mark.processes

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
CALLER_SPAN_ID = "b7ad6b7169203331"
SETTINGS = "[log]\nformat = json\n[trace]\nexport = log\n"


def spans_by_name(fleet):
    lines = [
        json.loads(line)
        for path in fleet.path.glob("chicorychute-*.log")
        for line in path.read_text("utf-8").splitlines()
    ]
    spans = [line for line in lines if line["event"] == "trace: span"]
    return {span["name"]: span for span in spans}


def test_each_hop_of_a_sampled_trace_is_a_span_below_the_one_before():
    instances = [("r1", "r1-a", "orders"), ("r2", "r2-a", "o2")]
    other = "o2,read,GET /o2/*,1,0.5,200,2000,idempotent,0.1,4,0.5,1,0,100\n"
    with Fleet(instances, make_table(5000) + other, extra_ini=SETTINGS) as fleet:
        answer = fleet.http.request(
            "GET",
            fleet.nodes[1].edge_url + "/catalogue/1",
            headers={"traceparent": f"00-{TRACE_ID}-{CALLER_SPAN_ID}-01"},
        )
        assert answer.status == 200
        fleet.wait_for(lambda: len(spans_by_name(fleet)) >= 2, "two spans")
        spans = spans_by_name(fleet)
        assert fleet.counts(fleet.nodes[0])["trace_ids"] == [TRACE_ID]
    assert {span["trace_id"] for span in spans.values()} == {TRACE_ID}
    assert spans["entry"]["parent_id"] == CALLER_SPAN_ID
    assert spans["upstream"]["parent_id"] == spans["entry"]["span_id"]
