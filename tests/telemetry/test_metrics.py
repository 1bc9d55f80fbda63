"""Metrics and service levels of requests, and their Prometheus text.

A relayed request passes two daemons and must be counted only at its entry. Label
values with quotes or line breaks must not break the text format.
"""

import re

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.measure import measure
from chicorychute.pipeline.values import Answer, BufferedBody, Refused, Request
from chicorychute.table.parse import parse_table
from chicorychute.telemetry.instruments import Instruments
from chicorychute.telemetry.prometheus import render
from chicorychute.telemetry.requests import WINDOW_S, RequestStats
from standins.fleet import TABLE_HEADER

SAMPLE = re.compile(r'[a-z_]+(\{[a-z_]+="[^"]*"(,[a-z_]+="[^"]*")*\})? -?[0-9.e+-]+')
ROW = "orders,read,GET /a,1,0.5,100,2000,idempotent,0.1,4,0.5,1,0,100"
DIGEST = UpstreamDigest("u1", "orders", Verdict.HEALTHY, 4, 1, 2, 10.5, 0.25, 1.0)


def make_request(**changes):
    fields = {"attempt": 1, **changes}
    request = Request("GET", "/a", (), b"", "", "", "", 0.0, **fields)
    table = parse_table(1, f"{TABLE_HEADER}\n{ROW}\n").ok_value
    request.row = table.rows[0]
    return request


def send(stats, clock, reply, latency_s, **changes):
    def handle(request):
        clock.advance(latency_s)
        return reply

    request = make_request(**changes)
    request.received_s = clock.monotonic()
    return measure(stats, clock)(handle)(request)


def ok_answer():
    return Answer(200, (), 2, BufferedBody(b"ok"), "u1")


def test_metrics_are_rendered_as_prometheus_text():
    clock = ManualClock()
    instruments = Instruments("i1", clock)
    instruments.publish_upstreams(lambda: [DIGEST])
    instruments.publish_platform_reads(lambda: 7)
    instruments.publish_table_conflicts(lambda: 2)
    send(instruments.requests, clock, ok_answer(), 0.004)
    send(instruments.requests, clock, ok_answer(), 0.3, attempt=3)
    refused = Refused(Outcome.NOT_RUN, Reason.OVERLOAD)
    send(instruments.requests, clock, refused, 0.001)
    text = render(instruments.metrics.collect())
    labels = 'service="orders",rank="read",outcome="ran"'
    for line in (
        f'chute_request_seconds_bucket{{{labels},le="0.005"}} 1',
        f'chute_request_seconds_bucket{{{labels},le="+Inf"}} 2',
        f"chute_request_seconds_count{{{labels}}} 2",
        'chute_refusals_total{service="orders",rank="read",reason="overload"} 1',
        'chute_retries_total{service="orders"} 2',
        'chute_upstream_queued{upstream="u1",service="orders"} 2',
        "chute_platform_reads_total 7",
        "chute_table_conflicts_total 2",
    ):
        assert line in text.splitlines()
    for line in text.splitlines():
        assert line.startswith("# ") or SAMPLE.fullmatch(line), line


def test_label_values_are_escaped():
    instruments = Instruments("i1", ManualClock())
    instruments.link_faults.add('a"b\\c\nd')
    assert 'cause="a\\"b\\\\c\\nd"' in render(instruments.metrics.collect())


def test_relayed_request_is_counted_at_its_entry_only():
    clock = ManualClock()
    stats = RequestStats(clock)
    send(stats, clock, ok_answer(), 0.01, relayed=True)
    assert stats.latencies.items() == []


def test_service_level_covers_the_last_minute():
    clock = ManualClock()
    stats = RequestStats(clock)
    send(stats, clock, ok_answer(), 0.05)
    send(stats, clock, ok_answer(), 0.2)
    send(stats, clock, Answer(500, (), 0, BufferedBody(b""), "u1"), 0.01)
    send(stats, clock, Refused(Outcome.NOT_RUN, Reason.OVERLOAD), 0.01)
    (level,) = stats.levels()
    assert (level.requests, level.within_target, level.share) == (4, 1, 0.25)
    clock.advance(WINDOW_S)
    (level,) = stats.levels()
    assert (level.requests, level.share) == (0, 1.0)


def test_request_without_a_row_has_no_service_level():
    clock = ManualClock()
    stats = RequestStats(clock)
    refused = Refused(Outcome.NOT_RUN, Reason.NO_ROUTE)
    request = make_request()
    request.row = None
    measure(stats, clock)(lambda _: refused)(request)
    assert stats.levels() == []
    assert [labels for labels, _ in stats.latencies.items()] == [("", "", "not-run")]


def test_change_of_verdict_is_counted_once():
    instruments = Instruments("i1", ManualClock())
    sick = UpstreamDigest("u1", "orders", Verdict.SICK, 4, 1, 2, 10.5, 0.25, 1.0)
    for digest in (DIGEST, sick, sick, DIGEST):
        instruments.verdicts.observe([digest])
    assert sorted(instruments.verdicts.changes.items()) == [
        (("u1", "orders", "healthy"), 1),
        (("u1", "orders", "sick"), 1),
    ]
