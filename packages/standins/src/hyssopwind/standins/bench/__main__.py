"""Runs all benchmarks and prints their figures as JSON lines and a table."""

import asyncio
import json
import pathlib
import statistics
import tempfile

from hyssopwind.standins.bench import decisions
from hyssopwind.standins.bench import request_path
from hyssopwind.standins.bench import scaling
from hyssopwind.standins.virtual import comparison

SEEDS = (1, 2, 3)
LOAD_RATIOS = (0.15, 0.6, 0.65, 0.7)


def print_figure(name: str, size: str, value: float, unit: str) -> None:
    """Prints one figure as a line of JSON."""
    line = {"name": name, "size": size, "value": round(value, 4), "unit": unit}
    print(json.dumps(line))


def run_scaling() -> None:
    """Measures the cost of decisions, background work and memory."""
    for services, servers in ((4, 30), (60, 700), (240, 2800)):
        size = f"{services} services, {servers} servers"
        microseconds = decisions.measure_decision_microseconds(
            services, 6, servers
        )
        print_figure("a decision", size, microseconds, "us")
    for measurement in (
        *scaling.measure_settings_parsing(),
        *scaling.measure_settings_change(),
        *scaling.measure_vm_lists(),
        *scaling.measure_ticks(),
        *scaling.measure_node_memory(),
        *scaling.measure_key_record_memory(),
    ):
        print_figure(
            measurement.name,
            measurement.size,
            measurement.value,
            measurement.unit,
        )


def run_path() -> None:
    """Measures the request path through a daemon and through the forwarder."""
    with tempfile.TemporaryDirectory(prefix="hyssopwind-") as directory:
        report = asyncio.run(request_path.measure_path(pathlib.Path(directory)))
    print(request_path.to_json(report))
    print(f"{'':12}{'p50 ms':>9}{'p99 ms':>9}{'calls/s':>9}")
    for name in ("direct", "forwarder", "daemon"):
        figures = getattr(report, name)
        print(
            f"{name:12}{figures.p50:9.3f}{figures.p99:9.3f}{figures.rate:9.0f}"
        )
    direct, forwarder, daemon = report.direct, report.forwarder, report.daemon
    print_figure("added p50", "light load", daemon.p50 - direct.p50, "ms")
    print_figure("added p99", "light load", daemon.p99 - direct.p99, "ms")
    added = (daemon.p50 - direct.p50) / (forwarder.p50 - direct.p50)
    print_figure(
        "added p50 against the forwarder", "light load", added, "ratio"
    )
    added = (daemon.p99 - direct.p99) / (forwarder.p99 - direct.p99)
    print_figure(
        "added p99 against the forwarder", "light load", added, "ratio"
    )
    print_figure(
        "calls a second", "one core", daemon.rate / forwarder.rate, "ratio"
    )
    print_figure(
        "processor without calls", "daemon", report.processor_idle, "cores"
    )
    print_figure("resident", "daemon", report.resident_idle, "MB")
    print_figure("resident", "forwarder", report.resident_forwarder, "MB")


def run_comparison() -> None:
    """Compares the strategies of server selection in virtual time."""
    for size in (comparison.MARCHETTI, comparison.CHIMBORAZO):
        for load in LOAD_RATIOS:
            p99_ratios = []
            for seed in SEEDS:
                plan = comparison.ComparisonPlan(
                    size, load, comparison.MEASURED_SECONDS, seed
                )
                results = {
                    strategy: comparison.measure(plan, factory)
                    for strategy, factory in comparison.CLIENT_FACTORIES.items()
                }
                candidate, baseline = (
                    results["pool owner"],
                    results["own counts"],
                )
                p99_ratios.append(candidate.p99_seconds / baseline.p99_seconds)
                scenario = f"{size.name}, load {load}, seed {seed}"
                print_figure(
                    "p99 with own counts",
                    scenario,
                    baseline.p99_seconds * 1000,
                    "ms",
                )
                print_figure(
                    "p99 with pool owner",
                    scenario,
                    candidate.p99_seconds * 1000,
                    "ms",
                )
                print_figure(
                    "choices that waited",
                    scenario,
                    candidate.admission_request_ratio,
                    "share",
                )
                print_figure(
                    "peak at a server",
                    scenario,
                    candidate.max_in_flight,
                    "requests",
                )
            scenario = f"{size.name}, load {load}, median of {len(SEEDS)} seeds"
            print_figure(
                "p99 against own counts",
                scenario,
                statistics.median(p99_ratios),
                "",
            )


def main() -> None:
    """Runs all benchmarks."""
    run_path()
    run_scaling()
    run_comparison()


if __name__ == "__main__":
    main()
