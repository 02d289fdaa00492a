"""Runs all benchmarks: a JSON line for each figure, and a readable table."""

import asyncio
import json
import pathlib
import statistics
import tempfile

from hyssopwind.standins.bench import decisions
from hyssopwind.standins.bench import path
from hyssopwind.standins.bench import slopes
from hyssopwind.standins.virtual import comparison

SEEDS = (1, 2, 3)
LOADS = (0.15, 0.6, 0.65, 0.7)


def show(name: str, size: str, value: float, unit: str) -> None:
    """Prints one figure as JSON and as a row."""
    line = {"name": name, "size": size, "value": round(value, 4), "unit": unit}
    print(json.dumps(line))


def run_slopes() -> None:
    """Measures decisions and control."""
    for services, servers in ((4, 30), (60, 700), (240, 2800)):
        size = f"{services} services, {servers} servers"
        value = decisions.measure(services, 6, servers)
        show("a decision", size, value, "us")
    for measured in (
        *slopes.measure_settings(),
        *slopes.measure_configuration(),
        *slopes.measure_listings(),
        *slopes.measure_ticks(),
        *slopes.measure_memory(),
        *slopes.measure_records(),
    ):
        show(measured.name, measured.size, measured.value, measured.unit)


def run_path() -> None:
    """Measures the path of a request against the bare forwarder."""
    with tempfile.TemporaryDirectory(prefix="hyssopwind-") as directory:
        report = asyncio.run(path.measure_path(pathlib.Path(directory)))
    print(path.to_json(report))
    print(f"{'':12}{'p50 ms':>9}{'p99 ms':>9}{'calls/s':>9}")
    for name in ("direct", "forwarder", "daemon"):
        figures = getattr(report, name)
        print(
            f"{name:12}{figures.p50:9.3f}{figures.p99:9.3f}{figures.rate:9.0f}"
        )
    direct, bare, ours = report.direct, report.forwarder, report.daemon
    show("added p50", "light load", ours.p50 - direct.p50, "ms")
    show("added p99", "light load", ours.p99 - direct.p99, "ms")
    added = (ours.p50 - direct.p50) / (bare.p50 - direct.p50)
    show("added p50 against the forwarder", "light load", added, "ratio")
    added = (ours.p99 - direct.p99) / (bare.p99 - direct.p99)
    show("added p99 against the forwarder", "light load", added, "ratio")
    show("calls a second", "one core", ours.rate / bare.rate, "ratio")
    show("processor without calls", "daemon", report.processor_idle, "cores")
    show("resident", "daemon", report.resident_idle, "MB")
    show("resident", "forwarder", report.resident_forwarder, "MB")


def run_comparison() -> None:
    """Compares the ways to choose a server, on virtual time."""
    for size in (comparison.MARCHETTI, comparison.CHIMBORAZO):
        for load in LOADS:
            ratios = []
            for seed in SEEDS:
                plan = comparison.ComparisonPlan(
                    size, load, comparison.BENCHMARK_SECONDS, seed
                )
                found = {
                    way: comparison.measure(plan, factory)
                    for way, factory in comparison.WAYS.items()
                }
                ours, own = found["tell or ask"], found["own counts"]
                ratios.append(ours.p99 / own.p99)
                place = f"{size.name}, load {load}, seed {seed}"
                show("p99 with own counts", place, own.p99 * 1000, "ms")
                show("p99 with tell or ask", place, ours.p99 * 1000, "ms")
                show("choices that waited", place, ours.waited, "share")
                show("peak at a server", place, ours.peak, "requests")
            place = f"{size.name}, load {load}, median of {len(SEEDS)} seeds"
            show("p99 against own counts", place, statistics.median(ratios), "")


def main() -> None:
    """Runs all benchmarks."""
    run_path()
    run_slopes()
    run_comparison()


if __name__ == "__main__":
    main()
