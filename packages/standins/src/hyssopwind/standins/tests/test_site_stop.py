"""Planned stops of a gateway, judged by what callers and servers see."""

import asyncio
import contextlib
import json
import socket
import time
from unittest import mock

from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_gateway_case
from hyssopwind.transport import boot_clock

RUNS_ALONE = True  # real sockets and times

LARGE_BODY_BYTES = 16_000_000  # more than socket buffers hold

GRACE_SECONDS = 4.0  # as in the settings file of the stand-ins


def make_answer(body):
    """Returns an answer of a stand-in server to the request that it gets."""
    head = (
        "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class StopTestCase(site_gateway_case.GatewayTestCase):
    routes = [
        *site_gateway_case.GatewayTestCase.routes,
        documents.make_route_resource("long", "/long/", timeout_s=30.0),
        documents.make_route_resource(
            "book", "/book/", kind="unsafe", timeout_s=30.0
        ),
    ]

    def set_work(self, seconds):
        for stand_in in self.servers:
            stand_in.options.work_seconds = seconds

    async def read_answers(self, reader):
        """Returns the ids of all whole answers until the connection ends."""
        answered = []
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                _, headers, _ = await self.read_answer(reader)
                answered.append(headers["request-id"])
        return answered

    def executed_ids(self):
        return {
            request_id
            for stand_in in self.servers
            for request_id in stand_in.executions
        }


class PipelinedStopTest(StopTestCase):
    async def test_request_behind_a_finished_answer_is_not_cut(self):
        """An answer that waits for an earlier one is not the last for sure."""
        reader, writer = await self.connect()
        self.request_stop()
        self.set_work(0.6)
        writer.write(self.request("/safe/a", request_id="r0"))
        await self.wait_until(lambda: self.count_executions() == 1)
        self.set_work(0.05)
        writer.write(self.request("/safe/a", request_id="r1"))
        await self.wait_until(lambda: self.count_executions() == 2)
        await asyncio.sleep(0.2)
        self.set_work(0.6)
        writer.write(self.request("/safe/a", request_id="r2"))
        answered = await self.read_answers(reader)
        self.assertEqual(self.executed_ids() - set(answered), set())
        writer.close()

    async def test_caller_that_never_pauses_loses_no_answer(self):
        """The connection is never idle, and yet must end before the daemon."""
        self.set_work(0.3)
        reader, writer = await self.connect()

        async def send():
            with contextlib.suppress(OSError):
                for number in range(200):
                    writer.write(
                        self.request("/safe/a", request_id=f"r{number}")
                    )
                    await writer.drain()
                    await asyncio.sleep(0.1)

        sending = asyncio.create_task(send())
        await asyncio.sleep(0.3)
        self.request_stop()
        stopped_at = asyncio.get_running_loop().time()
        answered = await self.read_answers(reader)
        seconds = asyncio.get_running_loop().time() - stopped_at
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        # Not only at the end of the drain, which would cut long requests.
        self.assertLess(seconds, GRACE_SECONDS / 2 + 1.0)
        self.assertGreater(len(answered), 3)
        self.assertEqual(self.executed_ids() - set(answered), set())
        writer.close()

    async def test_request_behind_a_closing_one_does_not_run(self):
        """The connection ends with the answer to the closing request."""
        self.set_work(0.2)
        reader, writer = await self.connect()
        writer.write(
            self.request("/safe/a", request_id="r0", Connection="close")
            + self.request("/safe/a", request_id="r1")
        )
        self.assertEqual(await self.read_answers(reader), ["r0"])
        self.assertEqual(self.executed_ids(), {"r0"})
        writer.close()


class LateRequestTest(StopTestCase):
    async def test_request_that_would_outlast_the_daemon_is_refused(self):
        """A new connection after the balancer delay gets a promise at once."""
        self.set_work(1.8)
        self.request_stop()
        await asyncio.sleep(2.5)
        reader, writer = await self.connect()
        started = asyncio.get_running_loop().time()
        writer.write(self.request("/long/a", Deadline_Ms="3000"))
        status, headers, _ = await self.read_answer(reader)
        elapsed = asyncio.get_running_loop().time() - started
        self.assertEqual(status, 503)
        self.assertLess(elapsed, 0.2)
        self.assertLess(float(headers["retry-after"]), 0.2)
        self.assertEqual(headers["connection"], "close")
        self.assertEqual(self.executed_ids(), set())
        writer.close()

    # It was sent with all the time of its route left, and cut at the end of the
    # grace period while its server was at work.
    async def test_deadline_of_a_late_request_is_within_the_grace_period(self):
        self.request_stop()
        requested_at = asyncio.get_running_loop().time()
        for path in ("/long/a", "/book/a"):
            await asyncio.sleep(0.5)
            status, _, _ = await self.call(path, Deadline_Ms="20000")
            self.assertEqual(status, 200)
            received = b"".join(
                each.received_requests.pop()
                for each in self.servers
                if each.received_requests
            )
            milliseconds = int(
                received.split(b"Deadline-Ms: ")[1].split(b"\r\n")[0]
            )
            elapsed = asyncio.get_running_loop().time() - requested_at
            self.assertLess(
                elapsed + milliseconds / 1000, GRACE_SECONDS * 7 / 8
            )

    async def test_request_that_needs_more_time_is_refused_at_once(self):
        slow = documents.make_route_resource(
            "slow", "/slow/", kind="unsafe", timeout_s=9.0, target_latency_s=3.0
        )
        await self.configure(2, [*self.routes, slow])
        catalogue = self.daemon._platform_state.catalogue
        await self.wait_until(lambda: catalogue.configuration_version == 2)
        self.request_stop()
        await asyncio.sleep(0.1)
        status, headers, _ = await self.call(
            "/slow/a", "POST", b"x", Deadline_Ms="9000"
        )
        self.assertEqual(status, 503)
        self.assertLess(float(headers["retry-after"]), 0.2)
        self.assertEqual(self.executed_ids(), set())

    # A request that waited for a server was sent to it late, with the time of
    # its route.
    async def test_request_sent_late_after_a_wait_has_a_short_deadline(self):
        self.set_work(1.0)
        first = asyncio.create_task(
            self.call("/book/a", "POST", b"x", Deadline_Ms="20000")
        )
        await self.wait_until(lambda: self.count_executions() == 1)
        self.request_stop()
        reader, writer = await self.connect()
        writer.write(
            self.request("/book/a", "POST", "r2", Deadline_Ms="20000")
            + self.request("/book/a", "POST", "r3", Deadline_Ms="20000")
        )
        answered = await self.read_answers(reader)
        await first
        self.assertEqual(self.executed_ids() - {"r1"} - set(answered), set())
        writer.close()

    # A late loop sent requests a few milliseconds before the end of the drain,
    # at which their servers were still at work.
    async def test_request_without_time_for_its_work_is_not_sent(self):
        self.set_work(30.0)
        _, writer = await self.connect()
        writer.write(
            self.request("/long/a", request_id="r0", Deadline_Ms="20000")
        )
        await self.wait_until(lambda: self.count_executions() == 1)
        self.request_stop()
        await self.wait_until(lambda: self.daemon._stop_plan is not None)
        plan = self.daemon._stop_plan
        await asyncio.sleep(plan.last_answer_at - 0.4 - boot_clock.now())
        acquire = self.daemon._pool.acquire

        async def acquire_late(address):
            acquired = await acquire(address)
            await asyncio.sleep(plan.last_answer_at - 0.05 - boot_clock.now())
            return acquired

        with mock.patch.object(self.daemon._pool, "acquire", acquire_late):
            status, _, body = await self.call("/safe/a", Deadline_Ms="450")
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["outcome"], "not-run")
        self.assertNotIn("r1", self.executed_ids())
        writer.close()

    async def test_request_that_fits_is_still_served(self):
        self.set_work(0.3)
        self.request_stop()
        await asyncio.sleep(2.5)
        status, _, _ = await self.call("/safe/a", Deadline_Ms="800")
        self.assertEqual(status, 200)

    async def test_half_read_request_is_answered_at_the_deadline(self):
        """Its caller would otherwise see only the end of the connection."""
        # The body must not be refused as too slow before the deadline.
        await self.configure(2, self.routes, idle_timeout_s=15)
        catalogue = self.daemon._platform_state.catalogue
        await self.wait_until(lambda: catalogue.configuration_version == 2)
        reader, writer = await self.connect()
        head = self.request(
            "/unsafe/a", "POST", Content_Length="10", Deadline_Ms="9000"
        )
        writer.write(head + b"12345")
        await asyncio.sleep(0.1)
        self.request_stop()
        status, headers, _ = await self.read_answer(reader)
        self.assertEqual(status, 503)
        self.assertEqual(headers["connection"], "close")
        writer.close()

    async def test_long_request_is_answered_when_the_drain_ends(self):
        """Its caller learns that the outcome is unknown."""
        self.set_work(30.0)
        reader, writer = await self.connect()
        writer.write(self.request("/long/a", Deadline_Ms="20000"))
        await self.wait_until(lambda: self.count_executions() == 1)
        self.request_stop()
        status, _, body = await self.read_answer(reader)
        self.assertEqual(status, 502)
        self.assertEqual(json.loads(body)["outcome"], "unknown")
        writer.close()

    async def test_outcome_of_a_running_unsafe_request_is_unknown(self):
        """A promise that it has not run would let its caller repeat it."""
        self.set_work(30.0)
        reader, writer = await self.connect()
        writer.write(self.request("/book/a", "POST", Deadline_Ms="20000"))
        await self.wait_until(lambda: self.count_executions() == 1)
        self.request_stop()
        status, headers, _ = await self.read_answer(reader)
        self.assertEqual(status, 502)
        self.assertNotIn("retry-after", headers)
        writer.close()

    async def test_request_that_waits_for_a_server_is_refused_at_the_end(self):
        """No server has it, so its caller may repeat it at once."""
        for stand_in in self.servers:
            stand_in.options.health_delay_seconds = 30.0
            stand_in.options.omits_load = True
        self.set_work(30.0)
        reader, writer = await self.connect()
        writer.write(self.request("/book/a", "POST", "r0", Deadline_Ms="20000"))
        writer.write(self.request("/book/a", "POST", "r1", Deadline_Ms="20000"))
        await self.wait_until(lambda: self.count_executions() == 1)
        self.request_stop()
        self.assertEqual((await self.read_answer(reader))[0], 502)
        status, _, body = await self.read_answer(reader)
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["outcome"], "not-run")
        self.assertNotIn("r1", self.executed_ids())
        writer.close()

    async def test_daemon_waits_for_attempts_whose_caller_has_left(self):
        """The end of the process would break off a non-idempotent request."""
        self.set_work(0.6)
        self.request_stop()
        await asyncio.sleep(2.6)
        _, writer = await self.connect()
        writer.write(self.request("/unsafe/a", "POST", Deadline_Ms="850"))
        await self.wait_until(lambda: self.count_executions() == 1)
        writer.transport.abort()
        await asyncio.wait({self.daemon_task}, timeout=3.0)
        running = sum(stand_in.running_count for stand_in in self.servers)
        self.assertEqual(running, 0)


