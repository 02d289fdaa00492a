"""Demonstration that starts a small fleet, calls it and prints tables."""

import asyncio
import collections
import dataclasses
import itertools
import pathlib
import tempfile
import time

import aiohttp
from hdrh import histogram

from hyssopwind.standins import caller
from hyssopwind.standins import process_fleet
from hyssopwind.standins import processes

CALLS_PER_SECOND = 200
PHASE_SECONDS = 3.0
MAX_LATENCY_MICROSECONDS = 60_000_000


@dataclasses.dataclass(slots=True)
class ServiceResults:
    """Results of the calls of one service in one phase.

    Attributes:
        verdicts: number of calls by verdict.
        data_centres: number of calls by data centre of the server.
        latencies_us: latencies in microseconds.
    """

    verdicts: collections.Counter[caller.Verdict] = dataclasses.field(
        default_factory=collections.Counter
    )
    data_centres: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies_us: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            1, MAX_LATENCY_MICROSECONDS, 3
        )
    )


class Demo:
    """Sends the calls and collects their results."""

    def __init__(
        self, running_fleet: process_fleet.Fleet, session: aiohttp.ClientSession
    ):
        self._fleet = running_fleet
        self._caller = caller.Caller(session)
        self._data_centres_by_port = {
            str(server.port): server.data_centre
            for server in running_fleet.servers.values()
        }

    async def run_phase(self, seconds: float) -> dict[str, ServiceResults]:
        """Sends calls for some seconds and returns the results by service."""
        results_by_service: dict[str, ServiceResults] = collections.defaultdict(
            ServiceResults
        )
        services = sorted({s.service for s in self._fleet.servers.values()})
        daemons = list(self._fleet.daemons.values())
        targets = itertools.cycle(itertools.product(services, daemons))
        tasks = []
        started = time.monotonic()
        for number in range(int(seconds * CALLS_PER_SECOND)):
            service, daemon = next(targets)
            call = self._call(
                results_by_service[service],
                service,
                daemon.callers_address,
                number,
            )
            tasks.append(asyncio.create_task(call))
            due = started + (number + 1) / CALLS_PER_SECOND
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*tasks)
        return results_by_service

    async def _call(
        self,
        service_results: ServiceResults,
        service: str,
        address: str,
        number: int,
    ) -> None:
        path = f"/{service}/item-{number}"
        if number % 5 == 0:
            headers = {caller.KEY_HEADER: caller.make_key()}
            result = await self._caller.call(
                address, path, method="POST", body=b"deposit", headers=headers
            )
        else:
            result = await self._caller.call(address, path)
        service_results.verdicts[result.verdict] += 1
        service_results.data_centres[
            self._data_centres_by_port.get(result.server_port, "-")
        ] += 1
        service_results.latencies_us.record_value(
            max(1, int(result.elapsed_seconds * 1e6))
        )


def print_results(
    title: str, results_by_service: dict[str, ServiceResults]
) -> None:
    """Prints the table of one phase."""
    print(f"\n{title}")
    headings = ("service", "whole", "not run", "other", "p50 ms", "p99 ms")
    print("{:24}{:>8}{:>9}{:>7}{:>9}{:>9}  served in".format(*headings))
    for service, service_results in sorted(results_by_service.items()):
        whole = service_results.verdicts[caller.Verdict.WHOLE]
        not_run = service_results.verdicts[caller.Verdict.NOT_RUN]
        other = service_results.verdicts.total() - whole - not_run
        p50_ms = service_results.latencies_us.get_value_at_percentile(50) / 1000
        p99_ms = service_results.latencies_us.get_value_at_percentile(99) / 1000
        data_centres = ", ".join(
            f"{data_centre} {count}"
            for data_centre, count in sorted(
                service_results.data_centres.items()
            )
        )
        print(
            f"{service:24}{whole:8}{not_run:9}{other:7}"
            f"{p50_ms:9.2f}{p99_ms:9.2f}  {data_centres}"
        )


async def _run(directory: pathlib.Path) -> None:
    with processes.process_group(directory) as group:
        async with aiohttp.ClientSession() as session:
            running_fleet = process_fleet.Fleet(
                process_fleet.DEMO_FLEET_PLAN, group, directory, session
            )
            print(
                "starting the platform, "
                "24 servers in 3 data centres and 6 daemons"
            )
            await running_fleet.start()
            demo = Demo(running_fleet, session)
            await demo.run_phase(1.0)
            print_results(
                "all data centres in", await demo.run_phase(PHASE_SECONDS)
            )
            await running_fleet.set_data_centre_state("chicago", "out")
            await asyncio.sleep(1.0)
            print_results("chicago out", await demo.run_phase(PHASE_SECONDS))
            await running_fleet.set_data_centre_state("chicago", "in")
            await asyncio.sleep(1.0)
            print_results("chicago back", await demo.run_phase(PHASE_SECONDS))
            await _stop(running_fleet)


async def _stop(running_fleet: process_fleet.Fleet) -> None:
    """Stops all daemons gracefully and prints their exit statuses."""
    for name in running_fleet.daemons:
        running_fleet.group.terminate(name)
    statuses = []
    for name in running_fleet.daemons:
        statuses.append(await asyncio.to_thread(running_fleet.group.wait, name))
    print(f"\nall daemons stopped, exit statuses {statuses}")


def main() -> None:
    """Runs the demonstration."""
    with tempfile.TemporaryDirectory(prefix="hyssopwind-") as directory:
        asyncio.run(_run(pathlib.Path(directory)))


if __name__ == "__main__":
    main()
