"""Test cases with the process of a daemon and a crowd of callers."""

import asyncio
import contextlib
import multiprocessing
import os
import pathlib
import resource
import signal
import socket
import sys
import tempfile
import unittest

from hyssopwind.standins.site import documents
from hyssopwind.standins.site import ports
from hyssopwind.standins.site import server
from hyssopwind.standins.site import store

# Bounds of the tests; the settings of the daemon state the same limits.
MEMORY_MB = 100
MAX_FDS = 1_000
MAX_BODY_BYTES = 1_000_000
BODY_BYTES = 990_000
MISSING_BYTES = 3  # of a body that stops short
PIECE_BYTES = 1_000
CALLER_COUNT = 120
LOAD_SECONDS = 6.0
SERVER_COUNT = 2
SERVER_SLOTS = 64
PIECES_PER_TURN = 8  # so that 120 callers send all pieces in the time
START_TIMEOUT_SECONDS = 20.0
ANSWER_TIMEOUT_SECONDS = 10.0
SAMPLE_INTERVAL_SECONDS = 0.05


def run_servers(addresses):
    """Runs servers until the process ends; sends their addresses.

    They have a process of their own, as a crowd in the same process would keep
    them from accepting connections.
    """

    async def serve():
        servers = []
        for number in range(SERVER_COUNT):
            options = server.ServerOptions(f"i-{number}", slots=SERVER_SLOTS)
            servers.append(server.StandInServer(options))
            await servers[-1].start()
        addresses.send([each.address for each in servers])
        await asyncio.Event().wait()

    asyncio.run(serve())


