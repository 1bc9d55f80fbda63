"""Recalls requests whose link is unresponsive; forwards the recalls of others."""

import random
from collections.abc import Callable

import structlog

from chicorychute.core.clock import Clock
from chicorychute.core.messages import (
    MemberStatus,
    Recall,
    RecalledAnswer,
    RecalledRefusal,
    RecallNoted,
)
from chicorychute.routing.recall import Step, next_step
from chicorychute.services.exchanges import Exchange, Exchanges
from chicorychute.services.fleet import FleetService
from chicorychute.services.peers import PeerService
from chicorychute.services.senders import Senders
from chicorychute.telemetry.tally import Tally
from chicorychute.transport.links import Link

RecallReply = RecallNoted | RecalledAnswer | RecalledRefusal

logger = structlog.get_logger()


class RecallService:
    """Asks for the ends of requests over another network path than their own link.

    Parameters
    ----------
    peers : callable
        Returns the service that runs the requests of peers, which is built later.
    step_tally : Tally
        Counts the steps by name.
    """

    def __init__(
        self,
        exchanges: Exchanges,
        fleet: FleetService,
        senders: Senders,
        peers: Callable[[], PeerService],
        clock: Clock,
        rng: random.Random,
        step_tally: Tally,
    ):
        self._exchanges = exchanges
        self._fleet = fleet
        self._senders = senders
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._step_tally = step_tally

    def tick(self) -> None:
        """Take the next step for every request that waits for an answer."""
        now_s = self._clock.monotonic()
        for exchange in self._exchanges.awaiting_answer():
            step = next_step(now_s, exchange.recalls, exchange.link.liveness)
            match step:
                case Step.WAIT:
                    continue
                case Step.PING:
                    exchange.link.ping(now_s)
                case Step.RECALL:
                    self._send_recall(exchange, now_s)
                case Step.GIVE_UP:
                    self._log_step("request: recalls got no reply", exchange)
                    self._exchanges.end_as_unknown(exchange)
            self._step_tally.add(step.value)

    def on_recall(self, link: Link, recall: Recall) -> None:
        """Reply to a recall sent to this gate, or forward one for another gate."""
        if recall.gate == self._fleet.own().instance:
            self._peers().on_recall(link, recall)
        else:
            self._send_to(recall.gate, recall)

    def on_reply(self, reply: RecallReply) -> None:
        """Process the reply to a recall of this entry, or forward it to its entry."""
        own = self._fleet.own()
        if reply.entry != own.instance:
            self._send_to(reply.entry, reply)
            return
        if reply.entry_incarnation != own.incarnation:
            return
        match reply:
            case RecallNoted(_, _, id):
                self._exchanges.on_recall_noted(id)
            case RecalledAnswer(_, _, end) | RecalledRefusal(_, _, end):
                self._exchanges.on_recalled_end(end)

    def _send_recall(self, exchange: Exchange, now_s: float) -> None:
        gate = exchange.link.peer
        if exchange.recalls.unanswered == 0:
            self._fleet.mark_unreachable(gate.instance)
        exchange.recalls.record_sent(now_s)
        own = self._fleet.own()
        recall = Recall(
            gate.instance,
            gate.incarnation,
            own.instance,
            own.incarnation,
            exchange.id,
            (exchange.recall_info.deadline_s - now_s) * 1000,
            exchange.recall_info.request_id,
        )
        helper = self._choose_helper(exchange, gate.instance)
        self._log_step("request: recalled", exchange, helper=helper)
        self._send_to(helper, recall)

    def _choose_helper(self, exchange: Exchange, gate: str) -> str:
        """Return whom to send a recall to: first the gate, if its link was lost."""
        if exchange.link.liveness.link_closed and exchange.recalls.unanswered <= 1:
            return gate
        own = self._fleet.own()
        helpers = [
            record.instance
            for record, status in self._fleet.snapshot()
            if status is MemberStatus.ALIVE
            and record.region == own.region
            and record.instance not in (own.instance, gate)
        ]
        return self._rng.choice(helpers) if helpers else gate

    def _send_to(self, instance: str, message: Recall | RecallReply) -> None:
        record = self._fleet.record_of(instance)
        if record is None:
            logger.warning("fleet: a recall names an unknown instance", peer=instance)
            return
        self._senders.send_unrepeated((record.host, record.peer_port), message)

    def _log_step(self, event: str, exchange: Exchange, **fields: str) -> None:
        link_liveness = exchange.link.liveness
        logger.warning(
            event,
            id=exchange.recall_info.request_id,
            gate=exchange.link.peer.instance,
            link_lost=link_liveness.link_closed,
            silent_ms=round(
                (self._clock.monotonic() - link_liveness.last_heard_s) * 1000, 1
            ),
            unanswered=exchange.recalls.unanswered,
            **fields,
        )
