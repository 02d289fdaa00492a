"""Crowds of misbehaving callers, which read no answer."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable

from hyssopwind.standins.site import documents
from hyssopwind.standins.stops import plans

BODY_BYTES = 100_000
MISSING_BYTES = 3
# All of them may run at the servers, which share the process of the run.
PIPELINED_REQUESTS = 40
WORK_MS = 5
ANSWER_BYTES = 1_000

FindAddress = Callable[[plans.Listener], tuple[str, int]]


async def run(
    crowd: plans.Crowd, find_address: FindAddress, traffic_start: float
) -> None:
    """Connects the callers of a crowd, and disconnects them at its end.

    Args:
        crowd: the crowd.
        find_address: returns the address of a listener of its gateway.
        traffic_start: monotonic time in seconds from which `crowd.at` counts.
    """
    delay_seconds = traffic_start + crowd.at - time.monotonic()
    await asyncio.sleep(max(0.0, delay_seconds))
    address = find_address(crowd.listener)
    data = make_data(crowd.kind)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(crowd.seconds):
            await asyncio.gather(
                *(_send(address, data) for _ in range(crowd.caller_count))
            )


def make_data(kind: plans.CrowdKind) -> bytes:
    """Returns what each caller of a crowd sends."""
    query = f"work_ms={WORK_MS}&answer_bytes={ANSWER_BYTES}"
    target = f"/{plans.BROWSE.name}/crowd?{query}"
    prefix = f"{target} HTTP/1.1\r\nHost: {documents.HOST}"
    if kind is plans.CrowdKind.SILENT:
        return b""
    if kind is plans.CrowdKind.UNREAD_PIPELINES:
        return f"GET {prefix}\r\n\r\n".encode() * PIPELINED_REQUESTS
    head = f"POST {prefix}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    return head.encode() + b"x" * (BODY_BYTES - MISSING_BYTES)


async def _send(address: tuple[str, int], data: bytes) -> None:
    """Sends data and keeps the connection open until cancelled."""
    loop = asyncio.get_running_loop()
    with socket.socket() as raw_socket:
        raw_socket.setblocking(False)
        # The gateway may be stopped, or close the connection.
        with contextlib.suppress(OSError):
            await loop.sock_connect(raw_socket, address)
            await loop.sock_sendall(raw_socket, data)
        await asyncio.Event().wait()
