"""Client connections to servers that send faulty answers."""

import asyncio
import unittest

from hyssopwind.core.attempts import attempt_results
from hyssopwind.standins.site import server
from hyssopwind.transport import answers
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools

RUNS_ALONE = True  # real sockets and times

REQUEST = b"GET /x HTTP/1.1\r\nRequest-Id: r1\r\n\r\n"
WHOLE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
    b"Content-Length: 5\r\n\r\nwhole"
)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"
)
STRAY = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n"
    b"Content-Length: 5\r\n\r\nstray"
)
CHUNKED_STRAY = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n9\r\nst\r\n\r\nray\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n\r\nwhole"


def is_own(answer):
    return answer.fields.get("Request-Id") == "r1"


class ServerFaultTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = server.StandInServer(server.ServerOptions("i-1"))
        await self.server.start()
        self.connection = await self.connect()

    async def asyncTearDown(self):
        self.connection.abort()
        await self.server.close()

    async def connect(self):
        loop = asyncio.get_running_loop()
        host, _, port = self.server.address.rpartition(":")
        _, client = await loop.create_connection(
            lambda: connection.ClientConnection(self.server.address),
            host,
            int(port),
        )
        return client

    async def exchange(self, *script):
        self.server.options.scripted_answers.extend(script)
        async with asyncio.timeout(2.0):
            return await self.connection.exchange(REQUEST, "GET", is_own)

    async def expect_failure(self, *script):
        with self.assertRaises(connection.ExchangeError) as caught:
            await self.exchange(*script)
        self.assertFalse(self.connection.is_usable)
        return caught.exception.kind

    async def test_connection_is_usable_after_a_whole_answer(self):
        for answer in (WHOLE, CHUNKED):
            result = await self.exchange(answer)
            self.assertEqual(result.body, b"whole")
            self.assertTrue(self.connection.is_usable)
        self.assertEqual(self.server.connection_count, 1)

    async def test_extra_answer_ends_the_connection(self):
        result = await self.exchange(WHOLE + STRAY)
        self.assertEqual(result.body, b"whole")
        self.assertFalse(self.connection.is_usable)

    async def test_garbage_after_an_answer_ends_the_connection(self):
        for answer in (WHOLE, CHUNKED):
            with self.subTest(answer=answer):
                result = await self.exchange(answer + b"\x00garbage")
                self.assertEqual(result.body, b"whole")
                self.assertFalse(self.connection.is_usable)
                self.connection = await self.connect()

    async def test_answer_to_another_request_is_skipped(self):
        result = await self.exchange(STRAY + WHOLE)
        self.assertEqual(result.body, b"whole")
        self.assertFalse(self.connection.is_usable)

    # The end of a chunked answer was not found, so that the request waited for
    # bytes that had been read with it.
    async def test_own_answer_behind_a_chunked_one_is_read(self):
        for own in (WHOLE, CHUNKED):
            with self.subTest(own=own):
                result = await self.exchange(CHUNKED_STRAY + own)
                self.assertEqual(result.body, b"whole")
                self.assertFalse(self.connection.is_usable)
                self.connection = await self.connect()

    async def test_chunked_answer_in_pieces_of_any_size_is_read(self):
        data = CHUNKED_STRAY + CHUNKED
        for size in range(1, len(data)):
            reader = answers.AnswerReader("GET")
            for start in range(0, len(data), size):
                reader.feed(data[start : start + size])
            self.assertEqual(reader.answer.body, b"st\r\n\r\nray")
            self.assertEqual(bytes(reader.remaining), CHUNKED)

    async def test_unsolicited_bytes_end_an_idle_connection(self):
        await self.exchange(WHOLE)
        self.server.send_unsolicited(STRAY)
        await asyncio.sleep(0.05)
        self.assertFalse(self.connection.is_usable)

    async def test_truncated_body_fails_as_broken(self):
        kind = await self.expect_failure(WHOLE[:-2], b"")
        self.assertIs(kind, attempt_results.FailureKind.BROKEN)

    async def test_bytes_that_are_not_http_fail_as_garbled(self):
        kind = await self.expect_failure(b"\x01\x02 nothing of HTTP\r\n\r\n")
        self.assertIs(kind, attempt_results.FailureKind.GARBLED)

    async def test_answer_without_length_ends_with_its_connection(self):
        self.server.options.scripted_answers.extend([UNFRAMED])
        task = asyncio.create_task(
            self.connection.exchange(REQUEST, "GET", is_own)
        )
        await asyncio.sleep(0.05)
        self.assertFalse(task.done())
        self.server.send_unsolicited(b"", ends_output=True)
        result = await task
        self.assertEqual(result.body, b"whole")
        self.assertFalse(self.connection.is_usable)

    async def test_answer_without_length_fails_after_a_reset(self):
        self.server.options.scripted_answers.extend([UNFRAMED])
        task = asyncio.create_task(
            self.connection.exchange(REQUEST, "GET", is_own)
        )
        await asyncio.sleep(0.05)
        self.server.crash()
        with self.assertRaises(connection.ExchangeError):
            await task

    async def test_interim_answer_is_skipped(self):
        result = await self.exchange(b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE)
        self.assertEqual(result.body, b"whole")

    async def test_connection_that_the_server_closes_is_not_reused(self):
        closing = WHOLE.replace(b"Server-Stamp", b"Connection: close\r\nX-S")
        await self.exchange(closing)
        self.assertFalse(self.connection.is_usable)

    async def test_cancelled_exchange_ends_the_connection(self):
        self.server.options.scripted_answers.append(None)
        task = asyncio.create_task(
            self.connection.exchange(REQUEST, "GET", is_own)
        )
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertFalse(self.connection.is_usable)

    # A cancellation in the iteration of the event loop that read the answer
    # left an open connection that no pool held.
    async def test_exchange_cancelled_as_its_answer_comes_ends_the_connection(
        self,
    ):
        self.server.options.scripted_answers.append(None)
        task = asyncio.create_task(
            self.connection.exchange(REQUEST, "GET", is_own)
        )
        await asyncio.sleep(0.05)
        self.connection.data_received(WHOLE.replace(b"ID", b"r1"))
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertFalse(self.connection.is_usable)


