"""Measures the added latency and the calls a second against the baseline."""

import asyncio
import dataclasses
import json
import pathlib
import statistics
import time

import aiohttp

from hyssopwind.standins import fleet
from hyssopwind.standins import processes

ROUNDS = 5
LIGHT_RATE = 200  # calls a second
LIGHT_SECONDS = 2.0
CLOSED_CONNECTIONS = 8
CLOSED_SECONDS = 2.0
WARM_UP_CALLS = 300
PATH = "/team/plain/x"


@dataclasses.dataclass(frozen=True, slots=True)
class PathFigures:
    """Figures of one target, medians of the rounds.

    Attributes:
        p50: median latency at light load, in milliseconds.
        p99: 99th percentile at light load, in milliseconds.
        rate: calls a second of a closed loop.
    """

    p50: float
    p99: float
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class PathReport:
    """Direct calls, the bare forwarder and a daemon, in one run."""

    direct: PathFigures
    forwarder: PathFigures
    daemon: PathFigures
    processor_idle: float
    resident_idle: float
    resident_forwarder: float


async def measure_path(directory: pathlib.Path) -> PathReport:
    """Starts the three targets and measures them in turn."""
    with processes.process_group(directory) as group:
        async with aiohttp.ClientSession() as session:
            plan = fleet.FleetPlan(
                ("only",),
                (
                    fleet.ServicePlan(
                        "team",
                        "plain",
                        slots=64,
                        load=100_000,
                        extra="cold_start = { limit = 8, step = 1 }",
                    ),
                ),
                daemons=1,
                server_module="hyssopwind.standins.bench.instant_server",
            )
            running = fleet.Fleet(plan, group, directory, session)
            await running.start()
            targets = _start_targets(running)
            await asyncio.sleep(1.0)
            return await _measure_targets(running, targets, session)


def _start_targets(running: fleet.Fleet) -> dict[str, str]:
    server = next(iter(running.servers.values()))
    port = processes.find_free_ports(1)[0]
    running.group.start(
        "forwarder",
        "hyssopwind.standins.bench.forwarder",
        ["--port", str(port), "--target", server.address],
    )
    daemon = next(iter(running.daemons.values()))
    return {
        "direct": server.address,
        "forwarder": f"127.0.0.1:{port}",
        "daemon": daemon.callers,
    }


async def _measure_targets(
    running: fleet.Fleet,
    targets: dict[str, str],
    session: aiohttp.ClientSession,
) -> PathReport:
    rounds: dict[str, list[PathFigures]] = {name: [] for name in targets}
    for address in targets.values():
        for _ in range(WARM_UP_CALLS):
            await _call(session, address)
    for _ in range(ROUNDS):
        for name, address in targets.items():
            rounds[name].append(await _measure_one(session, address))
    daemon = running.group.pid(next(iter(running.daemons)))
    idle = await _measure_idle(daemon)
    figures = {name: _median(items) for name, items in rounds.items()}
    return PathReport(
        figures["direct"],
        figures["forwarder"],
        figures["daemon"],
        idle,
        _resident(daemon),
        _resident(running.group.pid("forwarder")),
    )


async def _measure_one(
    session: aiohttp.ClientSession, address: str
) -> PathFigures:
    times = await _light_load(session, address)
    rate = await _closed_loop(session, address)
    times.sort()
    return PathFigures(
        times[len(times) // 2] * 1000,
        times[int(len(times) * 0.99)] * 1000,
        rate,
    )


async def _call(session: aiohttp.ClientSession, address: str) -> float:
    started = time.perf_counter()
    async with session.get(f"http://{address}{PATH}") as response:
        await response.read()
        response.raise_for_status()
    return time.perf_counter() - started


async def _light_load(
    session: aiohttp.ClientSession, address: str
) -> list[float]:
    tasks = []
    started = time.perf_counter()
    for number in range(int(LIGHT_RATE * LIGHT_SECONDS)):
        tasks.append(asyncio.create_task(_call(session, address)))
        due = started + (number + 1) / LIGHT_RATE
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
    return list(await asyncio.gather(*tasks))


async def _closed_loop(session: aiohttp.ClientSession, address: str) -> float:
    end = time.perf_counter() + CLOSED_SECONDS
    counts = await asyncio.gather(
        *(_loop(session, address, end) for _ in range(CLOSED_CONNECTIONS))
    )
    return sum(counts) / CLOSED_SECONDS


async def _loop(
    session: aiohttp.ClientSession, address: str, end: float
) -> int:
    count = 0
    while time.perf_counter() < end:
        await _call(session, address)
        count += 1
    return count


def _median(items: list[PathFigures]) -> PathFigures:
    return PathFigures(
        statistics.median(item.p50 for item in items),
        statistics.median(item.p99 for item in items),
        statistics.median(item.rate for item in items),
    )


async def _measure_idle(pid: int, seconds: float = 5.0) -> float:
    """Returns the share of a core that a process uses without calls."""
    before = _processor_seconds(pid)
    await asyncio.sleep(seconds)
    return (_processor_seconds(pid) - before) / seconds


def _processor_seconds(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    ticks_per_second = 100
    return (int(user) + int(system)) / ticks_per_second


def _resident(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0


def to_json(report: PathReport) -> str:
    """Returns a report as one line of JSON."""
    return json.dumps(dataclasses.asdict(report))
