"""Propagation of the ``traceparent`` header.

A malformed header of a caller must be replaced, or the spans of its request could
not be joined into one trace.
"""

import random

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from chicorychute.telemetry.spans import RecordedTracing
from chicorychute.telemetry.tracing import PassThroughTracing, is_valid

CALLER_TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
MALFORMED = [
    "",
    "garbage",
    CALLER_TRACEPARENT[:-3],
    CALLER_TRACEPARENT.upper(),
    "ff" + CALLER_TRACEPARENT[2:],
    "00-" + "0" * 32 + CALLER_TRACEPARENT[35:],
    "00-0af7651916cd43dd8448eb211c80319c-" + "0" * 16 + "-01",
]


def test_trace_of_the_caller_is_passed_on_unchanged():
    with PassThroughTracing(random.Random(1)).span(
        "entry", CALLER_TRACEPARENT
    ) as passed:
        assert passed == CALLER_TRACEPARENT


@pytest.mark.parametrize("traceparent", MALFORMED)
def test_malformed_trace_is_replaced_by_a_new_one(traceparent):
    with PassThroughTracing(random.Random(1)).span("entry", traceparent) as passed:
        assert is_valid(passed)
        assert passed.endswith("-00")


@pytest.mark.parametrize("traceparent", MALFORMED)
def test_malformed_trace_is_replaced_by_a_recorded_one(traceparent):
    tracing = RecordedTracing("i1", 1.0, InMemorySpanExporter())
    with tracing.span("entry", traceparent) as passed:
        assert is_valid(passed)


def test_recorded_span_is_the_parent_of_the_next_hop():
    exporter = InMemorySpanExporter()
    tracing = RecordedTracing("i1", 0.0, exporter)
    with tracing.span("entry", CALLER_TRACEPARENT) as passed:
        assert passed[:36] == CALLER_TRACEPARENT[:36]
        with tracing.span("gate", passed):
            pass
    tracing.provider.shutdown()
    gate, entry = exporter.get_finished_spans()
    assert (gate.name, entry.name) == ("gate", "entry")
    assert gate.parent.span_id == entry.context.span_id
    assert f"{entry.parent.span_id:016x}" == CALLER_TRACEPARENT[36:52]
