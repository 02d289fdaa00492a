"""Stand-in for a server on the platform, with load reports and faults."""

import asyncio
import collections
import dataclasses
import socket
import struct
import time

from hyssopwind.platform import field_names


@dataclasses.dataclass(slots=True)
class ServerOptions:
    """Behaviour of a stand-in server, which tests may change while it runs.

    Attributes:
        server_id: id of the server.
        work_seconds: seconds that a request runs.
        slots: number of slots in its load report.
        slowdown_percent: time of a request in its load report, as percentage of
            the typical time.
        warmup_left_ms: remaining warm-up time that it reports, in milliseconds.
        scripted_answers: raw answers that replace its own, in this order; `ID`
            in an answer is replaced by the request id. `None` gives no answer,
            `b""` closes the connection, and does so directly after the answer
            that precedes it.
        crash_path_prefix: prefix of the targets that crash the server; none if
            empty.
        omits_load: whether it omits its load report.
        health_delay_seconds: seconds before it answers a probe.
        limit: requests per second that it states as its limit; none if empty.
        states_limit_to_probes: whether its answers to probes state its limit.
        states_limit_to_requests: whether its answers to requests state it.
    """

    server_id: str
    work_seconds: float = 0.01
    slots: int = 4
    slowdown_percent: int = 100
    warmup_left_ms: int = 0
    scripted_answers: "collections.deque[bytes | None]" = dataclasses.field(
        default_factory=collections.deque
    )
    crash_path_prefix: str = ""
    omits_load: bool = False
    health_delay_seconds: float = 0.0
    limit: str = ""
    states_limit_to_probes: bool = True
    states_limit_to_requests: bool = True


class StandInServer:
    """Answers probes and requests, and counts the requests that it ran.

    Attributes:
        options: its behaviour.
        executions: number of executions by request id.
        execution_times: start of each execution on the monotonic clock.
        arrivals: monotonic time and id of each request for this server.
        received_requests: head and body of each request.
        connection_count: number of connections so far.
        disconnect_count: number of connections that the client closed.
        running_count: number of requests that are running.
        address: IP address and port, empty before `start`.
    """

    def __init__(self, options: ServerOptions):
        self.options = options
        self.executions: collections.Counter[str] = collections.Counter()
        self.execution_times: list[float] = []
        self.arrivals: list[tuple[float, str]] = []
        self.received_requests: list[bytes] = []
        self.connection_count = 0
        self.disconnect_count = 0
        self.running_count = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listens on the loopback address; port 0 selects a free one."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def crash(self) -> None:
        """Closes the listener and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            raw_socket = writer.get_extra_info("socket")
            reset_on_close = struct.pack("ii", 1, 0)
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close
            )
            writer.transport.abort()

    async def close(self) -> None:
        """Crashes and waits until all connections have ended."""
        self.crash()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send_unsolicited(
        self, data: bytes, *, ends_output: bool = False
    ) -> None:
        """Sends bytes on all connections; `ends_output` closes their output."""
        for writer in self._writers:
            writer.write(data)
            if ends_output:
                writer.write_eof()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while await self._handle_request(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            # The client has disconnected and gets no answer.
            self.disconnect_count += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        header_fields = _parse_head(head)
        length = int(header_fields.get("content-length", "0"))
        body = await reader.readexactly(length)
        if head.startswith(b"GET /health "):
            await asyncio.sleep(self.options.health_delay_seconds)
            writer.write(self._make_health_answer())
            return True
        self.received_requests.append(head + body)
        request_id = header_fields.get(field_names.REQUEST_ID.lower(), "")
        expected_server = header_fields.get(
            field_names.EXPECTED_SERVER.lower(), ""
        )
        if expected_server not in ("", self.options.server_id):
            fields = {
                field_names.REQUEST_ID: request_id,
                field_names.SERVER_ID: self.options.server_id,
            }
            writer.write(_encode_answer(421, b"", fields))
            return True
        self.arrivals.append((time.monotonic(), request_id))
        self.executions[request_id] += 1
        self.execution_times.append(time.monotonic())
        target = head.split(b" ")[1].decode()
        if self.options.crash_path_prefix and target.startswith(
            self.options.crash_path_prefix
        ):
            self.crash()
            return False
        if self.options.scripted_answers:
            scripted = self.options.scripted_answers.popleft()
            if scripted is None:
                await reader.read()
                return False
            writer.write(scripted.replace(b"ID", request_id.encode()))
            if (
                self.options.scripted_answers
                and not self.options.scripted_answers[0]
            ):
                return self.options.scripted_answers.popleft() is None
            return bool(scripted)
        return await self._run_request(reader, writer, request_id, body)

    async def _run_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        body: bytes,
    ) -> bool:
        self.running_count += 1
        try:
            disconnect = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait(
                {disconnect}, timeout=self.options.work_seconds
            )
            if done:
                self.disconnect_count += 1
                return False
            disconnect.cancel()
            await asyncio.gather(disconnect, return_exceptions=True)
        finally:
            self.running_count -= 1
        answer_fields = {
            field_names.REQUEST_ID: request_id,
            field_names.SERVER_STAMP: "s",
        }
        if self.options.limit and self.options.states_limit_to_requests:
            answer_fields[field_names.SERVER_LIMIT] = self.options.limit
        writer.write(_encode_answer(200, b"ran " + body, answer_fields))
        return True

    def _make_health_answer(self) -> bytes:
        options = self.options
        header_fields = {field_names.SERVER_ID: options.server_id}
        if not options.omits_load:
            header_fields[field_names.LOAD] = (
                f"{self.running_count},0,{options.slots},{options.slowdown_percent}"
            )
        if options.warmup_left_ms:
            header_fields[field_names.WARMUP_LEFT] = str(options.warmup_left_ms)
        if options.limit and options.states_limit_to_probes:
            header_fields[field_names.SERVER_LIMIT] = options.limit
        return _encode_answer(200, b"", header_fields)


def _parse_head(head: bytes) -> dict[str, str]:
    header_fields = {}
    for line in head.decode().split("\r\n")[1:]:
        name, separator, value = line.partition(":")
        if separator:
            header_fields[name.strip().lower()] = value.strip()
    return header_fields


def _encode_answer(
    status: int, body: bytes, header_fields: dict[str, str]
) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in header_fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
