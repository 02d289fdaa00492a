"""Runs scenarios of stops against real gateways and reports lost answers."""

import argparse
import asyncio
import collections
import json
import pathlib
import shutil
import sys
import tempfile

from hyssopwind.standins.stops import judging
from hyssopwind.standins.stops import rig
from hyssopwind.standins.stops import scenarios

MAX_PRINTED_FINDINGS = 6


def parse_seeds(text: str) -> list[int]:
    """Returns the seeds in a text.

    Examples:
        >>> parse_seeds("1-3,7")
        [1, 2, 3, 7]
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def make_report_line(result: rig.RunResult) -> str:
    """Returns a line of JSON with the counts and findings of a run."""
    counts = collections.Counter(each.verdict.value for each in result.judged)
    line = {
        "scenario": result.plan.scenario,
        "seed": result.plan.seed,
        "requests": len(result.judged),
        "verdicts": dict(sorted(counts.items())),
        "exits": [
            [status for _, status in timeline.exits]
            for timeline in result.timelines
        ],
        "findings": [judging.describe(each) for each in result.broken],
    }
    return json.dumps(line)


async def run_all(arguments: argparse.Namespace) -> int:
    """Runs the chosen scenarios with all seeds; returns the failed runs."""
    names = arguments.scenario or list(scenarios.SCENARIOS)
    failed_counts: collections.Counter[str] = collections.Counter()
    with tempfile.TemporaryDirectory(prefix="hyssopwind-") as text:
        directory = pathlib.Path(text)
        await rig.build(directory / "build")
        for seed in parse_seeds(arguments.seeds):
            for name in names:
                log_directory = directory / f"{name}-{seed}"
                log_directory.mkdir()
                plan = scenarios.draw(name, seed)
                if arguments.show_plans:
                    print(plan.describe())
                result = await rig.run(plan, directory / "build", log_directory)
                line = make_report_line(result)
                if arguments.report:
                    with arguments.report.open("a", encoding="utf-8") as stream:
                        stream.write(line + "\n")
                failed_counts[name] += bool(result.broken)
                print_result(result)
                if result.broken and arguments.keep_logs:
                    shutil.copytree(
                        log_directory,
                        arguments.keep_logs / log_directory.name,
                        dirs_exist_ok=True,
                    )
    for name in names:
        print(f"{name}: {failed_counts[name]} failed runs")
    return failed_counts.total()


def print_result(result: rig.RunResult) -> None:
    """Prints the outcome of a run and its first findings."""
    plan = result.plan
    broken = result.broken
    counts = collections.Counter(each.verdict.value for each in result.judged)
    shown = ", ".join(f"{count} {name}" for name, count in counts.items())
    print(
        f"{'FAILED' if broken else 'passed'} {plan.scenario} seed"
        f" {plan.seed}: {shown}",
        flush=True,
    )
    for each in broken[:MAX_PRINTED_FINDINGS]:
        print(f"  {judging.describe(each)}")
    if len(broken) > MAX_PRINTED_FINDINGS:
        print(f"  and {len(broken) - MAX_PRINTED_FINDINGS} more")


def main() -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="such as 1-50 or 3,7")
    parser.add_argument("--scenario", action="append")
    parser.add_argument("--report", type=pathlib.Path)
    parser.add_argument("--keep-logs", type=pathlib.Path)
    parser.add_argument("--show-plans", action="store_true")
    return 1 if asyncio.run(run_all(parser.parse_args())) else 0


if __name__ == "__main__":
    sys.exit(main())
