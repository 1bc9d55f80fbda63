"""The metrics of a daemon; `docs/ref/metrics.md` lists them."""

from collections.abc import Callable, Iterable

import attrs

from chicorychute.core.clock import Clock
from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.telemetry.metrics import Metrics
from chicorychute.telemetry.requests import RequestStats
from chicorychute.telemetry.tally import Labels, Tally

UPSTREAM_LABELS = ("upstream", "service")
IN_ROTATION_VERDICTS = (Verdict.HEALTHY, Verdict.COLD)


@attrs.define
class TableInForce:
    """Version of the table in force, and the time when it came into force."""

    clock: Clock
    version: int = 0
    in_force_since_s: float = 0.0

    def set_version(self, version: int) -> None:
        """Record that `version` comes into force now."""
        self.version = version
        self.in_force_since_s = self.clock.monotonic()

    def age_s(self) -> float:
        """Return the seconds since the version came into force, 0 if there is none."""
        return self.clock.monotonic() - self.in_force_since_s if self.version else 0.0


class VerdictChangeCounter:
    """Counts changes of the verdict on each local upstream."""

    def __init__(self) -> None:
        self.changes = Tally()
        self._verdict_by_upstream: dict[str, Verdict] = {}

    def observe(self, digests: Iterable[UpstreamDigest]) -> None:
        """Count the verdicts that differ from the previous call."""
        for digest in digests:
            previous = self._verdict_by_upstream.get(digest.upstream)
            if previous is not None and previous is not digest.verdict:
                self.changes.add(digest.upstream, digest.service, digest.verdict.value)
            self._verdict_by_upstream[digest.upstream] = digest.verdict


class Instruments:
    """Tallies that the components of a daemon increment, published as metrics."""

    def __init__(self, instance: str, clock: Clock):
        self.metrics = Metrics(instance, clock)
        self.requests = RequestStats(clock)
        self.bad_requests = Tally()
        self.link_faults = Tally()
        self.link_bytes = Tally()
        self.recall_steps = Tally()
        self.table = TableInForce(clock)
        self.verdicts = VerdictChangeCounter()
        self._publish_tallies()

    def _publish_tallies(self) -> None:
        metrics = self.metrics
        metrics.latency(
            "chute_request_seconds",
            "Time from a caller's request to the head of its answer.",
            ("service", "rank", "outcome"),
            self.requests.latencies,
        )
        metrics.count(
            "chute_refusals",
            "Requests that ended without an upstream's answer.",
            ("service", "rank", "reason"),
            self.requests.refusals,
        )
        metrics.count(
            "chute_retries",
            "Sends to a further gate after the first.",
            ("service",),
            self.requests.retries,
        )
        metrics.count(
            "chute_bad_requests",
            "Requests refused before any route was looked up.",
            ("reason",),
            self.bad_requests,
        )
        metrics.count(
            "chute_link_faults",
            "Links to peers that this daemon closed.",
            ("cause",),
            self.link_faults,
        )
        metrics.count(
            "chute_link_bytes",
            "Bytes of messages between daemons.",
            ("direction", "message"),
            self.link_bytes,
        )
        metrics.count(
            "chute_recall_steps",
            "Steps taken for requests whose gate was silent.",
            ("step",),
            self.recall_steps,
        )
        metrics.count(
            "chute_verdict_changes",
            "Changes of the verdict on an upstream; 'sick' is an ejection.",
            (*UPSTREAM_LABELS, "verdict"),
            self.verdicts.changes,
        )
        metrics.gauge(
            "chute_table_version",
            "Version of the table in force.",
            (),
            lambda: [((), self.table.version)],
        )
        metrics.gauge(
            "chute_table_age_seconds",
            "Time since the version came into force here.",
            (),
            lambda: [((), self.table.age_s())],
        )

    def publish_upstreams(
        self, digests: Callable[[], Iterable[UpstreamDigest]]
    ) -> None:
        """Publish the load of the local upstreams."""
        for field, doc in (
            ("slots", "Requests that the upstream may run at a time."),
            ("in_flight", "Requests that it runs now."),
            ("queued", "Requests that wait for a slot."),
        ):
            self.metrics.gauge(
                f"chute_upstream_{field}",
                doc,
                UPSTREAM_LABELS,
                _digest_field(digests, field),
            )
        self.metrics.gauge(
            "chute_upstream_in_rotation",
            "1 while the verdict is healthy or cold, else 0.",
            UPSTREAM_LABELS,
            lambda: [
                (_digest_labels(digest), int(digest.verdict in IN_ROTATION_VERDICTS))
                for digest in digests()
            ],
        )

    def publish_platform_reads(self, reads: Callable[[], int]) -> None:
        """Publish the number of reads of the platform."""
        doc = "Reads of the configuration service and the instance list."
        self.metrics.count_from_callback(
            "chute_platform_reads", doc, (), lambda: [((), reads())]
        )

    def publish_table_conflicts(self, conflicts: Callable[[], int]) -> None:
        """Publish the number of tables that share their version with another text."""
        self.metrics.count_from_callback(
            "chute_table_conflicts",
            "Contents seen under a version that holds another content too.",
            (),
            lambda: [((), conflicts())],
        )

    def publish_members(self, counts: Callable[[], dict[str, int]]) -> None:
        """Publish the number of known instances in each membership status."""
        self.metrics.gauge(
            "chute_instances",
            "Instances in the view of this daemon.",
            ("status",),
            lambda: [((status,), count) for status, count in counts().items()],
        )


def _digest_labels(digest: UpstreamDigest) -> Labels:
    return digest.upstream, digest.service


def _digest_field(
    digests: Callable[[], Iterable[UpstreamDigest]], field: str
) -> Callable[[], list[tuple[Labels, float]]]:
    return lambda: [
        (_digest_labels(digest), getattr(digest, field)) for digest in digests()
    ]
