"""Runs scenarios of partitions from all servers and reports the figures."""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile
import time
from collections.abc import Callable

from hyssopwind.standins.partitions import fleet
from hyssopwind.standins.partitions import judging
from hyssopwind.standins.partitions import process_rig
from hyssopwind.standins.partitions import scenarios
from hyssopwind.standins.stops import __main__ as stops_main
from hyssopwind.standins.stops import rig as stop_rig

# Scenarios that are run with processes.
PROCESS_SCENARIOS = ("half, hang", "half, reset", "half, refuse new")
FAILURES = (
    "repeated_runs",
    "broken_promises",
    "excess_attempts",
    "long_deadlines",
    "defects",
    "circles",
)
Run = Callable[[scenarios.Scenario, int], judging.Evidence]


def run_all(
    run: Run, registries: list[scenarios.Scenarios], names: list[str], seed: int
) -> list[dict[str, object]]:
    """Runs scenarios with one seed and returns their figures."""
    lines = []
    for registry in registries:
        for name in registry:
            if name not in names:
                continue
            started_at = time.monotonic()
            evidence = run(registry.find(name)(), seed)
            line = {
                "scenario": name,
                "seed": seed,
                **judging.make_report(evidence),
                "seconds": round(time.monotonic() - started_at, 1),
            }
            print(json.dumps(line), flush=True)
            lines.append(line)
    return lines


def run_random(seed: int) -> list[dict[str, object]]:
    """Runs a random scenario and returns its figures."""
    started_at = time.monotonic()
    evidence = fleet.run_in_virtual_time(scenarios.make_random(seed), seed)
    line = {
        "scenario": "random",
        "seed": seed,
        **judging.make_report(evidence),
        "seconds": round(time.monotonic() - started_at, 1),
    }
    print(json.dumps(line), flush=True)
    return [line]


def main() -> int:
    """Runs the scenarios; returns 1 if a safety property was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="such as 1-3,7")
    parser.add_argument("--scenario", default="", help="part of their names")
    parser.add_argument(
        "--random",
        action="store_true",
        help="one scenario of random cuts and faults for each seed",
    )
    parser.add_argument(
        "--fleet",
        choices=("virtual", "processes"),
        default="virtual",
        help="virtual time, or real processes with some of the scenarios",
    )
    parser.add_argument("--processes", type=int, default=15)
    parser.add_argument("--logs", type=pathlib.Path, help="folder to keep logs")
    parser.add_argument("--report", type=pathlib.Path, help="file to append to")
    arguments = parser.parse_args()
    registries = [scenarios.SCENARIOS, scenarios.UNAVAILABLE]
    names = [
        name
        for registry in registries
        for name in registry
        if arguments.scenario in name
    ]
    with tempfile.TemporaryDirectory() as temporary:
        run: Run = fleet.run_in_virtual_time
        if arguments.fleet == "processes":
            names = [name for name in names if name in PROCESS_SCENARIOS]
            root = pathlib.Path(temporary) / "build"
            asyncio.run(stop_rig.build(root))
            logs = arguments.logs or pathlib.Path(temporary) / "logs"

            def run(
                scenario: scenarios.Scenario, seed: int
            ) -> judging.Evidence:
                kind = scenario.cuts[0].kind.name.lower()
                folder = logs / f"{kind}-{seed}"
                folder.mkdir(parents=True)
                return asyncio.run(
                    process_rig.run(
                        scenario, arguments.processes, seed, root, folder
                    )
                )

        lines = []
        for seed in stops_main.parse_seeds(arguments.seeds):
            if arguments.random:
                lines += run_random(seed)
            else:
                lines += run_all(run, registries, names, seed)
    if arguments.report:
        with arguments.report.open("a") as stream:
            stream.writelines(json.dumps(line) + "\n" for line in lines)
    return int(any(line[key] for line in lines for key in FAILURES))


if __name__ == "__main__":
    sys.exit(main())