class IdleConnectionTest(unittest.IsolatedAsyncioTestCase):
    # Idle connections above a lowered limit stayed open, so that the server
    # refused those of other daemons.
    async def test_idle_connections_beyond_the_limit_are_closed(self):
        stand_in = server.StandInServer(server.ServerOptions("i-1"))
        await stand_in.start()
        pool = connection_pools.ConnectionPool()
        opened = [await pool.acquire(stand_in.address) for _ in range(6)]
        for each in opened:
            pool.release(each)
        pool.limit_idle({stand_in.address: 2})
        await asyncio.sleep(0.05)
        self.assertEqual(stand_in.disconnect_count, 4)
        for each in [await pool.acquire(stand_in.address) for _ in range(4)]:
            pool.release(each)
        await asyncio.sleep(0.05)
        self.assertEqual(stand_in.disconnect_count, 6)
        pool.close()
        await stand_in.close()


class DeliveryTest(unittest.IsolatedAsyncioTestCase):
    """The kernel tells which bytes a server has not acknowledged."""

    # What the kernel held for a slow link counted as received.
    async def test_request_is_delivered_once_all_of_it_is_acknowledged(self):
        may_read = asyncio.Event()

        async def serve(reader, writer):
            await may_read.wait()
            while await reader.read(1_000_000):
                pass
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        _, opened = await asyncio.get_running_loop().create_connection(
            lambda: connection.ClientConnection("server"),
            *server.sockets[0].getsockname(),
        )
        data = bytes(30_000_000)
        attempt = asyncio.create_task(opened.exchange(data, "POST"))
        await asyncio.sleep(0.1)
        self.assertIsNone(opened.find_silent_since())
        may_read.set()
        async with asyncio.timeout(10.0):
            while opened.find_silent_since() is None:
                await asyncio.sleep(0.01)
        attempt.cancel()
        await asyncio.wait([attempt])
        self.assertIsNone(opened.find_silent_since())