class DeliveryTest(StopTestCase):
    async def test_slow_reader_gets_the_whole_last_answer(self):
        """A pause of the caller longer than the time to linger."""
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(
                make_answer(bytes(LARGE_BODY_BYTES))
            )
        reader, writer = await self.connect()
        writer.write(self.request("/safe/a", Connection="close"))
        await self.wait_until(lambda: self.count_executions() == 1)
        writer.transport.pause_reading()
        await asyncio.sleep(1.5)
        writer.transport.resume_reading()
        _, _, body = await self.read_answer(reader)
        self.assertEqual(len(body), LARGE_BODY_BYTES)
        writer.close()

    async def test_stop_waits_for_unsent_answers(self):
        """The end of the process discards what its transports still hold."""
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(
                make_answer(bytes(LARGE_BODY_BYTES))
            )
        reader, writer = await self.connect()
        self.request_stop()
        writer.write(self.request("/safe/a"))
        await reader.readuntil(b"\r\n\r\n")
        received = 0
        for _ in range(13):
            await asyncio.sleep(0.25)
            received += len(await reader.read(100_000))
        self.assertFalse(self.daemon_task.done())
        async with asyncio.timeout(2.0):
            while chunk := await reader.read(1_000_000):
                received += len(chunk)
        self.assertEqual(received, LARGE_BODY_BYTES)
        writer.close()
        await asyncio.wait_for(self.daemon_task, 2.0)

    async def test_stop_waits_for_a_caller_that_does_not_read(self):
        """The same for a caller that takes nothing until the end."""
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(
                make_answer(bytes(LARGE_BODY_BYTES))
            )
        reader, writer = await self.connect()
        self.request_stop()
        writer.write(self.request("/safe/a"))
        await self.wait_until(lambda: self.count_executions() == 1)
        writer.transport.pause_reading()
        done, _ = await asyncio.wait({self.daemon_task}, timeout=3.3)
        self.assertEqual(done, set())
        writer.transport.resume_reading()
        _, _, body = await self.read_answer(reader)
        self.assertEqual(len(body), LARGE_BODY_BYTES)
        writer.close()

    async def test_caller_that_pauses_gets_its_answer_before_the_end(self):
        """It reads nothing for the idle timeout, but before the daemon ends."""
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(
                make_answer(bytes(LARGE_BODY_BYTES))
            )
        reader, writer = await self.connect()
        self.request_stop()
        writer.write(self.request("/safe/a"))
        await self.wait_until(lambda: self.count_executions() == 1)
        writer.transport.pause_reading()
        await asyncio.sleep(2.5)
        writer.transport.resume_reading()
        _, _, body = await self.read_answer(reader)
        self.assertEqual(len(body), LARGE_BODY_BYTES)
        writer.close()

    async def test_caller_that_uploads_on_gets_its_rejection(self):
        """A close with unread bytes resets the connection of the caller."""
        body = bytes(LARGE_BODY_BYTES)
        head = self.request("/unsafe/a", "POST", Content_Length=str(len(body)))

        def upload():
            address = ("127.0.0.1", self.ports[0])
            with socket.create_connection(address, timeout=5.0) as client:
                client.sendall(head + body)
                return client.recv(4096)

        answer = await asyncio.to_thread(upload)
        self.assertIn(b" 413 ", answer.split(b"\r\n")[0])


