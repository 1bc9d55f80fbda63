"""Measures how soon an idle upstream that turns sick is out of rotation.

``python -m bench.idle --runs 5`` starts three daemons, lets the probes of one
upstream, warm and idle, fail from a moment drawn at random, and prints the seconds
until its own daemon and until all three hold it for sick, for each run.
"""

import argparse
import random
import time

from chicorychute.health.probe import PROBE_PERIOD_S
from standins.demo import make_table
from standins.fleet import Fleet, Node

PLACES = [("r1", "r1-a", "orders"), ("r1", "r1-b", "orders"), ("r2", "r2-a", "orders")]
TARGET_S = 3.0 + PROBE_PERIOD_S
SEED = 1


def measure(phase_s: float) -> tuple[float, float]:
    """Return the seconds until one daemon and until all hold the upstream for sick."""
    with Fleet(PLACES, make_table(5000), extra_ini="probe = /probe") as fleet:
        sick = fleet.nodes[0]
        fleet.wait_for(lambda: _has(fleet, sick, "healthy"), "the end of warming up")
        time.sleep(phase_s)
        start_s = time.monotonic()
        fleet.set_faults(sick, fail_share=1.0)
        fleet.wait_for(lambda: _has(fleet, sick, "sick"), "the ejection")
        own_s = time.monotonic() - start_s
        fleet.wait_for(lambda: _known_to_all(fleet, sick), "the ejection everywhere")
        return own_s, time.monotonic() - start_s


def _has(fleet: Fleet, node: Node, verdict: str) -> bool:
    return fleet.status(node)["upstreams"][0]["verdict"] == verdict


def _known_to_all(fleet: Fleet, sick: Node) -> bool:
    return all(
        digest["verdict"] == "sick"
        for viewer in fleet.nodes
        for member in fleet.status(viewer)["instances"]
        if member["instance"] == sick.instance
        for digest in member["upstreams"]
    )


def main() -> None:
    """Run and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    rng = random.Random(SEED)
    for _ in range(parser.parse_args().runs):
        own_s, all_s = measure(rng.uniform(0, PROBE_PERIOD_S))
        print(f"own_s={own_s:.2f} all_s={all_s:.2f} target_s={TARGET_S:.1f}")


if __name__ == "__main__":
    main()
