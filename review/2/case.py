"""A planned stop while consumers leave: the process ends in the drain."""

import asyncio
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import time

from standins import rig
from standins import store

SERVICES = ["ledger", "lookbook"]
GATEWAYS = 3  # one of them is stopped, a share of 0.33
CONSUMERS = 40
CONNECTIONS = 10
LEDGER_WORK_SECONDS = 2.0
LOOKBOOK_WORK_SECONDS = 0.02
REQUESTS = 6


def reset(raw_socket: socket.socket) -> None:
    raw_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    raw_socket.close()


class Consumer:
    """A consumer with a pool of open connections, which it has used before.

    When the gateway closes one of them, it gives up the pool and resets the rest,
    unless `waits` is set: then it closes each one after the gateway has.
    """

    def __init__(self, waits: bool):
        self._waits = waits
        self._pool: list[socket.socket] = []
        self._loop = asyncio.get_running_loop()

    async def connect(self, address: str, count: int) -> None:
        host, _, port = address.rpartition(":")
        for _ in range(count):
            raw_socket = socket.socket()
            raw_socket.setblocking(False)
            await self._loop.sock_connect(raw_socket, (host, int(port)))
            request = (
                f"GET /look/1 HTTP/1.1\r\nHost: {rig.HOST}\r\n"
                f"Request-Id: {random.getrandbits(64):016x}\r\nDeadline-Ms: 2500\r\n\r\n"
            )
            await self._loop.sock_sendall(raw_socket, request.encode())
            answer = await self._loop.sock_recv(raw_socket, 65536)
            if not answer.startswith(b"HTTP/1.1 200 "):
                raise rig.CannotRunError(f"answer before the stop: {answer!r}")
            self._pool.append(raw_socket)
            self._loop.add_reader(raw_socket, self._handle_end, raw_socket)

    def _handle_end(self, ended: socket.socket) -> None:
        leaving = [ended] if self._waits else self._pool
        self._pool = [each for each in self._pool if each not in leaving]
        for raw_socket in leaving:
            self._loop.remove_reader(raw_socket)
            if raw_socket is ended:
                raw_socket.close()
            else:
                reset(raw_socket)


async def main(
    record: rig.Record, folder: pathlib.Path, has_trouble: bool
) -> list[str]:
    used: set[str] = set()
    ips = [rig.choose_ip(used) for _ in range(1 + GATEWAYS)]
    platform = store.Store()
    await platform.start(ips[0])
    servers, tasks = await rig.start_servers(platform, SERVICES, 3, ips[0], record)
    for each in servers:
        is_ledger = each.service == "ledger"
        each.work_seconds = LEDGER_WORK_SECONDS if is_ledger else LOOKBOOK_WORK_SECONDS
        each.slots = 4 if is_ledger else 40
    platform.put(
        "op/config",
        rig.configuration(
            1,
            [
                rig.route(
                    "deposit", "/deposit/", "ledger", kind="unsafe", target_latency_s=2.5
                ),
                rig.route("look", "/look/", "lookbook"),
            ],
            SERVICES,
        ),
    )
    seeds = [f"{ip}:8649" for ip in ips[1:]]
    gateways = [
        rig.Gateway(f"front-north-{n}", ip, platform.address, seeds, folder, record)
        for n, ip in enumerate(ips[1:], start=1)
    ]
    gateway = gateways[0]
    caller = rig.Caller(record)
    try:
        for each_gateway in gateways:
            await each_gateway.start()
        for each_gateway in gateways:
            await each_gateway.wait_until_ready()
        await asyncio.sleep(3.0)
        # A control: with RESETS=0 the consumers close each connection after the gateway.
        waits = os.environ.get("RESETS", "1") == "0"
        consumers = [Consumer(waits) for _ in range(CONSUMERS)]
        await asyncio.gather(
            *(each.connect(gateway.front, CONNECTIONS) for each in consumers)
        )
        record.note(f"{CONSUMERS} consumers have {CONNECTIONS} connections each")
        await asyncio.sleep(0.5)
        started_at = time.monotonic()
        if has_trouble:
            gateway.signal(signal.SIGTERM)
        requests = []
        for _ in range(REQUESTS):
            await asyncio.sleep(2.0 / REQUESTS)
            requests.append(
                asyncio.create_task(
                    caller.send(gateway.front, "POST", "/deposit/1", b"1", 2800)
                )
            )
        await asyncio.gather(*requests)
        record.note(f"last answer {time.monotonic() - started_at:.2f} s after the stop")
        while has_trouble and gateway.returncode is None and time.monotonic() < started_at + 7:
            await asyncio.sleep(0.05)
        record.note(
            f"process ended with {gateway.returncode},"
            f" seen {time.monotonic() - started_at:.2f} s after the stop"
        )
        lines = gateway.log_path.read_text().splitlines()
        for line in lines[-6:]:
            record.note(f"log: {line.split('/')[-1][:300]}")
    finally:
        for task in tasks:
            task.cancel()
        for each_gateway in gateways:
            await each_gateway.end()
    ran = {request_id for each in servers for _, request_id, _ in each.runs}
    lost = [
        answer for answer in caller.answers if answer[3] == 0 and answer[1] in ran
    ]
    record.note(f"requests: {len(caller.answers)}, without an answer: {len(lost)}")
    if not lost:
        return []
    return [f"LOST: {len(lost)} of {len(caller.answers)} requests were passed on to"
            " a server and their connections ended without an answer"]


if __name__ == "__main__":
    sys.exit(rig.run_case(main, pathlib.Path(__file__).resolve().parent))
