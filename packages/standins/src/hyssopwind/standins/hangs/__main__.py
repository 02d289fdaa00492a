"""Runs scenarios of servers that hang, in virtual time, and reports figures."""

import argparse
import json
import sys

from hyssopwind.standins.hangs import judging
from hyssopwind.standins.hangs import scenarios
from hyssopwind.standins.partitions import fleet

FAILURES = ("repeated_runs", "broken_promises", "excess_attempts", "defects")


def main() -> int:
    """Runs the scenarios; returns 1 if a promise to callers was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenarios", nargs="*", default=[])
    parser.add_argument("--seeds", type=int, nargs="*", default=[1])
    arguments = parser.parse_args()
    has_failed = False
    for name in scenarios.SCENARIOS:
        if arguments.scenarios and name not in arguments.scenarios:
            continue
        for seed in arguments.seeds:
            evidence = fleet.run_in_virtual_time(
                scenarios.SCENARIOS.find(name)(), seed
            )
            report = judging.make_report(evidence)
            print(
                json.dumps({"scenario": name, "seed": seed, **report}),
                flush=True,
            )
            has_failed |= any(report[failure] for failure in FAILURES)
    return 1 if has_failed else 0


if __name__ == "__main__":
    sys.exit(main())
