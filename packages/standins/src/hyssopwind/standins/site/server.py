"""Stand-in of a server on the platform: slots, load, draining, faults."""

import asyncio
import collections
import dataclasses
import socket
import struct
import time

from hyssopwind.platform import fields


@dataclasses.dataclass(slots=True)
class ServerOptions:
    """Behaviour of a stand-in server, which tests change as it runs.

    Attributes:
        server: its id.
        work: seconds that a request takes.
        slots: requests that it reports as its slots.
        slowdown: percent of the usual time, as reported.
        warmup_ms: milliseconds for which it says that it is cold.
        script: raw answers that go out, in turn, instead of its own; `None`
            gives no answer, `b""` closes the connection, also right after
            an answer before it.
        crash_path: the server crashes on requests whose target starts so.
        skips_load: whether it does not tell its load.
        health_delay: seconds that a health check waits for a slot.
    """

    server: str
    work: float = 0.01
    slots: int = 4
    slowdown: int = 100
    warmup_ms: int = 0
    script: "collections.deque[bytes | None]" = dataclasses.field(
        default_factory=collections.deque
    )
    crash_path: str = ""
    skips_load: bool = False
    health_delay: float = 0.0


class StandInServer:
    """Answers health checks and requests; counts what it ran."""

    def __init__(self, options: ServerOptions):
        self.options = options
        self.ran: collections.Counter[str] = collections.Counter()
        self.run_times: list[float] = []
        self.received: list[bytes] = []
        self.connections = 0
        self.cut = 0
        self.running = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listens on the loopback address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def crash(self) -> None:
        """Ends the listener and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            raw = writer.get_extra_info("socket")
            reset_on_close = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
            writer.transport.abort()

    async def close(self) -> None:
        """Crashes, and waits until all connections have ended."""
        self.crash()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send_unasked(self, data: bytes, *, ends: bool = False) -> None:
        """Sends bytes on all connections, and the end of each if wanted."""
        for writer in self._writers:
            writer.write(data)
            if ends:
                writer.write_eof()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            self.cut += 1  # The other side has left; nothing is answered.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        names = _parse_head(head)
        length = int(names.get("content-length", "0"))
        body = await reader.readexactly(length)
        if head.startswith(b"GET /health "):
            await asyncio.sleep(self.options.health_delay)
            writer.write(self._health())
            return True
        self.received.append(head + body)
        wanted = names.get(fields.EXPECTED_SERVER.lower(), "")
        if wanted not in ("", self.options.server):
            writer.write(_answer(421, b"", {}))
            return True
        request_id = names.get(fields.REQUEST_ID.lower(), "")
        self.ran[request_id] += 1
        self.run_times.append(time.monotonic())
        target = head.split(b" ")[1].decode()
        if self.options.crash_path and target.startswith(
            self.options.crash_path
        ):
            self.crash()
            return False
        if self.options.script:
            scripted = self.options.script.popleft()
            if scripted is None:
                await reader.read()
                return False
            writer.write(scripted.replace(b"ID", request_id.encode()))
            if self.options.script and not self.options.script[0]:
                return self.options.script.popleft() is None
            return bool(scripted)
        return await self._work(reader, writer, request_id, body)

    async def _work(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        body: bytes,
    ) -> bool:
        self.running += 1
        try:
            ended = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({ended}, timeout=self.options.work)
            if done:
                self.cut += 1
                return False
            ended.cancel()
            await asyncio.gather(ended, return_exceptions=True)
        finally:
            self.running -= 1
        answer = {fields.REQUEST_ID: request_id, fields.SERVER_STAMP: "s"}
        writer.write(_answer(200, b"ran " + body, answer))
        return True

    def _health(self) -> bytes:
        options = self.options
        names = {fields.SERVER_ID: options.server}
        if not options.skips_load:
            names[fields.LOAD] = (
                f"{self.running},0,{options.slots},{options.slowdown}"
            )
        if options.warmup_ms:
            names[fields.WARMUP_LEFT] = str(options.warmup_ms)
        return _answer(200, b"", names)


def _parse_head(head: bytes) -> dict[str, str]:
    names = {}
    for line in head.decode().split("\r\n")[1:]:
        name, separator, value = line.partition(":")
        if separator:
            names[name.strip().lower()] = value.strip()
    return names


def _answer(status: int, body: bytes, names: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in names.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
