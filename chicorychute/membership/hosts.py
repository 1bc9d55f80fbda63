"""Index of the instances that host each service."""

from collections.abc import Set

from chicorychute.core.messages import MemberRecord
from chicorychute.membership.records import services_of


class HostIndex:
    """Instances by service."""

    def __init__(self) -> None:
        self._ids_by_service: dict[str, set[str]] = {}

    def of(self, service: str) -> Set[str]:
        """Return the instances that host a service; callers must not change the set."""
        return self._ids_by_service.get(service, frozenset())

    def add(self, record: MemberRecord) -> None:
        """Add an instance under each of its services."""
        for service in services_of(record):
            self._ids_by_service.setdefault(service, set()).add(record.instance)

    def discard(self, record: MemberRecord) -> None:
        """Remove an instance from each of its services."""
        for service in services_of(record):
            hosts = self._ids_by_service.get(service, set())
            hosts.discard(record.instance)
            if not hosts:
                self._ids_by_service.pop(service, None)
