"""Compares server selection policies under several load patterns.

    python -m hyssopwind.standins.virtual.experiment [--seeds N] [--plot FILE]

It runs each policy with N seeds under each load pattern, prints a table of the
results, and writes a bar chart of the shares of requests that were answered
within the latency target to FILE as SVG.
"""

import argparse
import asyncio
import dataclasses
import pathlib
import statistics
from unittest import mock

from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import site_load
from hyssopwind.transport import boot_clock

PATTERNS = {
    "calm": site_load.LoadPlan(requests_per_second=25.0),
    "busy": site_load.LoadPlan(requests_per_second=45.0),
    "burst": site_load.LoadPlan(requests_per_second=40.0, burst_factor=2.2),
    "overload": site_load.LoadPlan(requests_per_second=110.0),
    "two slots": site_load.LoadPlan(
        slots_per_server=2,
        requests_per_second=25.0,
        burst_factor=2.0,
        congestion_factor=1,
    ),
    "no neighbours": site_load.LoadPlan(
        requests_per_second=60.0, disturbed_ratio=0.0
    ),
}
_COLOURS = ("#999999", "#cc7722", "#226699")
_ROW_PIXELS, _HEADING_PIXELS, _FULL_BAR_PIXELS = 14, 26, 300


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyRow:
    """Results of one load pattern under one policy, over all seeds.

    Attributes:
        pattern: name of the load pattern.
        policy: name of the policy.
        in_target_ratio: mean share of requests answered within the target.
        late_ratio: mean share of requests answered after the target.
        refused_ratio: mean share of refused requests.
        timed_out_ratio: mean share of requests that timed out.
        p99_seconds: median of the 99th percentiles of the latency, in seconds.
    """

    pattern: str
    policy: str
    in_target_ratio: float
    late_ratio: float
    refused_ratio: float
    timed_out_ratio: float
    p99_seconds: float


def run_plan(plan: site_load.LoadPlan, policy: str) -> site_load.OutcomeCounts:
    """Runs a plan under a policy in virtual time."""

    async def run() -> site_load.OutcomeCounts:
        event_loop = asyncio.get_running_loop()
        with mock.patch.object(
            boot_clock, "now", lambda: 100.0 + event_loop.time()
        ):
            return await site_load.LoadSimulation(plan, policy).run()

    return loop.run_virtual(run())


def compare_policies(pattern: str, seed_count: int) -> list[PolicyRow]:
    """Returns a row for each policy, from runs with seeds 1 to `seed_count`."""
    rows = []
    for policy in site_load.POLICIES:
        results = [
            run_plan(dataclasses.replace(PATTERNS[pattern], seed=seed), policy)
            for seed in range(1, seed_count + 1)
        ]
        rows.append(_summarize(pattern, policy, results))
    return rows


def _summarize(
    pattern: str, policy: str, results: list[site_load.OutcomeCounts]
) -> PolicyRow:
    p99_latencies = [
        statistics.quantiles(counts.latencies_seconds, n=100)[98]
        for counts in results
    ]
    return PolicyRow(
        pattern,
        policy,
        statistics.mean(c.ratio(c.in_target_count) for c in results),
        statistics.mean(c.ratio(c.late_count) for c in results),
        statistics.mean(c.ratio(c.refused_count) for c in results),
        statistics.mean(c.ratio(c.timed_out_count) for c in results),
        statistics.median(p99_latencies),
    )


def render_svg(rows: list[PolicyRow]) -> str:
    """Returns a bar chart of the shares answered within the target, as SVG."""
    elements = []
    top = 20
    previous_pattern = ""
    policy_names = list(site_load.POLICIES)
    for row in rows:
        if row.pattern != previous_pattern:
            top += _HEADING_PIXELS
            elements.append(f'<text x="8" y="{top - 6}">{row.pattern}</text>')
            previous_pattern = row.pattern
        colour = _COLOURS[policy_names.index(row.policy) % len(_COLOURS)]
        width = round(row.in_target_ratio * _FULL_BAR_PIXELS)
        elements.append(
            f'<rect x="8" y="{top}" width="{width}" height="{_ROW_PIXELS - 3}" '
            f'fill="{colour}"/><text x="{width + 14}" y="{top + 10}">'
            f"{row.in_target_ratio:.3f} {row.policy}</text>"
        )
        top += _ROW_PIXELS
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="620" '
        f'height="{top + 20}" font-family="sans-serif" font-size="11">'
        f'<text x="8" y="16">Share answered within the target</text>'
        f"{''.join(elements)}</svg>\n"
    )


def main() -> None:
    """Prints the table and writes the chart."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--plot", type=pathlib.Path)
    arguments = parser.parse_args()
    rows = []
    print("| pattern | policy | in target | late | refused | failed | p99 s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for pattern in PATTERNS:
        for row in compare_policies(pattern, arguments.seeds):
            rows.append(row)
            print(
                f"| {row.pattern} | {row.policy} | {row.in_target_ratio:.3f} "
                f"| {row.late_ratio:.3f} | {row.refused_ratio:.3f} "
                f"| {row.timed_out_ratio:.3f} "
                f"| {row.p99_seconds:.2f} |"
            )
    if arguments.plot is not None:
        arguments.plot.write_text(render_svg(rows), encoding="utf-8")


if __name__ == "__main__":
    main()
