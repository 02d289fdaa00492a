"""Callers of the gateways, which send requests at a fixed rate."""

import asyncio
import itertools
import math
import time
from collections.abc import Callable

from hyssopwind.platform import field_names
from hyssopwind.standins.links import judging
from hyssopwind.standins.site import documents

INTERVAL_SECONDS = 0.1
DEADLINE_SECONDS = 1.0
TIMEOUT_SECONDS = 1.5
# Callers reuse connections that were idle for up to 4/5 of the limit of 2 s.
MAX_IDLE_SECONDS = 1.6
_Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Caller:
    """Sends requests on the added and the moved route to one gateway.

    Attributes:
        probes: all requests so far.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        number: int,
        address: tuple[str, int],
        offset_seconds: float,
        newest_version: Callable[[], int],
    ):
        self.probes: list[judging.Probe] = []
        self._number = number
        self._address = address
        self._offset_seconds = offset_seconds
        self._newest_version = newest_version
        self._pending: dict[str, float] = {}
        self._idle: list[tuple[float, _Connection]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        try:
            due_at = time.monotonic() + self._offset_seconds
            for kind in itertools.cycle(judging.ProbeKind):
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                due_at += INTERVAL_SECONDS / len(judging.ProbeKind)
                task = asyncio.create_task(self._send(kind))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for _, (_, writer) in self._idle:
                writer.close()

    def has_pending(self, before: float) -> bool:
        """Whether requests that were sent before a time have not ended."""
        return any(sent_at < before for sent_at in self._pending.values())

    async def _send(self, kind: judging.ProbeKind) -> None:
        version = self._newest_version()
        probe = judging.Probe(
            f"p{next(self._numbers)}",
            self._number,
            kind,
            version,
            time.monotonic(),
        )
        self.probes.append(probe)
        self._pending[probe.request_id] = probe.sent_at
        prefix = "moved"
        if kind is judging.ProbeKind.ADDED:
            prefix = f"added-{version}"
        data = (
            f"GET /{prefix}/a HTTP/1.1\r\nHost: {documents.HOST}\r\n"
            f"{field_names.REQUEST_ID}: {probe.request_id}\r\n"
            f"{field_names.DEADLINE}: {round(DEADLINE_SECONDS * 1000)}\r\n\r\n"
        ).encode()
        connection = None
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                connection = self._take_idle()
                if connection is None:
                    connection = await asyncio.open_connection(*self._address)
                is_reusable = await self._exchange(probe, data, connection)
            if is_reusable:
                self._idle.append((time.monotonic(), connection))
                connection = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            probe.ended_at = math.inf
        finally:
            del self._pending[probe.request_id]
            if connection is not None:
                connection[1].transport.abort()

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            idle_since, connection = self._idle.pop()
            if time.monotonic() - idle_since <= MAX_IDLE_SECONDS:
                return connection
            connection[1].close()
        return None

    async def _exchange(
        self, probe: judging.Probe, data: bytes, connection: _Connection
    ) -> bool:
        """Reads the answer; returns whether the connection may be reused."""
        reader, writer = connection
        writer.write(data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        await reader.readexactly(int(fields.get("content-length", "0")))
        probe.status = int(lines[0].split()[1])
        probe.ended_at = time.monotonic()
        return fields.get("connection") != "close"
