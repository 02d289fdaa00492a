"""A small picture of Marchetti: starts a fleet, calls it, shows a table."""

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
from hyssopwind.standins import fleet
from hyssopwind.standins import processes

CALLS_PER_SECOND = 200
PHASE_SECONDS = 3.0
LONGEST_MICROSECONDS = 60_000_000


@dataclasses.dataclass(slots=True)
class Row:
    """What happened to the calls of one service in one phase."""

    verdicts: collections.Counter[caller.Verdict] = dataclasses.field(
        default_factory=collections.Counter
    )
    places: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    times: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            1, LONGEST_MICROSECONDS, 3
        )
    )


class Picture:
    """Drives the calls and collects what happened."""

    def __init__(self, running: fleet.Fleet, session: aiohttp.ClientSession):
        self._running = running
        self._caller = caller.Caller(session)
        self._places = {
            str(server.port): server.data_centre
            for server in running.servers.values()
        }

    async def run_phase(self, seconds: float) -> dict[str, Row]:
        """Sends calls for some time; returns a row for each service."""
        rows: dict[str, Row] = collections.defaultdict(Row)
        services = sorted({s.service for s in self._running.servers.values()})
        daemons = list(self._running.daemons.values())
        turns = itertools.cycle(itertools.product(services, daemons))
        tasks = []
        started = time.monotonic()
        for number in range(int(seconds * CALLS_PER_SECOND)):
            service, daemon = next(turns)
            task = self._call(rows[service], service, daemon.callers, number)
            tasks.append(asyncio.create_task(task))
            due = started + (number + 1) / CALLS_PER_SECOND
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*tasks)
        return rows

    async def _call(
        self, row: Row, service: str, address: str, number: int
    ) -> None:
        path = f"/{service}/item-{number}"
        if number % 5 == 0:
            headers = {caller.KEY_HEADER: caller.new_key()}
            result = await self._caller.call(
                address, path, method="POST", body=b"deposit", headers=headers
            )
        else:
            result = await self._caller.call(address, path)
        row.verdicts[result.verdict] += 1
        row.places[self._places.get(result.served_by, "-")] += 1
        row.times.record_value(max(1, int(result.seconds * 1e6)))


def print_rows(title: str, rows: dict[str, Row]) -> None:
    """Prints a table of one phase."""
    print(f"\n{title}")
    head = ("service", "whole", "not run", "other", "p50 ms", "p99 ms")
    print("{:24}{:>8}{:>9}{:>7}{:>9}{:>9}  served in".format(*head))
    for service, row in sorted(rows.items()):
        whole = row.verdicts[caller.Verdict.WHOLE]
        not_run = row.verdicts[caller.Verdict.NOT_RUN]
        other = row.verdicts.total() - whole - not_run
        median = row.times.get_value_at_percentile(50) / 1000
        tail = row.times.get_value_at_percentile(99) / 1000
        places = ", ".join(
            f"{place} {count}" for place, count in sorted(row.places.items())
        )
        print(
            f"{service:24}{whole:8}{not_run:9}{other:7}"
            f"{median:9.2f}{tail:9.2f}  {places}"
        )


async def _run(directory: pathlib.Path) -> None:
    with processes.process_group(directory) as group:
        async with aiohttp.ClientSession() as session:
            running = fleet.Fleet(fleet.MARCHETTI, group, directory, session)
            print(
                "starting the platform, "
                "24 servers in 3 data centres and 6 daemons"
            )
            await running.start()
            picture = Picture(running, session)
            await picture.run_phase(1.0)
            print_rows(
                "all data centres in", await picture.run_phase(PHASE_SECONDS)
            )
            await running.set_data_centre("chicago", "out")
            await asyncio.sleep(1.0)
            print_rows("chicago out", await picture.run_phase(PHASE_SECONDS))
            await running.set_data_centre("chicago", "in")
            await asyncio.sleep(1.0)
            print_rows("chicago back", await picture.run_phase(PHASE_SECONDS))
            await _stop(running)


async def _stop(running: fleet.Fleet) -> None:
    """Stops all daemons as planned stops."""
    for name in running.daemons:
        running.group.terminate(name)
    statuses = []
    for name in running.daemons:
        statuses.append(await asyncio.to_thread(running.group.wait, name))
    print(f"\nall daemons stopped, exit statuses {statuses}")


def main() -> None:
    """Runs the picture."""
    with tempfile.TemporaryDirectory(prefix="hyssopwind-") as directory:
        asyncio.run(_run(pathlib.Path(directory)))


if __name__ == "__main__":
    main()
