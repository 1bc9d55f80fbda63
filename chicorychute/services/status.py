"""Status of a daemon and its view of the fleet, as JSON values."""

from collections.abc import Callable

from chicorychute.core.messages import MemberRecord, MemberStatus, UpstreamDigest
from chicorychute.services.fleet import FleetService
from chicorychute.services.gate import GateService
from chicorychute.services.tables import TableService
from chicorychute.telemetry.instruments import Instruments
from chicorychute.telemetry.requests import ServiceLevel


class StatusReport:
    """Builds the content of the ``/status`` page.

    Parameters
    ----------
    why_not_ready : callable
        Returns an empty string if the daemon is ready, else the reason.
    """

    def __init__(
        self,
        fleet: FleetService,
        tables: TableService,
        gate: GateService,
        telemetry: Instruments,
        why_not_ready: Callable[[], str],
    ):
        self._fleet = fleet
        self._tables = tables
        self._gate = gate
        self._telemetry = telemetry
        self._why_not_ready = why_not_ready

    def as_json(self) -> dict:
        """Return table version in force, upstreams, service levels and instances."""
        own = self._fleet.own()
        return {
            "instance": own.instance,
            "incarnation": own.incarnation,
            "zone": own.zone,
            "region": own.region,
            "not_ready": self._why_not_ready(),
            "table_version": self._tables.version,
            "table_age_s": round(self._telemetry.table.age_s(), 1),
            "upstreams": [
                {**_digest(digest), "reason": self._gate.reason_of(digest.upstream)}
                for digest in self._gate.digests()
            ],
            "service_level": [
                _level(level) for level in self._telemetry.requests.levels()
            ],
            "instances": [
                _member(record, status) for record, status in self._fleet.snapshot()
            ],
        }


def _level(level: ServiceLevel) -> dict:
    return {
        "service": level.service,
        "rank": level.rank,
        "requests": level.requests,
        "within_target": level.within_target,
        "share": round(level.share, 4),
    }


def _member(record: MemberRecord, status: MemberStatus) -> dict:
    return {
        "instance": record.instance,
        "status": status.value,
        "zone": record.zone,
        "region": record.region,
        "table_version": record.table_version,
        "upstreams": [_digest(digest) for digest in record.upstreams],
    }


def _digest(digest: UpstreamDigest) -> dict:
    return {
        "upstream": digest.upstream,
        "service": digest.service,
        "verdict": digest.verdict.value,
        "slots": digest.slots,
        "in_flight": digest.in_flight,
        "queued": digest.queued,
        "weight": round(digest.weight, 3),
        "latency_ms": round(digest.latency_ms, 2),
        "failure_share": round(digest.failure_share, 3),
    }