class LateLoopTest(StopTestCase):
    """The event loop is blocked while times of the stop pass."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # As the end of a process would, which the loop of the test outlives.
        self.daemon_task.add_done_callback(self.abort_connections)

    def abort_connections(self, _):
        for connection in list(self.daemon._connections):
            connection._transport.abort()

    async def block_at_end_of_drain(self, before, after):
        """Blocks the loop from before to after the end of the drain, in s."""
        plan = self.daemon._stop_plan
        await asyncio.sleep(plan.deadline - before - boot_clock.now())
        time.sleep(max(0.0, plan.deadline + after - boot_clock.now()))

    async def test_request_that_times_out_as_the_drain_ends_cuts_no_other(self):
        """A timeout that has just expired must not end the daemon."""
        self.set_work(30.0)
        reader, writer = await self.connect()
        writer.write(self.request("/long/a", Deadline_Ms="20000"))
        await self.wait_until(lambda: self.count_executions() == 1)
        self.request_stop()
        await asyncio.sleep(1.0)
        plan = self.daemon._stop_plan
        milliseconds = round((plan.deadline + 0.1 - boot_clock.now()) * 1000)
        _, second_writer = await self.connect()
        second_writer.write(
            self.request(
                "/long/a", request_id="r2", Deadline_Ms=str(milliseconds)
            )
        )
        await self.wait_until(lambda: "r2" in self.executed_ids())
        await self.block_at_end_of_drain(0.05, 0.15)
        answered = await self.read_answers(reader)
        self.assertEqual(answered, ["r1"])
        writer.close()
        second_writer.close()
        await asyncio.wait_for(self.daemon_task, 2.0)

    async def test_finished_answer_is_written_by_a_late_loop(self):
        """It waited for an earlier answer when the handover ended."""
        self.set_work(30.0)
        reader, writer = await self.connect()
        writer.write(self.request("/long/a", Deadline_Ms="20000"))
        await self.wait_until(lambda: self.count_executions() == 1)
        self.set_work(0.05)
        writer.write(self.request("/safe/a", request_id="r2"))
        await self.wait_until(lambda: "r2" in self.executed_ids())
        self.set_work(30.0)  # of a hedge
        self.request_stop()
        await asyncio.sleep(0.1)
        # Until after the handover, but before the kill after the grace period.
        await self.block_at_end_of_drain(0.05, GRACE_SECONDS / 16 + 0.05)
        answered = await self.read_answers(reader)
        self.assertEqual(answered, ["r1", "r2"])
        writer.close()
