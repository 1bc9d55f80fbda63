"""OpenTelemetry metrics, collected on demand.

Requests only increment plain tallies; the SDK's observable instruments read these
at collection. The SDK has no observable histogram, so histogram data points are
built here.
"""

from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    AggregationTemporality,
    Histogram,
    HistogramDataPoint,
    InMemoryMetricReader,
    Metric,
)
from opentelemetry.sdk.resources import Resource

from chicorychute.core.clock import Clock
from chicorychute.telemetry.tally import (
    LATENCY_BOUNDS_S,
    Distribution,
    Labels,
    LatencyTally,
    Tally,
)

ValuesCallback = Callable[[], Iterable[tuple[Labels, float]]]

NS_PER_S = 1_000_000_000


class Metrics:
    """Instruments of one daemon."""

    def __init__(self, instance: str, clock: Clock):
        self._clock = clock
        self._start_ns = self._now_ns()
        self._reader = InMemoryMetricReader()
        resource = Resource.create(
            {"service.name": "chicorychute", "service.instance.id": instance}
        )
        provider = MeterProvider([self._reader], resource, shutdown_on_exit=False)
        self._meter = provider.get_meter("chicorychute")
        self._latencies: list[tuple[str, str, Labels, LatencyTally]] = []

    def count(self, name: str, doc: str, labels: Labels, tally: Tally) -> None:
        """Publish the counts of a tally."""
        self.count_from_callback(name, doc, labels, tally.items)

    def count_from_callback(
        self, name: str, doc: str, labels: Labels, values: ValuesCallback
    ) -> None:
        """Publish the counts that `values` returns with their label values."""
        observe = _observer(labels, values)
        self._meter.create_observable_counter(name, [observe], description=doc)

    def gauge(
        self, name: str, doc: str, labels: Labels, values: ValuesCallback
    ) -> None:
        """Publish the current values that `values` returns with their label values."""
        observe = _observer(labels, values)
        self._meter.create_observable_gauge(name, [observe], description=doc)

    def latency(self, name: str, doc: str, labels: Labels, tally: LatencyTally) -> None:
        """Publish the latencies of a tally as histograms, in seconds."""
        self._latencies.append((name, doc, labels, tally))

    def collect(self) -> list[Metric]:
        """Return the current state of every metric."""
        data = self._reader.get_metrics_data()
        metrics = [
            metric
            for resource in (data.resource_metrics if data else ())
            for scope in resource.scope_metrics
            for metric in scope.metrics
        ]
        for name, doc, labels, tally in self._latencies:
            points = [
                self._point(dict(zip(labels, values, strict=True)), distribution)
                for values, distribution in tally.items()
            ]
            histogram = Histogram(points, AggregationTemporality.CUMULATIVE)
            metrics.append(Metric(name, doc, "s", histogram))
        return metrics

    def _point(self, labels: dict, distribution: Distribution) -> HistogramDataPoint:
        return HistogramDataPoint(
            attributes=labels,
            start_time_unix_nano=self._start_ns,
            time_unix_nano=self._now_ns(),
            count=distribution.count,
            sum=distribution.total_s,
            bucket_counts=distribution.buckets,
            explicit_bounds=LATENCY_BOUNDS_S,
            min=distribution.min_s,
            max=distribution.max_s,
        )

    def _now_ns(self) -> int:
        return int(self._clock.utc().timestamp() * NS_PER_S)


def _observer(
    labels: Labels, values: ValuesCallback
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        for label_values, value in values():
            yield Observation(value, dict(zip(labels, label_values, strict=True)))

    return observe
