import asyncio
import time
import unittest

import multidict

from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.ownership import codec
from hyssopwind.core.requests import classification
from hyssopwind.daemon import upstream

RUNS_ALONE = True  # real sockets and times

WHOLE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nServer-Start: a\r\nConnection: keep-alive, X-Once\r\n"
    b"X-Once: 1\r\nContent-Length: 5\r\n\r\nwhole"
)
# States which attempt it answers.
STATED_ANSWER = WHOLE_ANSWER.replace(
    b"Server-Start", b"Hyssopwind-Attempt: TOKEN\r\nServer-Start"
)
SHORT_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"
SHED_ANSWER = (
    b"HTTP/1.1 503 Busy\r\nServer-Shed: full\r\nRetry-After: 2\r\n"
    b"Content-Length: 0\r\n\r\n"
)
LARGE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000
CHUNKED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"
)


class FakeServer:
    """Answers each request of a connection with the next answer of its list.

    `None` sends no answer, `b""` closes the connection.
    """

    def __init__(self, *connections):
        self._connections = list(connections)
        self._writers = []
        self.opened_count = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        answers = self._connections[self.opened_count]
        self.opened_count += 1
        for answer in answers:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                token = head.partition(b"Hyssopwind-Attempt: ")[2][:16]
            except asyncio.IncompleteReadError:
                return
            if answer is None:
                await reader.read()
                return
            writer.write(answer.replace(b"TOKEN", token))
            if answer in (b"", SHORT_ANSWER) or answers[-1] == b"":
                writer.close()
                return

    def send_unsolicited(self, data):
        for writer in self._writers:
            writer.write(data)

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.close()


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *connections):
        self.server = FakeServer(*connections)
        self.address = await self.server.start()
        self.upstream = upstream.UpstreamClient()
        self.addAsyncCleanup(self.upstream.close)
        self.addCleanup(self.server.close)

    async def attempt(self, timeout_seconds=5.0, is_idempotent=True):
        request = classification.Request("GET", "/a?b", "/a", {}, b"")
        attempt_request = upstream.AttemptRequest(
            "s1",
            self.address,
            request,
            multidict.CIMultiDict(),
            time.monotonic() + timeout_seconds,
            1000,
            is_idempotent,
        )
        return await self.upstream.attempt(attempt_request)

    async def test_whole_answer_is_returned_without_hop_by_hop_fields(self):
        await self.start([WHOLE_ANSWER])
        result = await self.attempt()
        self.assertEqual(result.answer.body, b"whole")
        self.assertEqual(result.start_id, "a")
        names = {name.lower() for name, _ in result.answer.headers}
        self.assertFalse(names & {"connection", "x-once", "content-length"})
        stored = codec.encode_outcome(result.answer)
        self.assertEqual(codec.decode_outcome(stored), result.answer)

    async def test_chunked_answer_is_returned_whole(self):
        await self.start([CHUNKED_ANSWER])
        self.assertEqual((await self.attempt()).answer.body, b"whole")

    async def test_short_answer_is_a_failure(self):
        await self.start([SHORT_ANSWER], [SHORT_ANSWER])
        result = await self.attempt()
        broken = attempt_results.Failed(attempt_results.FailureKind.BROKEN)
        self.assertEqual(result, broken)

    async def test_large_answer_is_a_failure(self):
        await self.start([LARGE_ANSWER])
        result = await self.attempt()
        large = attempt_results.Failed(attempt_results.FailureKind.TOO_LARGE)
        self.assertEqual(result, large)

    async def test_shed_request_is_reported_with_its_retry_after(self):
        await self.start([SHED_ANSWER])
        self.assertEqual(await self.attempt(), attempt_results.Shed("", 2.0))

    async def test_request_on_a_refused_connection_was_never_run(self):
        await self.start([])
        self.server.close()
        result = await self.attempt()
        self.assertIs(
            attempt_results.classify_execution(result),
            attempt_results.Execution.NEVER,
        )

    async def test_request_past_its_deadline_is_not_sent(self):
        await self.start([WHOLE_ANSWER])
        result = await self.attempt(timeout_seconds=-1.0)
        withheld = attempt_results.Failed(attempt_results.FailureKind.WITHHELD)
        self.assertEqual(result, withheld)
        self.assertEqual(self.server.opened_count, 0)

    async def test_silent_connection_is_replaced_after_a_time_out(self):
        await self.start([STATED_ANSWER, None], [STATED_ANSWER])
        await self.attempt()
        result = await self.attempt(timeout_seconds=0.2)
        timed_out = attempt_results.Failed(
            attempt_results.FailureKind.TIMED_OUT
        )
        self.assertEqual(result, timed_out)
        self.assertEqual((await self.attempt()).answer.body, b"whole")
        self.assertEqual(self.server.opened_count, 2)

    async def test_open_connection_is_not_reused_for_non_idempotent(self):
        await self.start([STATED_ANSWER, None], [STATED_ANSWER])
        await self.attempt()
        result = await self.attempt(is_idempotent=False)
        self.assertEqual(result.answer.body, b"whole")
        self.assertEqual(self.server.opened_count, 2)

    # A faulty server wrote an earlier refusal again; the request, which it ran,
    # was sent to a second server.
    async def test_late_refusal_is_no_answer_to_a_non_idempotent_request(self):
        late = SHED_ANSWER + WHOLE_ANSWER
        await self.start([SHED_ANSWER, late], [WHOLE_ANSWER])
        await self.attempt(is_idempotent=False)
        result = await self.attempt(is_idempotent=False)
        self.assertEqual(result.answer.body, b"whole")

    # The bytes were read as the answer to the next request.
    async def test_late_answer_ends_an_idle_connection(self):
        shed = SHED_ANSWER.replace(
            b"Server-Shed", b"Hyssopwind-Attempt: TOKEN\r\nServer-Shed"
        )
        await self.start([STATED_ANSWER, STATED_ANSWER], [shed])
        await self.attempt()
        self.server.send_unsolicited(WHOLE_ANSWER)
        await asyncio.sleep(0.05)
        self.assertEqual(await self.attempt(), attempt_results.Shed("", 2.0))

    # Without a token, the answer to an earlier request was taken for that to
    # the next one on the connection.
    async def test_late_answer_without_a_token_is_no_answer_to_another(self):
        late = WHOLE_ANSWER.replace(b"whole", b"other")
        await self.start([WHOLE_ANSWER, late], [WHOLE_ANSWER], [WHOLE_ANSWER])
        for _ in range(3):
            result = await self.attempt()
            self.assertEqual(result.answer.body, b"whole")
        self.assertEqual(self.server.opened_count, 3)

    async def test_late_answer_to_a_probe_is_no_answer_to_a_request(self):
        report = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 51\r\n\r\n"
            b'{"start": "a", "cold": false, "draining": false   }'
        )
        await self.start([report, report], [WHOLE_ANSWER])
        self.assertIsNotNone(await self.upstream.probe(self.address))
        result = await self.attempt()
        self.assertEqual(result.answer.body, b"whole")

    async def test_connection_of_a_stating_server_is_used_again(self):
        await self.start([STATED_ANSWER, STATED_ANSWER])
        for _ in range(2):
            result = await self.attempt()
            self.assertEqual(result.answer.body, b"whole")
        self.assertEqual(self.server.opened_count, 1)

    async def test_answer_to_another_attempt_is_skipped(self):
        other = WHOLE_ANSWER.replace(
            b"Server-Start", b"Hyssopwind-Attempt: 0\r\nServer-Start"
        ).replace(b"whole", b"other")
        own = WHOLE_ANSWER.replace(
            b"Server-Start", b"Hyssopwind-Attempt: TOKEN\r\nServer-Start"
        )
        await self.start([own, other + own])
        for _ in range(2):
            result = await self.attempt()
            self.assertEqual(result.answer.body, b"whole")
        self.assertNotIn("Hyssopwind-Attempt", dict(result.answer.headers))

    # Clients got a success with an empty or short body.
    async def test_head_that_ends_with_the_connection_is_a_failure(self):
        ends = range(1, len(WHOLE_ANSWER))
        await self.start(*([WHOLE_ANSWER[:end], b""] for end in ends))
        for _ in ends:
            result = await self.attempt()
            self.assertIsInstance(result, attempt_results.Failed)
            self.assertIs(
                attempt_results.classify_execution(result),
                attempt_results.Execution.MAY_HAVE_RUN,
            )

    async def test_answer_cut_in_its_head_is_not_completed_by_another(self):
        other = SHED_ANSWER
        for end in range(1, WHOLE_ANSWER.index(b"\r\n\r\n") + 4):
            await self.start([WHOLE_ANSWER[:end] + other])
            result = await self.attempt(is_idempotent=False)
            self.assertEqual(
                result,
                attempt_results.Failed(attempt_results.FailureKind.GARBLED),
            )
            self.server.close()


if __name__ == "__main__":
    unittest.main()
