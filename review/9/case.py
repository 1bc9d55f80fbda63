"""A backend's entry is removed just after the store has cut the waiting watches."""

import asyncio
import random

from review.second.backend import Backend
from review.second.callers import send_in_turn
from review.second.fleet import CONFIG_S, DRAIN_S, HOST, UNSAFE_PATH, make_config
from review.second.main import Deployment, run_case
from review.second.record import Record

ZONES = ["z1", "z1", "z2", "z2"]
SERVICE = "orders"
ROUTES = [
    ["order", HOST, UNSAFE_PATH, "unsafe", "4000ms", "1200ms", 1, SERVICE, 2, None]
]
# Time for which the platform's rules want everything calm first.
CALM_S = 5.0
REMOVED_AFTER_CUT_S = 0.1
# The backend serves for `drain` after its removal and a little longer, and then ends.
ENDS_AFTER_REMOVAL_S = DRAIN_S + 1.0


def make_backend(*arguments: object) -> Backend:
    """Return a sound backend."""
    rng = random.Random(7)
    return Backend(*arguments, lambda path: rng.uniform(0.3, 0.6), rng)


async def play(record: Record, trouble: bool) -> list[str]:
    """Return the runs at the removed backend later than the rule allows."""
    deployment = Deployment(record, ZONES, [SERVICE] * len(ZONES))
    try:
        config = make_config(1, ROUTES, [SERVICE])
        await deployment.start(config, make_backend)
        await asyncio.sleep(CONFIG_S)
        stopped = asyncio.Event()
        orders = asyncio.create_task(
            send_in_turn(
                record,
                [daemon.outbound for daemon in deployment.daemons],
                UNSAFE_PATH,
                HOST,
                stopped,
            )
        )
        await asyncio.sleep(CALM_S)
        if trouble:
            cut = deployment.store.cut_waiting_watches()
            record.add("the store cut the waiting watches", count=cut)
        await asyncio.sleep(REMOVED_AFTER_CUT_S)
        # Its machine's watch waits for long at a time, so that it was cut.
        removed = deployment.backends[1 - deployment.first_reader(ZONES[0])]
        removed.unregister()
        removed_s = record.add("entry removed", backend=removed.id)
        await asyncio.sleep(ENDS_AFTER_REMOVAL_S)
        removed.stop()
        record.add("backend ended", backend=removed.id)
        await asyncio.sleep(2.0)
        stopped.set()
        await orders
    finally:
        deployment.stop()
    return [
        f"DRAIN: {run['id']} ran at {removed.id}"
        f" {run['s'] - removed_s:.2f} s after the removal"
        for run in record.events("run")
        if run["backend"] == removed.id and run["s"] > removed_s + DRAIN_S
    ]


if __name__ == "__main__":
    run_case(play)
