"""Renders metrics in the Prometheus text exposition format 0.0.4."""

from collections.abc import Iterable, Iterator, Mapping

from opentelemetry.sdk.metrics.export import (
    Gauge,
    Histogram,
    HistogramDataPoint,
    Metric,
    Sum,
)

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
ESCAPES = str.maketrans({"\\": "\\\\", "\n": "\\n", '"': '\\"'})


def render(metrics: Iterable[Metric]) -> str:
    """Return `metrics` in the text format."""
    lines = [line for metric in metrics for line in _lines(metric)]
    return "\n".join(lines) + "\n"


def _lines(metric: Metric) -> Iterator[str]:
    match metric.data:
        case Sum(data_points=points):
            name = f"{metric.name}_total"
            yield from _header(name, metric.description, "counter")
            for point in points:
                yield _line(name, point.attributes, point.value)
        case Gauge(data_points=points):
            yield from _header(metric.name, metric.description, "gauge")
            for point in points:
                yield _line(metric.name, point.attributes, point.value)
        case Histogram(data_points=points):
            yield from _header(metric.name, metric.description, "histogram")
            for point in points:
                yield from _histogram(metric.name, point)


def _header(name: str, description: str, kind: str) -> Iterator[str]:
    yield f"# HELP {name} {description}"
    yield f"# TYPE {name} {kind}"


def _histogram(name: str, point: HistogramDataPoint) -> Iterator[str]:
    count = 0
    bounds = [*map(_number, point.explicit_bounds), "+Inf"]
    for bound, bucket_count in zip(bounds, point.bucket_counts, strict=True):
        count += bucket_count
        yield _line(f"{name}_bucket", {**point.attributes, "le": bound}, count)
    yield _line(f"{name}_sum", point.attributes, point.sum)
    yield _line(f"{name}_count", point.attributes, point.count)


def _line(name: str, labels: Mapping[str, object] | None, value: float) -> str:
    pairs = ",".join(
        f'{key}="{str(text).translate(ESCAPES)}"'
        for key, text in (labels or {}).items()
    )
    label_text = f"{{{pairs}}}" if pairs else ""
    return f"{name}{label_text} {_number(value)}"


def _number(value: float) -> str:
    return repr(int(value)) if value == int(value) else repr(value)
