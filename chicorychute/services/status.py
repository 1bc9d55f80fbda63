"""Status of a daemon and its view, as JSON values."""

from chicorychute.core.messages import MemberRecord, MemberStatus, UpstreamDigest
from chicorychute.services.fleet import FleetService
from chicorychute.services.gate import GateService
from chicorychute.services.tables import TableService


class StatusReport:
    """Builds what ``/status`` answers."""

    def __init__(self, fleet: FleetService, tables: TableService, gate: GateService):
        self._fleet = fleet
        self._tables = tables
        self._gate = gate

    def as_json(self) -> dict:
        """Return version in force, instances and verdicts."""
        own = self._fleet.own()
        return {
            "instance": own.instance,
            "incarnation": own.incarnation,
            "table_version": self._tables.version,
            "upstreams": [
                {**_digest(digest), "reason": self._gate.reason_of(digest.upstream)}
                for digest in self._gate.digests()
            ],
            "instances": [
                _member(record, status) for record, status in self._fleet.snapshot()
            ],
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
        "latency_ms": round(digest.latency_ms, 2),
        "failure_share": round(digest.failure_share, 3),
    }
