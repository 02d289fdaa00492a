"""Runs scenarios of partitions from all servers and reports the figures."""

import argparse
import json
import pathlib
import sys
import time

from hyssopwind.standins.partitions import fleet
from hyssopwind.standins.partitions import judging
from hyssopwind.standins.partitions import scenarios
from hyssopwind.standins.stops import __main__ as stops_main


def main() -> int:
    """Runs the scenarios; returns 1 if a safety property was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="such as 1-3,7")
    parser.add_argument("--scenario", help="part of the names of scenarios")
    parser.add_argument("--report", type=pathlib.Path, help="file to append to")
    arguments = parser.parse_args()
    failed = False
    for seed in stops_main.parse_seeds(arguments.seeds):
        for registry in (scenarios.SCENARIOS, scenarios.UNAVAILABLE):
            for name in registry:
                if arguments.scenario and arguments.scenario not in name:
                    continue
                started_at = time.monotonic()
                evidence = fleet.run_in_virtual_time(
                    registry.find(name)(), seed
                )
                line = {
                    "scenario": name,
                    "seed": seed,
                    **judging.make_report(evidence),
                    "seconds": round(time.monotonic() - started_at, 1),
                }
                failed = failed or any(
                    line[key]
                    for key in (
                        "repeated_runs",
                        "broken_promises",
                        "excess_attempts",
                        "long_deadlines",
                        "defects",
                        "circles",
                        "forwarded_again",
                    )
                )
                text = json.dumps(line)
                print(text, flush=True)
                if arguments.report:
                    with arguments.report.open("a") as stream:
                        stream.write(text + "\n")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
