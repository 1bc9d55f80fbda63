"""The store loses an answer; later the machine that would make up for it goes down."""

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
# Above the wait of the watches by which a lost answer is noticed soon.
LONG_WAIT_MS = 10_000
LOSS_S = 1.0
# The core is stable, and all machines are in touch, 4 s after the disruption.
CALM_S = 5.0
DOWN_S = 3.5
DRAINING_AFTER_S = 0.1
# The backend serves for `drain` after its report and a little longer, and then ends.
ENDS_AFTER_REPORT_S = DRAIN_S + 3.0


def make_backend(*arguments: object) -> Backend:
    """Return a sound backend."""
    rng = random.Random(7)
    return Backend(*arguments, lambda path: rng.uniform(0.3, 0.6), rng)


async def play(record: Record, trouble: bool) -> list[str]:
    """Return the runs at the leaving backend later than the rule allows."""
    deployment = Deployment(record, ZONES, [SERVICE] * len(ZONES))
    store = deployment.store
    try:
        config = make_config(1, ROUTES, [SERVICE])
        await deployment.start(config, make_backend)
        down = deployment.first_reader(ZONES[0])
        leaving = deployment.backends[1 - down]
        await asyncio.sleep(CONFIG_S + CALM_S)
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
        if trouble:
            store.lose_answers(lambda wait_ms: wait_ms > LONG_WAIT_MS)
            record.add("the store loses answers")
        # A change of the list, whose answer to the second reader is lost.
        deployment.backends[2].register(cold_left="500ms")
        await asyncio.sleep(LOSS_S)
        store.lose_no_answers()
        record.add("the store loses no more answers", lost=store.lost_answers)
        await asyncio.sleep(CALM_S)
        if trouble:
            deployment.daemons[down].end()
            deployment.backends[down].stop()
            record.add("a machine lost power", machine=deployment.daemons[down].ip)
        await asyncio.sleep(DRAINING_AFTER_S)
        leaving.register("draining")
        report_s = record.add("draining acknowledged", backend=leaving.id)
        await asyncio.sleep(DOWN_S - DRAINING_AFTER_S)
        if trouble:
            deployment.daemons[down].start()
            record.add("the machine is back", machine=deployment.daemons[down].ip)
        await asyncio.sleep(ENDS_AFTER_REPORT_S - DOWN_S + DRAINING_AFTER_S)
        leaving.unregister()
        leaving.stop()
        record.add("backend ended", backend=leaving.id)
        await asyncio.sleep(2.0)
        stopped.set()
        await orders
    finally:
        deployment.stop()
    return [
        f"DRAIN: {run['id']} ran at {leaving.id}"
        f" {run['s'] - report_s:.2f} s after `draining` was acknowledged"
        for run in record.events("run")
        if run["backend"] == leaving.id and run["s"] > report_s + DRAIN_S
    ]


if __name__ == "__main__":
    run_case(play)
