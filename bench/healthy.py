"""Counts false ejections over hours of healthy traffic.

``python -m bench.healthy --hours 300 --seed 101 [--sensitivity 1]`` replays
instance-hours of heavy-tailed traffic that no fault touches and prints JSON.
"""

import argparse
import json

from chicorychute.replay.detection import JudgeSimulation, MeasuredJudge
from chicorychute.replay.traffic import Traffic

SECONDS_PER_HOUR = 3600.0


def count(hours: float, seed: int, sensitivity: float) -> dict:
    """Return the ejections of a run as JSON values."""
    traffic = Traffic()
    run = JudgeSimulation(
        traffic, (), lambda clock: MeasuredJudge(clock, sensitivity), seed
    )
    measured = run.measure(hours * SECONDS_PER_HOUR / traffic.upstreams)
    return {
        "instance_hours": measured.instance_hours,
        "requests": measured.requests,
        "seed": seed,
        "sensitivity": sensitivity,
        "false_ejections": len(measured.ejections),
        "reasons": [ejection.reason for ejection in measured.ejections],
    }


def main() -> None:
    """Run and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hours", type=float, default=50.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sensitivity", type=float, default=1.0)
    options = parser.parse_args()
    found = count(options.hours, options.seed, options.sensitivity)
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
