"""Answers of servers that do not show what became of a request."""

import asyncio
from unittest import mock

from hyssopwind.standins.tests import site_gateway_case
from hyssopwind.transport import connection

RUNS_ALONE = True  # real sockets and times

REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
# Cut within a field, so that the refusal of another request continues it.
MERGED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: 3eHTTP/1.1 503 B\r\n"
    b"Request-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
STAMPED_BUSY = (
    b"HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
    b"Content-Length: 4\r\n\r\nbusy"
)


class DoubtfulAnswerTest(site_gateway_case.GatewayTestCase):
    def script(self, answer):
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(answer)

    # The request ran at a second server, or was answered 503 although it had
    # run.
    async def test_unsafe_request_is_not_repeated_after_a_merged_answer(self):
        self.script(MERGED)
        status, headers, _ = await self.call("/unsafe/a", "POST", b"x")
        self.assertEqual(status, 502)
        self.assertEqual(headers["hyssopwind-outcome"], "unknown")
        self.assertEqual(self.count_executions(), 1)

    async def test_safe_request_is_repeated_after_a_merged_answer(self):
        self.script(MERGED)
        self.servers[1].options.scripted_answers.clear()
        for number in range(4):
            status, _, body = await self.call(
                "/safe/a", request_id=f"r{number}"
            )
            self.assertEqual((status, body), (200, b"ran "))

    async def test_unsafe_request_is_repeated_after_a_refusal(self):
        self.script(REFUSAL)
        status, _, _ = await self.call("/unsafe/a", "POST", b"x")
        self.assertEqual(status, 503)
        self.assertEqual(self.count_executions(), 2)

    # The connection was used again.
    async def test_answer_that_no_server_gives_ends_the_connection(self):
        unstamped = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n"
        )
        self.script(unstamped)
        aborted = []
        abort = connection.ClientConnection.abort
        with mock.patch.object(
            connection.ClientConnection,
            "abort",
            lambda each: (aborted.append(each), abort(each)),
        ):
            status, _, _ = await self.call("/unsafe/a", "POST", b"x")
        self.assertEqual(status, 502)
        self.assertEqual(len(set(aborted)), 1)

    # Guards against a faulty server that writes an earlier refusal again.
    async def test_late_refusal_of_another_request_is_skipped(self):
        late = REFUSAL.replace(b"ID", b"other")
        whole = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
            b"Content-Length: 3\r\n\r\nran"
        )
        self.script(late + whole)
        status, _, body = await self.call("/unsafe/a", "POST", b"x")
        self.assertEqual((status, body), (200, b"ran"))
        self.assertEqual(self.count_executions(), 1)

    # The status promised that the request had not run, which the server had not
    # stated.
    async def test_status_of_a_refusal_without_a_statement_is_unknown(self):
        self.script(STAMPED_BUSY)
        status, headers, _ = await self.call("/unsafe/a", "POST", b"x")
        self.assertEqual(status, 502)
        self.assertNotIn("server-stamp", headers)
        self.assertEqual(self.count_executions(), 1)

    async def test_status_of_a_refusal_passes_for_an_idempotent_request(self):
        self.script(STAMPED_BUSY)
        status, _, body = await self.call("/safe/a")
        self.assertEqual((status, body), (503, b"busy"))

    # A late refusal of a probe has no id either, and was taken for a statement
    # about the request.
    async def test_request_without_an_id_gets_a_connection_of_its_own(self):
        await self.call("/unsafe/a", "POST", b"x")
        server = max(self.servers, key=lambda each: each.executions.total())
        before = server.connection_count
        lines = self.request("/unsafe/a", "POST").split(b"\r\n")
        lines = [each for each in lines if not each.startswith(b"Request-Id")]
        for _ in range(2):
            reader, writer = await self.connect()
            writer.write(b"\r\n".join(lines))
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            writer.close()
        opened = sum(each.connection_count for each in self.servers)
        self.assertGreaterEqual(opened, before + 2)
