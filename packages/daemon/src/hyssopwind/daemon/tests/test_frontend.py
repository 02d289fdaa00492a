import asyncio
import dataclasses
import json
import random
import re
import unittest
from unittest import mock

from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.callers import caller_account
from hyssopwind.core.configuration import configuration_store
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import node
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import parsing
from hyssopwind.daemon import clock
from hyssopwind.daemon import frontend
from hyssopwind.daemon import metrics
from hyssopwind.daemon import serving
from hyssopwind.daemon import tracing
from hyssopwind.daemon.gateway import caller_resources
from hyssopwind.transport import boot_clock

RUNS_ALONE = True  # real sockets and times

TEAM_SETTINGS = """
[data_centres.chicago]
[services.ledger]
route = "/ledger"
max_request = "1KB"
idempotent_routes = ["/search"]
[services.ledger.load]
chicago = "1000/s"
"""
DAEMON_SETTINGS = """
name = "one"
data_centre = "chicago"
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
configuration = "http://127.0.0.1:4"
virtual_machines = "http://127.0.0.1:5"
[cluster]
entry_vms = 1
[keys]
signing_keys = ["a-signing-key-for-tests"]
"""
SERVER = vm_records.ServerVmRecord(
    service="team/ledger", data_centre="chicago", address="127.0.0.1:6"
)


class OffsetClock(clock.Clock):
    """Starts at 100 seconds, so that the node may back leases at once."""

    def now(self):
        return super().now() + 100.0


class FakeServers:
    """Answers attempts with the queued results, then with answers."""

    def __init__(self):
        self.attempt_requests = []
        self.results = []
        self.release = None
        self.cancelled_count = 0

    async def attempt(self, attempt_request):
        self.attempt_requests.append(attempt_request)
        try:
            if self.release is not None:
                await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        if self.results:
            return self.results.pop(0)
        answer = outcomes.Answered(
            200, (("X-Server", "s1"),), b"got " + attempt_request.request.body
        )
        return attempt_results.WholeAnswer(answer, "start", 0.001)


class FrontendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        settings = parsing.parse_daemon(DAEMON_SETTINGS, "d").value
        offset_clock = OffsetClock()
        identity = messages.DaemonIdentity("one", "start")
        self.monitor = invariants.InvariantMonitor()
        self.node = node.Node(
            identity, settings, random.Random(1), self.monitor, 0.0
        )
        self.servers = FakeServers()
        counters = metrics.Metrics()
        tracer = tracing.Tracer(
            documents.TraceSettings(), "one", random.Random(1)
        )
        self.serving = serving.Serving(
            self.node,
            offset_clock,
            self.servers,
            None,
            lambda _: None,
            tracer,
            counters,
        )
        timestamps = offset_clock.timestamps()
        self.node.apply_settings_listing(
            [configuration_store.TeamDocument("team", 1, TEAM_SETTINGS)],
            1,
            timestamps,
        )
        self.node.apply_vm_list(
            vm_records.VmList(1, {"s1": SERVER}, {}), timestamps
        )
        self.serving.set_phase(messages.Phase.SERVING)
        self.serving.tick()
        self.resources = caller_resources.CallerResources(
            asyncio.get_running_loop(),
            caller_resources.derive_limits(300_000_000, 0),
            random.Random(1),
        )
        self.addAsyncCleanup(self.check_account_is_empty)
        self.frontend = frontend.Frontend(
            self.node,
            offset_clock,
            self.serving.pipeline,
            tracer,
            counters,
            self.resources,
        )
        self.frontend.set_ready(True)
        await self.frontend.start("127.0.0.1:0")
        self.port = self.frontend.port
        self.addAsyncCleanup(self.frontend.close, 0.0)

    # What stays counted after the end of its connection is never free again.
    async def check_account_is_empty(self):
        account = self.resources.account
        for _ in range(100):
            if not account.connection_count:
                break
            await asyncio.sleep(0.01)
        counts = account.connection_count, account.running_count
        self.assertEqual((*counts, account.held_bytes), (0, 0, 0))

    async def send(self, text):
        """Sends raw text; returns the status line, fields and body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text.encode())
        data = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        return lines[0], fields, body

    def request(self, method="GET", path="/team/ledger/x", body="", **fields):
        lines = [f"{method} {path} HTTP/1.1", "Host: a", "Connection: close"]
        for name, value in fields.items():
            lines.append(f"{name.replace('_', '-')}: {value}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines) + "\r\n\r\n" + body

    def assert_problem(self, answer, status, slug, tag):
        line, fields, body = answer
        self.assertIn(f" {status} ", line)
        self.assertEqual(
            fields["content-type"].split(";")[0], "application/problem+json"
        )
        problem = json.loads(body)
        self.assertEqual(problem["type"], f"urn:hyssopwind:problem:{slug}")
        self.assertEqual(problem["outcome"], tag)
        self.assertEqual(fields["hyssopwind-outcome"], tag)

    async def test_answer_of_the_server_is_returned_with_its_outcome(self):
        line, fields, body = await self.send(self.request())
        self.assertIn(" 200 ", line)
        self.assertEqual(fields["hyssopwind-outcome"], "answered")
        self.assertEqual(body, b"got ")

    async def test_hop_by_hop_fields_are_not_forwarded(self):
        text = self.request(X_End="1", TE="trailers", Keep_Alive="5")
        await self.send(text.replace("close", "close, X-End"))
        names = {
            name.lower() for name in self.servers.attempt_requests[0].fields
        }
        self.assertFalse(names & {"x-end", "te", "keep-alive", "connection"})

    async def test_content_length_with_chunked_encoding_is_refused(self):
        text = self.request("POST", body="abcd", Transfer_Encoding="chunked")
        answer = await self.send(text)
        self.assert_problem(answer, 400, "malformed", "not-run")
        self.assertEqual(self.servers.attempt_requests, [])

    async def test_two_content_lengths_are_refused(self):
        text = self.request("POST", body="abcd", Content_Length="3")
        answer = await self.send(text)
        self.assert_problem(answer, 400, "malformed", "not-run")

    async def test_malformed_chunk_is_refused(self):
        text = self.request("PUT", Transfer_Encoding="chunked") + "zz\r\nab"
        answer = await self.send(text)
        self.assert_problem(answer, 400, "malformed", "not-run")
        self.assertEqual(self.servers.attempt_requests, [])

    async def test_oversized_body_is_refused(self):
        answer = await self.send(self.request("PUT", body="x" * 1001))
        self.assert_problem(answer, 413, "request-too-large", "not-run")

    async def test_slow_body_is_refused(self):
        with mock.patch.object(frontend, "BODY_READ_TIMEOUT_SECONDS", 0.05):
            text = self.request("PUT", Content_Length="10") + "part"
            answer = await self.send(text)
        self.assert_problem(answer, 408, "request-too-slow", "not-run")
        self.assertEqual(self.servers.attempt_requests, [])

    # A body of which one byte comes now and then held its memory for 10 s.
    async def test_body_slower_than_its_deadline_needs_is_refused(self):
        with mock.patch.object(frontend, "BODY_GRACE_SECONDS", 0.2):
            text = self.request(
                "PUT", Content_Length="100", X_Request_Timeout_Ms="600"
            )
            answer = await self.send(text + "part")
        self.assert_problem(answer, 408, "request-too-slow", "not-run")

    async def test_body_without_a_route_is_refused_before_it_is_read(self):
        text = self.request("PUT", "/team/none", Content_Length="1000000")
        answer = await self.send(text)
        self.assert_problem(answer, 404, "no-route", "not-run")

    async def test_body_without_memory_is_refused(self):
        limits = caller_resources.derive_limits(1_000, 0)
        self.resources.apply_limits(limits)
        answer = await self.send(self.request("PUT", body="x" * 900))
        self.assert_problem(answer, 503, "overloaded", "not-run")
        self.assertIn("retry-after", answer[1])

    # A granted reservation that was not counted at once was granted twice.
    async def test_waiting_bodies_are_granted_no_more_than_the_total(self):
        with mock.patch.object(caller_account, "BODY_COPIES", 100):
            limits = caller_resources.derive_limits(4_000_000, 0)
            self.resources.apply_limits(
                dataclasses.replace(
                    limits,
                    max_connections=dict.fromkeys(caller_account.Listener, 99),
                )
            )
            sent = [
                asyncio.create_task(self.send_short(1 + number // 2))
                for number in range(20)
            ]
            held = []
            while not all(task.done() for task in sent):
                held.append(self.resources.account.held_bytes)
                await asyncio.sleep(0.002)
        bodies_ratio = caller_account.LARGE_REQUESTS_RATIO
        highest = bodies_ratio * limits.total_bytes + 20 * 8_192
        self.assertLessEqual(max(held), highest)
        self.assertGreater(max(held), 300_000)

    async def send_short(self, piece_count):
        """Sends pieces of a body and disconnects before its end."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self.request("PUT", Content_Length="1000").encode())
        for _ in range(piece_count):
            await asyncio.sleep(0.05)
            writer.write(b"x" * 100)
        writer.transport.abort()

    async def test_pipelined_requests_are_answered_in_order(self):
        texts = [
            self.request("PUT", body=f"{number:0900}").replace("close", "x")
            for number in range(40)
        ]
        texts.append(self.request())
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write("".join(texts).encode())
        data = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        found = re.findall(rb"got (\d+)", data)
        self.assertEqual([int(each) for each in found], list(range(40)))

    async def test_running_request_counts_until_no_server_runs_it(self):
        ticket = await self.fetch_ticket()
        self.servers.release = asyncio.Event()
        text = self.request("POST", body="pay", Hyssopwind_Ticket=ticket)
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text.encode())
        while not self.servers.attempt_requests:
            await asyncio.sleep(0.001)
        writer.transport.abort()
        while self.frontend.active_request_count:
            await asyncio.sleep(0.001)
        self.assertEqual(self.resources.account.running_count, 1)
        self.assertGreater(self.resources.account.held_bytes, 0)
        self.servers.release.set()

    # The parser stopped one request before the queue was full, and nothing
    # made it go on: the last requests had no answer.
    async def test_requests_behind_a_body_in_pieces_are_all_answered(self):
        self.servers.release = asyncio.Event()
        head, body = self.request("PUT", body="b").split("\r\n\r\n")
        head = head.replace("close", "x")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(f"{head}\r\n\r\n".encode())
        await asyncio.sleep(0.05)
        writer.write(body.encode())
        while not self.servers.attempt_requests:
            await asyncio.sleep(0.001)
        text = "GET /team/ledger/x HTTP/1.1\r\nHost: a\r\n\r\n"
        writer.write((text * 33).encode())
        await asyncio.sleep(0.05)
        self.servers.release.set()
        data = b""
        async with asyncio.timeout(5.0):
            while data.count(b"HTTP/1.1 200") < 34:
                data += await reader.read(65_536)
        writer.close()

    # The parser stores trailers, up to 2 MB, which nothing counted.
    async def test_trailers_are_counted_and_bounded(self):
        text = self.request("PUT", Transfer_Encoding="chunked")
        text += "1\r\na\r\n0\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text.encode())
        await asyncio.sleep(0.05)
        earlier_bytes = self.resources.account.held_bytes
        trailer = f"X-T: {'t' * 10_000}\r\n".encode()
        writer.write(trailer * 5)
        await asyncio.sleep(0.1)
        held_bytes = self.resources.account.held_bytes - earlier_bytes
        self.assertGreater(held_bytes, 90_000)
        writer.write(trailer * 5)
        data = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        self.assertIn(b"HTTP/1.1 400", data)
        self.assertIn(b"not-run", data)

    async def test_short_trailers_are_accepted(self):
        text = self.request("PUT", Transfer_Encoding="chunked")
        text += "1;ext=1\r\na\r\n0\r\nX-T: t\r\n\r\n"
        answer = await self.send(text)
        self.assertIn(" 200 ", answer[0])
        self.assertEqual(answer[2], b"got a")

    # The parser keeps the fields of the last request, up to 2 MB, which a
    # silent connection held without being counted.
    async def test_fields_that_the_parser_keeps_are_counted(self):
        fields = {f"X_{number}": "t" * 10_000 for number in range(30)}
        text = self.request(**fields).replace("close", "x")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text.encode())
        await reader.read(1_000)
        await asyncio.sleep(0.05)
        held_bytes = self.resources.account.held_bytes
        writer.close()
        self.assertGreater(held_bytes, 600_000)

    # Between the end of a run and its answer, a reclamation closed the
    # connection, as its caller had sent nothing while it waited.
    async def test_reclamation_spares_a_run_that_has_just_ended(self):
        ticket = await self.fetch_ticket()
        self.servers.release = asyncio.Event()
        text = self.request("POST", body="pay", Hyssopwind_Ticket=ticket)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text.encode())
        while not self.servers.attempt_requests:
            await asyncio.sleep(0.001)
        await asyncio.sleep(caller_account.RECLAIM_SILENCE_SECONDS)
        account = self.resources.account
        finish = account.finish

        def finish_and_reclaim(holding):
            finish(holding)
            for each in account.find_reclaimable(boot_clock.now(), 1):
                self.resources._connections[each].reclaim()

        with mock.patch.object(account, "finish", finish_and_reclaim):
            self.servers.release.set()
            data = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        self.assertIn(b"HTTP/1.1 200", data)

    # The parser told only of another request, and the handler waited for 10 s.
    async def test_malformed_chunk_in_a_later_piece_is_refused(self):
        text = self.request("POST", Transfer_Encoding="chunked")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text.encode())
        await asyncio.sleep(0.05)
        writer.write(b"zz\r\nabcd\r\n0\r\n\r\n")
        data = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        self.assertIn(b"HTTP/1.1 400", data)
        self.assertIn(b"not-run", data)
        self.assertEqual(data.count(b"HTTP/1.1"), 1)

    # aiohttp's parser added the last trailer to the fields of the next request.
    async def test_trailer_is_no_field_of_the_next_request(self):
        first = self.request("PUT", Transfer_Encoding="chunked")
        first = first.replace("close", "x")
        for trailers in ("X-Trail: t\r\n", "X-A: a\r\nX-Trail: t\r\n"):
            for pause_seconds in (0.0, 0.05):
                self.servers.attempt_requests.clear()
                body = f"1\r\na\r\n0\r\n{trailers}\r\n"
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.port
                )
                writer.write((first + body).encode())
                await asyncio.sleep(pause_seconds)
                writer.write(self.request("PUT", body="b").encode())
                data = await asyncio.wait_for(reader.read(), 5.0)
                writer.close()
                self.assertEqual(data.count(b"HTTP/1.1 200"), 2)
                for each in self.servers.attempt_requests:
                    self.assertNotIn("X-Trail", dict(each.fields))

    # A body whose memory was reserved stopped when others came, kept its
    # reservation, and was answered 408 after 10 s.
    async def test_reserved_body_is_read_while_others_hold_the_rest(self):
        account = self.resources.account
        others = account.open(caller_account.Listener.CALLERS, boot_clock.now())
        others.is_waiting = True  # so that it is not reclaimed
        self.addCleanup(account.close, others)
        text = self.request("PUT", body="x" * 900)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text[:-100].encode())
        await asyncio.sleep(0.05)
        account.set_held(others, account.limits.total_bytes)
        writer.write(text[-100:-50].encode())
        await asyncio.sleep(0.05)
        writer.write(text[-50:].encode())
        data = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        self.assertIn(b"HTTP/1.1 200", data)

    # A body behind a declined upgrade stayed counted after its answer.
    async def test_request_behind_a_declined_upgrade_is_counted(self):
        first = self.request(Upgrade="websocket").replace("close", "Upgrade")
        second = self.request("PUT", body="x" * 900).replace("close", "x")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write((first + second[:-800]).encode())
        data = b""
        async with asyncio.timeout(5.0):
            while data.count(b"HTTP/1.1 200") < 1:
                data += await reader.read(65_536)
            for position in range(800, 0, -100):
                end = 100 - position or None
                writer.write(second[-position:end].encode())
                await asyncio.sleep(0.01)
            while data.count(b"HTTP/1.1 200") < 2:
                data += await reader.read(65_536)
        await asyncio.sleep(0.05)
        held_bytes = self.resources.account.held_bytes
        writer.close()
        self.assertLess(held_bytes, caller_account.CONNECTION_BYTES + 2_500)

    async def test_oversized_field_is_refused(self):
        answer = await self.send(self.request(X_Long="x" * 20_000))
        self.assertIn(" 400 ", answer[0])
        self.assertEqual(self.servers.attempt_requests, [])

    async def test_dot_segments_are_refused(self):
        answer = await self.send(self.request(path="/team/ledger/%2e%2e/x"))
        self.assert_problem(answer, 400, "malformed", "not-run")

    async def test_unknown_path_is_answered_with_no_route(self):
        answer = await self.send(self.request(path="/team/none"))
        self.assert_problem(answer, 404, "no-route", "not-run")

    async def test_post_without_a_key_is_refused_with_a_ticket(self):
        answer = await self.send(self.request("POST", body="pay"))
        self.assert_problem(answer, 428, "key-required", "not-run")
        ticket = answer[1]["hyssopwind-ticket"]
        self.assertTrue(ticket)

    async def test_post_on_an_idempotent_route_needs_no_key(self):
        text = self.request("POST", "/team/ledger/search", body="find")
        self.assertEqual((await self.send(text))[2], b"got find")

    async def fetch_ticket(self):
        text = self.request(path="/.hyssopwind/tickets?count=2")
        return json.loads((await self.send(text))[2])["tickets"][0]

    async def test_ticket_runs_once_and_the_answer_is_replayed(self):
        ticket = await self.fetch_ticket()
        text = self.request("POST", body="pay", Hyssopwind_Ticket=ticket)
        first = await self.send(text)
        second = await self.send(text)
        self.assertEqual(first[2], b"got pay")
        self.assertEqual(second[2], b"got pay")
        self.assertEqual(len(self.servers.attempt_requests), 1)

    async def test_resend_during_the_request_gets_the_same_answer(self):
        ticket = await self.fetch_ticket()
        self.servers.release = asyncio.Event()
        text = self.request("POST", body="pay", Hyssopwind_Ticket=ticket)
        sent = [asyncio.create_task(self.send(text)) for _ in range(3)]
        while not self.servers.attempt_requests:
            await asyncio.sleep(0.001)
        self.servers.release.set()
        bodies = [answer[2] for answer in await asyncio.gather(*sent)]
        self.assertEqual(bodies, [b"got pay"] * 3)
        self.assertEqual(len(self.servers.attempt_requests), 1)

    async def test_ticket_with_another_body_is_refused(self):
        ticket = await self.fetch_ticket()
        await self.send(
            self.request("POST", body="pay", Hyssopwind_Ticket=ticket)
        )
        answer = await self.send(
            self.request("POST", body="other", Hyssopwind_Ticket=ticket)
        )
        self.assert_problem(answer, 422, "key-reused", "not-run")

    async def test_forged_ticket_is_refused(self):
        answer = await self.send(
            self.request("POST", body="pay", Hyssopwind_Ticket="AAAA")
        )
        self.assert_problem(answer, 400, "malformed", "not-run")

    async def test_post_is_not_retried_after_a_broken_connection(self):
        ticket = await self.fetch_ticket()
        broken = attempt_results.Failed(attempt_results.FailureKind.BROKEN)
        self.servers.results = [broken]
        text = self.request("POST", body="pay", Hyssopwind_Ticket=ticket)
        answer = await self.send(text)
        self.assert_problem(answer, 502, "server-failed", "unknown")
        answer = await self.send(text)
        self.assert_problem(answer, 502, "server-failed", "unknown")
        self.assertEqual(len(self.servers.attempt_requests), 1)

    async def test_shed_post_is_retried(self):
        ticket = await self.fetch_ticket()
        self.servers.results = [attempt_results.Shed("start", 0.0)]
        text = self.request("POST", body="pay", Hyssopwind_Ticket=ticket)
        self.assertEqual((await self.send(text))[2], b"got pay")
        self.assertEqual(len(self.servers.attempt_requests), 2)

    async def test_get_is_cancelled_when_its_caller_disconnects(self):
        self.servers.release = asyncio.Event()
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self.request().encode())
        while not self.servers.attempt_requests:
            await asyncio.sleep(0.001)
        writer.transport.abort()
        while not self.servers.cancelled_count:
            await asyncio.sleep(0.001)
        # The task of the connection ends after that of the attempt.
        async with asyncio.timeout(5.0):
            while self.frontend.active_request_count:
                await asyncio.sleep(0.001)

    async def test_post_continues_when_its_caller_disconnects(self):
        ticket = await self.fetch_ticket()
        self.servers.release = asyncio.Event()
        text = self.request("POST", body="pay", Hyssopwind_Ticket=ticket)
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text.encode())
        while not self.servers.attempt_requests:
            await asyncio.sleep(0.001)
        writer.transport.abort()
        while self.frontend.active_request_count:
            await asyncio.sleep(0.001)
        self.servers.release.set()
        await self.serving.pipeline.drain()
        self.assertEqual((await self.send(text))[2], b"got pay")
        self.assertEqual(len(self.servers.attempt_requests), 1)

    async def test_deadline_of_the_caller_reaches_the_server(self):
        await self.send(self.request(X_Request_Timeout_Ms="300"))
        text = self.servers.attempt_requests[0].fields["X-Request-Timeout-Ms"]
        self.assertLessEqual(int(text), 300)

    async def test_malformed_timeout_is_refused(self):
        answer = await self.send(self.request(X_Request_Timeout_Ms="soon"))
        self.assert_problem(answer, 400, "malformed", "not-run")

    async def test_request_is_refused_while_not_ready(self):
        self.frontend.set_ready(False)
        answer = await self.send(self.request())
        self.assert_problem(answer, 503, "not-ready", "not-run")
        self.assertIn("retry-after", answer[1])

    async def test_refusal_with_a_key_is_unknown_unless_first_attempt(self):
        self.frontend.set_ready(False)
        text = self.request("POST", body="pay", Idempotency_Key="k")
        answer = await self.send(text)
        self.assert_problem(answer, 503, "not-ready", "unknown")
        text = self.request(
            "POST", body="pay", Idempotency_Key="k", X_Request_Attempt="1"
        )
        answer = await self.send(text)
        self.assert_problem(answer, 503, "not-ready", "not-run")


if __name__ == "__main__":
    unittest.main()
