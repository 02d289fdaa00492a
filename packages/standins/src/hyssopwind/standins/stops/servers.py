"""Servers that record the arrival, work and disconnection of each request."""

import asyncio
import re
import time
import urllib.parse

from hyssopwind.platform import field_names
from hyssopwind.standins.stops import records

SLOTS = 1_000
_HEADER_LINE = re.compile(rb"\r\n([^:\r\n]+): *([^\r\n]*)")


class RecordingServer:
    """Works on each request as long as its query says.

    The query has the keys `work_ms` and `answer_bytes`.

    Attributes:
        server_id: its id.
        drops_requests: whether it stops work when the connection closes.
        records: the arrivals, in their order.
        address: IP address and port, empty before `start`.
    """

    def __init__(self, server_id: str, *, drops_requests: bool):
        self.server_id = server_id
        self.drops_requests = drops_requests
        self.records: list[records.ServerRecord] = []
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._running_count = 0

    async def start(self) -> None:
        """Listens on a free port of the loopback address."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def crash(self) -> None:
        """Breaks off all requests and closes everything."""
        now = time.monotonic()
        for record in self.records:
            if record.ended_at is None and record.disconnected_at is None:
                record.broke_off_at = now
        await self.close()

    async def recover(self) -> None:
        """Listens on the same address again."""
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(
            self._handle_connection, host, int(port)
        )

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while await self._handle_request(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass  # The gateway has closed the connection.
        except asyncio.CancelledError:
            pass  # The run is over.
        finally:
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = {
            name.decode().lower(): value.decode()
            for name, value in _HEADER_LINE.findall(head)
        }
        await reader.readexactly(int(fields.get("content-length", "0")))
        target = urllib.parse.urlsplit(head.split(b" ", 2)[1].decode())
        if target.path == "/health":
            load = f"{self._running_count},0,{SLOTS},100"
            answer_fields = {
                field_names.SERVER_ID: self.server_id,
                field_names.LOAD: load,
            }
            writer.write(_encode_answer(200, b"", answer_fields))
            return True
        request_id = fields.get(field_names.REQUEST_ID.lower(), "")
        record = records.ServerRecord(
            request_id, self.server_id, time.monotonic()
        )
        self.records.append(record)
        query = urllib.parse.parse_qs(target.query)
        record.began_at = time.monotonic()
        work_seconds = int(query["work_ms"][0]) / 1000
        if not await self._work(reader, work_seconds):
            record.disconnected_at = time.monotonic()
            if self.drops_requests:
                return False
            work_end = record.began_at + work_seconds
            await asyncio.sleep(max(0.0, work_end - time.monotonic()))
        record.ended_at = time.monotonic()
        answer_fields = {
            field_names.REQUEST_ID: request_id,
            field_names.SERVER_STAMP: "s",
        }
        body = b"x" * int(query["answer_bytes"][0])
        writer.write(_encode_answer(200, body, answer_fields))
        return True

    async def _work(self, reader: asyncio.StreamReader, seconds: float) -> bool:
        """Waits; returns whether the connection stayed open."""
        self._running_count += 1
        disconnect = asyncio.ensure_future(reader.read(1))
        try:
            done, _ = await asyncio.wait({disconnect}, timeout=seconds)
            return not done
        finally:
            self._running_count -= 1
            disconnect.cancel()
            await asyncio.gather(disconnect, return_exceptions=True)


def _encode_answer(
    status: int, body: bytes, header_fields: dict[str, str]
) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in header_fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
