"""Benchmark of the request path: a daemon compared with a bare forwarder."""

import asyncio
import dataclasses
import json
import pathlib
import statistics
import time

import aiohttp

from hyssopwind.standins import process_fleet
from hyssopwind.standins import processes

ROUNDS = 5
LIGHT_LOAD_CALLS_PER_SECOND = 200
LIGHT_LOAD_SECONDS = 2.0
CLOSED_LOOP_CONNECTIONS = 8
CLOSED_LOOP_SECONDS = 2.0
WARM_UP_CALLS = 300
REQUEST_PATH = "/team/plain/x"


@dataclasses.dataclass(frozen=True, slots=True)
class PathFigures:
    """Figures of one target.

    Attributes:
        p50: median latency at light load, in milliseconds.
        p99: 99th percentile at light load, in milliseconds.
        rate: calls per second in a closed loop.
    """

    p50: float
    p99: float
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class PathReport:
    """Figures of all targets in one run, as medians of the rounds.

    Attributes:
        direct: calls directly to the server.
        forwarder: calls through the bare forwarder.
        daemon: calls through a daemon.
        processor_idle: cores that the daemon uses without calls.
        resident_idle: resident memory of the daemon in megabytes.
        resident_forwarder: resident memory of the forwarder in megabytes.
    """

    direct: PathFigures
    forwarder: PathFigures
    daemon: PathFigures
    processor_idle: float
    resident_idle: float
    resident_forwarder: float


async def measure_path(directory: pathlib.Path) -> PathReport:
    """Starts the three targets and measures them in turn in each round."""
    with processes.process_group(directory) as group:
        async with aiohttp.ClientSession() as session:
            plan = process_fleet.FleetPlan(
                ("only",),
                (
                    process_fleet.ServicePlan(
                        "team",
                        "plain",
                        slots=64,
                        declared_calls_per_second=100_000,
                        extra_settings="cold_start = { limit = 8, step = 1 }",
                    ),
                ),
                daemons_per_data_centre=1,
                server_module="hyssopwind.standins.bench.instant_server",
            )
            running_fleet = process_fleet.Fleet(plan, group, directory, session)
            await running_fleet.start()
            targets = _start_targets(running_fleet)
            await asyncio.sleep(1.0)
            return await _measure_targets(running_fleet, targets, session)


def _start_targets(running_fleet: process_fleet.Fleet) -> dict[str, str]:
    server = next(iter(running_fleet.servers.values()))
    port = processes.find_free_ports(1)[0]
    running_fleet.group.start(
        "forwarder",
        "hyssopwind.standins.bench.forwarder",
        ["--port", str(port), "--target", server.address],
    )
    daemon = next(iter(running_fleet.daemons.values()))
    return {
        "direct": server.address,
        "forwarder": f"127.0.0.1:{port}",
        "daemon": daemon.callers_address,
    }


async def _measure_targets(
    running_fleet: process_fleet.Fleet,
    targets: dict[str, str],
    session: aiohttp.ClientSession,
) -> PathReport:
    figures_by_target: dict[str, list[PathFigures]] = {
        name: [] for name in targets
    }
    for address in targets.values():
        for _ in range(WARM_UP_CALLS):
            await _call(session, address)
    for _ in range(ROUNDS):
        for name, address in targets.items():
            figures_by_target[name].append(
                await _measure_target(session, address)
            )
    daemon_pid = running_fleet.group.pid(next(iter(running_fleet.daemons)))
    idle_cores = await _measure_idle_cores(daemon_pid)
    medians = {
        name: _median_figures(rounds)
        for name, rounds in figures_by_target.items()
    }
    return PathReport(
        medians["direct"],
        medians["forwarder"],
        medians["daemon"],
        idle_cores,
        _read_resident_megabytes(daemon_pid),
        _read_resident_megabytes(running_fleet.group.pid("forwarder")),
    )


async def _measure_target(
    session: aiohttp.ClientSession, address: str
) -> PathFigures:
    latencies = await _run_light_load(session, address)
    rate = await _run_closed_loop(session, address)
    latencies.sort()
    return PathFigures(
        latencies[len(latencies) // 2] * 1000,
        latencies[int(len(latencies) * 0.99)] * 1000,
        rate,
    )


async def _call(session: aiohttp.ClientSession, address: str) -> float:
    started = time.perf_counter()
    async with session.get(f"http://{address}{REQUEST_PATH}") as response:
        await response.read()
        response.raise_for_status()
    return time.perf_counter() - started


async def _run_light_load(
    session: aiohttp.ClientSession, address: str
) -> list[float]:
    tasks = []
    started = time.perf_counter()
    for number in range(int(LIGHT_LOAD_CALLS_PER_SECOND * LIGHT_LOAD_SECONDS)):
        tasks.append(asyncio.create_task(_call(session, address)))
        due = started + (number + 1) / LIGHT_LOAD_CALLS_PER_SECOND
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
    return list(await asyncio.gather(*tasks))


async def _run_closed_loop(
    session: aiohttp.ClientSession, address: str
) -> float:
    end_time = time.perf_counter() + CLOSED_LOOP_SECONDS
    counts = await asyncio.gather(
        *(
            _call_repeatedly(session, address, end_time)
            for _ in range(CLOSED_LOOP_CONNECTIONS)
        )
    )
    return sum(counts) / CLOSED_LOOP_SECONDS


async def _call_repeatedly(
    session: aiohttp.ClientSession, address: str, end_time: float
) -> int:
    count = 0
    while time.perf_counter() < end_time:
        await _call(session, address)
        count += 1
    return count


def _median_figures(rounds: list[PathFigures]) -> PathFigures:
    return PathFigures(
        statistics.median(figures.p50 for figures in rounds),
        statistics.median(figures.p99 for figures in rounds),
        statistics.median(figures.rate for figures in rounds),
    )


async def _measure_idle_cores(pid: int, seconds: float = 5.0) -> float:
    """Returns the fraction of a core that a process uses without calls."""
    before = _read_processor_seconds(pid)
    await asyncio.sleep(seconds)
    return (_read_processor_seconds(pid) - before) / seconds


def _read_processor_seconds(pid: int) -> float:
    stat_fields_text = (
        pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    )
    user_ticks, system_ticks = stat_fields_text.split()[11:13]
    ticks_per_second = 100
    return (int(user_ticks) + int(system_ticks)) / ticks_per_second


def _read_resident_megabytes(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0


def to_json(report: PathReport) -> str:
    """Returns a report as a line of JSON."""
    return json.dumps(dataclasses.asdict(report))
