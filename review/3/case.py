"""Servers hand out wrong bytes; a caller gets the answer to another request."""

import asyncio
import pathlib
import random
import sys
import time

from standins import http
from standins import rig
from standins import server
from standins import store

SERVICE = "lookbook"
SERVERS = 5
FAULTY_SERVERS = 1  # a share of 0.2
WRONG_RATIO = 0.02  # of the answers of a faulty server
MAX_LATE_SECONDS = 0.3
CALLERS = 16
PERIODS = 12
WRONG_SECONDS = 4.0  # length of a period with wrong bytes
PAUSE_SECONDS = 1.0
CALLS_SECONDS = PERIODS * (WRONG_SECONDS + PAUSE_SECONDS)
WORK_SECONDS = (0.01, 0.05)


class FaultyServer(server.Server):
    """A server that hands out wrong bytes.

    It truncates an answer within its head, and a second copy of the answer before
    it on this connection comes late, where the next answer is expected.
    """

    is_faulty = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        previous = b""
        try:
            while True:
                request = await http.read_message(reader)
                self.work_seconds = random.uniform(*WORK_SECONDS)
                answer = await self._answer(request)
                request_id = request.fields.get("request-id", "")
                if (
                    self.is_faulty
                    and request_id
                    and previous
                    and random.random() < WRONG_RATIO
                ):
                    cut = random.randrange(1, answer.index(b"\r\n\r\n"))
                    seconds = random.uniform(0.0, MAX_LATE_SECONDS)
                    self._note(
                        f"{self.name}: answer to {request_id} truncated to"
                        f" {answer[:cut]!r}; another copy of {previous!r} in"
                        f" {seconds:.3f} s"
                    )
                    asyncio.get_running_loop().call_later(
                        seconds, _send, writer, previous
                    )
                    writer.write(answer[:cut])
                else:
                    writer.write(answer)
                if request_id:
                    previous = answer
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def alternate(faulty: list[FaultyServer], record: rig.Record) -> None:
    """Lets servers hand out wrong bytes in some periods."""
    for _ in range(PERIODS):
        record.note("wrong bytes begin")
        for each in faulty:
            each.is_faulty = True
        await asyncio.sleep(WRONG_SECONDS)
        for each in faulty:
            each.is_faulty = False
        record.note("wrong bytes end")
        await asyncio.sleep(PAUSE_SECONDS)


def _send(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


async def call_until(
    address: str, ends_at: float, record: rig.Record, foreign: list[str]
) -> int:
    """Sends requests on a kept connection; returns how many were answered."""
    count = 0
    writer = None
    while time.monotonic() < ends_at:
        if writer is None:
            reader, writer = await asyncio.open_connection(*address.split(":"))
        request_id = f"{random.getrandbits(64):016x}"
        writer.write(
            f"GET /look/1 HTTP/1.1\r\nHost: {rig.HOST}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: 2500\r\n\r\n".encode()
        )
        try:
            answer = await asyncio.wait_for(http.read_message(reader), 4.0)
        except (OSError, EOFError, TimeoutError) as error:
            record.note(f"no answer to {request_id}: {error!r}")
            http.reset(writer)
            writer = None
            continue
        count += 1
        if answer.status >= 300:
            record.note(f"answer {request_id} {answer.status}")
        elif answer.body != f"{SERVICE} ran {request_id}\n".encode():
            kind = "FOREIGN ANSWER to"
            foreign.append(request_id)
            record.note(
                f"{kind} {request_id}: {answer.status} {answer.fields}"
                f" {answer.body!r}"
            )
        if answer.fields.get("connection") == "close":
            http.reset(writer)
            writer = None
    if writer is not None:
        http.reset(writer)
    return count


async def main(
    record: rig.Record, folder: pathlib.Path, has_trouble: bool
) -> list[str]:
    used: set[str] = set()
    ips = [rig.choose_ip(used) for _ in range(2)]
    platform = store.Store()
    await platform.start(ips[0])
    tasks = []
    faulty: list[FaultyServer] = []
    for number in range(SERVERS):
        each = FaultyServer(f"i-{number}", SERVICE, lambda text: None)
        if has_trouble and number < FAULTY_SERVERS:
            each._note = record.note
            faulty.append(each)
        await each.start(ips[0])
        platform.put(f"servers/{each.name}", each.entry("north", rig.BORN_MS))
        tasks.append(asyncio.create_task(rig.report(platform, each, "north")))
    platform.put(
        "op/config",
        rig.configuration(
            1, [rig.route("look", "/look/", SERVICE, timeout_s=1.2)], [SERVICE]
        ),
    )
    gateway = rig.Gateway(
        "front-north-1", ips[1], platform.address, [f"{ips[1]}:8649"], folder, record
    )
    foreign: list[str] = []
    try:
        await gateway.start()
        await gateway.wait_until_ready()
        await asyncio.sleep(3.0)
        tasks.append(asyncio.create_task(alternate(faulty, record)))
        ends_at = time.monotonic() + CALLS_SECONDS
        counts = await asyncio.gather(
            *(
                call_until(gateway.front, ends_at, record, foreign)
                for _ in range(CALLERS)
            )
        )
        record.note(f"answers: {sum(counts)}, of another request: {len(foreign)}")
    finally:
        for task in tasks:
            task.cancel()
        await gateway.end()
    if not foreign:
        return []
    return [f"MIXED: {len(foreign)} of {sum(counts)} answers belong to another request"]


if __name__ == "__main__":
    sys.exit(rig.run_case(main, pathlib.Path(__file__).resolve().parent))
