"""Spans for each hop, carried by the W3C ``traceparent`` header."""

import contextlib
from collections.abc import Iterator

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

HEADER = "traceparent"


class Tracing:
    """Opens spans of one daemon.

    Parameters
    ----------
    instance : str
        Name of the instance, kept on every span.
    ratio : float
        Share of traces sampled where the caller did not decide.
    """

    def __init__(self, instance: str, ratio: float = 0.0):
        resource = Resource.create(
            {"service.name": "chicorychute", "service.instance.id": instance}
        )
        self.provider = TracerProvider(
            resource=resource, sampler=ParentBased(TraceIdRatioBased(ratio))
        )
        self._tracer = self.provider.get_tracer("chicorychute")
        self._propagator = TraceContextTextMapPropagator()

    @contextlib.contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[str]:
        """Open a span below `traceparent`; yields the traceparent to pass on."""
        context = self._propagator.extract({HEADER: traceparent})
        span = self._tracer.start_span(name, context)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span, context))
        try:
            yield carrier.get(HEADER, traceparent)
        finally:
            span.end()
