"""Servers that send bytes without end which are no answer."""

import asyncio
import contextlib
import resource
import time
import tracemalloc
import unittest

from hyssopwind.core.attempts import attempt_results
from hyssopwind.platform import field_names
from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_gateway_case
from hyssopwind.transport import answers
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools

RUNS_ALONE = True  # real sockets and times

REQUEST = b"GET /x HTTP/1.1\r\nRequest-Id: r1\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
PIECE_BYTES = 65_536
# Start of the answer, and the bytes that are repeated without end.
ENDLESS = {
    "head without lines": (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    "head of many lines": (b"HTTP/1.1 200 OK\r\n", b"X-Y: z\r\n"),
    "no head": (b"", b"\x00\xff"),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body of stated length": (
        HEAD + b"Content-Length: 900000000000\r\n\r\n",
        b"x",
    ),
    "body without length": (HEAD + b"\r\n", b"x"),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + b"x" * 1_024 + b"\r\n",
    ),
    "tiny chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    "chunk extension": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;",
        b"x",
    ),
    "trailer": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ",
        b"x",
    ),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Y: z\r\n",
    ),
    "answers to other requests": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: no\r\nServer-Stamp: s\r\n"
        b"Content-Length: 1\r\n\r\nx",
    ),
}


class EndlessServer:
    """Sends bytes without end on each connection until it closes."""

    def __init__(self, start, repeated):
        self._start = start
        self._piece = repeated * max(1, PIECE_BYTES // len(repeated))
        self._server = None
        self._tasks = set()
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _handle(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while True:
                writer.write(self._piece)
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A daemon spends all its memory or time on an answer without end."""

    MAX_HELD_BYTES = 4_000_000
    MAX_MEMORY_BYTES = 4 * MAX_HELD_BYTES
    REQUEST_COUNT = 6
    TIMEOUT_SECONDS = 2.0

    async def request(self, pool, address):
        pooled = await pool.acquire(address)
        async with asyncio.timeout(self.TIMEOUT_SECONDS):
            await pooled.exchange(
                REQUEST,
                "GET",
                lambda answer: answer.fields.get("Request-Id", "r1") == "r1",
            )

    async def test_requests_end_soon_within_the_memory_of_the_pool(self):
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                server = EndlessServer(start, repeated)
                await server.start()
                pool = connection_pools.ConnectionPool(self.MAX_HELD_BYTES)
                tracemalloc.start()
                started_at = time.monotonic()
                cpu_before = time.process_time()
                results = await asyncio.gather(
                    *(
                        self.request(pool, server.address)
                        for _ in range(self.REQUEST_COUNT)
                    ),
                    return_exceptions=True,
                )
                elapsed = time.monotonic() - started_at
                cpu_seconds = time.process_time() - cpu_before
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                await server.close()
                for result in results:
                    self.assertIsInstance(result, connection.ExchangeError)
                self.assertLess(elapsed, self.TIMEOUT_SECONDS)
                self.assertLess(cpu_seconds, self.TIMEOUT_SECONDS)
                self.assertLess(peak_bytes, self.MAX_MEMORY_BYTES)

    async def test_pool_serves_again_after_endless_answers(self):
        server = EndlessServer(*ENDLESS["body without length"])
        await server.start()
        pool = connection_pools.ConnectionPool(self.MAX_HELD_BYTES)
        for _ in range(10):
            with self.assertRaises(connection.ExchangeError) as caught:
                await self.request(pool, server.address)
            kind = caught.exception.kind
            self.assertIs(kind, attempt_results.FailureKind.TOO_LARGE)
        await server.close()


class AnswerReaderBoundTest(unittest.TestCase):
    def test_head_in_single_bytes_is_read_in_linear_time(self):
        reader = answers.AnswerReader("GET")
        started_at = time.process_time()
        with self.assertRaises(answers.BadAnswerError):
            for _ in range(answers.MAX_HEAD_BYTES + 1):
                reader.feed(b"x")
        self.assertLess(time.process_time() - started_at, 1.0)


class EndlessServerGatewayTest(site_gateway_case.GatewayTestCase):
    """Callers of other servers wait while a server sends without end."""

    async def test_other_callers_are_served_while_a_server_never_ends(self):
        server = EndlessServer(*ENDLESS["chunks"])
        await server.start()
        self.addAsyncCleanup(server.close)
        await self.store.put(
            "servers/i-endless", documents.make_server_entry(server.address)
        )
        catalogue = self.daemon._platform_state.catalogue
        await self.wait_until(lambda: catalogue.find("i-endless") is not None)
        usage_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        results = await asyncio.gather(
            *(
                self.call("/safe/a", request_id=f"r{number}")
                for number in range(40)
            )
        )
        usage = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        statuses = [status for status, _, _ in results]
        self.assertGreaterEqual(statuses.count(200), 36)
        self.assertLess(usage - usage_before, 200_000)  # KB
        self.assertIn(field_names.REQUEST_ID.lower(), results[0][1])
