"""Runs scenarios of servers that state limits and reports breaches and use."""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile
import time

from hyssopwind.standins.limits import judging
from hyssopwind.standins.limits import rig
from hyssopwind.standins.limits import scenarios
from hyssopwind.standins.stops import __main__ as stops_main
from hyssopwind.standins.stops import rig as stop_rig
from hyssopwind.standins.virtual import limited_fleet

FLEET_SIZES = {
    "6": limited_fleet.TINY,
    "15": limited_fleet.SMALL,
    "102": limited_fleet.LARGE,
}


def make_report_line(
    name: str, seed: int, evidence: judging.Evidence, seconds: float
) -> dict[str, object]:
    """Returns the figures of one run, as they are written to the report."""
    uses = [use for use in judging.measure_use(evidence) if use.allowed]
    return {
        "scenario": name,
        "seed": seed,
        "arrivals": len(evidence.arrivals),
        "breaches": len(judging.find_breaches(evidence)),
        "over_mean": sum(
            use.count > use.allowed + judging.ALLOWED_SLACK for use in uses
        ),
        "use": round(judging.total_use_ratio(uses), 3) if uses else None,
        "late_to_leaving": len(
            judging.find_requests_after_leaving(evidence, 0.5)
        ),
        "broken_quiets": len(judging.find_broken_quiets(evidence)),
        "seconds": round(seconds, 1),
    }


def run_virtual(
    make_scenario: scenarios.MakeScenario, size: str, seed: int
) -> judging.Evidence:
    """Runs a scenario in a virtual fleet."""
    return limited_fleet.run_in_virtual_time(
        make_scenario(), FLEET_SIZES[size], seed
    ).evidence


async def run_processes(
    make_scenario: scenarios.MakeScenario, count: int, seed: int
) -> judging.Evidence:
    """Builds the gateway and runs a scenario with processes."""
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        await stop_rig.build(directory / "build")
        logs = directory / "logs"
        logs.mkdir()
        return await rig.run(
            make_scenario(), count, seed, directory / "build", logs
        )


def main() -> int:
    """Runs the scenarios; returns 1 if a server got more than its limit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="such as 1-3,7")
    parser.add_argument(
        "--fleet",
        choices=[*FLEET_SIZES, "processes"],
        default="15",
        help="size of the virtual fleet, or real processes",
    )
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--scenario", help="part of the names of scenarios")
    parser.add_argument("--report", type=pathlib.Path, help="file to append to")
    arguments = parser.parse_args()
    registries = [scenarios.SCENARIOS, scenarios.WITHDRAWALS]
    if arguments.fleet == "processes":
        registries = [scenarios.PROCESS_SCENARIOS]
    failed = False
    for seed in stops_main.parse_seeds(arguments.seeds):
        for registry in registries:
            for name in registry:
                if arguments.scenario and arguments.scenario not in name:
                    continue
                started_at = time.monotonic()
                make_scenario = registry.find(name)
                if arguments.fleet == "processes":
                    evidence = asyncio.run(
                        run_processes(make_scenario, arguments.processes, seed)
                    )
                else:
                    evidence = run_virtual(make_scenario, arguments.fleet, seed)
                line = make_report_line(
                    name, seed, evidence, time.monotonic() - started_at
                )
                failed = failed or any(
                    line[key]
                    for key in (
                        "breaches",
                        "over_mean",
                        "late_to_leaving",
                        "broken_quiets",
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