def raise_descriptor_limit():
    """Lets this process and its children open the sockets of a crowd."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def make_head(target, method="GET", **fields):
    """Returns the head of a request; `_` in a name of a field means `-`."""
    headers = {
        "Host": documents.HOST,
        "Request-Id": "c1",
        "Deadline-Ms": "5000",
        **{name.replace("_", "-"): value for name, value in fields.items()},
    }
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def split(body):
    """Returns a body in pieces."""
    return [
        body[start : start + PIECE_BYTES]
        for start in range(0, len(body), PIECE_BYTES)
    ]


def make_body_pieces(way, target):
    """Returns the pieces of a request whose body stops short of its end."""
    body = b"x" * BODY_BYTES
    if way == "chunks":
        head = make_head(target, "POST", Transfer_Encoding="chunked")
        chunks = [b"%x\r\n%b\r\n" % (len(each), each) for each in split(body)]
        return [head, b"".join(chunks)[:-MISSING_BYTES]]
    head = make_head(target, "POST", Content_Length=str(BODY_BYTES))
    if way == "one piece":
        return [head + body[:-MISSING_BYTES]]
    return [head, *split(body[:-MISSING_BYTES])]


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """Crowds at the process of a daemon, and the bounds of the daemon.

    A subclass starts the process and sets `ports`, of which the first one is
    for callers.
    """

    load_seconds = LOAD_SECONDS
    pieces_per_turn = PIECES_PER_TURN
    get_target = "/safe/a"
    post_target = "/unsafe/a"
    max_fds_seen = 0

    @property
    def pid(self):
        """Id of the process of the daemon."""
        return self.process.pid

    @property
    def has_ended(self):
        """Whether the process of the daemon has ended."""
        return self.process.returncode is not None

    async def status(self, request, port):
        """Returns the status of the answer; 0 if there is none."""
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                try:
                    writer.write(request)
                    line = await reader.readuntil(b"\r\n")
                    return int(line.split()[1])
                finally:
                    writer.transport.abort()
        return 0

    @property
    def peak_mb(self):
        """Peak resident memory of the daemon in units of 1,000,000 bytes."""
        path = pathlib.Path(f"/proc/{self.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1_024 / 1_000_000
        return 0.0

    async def watch_descriptors(self):
        directory = f"/proc/{self.pid}/fd"
        while not self.has_ended:
            with contextlib.suppress(OSError):
                self.max_fds_seen = max(
                    self.max_fds_seen, len(os.listdir(directory))
                )
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)

    async def send_unread(self, port, pieces, receive_bytes=None):
        """Sends pieces, reads nothing and keeps the connection open."""
        loop = asyncio.get_running_loop()
        with socket.socket() as raw_socket:
            if receive_bytes is not None:
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
                )
            raw_socket.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.sock_connect(raw_socket, ("127.0.0.1", port))
                for number, piece in enumerate(pieces):
                    await loop.sock_sendall(raw_socket, piece)
                    if number % self.pieces_per_turn == 0:
                        await asyncio.sleep(0)
            await asyncio.sleep(self.load_seconds)

    async def run_crowd(self, send, count=CALLER_COUNT):
        """Runs `send` for each caller at once, for a bounded time."""
        watching = asyncio.create_task(self.watch_descriptors())
        tasks = [asyncio.create_task(send()) for _ in range(count)]
        await asyncio.wait(tasks, timeout=self.load_seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        watching.cancel()

    async def check_served(self):
        """Checks that the daemon lives, within its bounds, and serves."""
        get_status = await self.status(
            make_head(self.get_target), self.ports[0]
        )
        post = make_head(self.post_target, "POST", Content_Length="5")
        post_status = await self.status(post + b"hello", self.ports[0])
        self.assertFalse(self.has_ended, "the daemon ended")
        seen = (
            f"peak {self.peak_mb:.0f} MB, {self.max_fds_seen} descriptors,"
            f" GET {get_status}, POST {post_status}"
        )
        if os.environ.get("HYSSOPWIND_TEST_FIGURES"):
            print(f"{self.id().rpartition('.')[2]}: {seen}", flush=True)
        self.assertLess(self.peak_mb, MEMORY_MB, seen)
        self.assertLess(self.max_fds_seen, MAX_FDS, seen)
        self.assertEqual((get_status, post_status), (200, 200), seen)


class CallerCrowdTestCase(CrowdTestCase):
    """Starts a store, two servers and the process of a daemon."""

    async def asyncSetUp(self):
        raise_descriptor_limit()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.store = store.StandInStore()
        await self.store.start()
        await self.start_servers()
        await self.configure(1)
        self.ports = ports.find_free_ports(5)
        self.settings_path = pathlib.Path(directory.name) / "local.toml"
        self.settings_path.write_text(
            documents.render_settings(
                store_address=self.store.address,
                ports=self.ports[:4],
                memory_mb=MEMORY_MB,
                max_fds=MAX_FDS,
            )
        )
        await self.start_process()

    async def asyncTearDown(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.communicate()
        self.servers.kill()
        self.servers.join()
        await self.store.stop()

    async def start_servers(self):
        context = multiprocessing.get_context("spawn")
        receiver, sender = context.Pipe(duplex=False)
        self.servers = context.Process(target=run_servers, args=(sender,))
        self.servers.start()
        addresses = await asyncio.to_thread(receiver.recv)
        for number, address in enumerate(addresses):
            entry = documents.make_server_entry(address, slots=SERVER_SLOTS)
            await self.store.put(f"servers/i-{number}", entry)

    async def configure(self, version, **limits):
        routes = [
            documents.make_route_resource("safe", "/safe/", timeout_s=5.0),
            documents.make_route_resource(
                "unsafe", "/unsafe/", kind="unsafe", timeout_s=5.0
            ),
        ]
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_s": 5,
            "idle_timeout_s": 30,
            **limits,
        }
        await self.store.put(
            "op/config", documents.make_configuration(version, routes, **limits)
        )

    async def start_process(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            "-m",
            "hyssopwind.daemon.gateway",
            env={
                **os.environ,
                "PYTHONPATH": ":".join(sys.path),
                "HYSSOPWIND_BOOT": str(self.settings_path),
                "HYSSOPWIND_METRICS_PORT": str(self.ports[4]),
                "HYSSOPWIND_CALLERS_ADDRESS": f"127.0.0.1:{self.ports[0]}",
            },
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.max_fds_seen = 0
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while await self.status(make_head("/ready"), self.ports[1]) != 200:
                await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)

    async def stop_process(self):
        self.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(self.process.wait(), START_TIMEOUT_SECONDS)
