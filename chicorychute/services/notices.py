"""Sends peers the quarantine notices of requests in flight at a crash."""

import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor, wait

import structlog

from chicorychute.core.messages import MemberStatus, QuarantineNotice
from chicorychute.services.fleet import FleetService
from chicorychute.transport.links import LinkError, LinkHub

SENDER_THREADS = 16
# Bounds the time for which an unreachable peer delays the answer to the caller.
SEND_WAIT_S = 0.25

logger = structlog.get_logger()

Address = tuple[str, int]


class NoticeService:
    """Sends notices to every peer at once, and again to peers that may lack them.

    Parameters
    ----------
    hub : callable
        Returns the hub of peer links, which is created after this service.
    """

    def __init__(
        self, fleet: FleetService, hub: Callable[[], LinkHub], rng: random.Random
    ):
        self._fleet = fleet
        self._hub = hub
        self._rng = rng
        self._executor = ThreadPoolExecutor(
            SENDER_THREADS, thread_name_prefix="notices"
        )

    def send_to_all(self, notices: tuple[QuarantineNotice, ...]) -> None:
        """Send notices to every peer, and wait until they are sent or `SEND_WAIT_S`."""
        logger.warning("quarantine: an upstream crashed", requests=len(notices))
        jobs = [
            self._executor.submit(self._send, address, notices)
            for address in self._addresses()
        ]
        wait(jobs, SEND_WAIT_S)

    def send_to_one(self, notices: tuple[QuarantineNotice, ...]) -> None:
        """Send notices to one random peer, which may have missed them.

        Does not wait for the link to the peer, which may take seconds to open.
        """
        addresses = self._addresses()
        if notices and addresses:
            address = self._rng.choice(addresses)
            self._executor.submit(self._send, address, notices)

    def _addresses(self) -> list[Address]:
        own = self._fleet.own().instance
        return [
            (record.host, record.peer_port)
            for record, status in self._fleet.snapshot()
            if record.instance != own and status is not MemberStatus.DEAD
        ]

    def _send(self, address: Address, notices: tuple[QuarantineNotice, ...]) -> None:
        try:
            link = self._hub().link_to(address)
            for notice in notices:
                link.send(notice)
        except LinkError as error:
            logger.debug("quarantine: notice can't be sent to a peer", error=str(error))
