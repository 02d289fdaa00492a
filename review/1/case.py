"""Servers hand out wrong bytes; an unsafe request that has run is run again."""

import asyncio
import pathlib
import random
import sys
import time

from standins import http
from standins import rig
from standins import server
from standins import store

SERVICE = "booking-ledger"
SERVERS = 5
FAULTY_SERVERS = 1  # a share of 0.2
FULL_RATIO = 0.02
MAX_LATE_SECONDS = 0.3
CALLERS = 16
PERIODS = 12
WRONG_SECONDS = 4.0  # length of a period with wrong bytes
PAUSE_SECONDS = 1.0
CALLS_SECONDS = PERIODS * (WRONG_SECONDS + PAUSE_SECONDS)
WORK_SECONDS = (0.01, 0.05)


class FaultyServer(server.Server):
    """A server that is full at times and hands out wrong bytes.

    The order of the fields in its refusals varies. After it has refused a request for
    lack of room, additional bytes come late on this connection, in one of two ways: a
    copy of the refusal that ends early comes just before the next answer; or the next
    answer is truncated within its head, and a whole copy of the refusal follows it.
    """

    is_faulty = False
    garbled: dict[str, str] = {}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        refusal = b""
        try:
            while True:
                request = await http.read_message(reader)
                self.work_seconds = random.uniform(*WORK_SECONDS)
                request_id = request.fields.get("request-id", "")
                if request_id and random.random() < FULL_RATIO:
                    fields = [
                        ("Request-Id", request_id),
                        ("Server-Load", f"{self.slots},8,{self.slots},100"),
                        ("Not-Executed", "1"),
                    ]
                    random.shuffle(fields)
                    refusal = http.encode("HTTP/1.1 503 Full", dict(fields))
                    self._note(f"{self.name}: refused {request_id}")
                    writer.write(refusal)
                    continue
                answer = await self._answer(request)
                if request_id and refusal and self.is_faulty:
                    if random.random() < 0.5:
                        cut = random.randrange(1, refusal.index(b"\r\n\r\n"))
                        self._note(
                            f"{self.name}: before the answer to {request_id} comes a"
                            f" part of a refusal, {refusal[:cut]!r}"
                        )
                        self.garbled[request_id] = "part of a refusal"
                        answer = refusal[:cut] + answer
                    else:
                        cut = random.randrange(1, answer.index(b"\r\n\r\n"))
                        seconds = random.uniform(0.0, MAX_LATE_SECONDS)
                        self._note(
                            f"{self.name}: answer to {request_id} truncated to"
                            f" {answer[:cut]!r}; another copy of {refusal!r} in"
                            f" {seconds:.3f} s"
                        )
                        self.garbled[request_id] = "truncated answer"
                        asyncio.get_running_loop().call_later(
                            seconds, _send, writer, refusal
                        )
                        answer = answer[:cut]
                if request_id:
                    refusal = b""
                writer.write(answer)
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


async def main(
    record: rig.Record, folder: pathlib.Path, has_trouble: bool
) -> list[str]:
    used: set[str] = set()
    ips = [rig.choose_ip(used) for _ in range(2)]
    platform = store.Store()
    await platform.start(ips[0])
    servers, tasks = [], []
    for number in range(SERVERS):
        each = FaultyServer(f"i-{number}", SERVICE, record.note)
        await each.start(ips[0])
        servers.append(each)
        platform.put(f"servers/{each.name}", each.entry("north", rig.BORN_MS))
        tasks.append(asyncio.create_task(rig.report(platform, each, "north")))
    platform.put(
        "op/config",
        rig.configuration(
            1,
            [rig.route("deposit", "/deposit/", SERVICE, kind="unsafe", timeout_s=1.5)],
            [SERVICE],
        ),
    )
    gateway = rig.Gateway(
        "front-north-1", ips[1], platform.address, [f"{ips[1]}:8649"], folder, record
    )
    caller = rig.Caller(record)

    async def call_until(ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await caller.send(gateway.front, "POST", "/deposit/1", b"100")

    try:
        await gateway.start()
        await gateway.wait_until_ready()
        await asyncio.sleep(3.0)
        if has_trouble:
            faulty = servers[:FAULTY_SERVERS]
            tasks.append(asyncio.create_task(alternate(faulty, record)))
        ends_at = time.monotonic() + CALLS_SECONDS
        await asyncio.gather(*(call_until(ends_at) for _ in range(CALLERS)))
    finally:
        for task in tasks:
            task.cancel()
        await gateway.end()
    runs: dict[str, list[str]] = {}
    for each in servers:
        for _, request_id, _ in each.runs:
            runs.setdefault(request_id, []).append(each.name)
    twice = {key: names for key, names in runs.items() if len(names) > 1}
    refused = [
        answer[1]
        for answer in caller.answers
        if answer[3] in (408, 421, 429, 503) and answer[1] in runs
    ]
    for key, names in twice.items():
        record.note(f"RUN TWICE: {key} at {names}, {FaultyServer.garbled.get(key)}")
    for key in refused:
        record.note(f"RUN AND REFUSED: {key} at {runs[key]}")
    record.note(
        f"unsafe requests: {len(caller.answers)}, run twice: {len(twice)},"
        f" run and refused: {len(refused)}"
    )
    breaches = []
    if twice:
        breaches.append(
            f"TWICE: {len(twice)} of {len(caller.answers)} unsafe requests ran twice"
        )
    if refused:
        breaches.append(f"REFUSED: {len(refused)} were refused and had run")
    return breaches


if __name__ == "__main__":
    sys.exit(rig.run_case(main, pathlib.Path(__file__).resolve().parent))
