"""Compares server selection policies under several load patterns.

    python -m hyssopwind.standins.virtual.experiment [--seeds N] [--plot FILE]

It runs each policy with N seeds, prints a table of the results, and writes a
bar chart of the shares within the target to FILE as SVG.
"""

import argparse
import asyncio
import dataclasses
import pathlib
import statistics
from unittest import mock

from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import site_load
from hyssopwind.transport import clock

PATTERNS = {
    "calm": site_load.LoadPlan(rate=25.0),
    "busy": site_load.LoadPlan(rate=45.0),
    "burst": site_load.LoadPlan(rate=40.0, burst=2.2),
    "overload": site_load.LoadPlan(rate=110.0),
    "two slots": site_load.LoadPlan(slots=2, rate=25.0, burst=2.0, crowding=1),
    "no neighbours": site_load.LoadPlan(rate=60.0, disturbed=0.0),
}
_COLOURS = ("#999999", "#cc7722", "#226699")
_BAR_PIXELS, _GAP_PIXELS, _FULL_WIDTH_PIXELS = 14, 26, 300


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results of one load pattern under one policy, over all seeds.

    Attributes:
        pattern: name of the load pattern.
        policy: name of the policy.
        in_target: mean share of requests answered within the target.
        late: mean share of requests answered after the target.
        refused: mean share of refused requests.
        failed: mean share of requests that timed out.
        tail: median of the 99th percentiles of the latency, in seconds.
    """

    pattern: str
    policy: str
    in_target: float
    late: float
    refused: float
    failed: float
    tail: float


def play(plan: site_load.LoadPlan, policy: str) -> site_load.Tally:
    """Runs a plan in virtual time."""

    async def run() -> site_load.Tally:
        event_loop = asyncio.get_running_loop()
        with mock.patch.object(clock, "now", lambda: 100.0 + event_loop.time()):
            return await site_load.LoadWorld(plan, policy).run()

    return loop.run_virtual(run())


def compare(pattern: str, seeds: int) -> list[Row]:
    """Returns a row for each policy, from runs with seeds 1 to `seeds`."""
    rows = []
    for policy in site_load.policies:
        tallies = [
            play(dataclasses.replace(PATTERNS[pattern], seed=seed), policy)
            for seed in range(1, seeds + 1)
        ]
        rows.append(_summarize(pattern, policy, tallies))
    return rows


def _summarize(
    pattern: str, policy: str, tallies: list[site_load.Tally]
) -> Row:
    p99_latencies = [
        statistics.quantiles(tally.latencies, n=100)[98] for tally in tallies
    ]
    return Row(
        pattern,
        policy,
        statistics.mean(t.share(t.in_target) for t in tallies),
        statistics.mean(t.share(t.late) for t in tallies),
        statistics.mean(t.share(t.refused) for t in tallies),
        statistics.mean(t.share(t.failed) for t in tallies),
        statistics.median(p99_latencies),
    )


def draw(rows: list[Row]) -> str:
    """Returns a bar chart of the shares answered within the target, as SVG."""
    parts = []
    top = 20
    previous = ""
    names = list(site_load.policies)
    for row in rows:
        if row.pattern != previous:
            top += _GAP_PIXELS
            parts.append(f'<text x="8" y="{top - 6}">{row.pattern}</text>')
            previous = row.pattern
        colour = _COLOURS[names.index(row.policy) % len(_COLOURS)]
        width = round(row.in_target * _FULL_WIDTH_PIXELS)
        parts.append(
            f'<rect x="8" y="{top}" width="{width}" height="{_BAR_PIXELS - 3}" '
            f'fill="{colour}"/><text x="{width + 14}" y="{top + 10}">'
            f"{row.in_target:.3f} {row.policy}</text>"
        )
        top += _BAR_PIXELS
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="620" '
        f'height="{top + 20}" font-family="sans-serif" font-size="11">'
        f'<text x="8" y="16">Share answered within the target</text>'
        f"{''.join(parts)}</svg>\n"
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
        for row in compare(pattern, arguments.seeds):
            rows.append(row)
            print(
                f"| {row.pattern} | {row.policy} | {row.in_target:.3f} "
                f"| {row.late:.3f} | {row.refused:.3f} | {row.failed:.3f} "
                f"| {row.tail:.2f} |"
            )
    if arguments.plot is not None:
        arguments.plot.write_text(draw(rows), encoding="utf-8")


if __name__ == "__main__":
    main()
