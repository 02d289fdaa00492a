"""A server of a service: runs requests, tells its load, checks its own id."""

import asyncio
import time
from collections.abc import Callable

from standins import http


class Server:
    """Answers requests and health checks.

    Attributes:
        name: its id.
        service: its service.
        address: IP address and port.
        work_seconds: time for which a request runs.
        runs: time, request id and target of each request that it ran.
    """

    def __init__(
        self,
        name: str,
        service: str,
        note: Callable[[str], None],
        work_seconds: float = 0.05,
        slots: int = 4,
    ):
        self.name = name
        self.service = service
        self.address = ""
        self.work_seconds = work_seconds
        self.slots = slots
        self.runs: list[tuple[float, str, str]] = []
        self.state = "ready"
        self.sequence = 0
        self._note = note
        self._running = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, ip, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            http.reset(writer)

    def entry(self, zone: str, born: int) -> dict[str, object]:
        """Returns what the server writes to the store."""
        return {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "warmup_left_s": 0},
            "born": born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await http.read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: http.Message) -> bytes:
        load = f"{self._running},0,{self.slots},100"
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            return http.encode(
                f"HTTP/1.1 {status} Status",
                {"Instance-Id": self.name, "Server-Load": load},
            )
        request_id = request.fields.get("request-id", "")
        fields = {"Request-Id": request_id, "Server-Load": load}
        if not request_id:
            return http.encode(
                "HTTP/1.1 400 Bad Request", {**fields, "Not-Executed": "1"}
            )
        if request.fields.get("expect-instance", self.name) != self.name:
            return http.encode("HTTP/1.1 421 Misdirected", fields)
        if self._running >= self.slots + 8:
            return http.encode(
                "HTTP/1.1 503 Full", {**fields, "Not-Executed": "1"}
            )
        now = time.monotonic()
        self.runs.append((now, request_id, request.target))
        self._note(f"run {request_id} {request.target} at {self.name} ({self.service})")
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self._running -= 1
        fields["Server-Load"] = f"{self._running},0,{self.slots},100"
        fields["Server-Stamp"] = f"{self.name}.{request_id}"
        body = f"{self.service} ran {request_id}\n".encode()
        return http.encode("HTTP/1.1 200 OK", fields, body)
