"""Spans recorded by the OpenTelemetry SDK; imported only if they are exported."""

import contextlib
from collections.abc import Iterator, Sequence

import structlog
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from chicorychute.telemetry.tracing import TRACEPARENT_HEADER

NS_PER_MS = 1_000_000

logger = structlog.get_logger()


class LogExporter(SpanExporter):
    """Writes each sampled span as a log line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log a batch of spans."""
        for span in spans:
            context = span.get_span_context()
            logger.info(
                "trace: span",
                name=span.name,
                trace_id=f"{context.trace_id:032x}",
                span_id=f"{context.span_id:016x}",
                parent_id=f"{span.parent.span_id:016x}" if span.parent else "",
                start_ns=span.start_time,
                duration_ms=(span.end_time - span.start_time) / NS_PER_MS,
            )
        return SpanExportResult.SUCCESS


class RecordedTracing:
    """Opens spans and exports the sampled ones.

    Parameters
    ----------
    instance : str
        Name of the instance, an attribute of every span.
    ratio : float
        Fraction of the traces that are sampled if the caller has not decided.
    """

    def __init__(self, instance: str, ratio: float, exporter: SpanExporter):
        resource = Resource.create(
            {"service.name": "chicorychute", "service.instance.id": instance}
        )
        self.provider = TracerProvider(
            resource=resource, sampler=ParentBased(TraceIdRatioBased(ratio))
        )
        self.provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self.provider.get_tracer("chicorychute")
        self._propagator = TraceContextTextMapPropagator()

    @contextlib.contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[str]:
        """Open a span below `traceparent`; yields the traceparent to pass on."""
        context = self._propagator.extract({TRACEPARENT_HEADER: traceparent})
        span = self._tracer.start_span(name, context)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span, context))
        try:
            yield carrier.get(TRACEPARENT_HEADER, traceparent)
        finally:
            span.end()
