"""A change of the configuration ends a shift of weights: one part gets 0."""

import asyncio
import random

from review.second.backend import Backend
from review.second.callers import send_in_turn
from review.second.fleet import CONFIG_S, HOST, UNSAFE_PATH, make_config
from review.second.main import Deployment, run_case
from review.second.record import Record

OLD, NEW = "orders-old", "orders-new"
SERVICES = [OLD, NEW, OLD, NEW]
ZONES = ["z1"] * len(SERVICES)
CALM_S = 5.0
PLAY_S = 5.0


def make_split_config(version: int, weight_by_service: dict[str, int]) -> dict:
    """Return a configuration whose only route is split by weights."""
    split = [{"service": s, "weight": w} for s, w in weight_by_service.items()]
    row = ["order", HOST, UNSAFE_PATH, "unsafe", "4000ms", "1200ms", 1, None, 2, split]
    return make_config(version, [row], [OLD, NEW])


def make_backend(*arguments: object) -> Backend:
    """Return a sound backend."""
    rng = random.Random(7)
    return Backend(*arguments, lambda path: rng.uniform(0.1, 0.2), rng)


async def play(record: Record, trouble: bool) -> list[str]:
    """Return the orders that the service without weight ran later than allowed."""
    deployment = Deployment(record, ZONES, SERVICES)
    try:
        config = make_split_config(1, {OLD: 10, NEW: 90})
        await deployment.start(config, make_backend)
        await asyncio.sleep(CONFIG_S)
        stopped = asyncio.Event()
        outbound = [daemon.outbound for daemon in deployment.daemons]
        orders = asyncio.create_task(
            send_in_turn(record, outbound, UNSAFE_PATH, HOST, stopped)
        )
        await asyncio.sleep(CALM_S)
        if trouble:
            changed = make_split_config(2, {OLD: 0, NEW: 100})
            deployment.store.put("op/config", changed)
        acknowledged_s = record.add("acknowledged", change=trouble)
        await asyncio.sleep(CONFIG_S + PLAY_S)
        stopped.set()
        await orders
    finally:
        deployment.stop()
    sent_s_by_id = {sent["id"]: sent["s"] for sent in record.events("sent")}
    late = [
        run["id"]
        for run in record.events("run")
        if run["service"] == OLD and sent_s_by_id[run["id"]] > acknowledged_s + CONFIG_S
    ]
    if not (trouble and late):
        return []
    return [f"CONFIG: {OLD} ran {len(late)} orders sent later than `config`: {late}"]


if __name__ == "__main__":
    run_case(__file__, play)
