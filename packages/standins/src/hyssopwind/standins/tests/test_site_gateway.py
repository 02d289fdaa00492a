"""Gateway daemon with stand-ins for store and servers in one process."""

import asyncio
import collections
import itertools
import json

import logbook

from hyssopwind.core import ids
from hyssopwind.core.dispatch import server_selection
from hyssopwind.standins.site import documents
from hyssopwind.standins.site import store
from hyssopwind.standins.tests import site_gateway_case

RUNS_ALONE = True  # real sockets and times


class ForwardingTest(site_gateway_case.GatewayTestCase):
    async def test_request_and_answer_pass_unchanged(self):
        status, headers, body = await self.call(
            "/unsafe/a?x=%20y", "POST", b"hello", Custom="kept"
        )
        self.assertEqual((status, body), (200, b"ran hello"))
        self.assertEqual(headers["request-id"], "r1")
        self.assertEqual(headers["server-stamp"], "s")
        received = b"".join(b"".join(s.received_requests) for s in self.servers)
        self.assertIn(b"POST /unsafe/a?x=%20y HTTP/1.1", received)
        self.assertIn(b"Custom: kept", received)
        self.assertIn(b"Expect-Instance: i-", received)

    async def test_forwarded_deadline_is_the_remaining_time(self):
        await self.call("/safe/a", Deadline_Ms="700")
        received = b"".join(b"".join(s.received_requests) for s in self.servers)
        forwarded_ms = int(
            received.split(b"Deadline-Ms: ")[1].split(b"\r\n")[0]
        )
        self.assertLessEqual(forwarded_ms, 700)
        self.assertGreater(forwarded_ms, 400)

    async def test_chunked_body_arrives_whole(self):
        reader, writer = await self.connect()
        head = self.request("/unsafe/a", "POST", Transfer_Encoding="chunked")
        writer.write(head + b"3\r\nhel\r\n")
        await asyncio.sleep(0.02)
        writer.write(b"2\r\nlo\r\n0\r\n\r\n")
        status, _, body = await self.read_answer(reader)
        self.assertEqual((status, body), (200, b"ran hello"))
        writer.close()

    async def test_unknown_route_is_answered_404_not_run(self):
        status, _, body = await self.call("/other/a")
        self.assertEqual(status, 404)
        self.assertEqual(json.loads(body)["outcome"], "not-run")

    # Callers of routes that had been added were answered 404 by daemons that
    # had been told of the new configuration but did not have it yet.
    async def test_unknown_route_is_refused_while_a_configuration_is_due(self):
        platform_state = self.daemon._platform_state
        newer = platform_state.replica.revision + 5
        platform_state.record_announced_configuration(newer)
        status, headers, body = await self.call("/other/a")
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["outcome"], "not-run")
        self.assertGreater(float(headers["retry-after"]), 0.0)
        await self.store.put("op/config", documents.make_configuration(2, []))
        for number in range(5):
            await self.store.put(f"other/{number}", {})
        await self.wait_until(lambda: platform_state.replica.revision >= newer)
        self.assertEqual((await self.call("/other/a"))[0], 404)

    # All routes of a version were missing when one of them was unreadable.
    async def test_version_with_an_unreadable_route_is_in_force(self):
        added = documents.make_route_resource("added", "/added/")
        unreadable = documents.make_route_resource("safe", "/x/", timeout_s="1")
        await self.configure(2, [*self.routes[1:], added, unreadable])
        catalogue = self.daemon._platform_state.catalogue
        await self.wait_until(lambda: catalogue.configuration_version == 2)
        for path in ("/added/a", "/unsafe/a", "/safe/a"):
            self.assertEqual((await self.call(path))[0], 200)
        self.assertEqual((await self.call("/other/a"))[0], 503)
        await self.configure(3, [*self.routes, added])
        await self.wait_until(lambda: catalogue.configuration_version == 3)
        self.assertEqual((await self.call("/other/a"))[0], 404)

    # Requests on its routes were answered 404 until the next version.
    async def test_unknown_route_is_refused_after_an_unreadable_version(self):
        await self.store.put("op/config", b'{"version": 2, ')
        state = self.daemon._platform_state
        await self.wait_until(lambda: state.catalogue.lacks_routes)
        self.assertEqual((await self.call("/other/a"))[0], 503)
        self.assertEqual((await self.call("/safe/a"))[0], 200)

    async def test_request_over_the_configured_size_limits_is_refused(self):
        status, _, _ = await self.call("/unsafe/a", "POST", b"x" * 10_001)
        self.assertEqual(status, 413)
        status, _, _ = await self.call("/safe/a", Long="x" * 3_000)
        self.assertEqual(status, 431)
        self.assertEqual(self.count_executions(), 0)

    async def test_ambiguous_length_is_refused(self):
        """Two lengths would allow one request to be smuggled inside another."""
        reader, writer = await self.connect()
        head = self.request(
            "/unsafe/a", "POST", Content_Length="3", Transfer_Encoding="chunked"
        )
        writer.write(head + b"0\r\n\r\nGET /safe/b HTTP/1.1\r\n\r\n")
        status, _, _ = await self.read_answer(reader)
        self.assertEqual(status, 400)
        self.assertEqual(self.count_executions(), 0)
        writer.close()

    async def test_request_that_can_be_read_in_two_ways_is_refused(self):
        """Servers and callers could mean different requests by one id."""
        connect = self.request("/unsafe/a", "CONNECT", Content_Length="9")
        single = self.request("/unsafe/a", "POST")
        heads = [connect + self.request("/unsafe/b", "POST")]
        for line in (b"Request-Id: r2", b"Host: other", b"Deadline-Ms: 1"):
            heads.append(single[:-2] + line + b"\r\n\r\n")
        for head in heads:
            reader, writer = await self.connect()
            writer.write(head)
            status, _, _ = await self.read_answer(reader)
            self.assertEqual(status, 400, head)
            writer.close()
        self.assertEqual(self.count_executions(), 0)

    async def test_request_before_garbage_is_answered(self):
        reader, writer = await self.connect()
        writer.write(self.request("/safe/a") + b"\x00\x01 no request\r\n\r\n")
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual((await self.read_answer(reader))[0], 400)
        writer.close()

    async def test_head_request_keeps_the_length_of_the_answer(self):
        answer = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
            b"Content-Length: 77\r\n\r\n"
        )
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(answer)
        reader, writer = await self.connect()
        writer.write(self.request("/safe/a", "HEAD"))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
        self.assertIn(b"Content-Length: 77\r\n", head)
        writer.close()

    async def test_connection_idle_before_its_first_request_is_served(self):
        reader, writer = await self.connect()
        await asyncio.sleep(0.8)  # This is longer than the header timeout.
        writer.write(self.request("/safe/a"))
        self.assertEqual((await self.read_answer(reader))[0], 200)
        writer.close()

    async def test_slow_head_is_answered_408(self):
        reader, writer = await self.connect()
        writer.write(b"GET /safe/a HTTP/1.1\r\n")
        status, headers, _ = await self.read_answer(reader)
        self.assertEqual(status, 408)
        self.assertEqual(headers["connection"], "close")
        writer.close()

    async def test_idle_connection_is_closed(self):
        await self.configure(2, self.routes, idle_timeout_s=0.2)
        await self.wait_until(
            lambda: (
                self.daemon._platform_state.catalogue.configuration_version == 2
            )
        )
        reader, writer = await self.connect()
        writer.write(self.request("/safe/a"))
        await self.read_answer(reader)
        async with asyncio.timeout(1.0):
            self.assertEqual(await reader.read(), b"")
        writer.close()


class PipelineTest(site_gateway_case.GatewayTestCase):
    """A caller sends several requests before the first answer."""

    async def test_safe_requests_run_concurrently_with_answers_in_order(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.15
        reader, writer = await self.connect()
        started = asyncio.get_running_loop().time()
        for number in range(4):
            writer.write(self.request("/safe/a", request_id=f"r{number}"))
        headers_by_answer = [
            (await self.read_answer(reader))[1] for _ in range(4)
        ]
        elapsed = asyncio.get_running_loop().time() - started
        self.assertEqual(
            [headers["request-id"] for headers in headers_by_answer],
            ["r0", "r1", "r2", "r3"],
        )
        self.assertLess(elapsed, 4 * 0.15)
        writer.close()

    async def test_unsafe_request_waits_for_earlier_requests(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.1
        reader, writer = await self.connect()
        writer.write(self.request("/safe/a", request_id="r0"))
        writer.write(self.request("/unsafe/a", "POST", "r1"))
        await asyncio.sleep(0.05)
        self.assertEqual(self.count_executions(), 1)
        for _ in range(2):
            status, _, _ = await self.read_answer(reader)
            self.assertEqual(status, 200)
        writer.close()

    async def test_body_behind_a_pending_request_is_invited(self):
        """A caller that waits for `100 Continue` was answered 408."""
        self.servers[0].options.work_seconds = 0.2
        self.servers[1].options.work_seconds = 0.2
        reader, writer = await self.connect()
        writer.write(self.request("/safe/a", request_id="r0"))
        await self.wait_until(lambda: self.count_executions() == 1)
        writer.write(
            self.request(
                "/unsafe/a",
                "POST",
                "r1",
                Content_Length="5",
                Expect="100-continue",
            )
        )
        self.assertEqual((await self.read_answer(reader))[0], 200)
        async with asyncio.timeout(1.0):
            head = await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(head, b"HTTP/1.1 100 Continue\r\n\r\n")
        writer.write(b"hello")
        status, _, body = await self.read_answer(reader)
        self.assertEqual((status, body), (200, b"ran hello"))
        writer.close()

    async def test_disconnect_of_the_caller_cancels_its_request(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.8
        _, writer = await self.connect()
        writer.write(self.request("/safe/a"))
        await self.wait_until(lambda: self.count_executions() == 1)
        writer.transport.abort()
        await self.wait_until(
            lambda: sum(s.disconnect_count for s in self.servers) == 1, 0.5
        )


class OutcomeTest(site_gateway_case.GatewayTestCase):
    async def test_unsafe_request_is_not_retried_after_a_broken_answer(self):
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(b"")
        status, _, _ = await self.call("/unsafe/a", "POST", b"x")
        self.assertEqual(status, 502)
        self.assertEqual(self.count_executions(), 1)

    async def test_refusal_after_a_broken_answer_has_outcome_unknown(self):
        shed = (
            b"HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        script = collections.deque([b"", shed])
        for stand_in in self.servers:
            stand_in.options.scripted_answers = script
        status, _, body = await self.call("/safe/a")
        self.assertEqual(status, 502)
        self.assertEqual(json.loads(body)["outcome"], "unknown")

    async def test_refusal_by_all_servers_has_outcome_not_run(self):
        shed = (
            b"HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        for stand_in in self.servers:
            stand_in.options.scripted_answers.extend([shed] * 2)
        status, _, body = await self.call("/unsafe/a", "POST", b"x")
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["outcome"], "not-run")

    async def test_safe_request_is_retried_at_another_server(self):
        self.servers[0].options.scripted_answers.extend([b""] * 4)
        for _ in range(3):
            status, _, _ = await self.call("/safe/a")
            self.assertEqual(status, 200)

    # A refused probe is answered without an id. Its answer, come late, was
    # taken for the proof that a request had not run, which then ran twice.
    async def test_late_refusal_of_a_probe_proves_nothing(self):
        late = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        own = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
            b"Content-Length: 3\r\n\r\nown"
        )
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(late + own)
        status, _, body = await self.call("/unsafe/a", "POST", b"x")
        self.assertEqual((status, body), (200, b"own"))
        self.assertEqual(self.count_executions(), 1)

    async def test_answer_of_another_request_is_never_delivered(self):
        stray = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n"
            b"Content-Length: 5\r\n\r\nstray"
        )
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(stray)
        status, _, body = await self.call("/unsafe/a", "POST", b"x")
        self.assertNotEqual(body, b"stray")
        self.assertEqual(status, 504)

    async def test_success_without_a_server_stamp_is_answered_502(self):
        unstamped = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n"
        )
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(unstamped)
        status, _, _ = await self.call("/unsafe/a", "POST", b"x")
        self.assertEqual(status, 502)

    async def test_unsafe_request_is_answered_504_at_the_route_timeout(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = 5.0
        started = asyncio.get_running_loop().time()
        status, _, _ = await self.call("/unsafe/a", "POST", b"x")
        elapsed = asyncio.get_running_loop().time() - started
        self.assertEqual(status, 504)
        self.assertAlmostEqual(elapsed, 1.0, delta=0.2)

    async def test_request_without_servers_is_refused_at_once(self):
        for number in range(2):
            await self.store.remove(f"servers/i-{number}")
        await self.wait_until(
            lambda: self.daemon._platform_state.catalogue.server_count == 0
        )
        started = asyncio.get_running_loop().time()
        status, headers, _ = await self.call("/unsafe/a", "POST", b"x")
        elapsed = asyncio.get_running_loop().time() - started
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0.0)
        self.assertLess(elapsed, 0.3)

    async def test_request_that_crashes_servers_is_quarantined(self):
        await self.add_server("i-2")
        is_listed = lambda: (  # noqa: E731
            self.daemon._platform_state.catalogue.server_count == 3
        )
        await self.wait_until(is_listed)
        for stand_in in self.servers:
            stand_in.options.crash_path_prefix = "/safe/poison"
        await self.call("/safe/poison")
        quarantine = self.daemon._crash_detector._quarantine
        await self.wait_until(lambda: not quarantine.is_empty, 1.0)
        await asyncio.sleep(0.3)
        before = self.count_executions()
        self.assertLessEqual(before, 2)
        status, headers, body = await self.call("/safe/poison")
        self.assertEqual(status, 503)
        self.assertIn(b"quarantined", body)
        self.assertEqual(self.count_executions(), before)


class HedgeTest(site_gateway_case.GatewayTestCase):
    async def test_removal_of_the_selected_server_spares_the_first_attempt(
        self,
    ):
        """The server of a hedge may leave between its selection and its use."""

        async def find_server_that_left(_):
            return server_selection.Send(ids.ServerId("i-9"), 0.1)

        self.daemon._dispatcher._picker.find_good_server = find_server_that_left
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.6
        status, _, _ = await self.call("/safe/a")
        self.assertEqual(status, 200)


class PlatformChangeTest(site_gateway_case.GatewayTestCase):
    async def test_changed_routes_are_in_force_within_a_second(self):
        new_routes = [documents.make_route_resource("new", "/new/")]
        await self.configure(5, new_routes)
        await self.wait_until(
            lambda: (
                self.daemon._platform_state.catalogue.configuration_version == 5
            ),
            1.0,
        )
        self.assertEqual((await self.call("/new/a"))[0], 200)
        self.assertEqual((await self.call("/safe/a"))[0], 404)

    async def test_draining_server_gets_no_requests(self):
        entry = documents.make_server_entry(
            self.servers[0].address, state="draining"
        )
        await self.store.put("servers/i-0", entry)
        find = self.daemon._platform_state.catalogue.find
        await self.wait_until(lambda: find("i-0").entry.is_draining, 1.0)
        for _ in range(4):
            await self.call("/safe/a")
        self.assertEqual(self.servers[0].executions.total(), 0)

    async def test_reused_address_of_a_server_gets_no_requests(self):
        """The server has ended, and another server now has its address."""
        self.servers[0].options.server_id = "i-9"
        for _ in range(4):
            self.assertEqual((await self.call("/safe/a"))[0], 200)
        self.assertEqual(self.servers[0].executions.total(), 0)

    async def test_items_are_listed_again_after_the_store_drops_its_history(
        self,
    ):
        await self.wait_until(
            lambda: self.daemon._platform_state.age_seconds() < 0.5
        )
        self.store.mode = store.StoreMode.BUSY
        await asyncio.sleep(1.2)
        await self.configure(9, self.routes)
        self.store.drop_history()
        self.store.mode = store.StoreMode.SERVING
        await self.wait_until(
            lambda: (
                self.daemon._platform_state.catalogue.configuration_version == 9
            ),
            3.0,
        )

    async def test_silent_store_stops_neither_requests_nor_later_changes(self):
        self.store.mode = store.StoreMode.SILENT
        await asyncio.sleep(0.2)
        self.assertEqual((await self.call("/safe/a"))[0], 200)
        self.store.mode = store.StoreMode.SERVING
        await self.configure(3, self.routes)
        await self.wait_until(
            lambda: (
                self.daemon._platform_state.catalogue.configuration_version == 3
            ),
            4.0,
        )

    async def test_cold_server_gets_at_most_one_request_a_second(self):
        for stand_in in self.servers:
            stand_in.options.warmup_left_ms = 3_000
        for _ in range(8):
            await self.call("/safe/a")
        for stand_in in self.servers:
            times = stand_in.execution_times
            gaps = [end - start for start, end in itertools.pairwise(times)]
            self.assertTrue(all(gap >= 1.0 for gap in gaps), gaps)

    async def test_requests_are_served_without_load_reports(self):
        for stand_in in self.servers:
            stand_in.options.omits_load = True
            stand_in.options.health_delay_seconds = 1.0
        for _ in range(4):
            self.assertEqual((await self.call("/safe/a"))[0], 200)


class UndeliveredAnswerTest(site_gateway_case.GatewayTestCase):
    """The log and the metrics name each answer that a caller lacks."""

    def find_lines(self, handler, message):
        return [
            record.extra
            for record in handler.records
            if record.message == message
        ]

    async def read_metrics(self):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports[4]
        )
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        _, _, body = await self.read_answer(reader)
        writer.close()
        return body.decode()

    async def test_departure_of_the_caller_is_reported(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.8
        with logbook.TestHandler().applicationbound() as handler:
            _, writer = await self.connect()
            writer.write(self.request("/safe/a", request_id="r7"))
            await self.wait_until(lambda: self.count_executions() == 1)
            writer.close()
            await self.wait_until(lambda: not self.daemon._connections)
            (line,) = self.find_lines(handler, "answer not delivered")
        self.assertEqual(line["request"], "r7")
        self.assertEqual((line["stage"], line["cause"]), ("running", "caller"))
        self.assertIn(
            "hyssopwind_undelivered_answers_total"
            '{cause="caller",stage="running"} 1.0',
            await self.read_metrics(),
        )

    async def test_answer_held_in_the_process_is_reported(self):
        answer = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
            b"Content-Length: 16000000\r\n\r\n" + bytes(16_000_000)
        )
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(answer)
        with logbook.TestHandler().applicationbound() as handler:
            _, writer = await self.connect()
            writer.transport.pause_reading()
            writer.write(self.request("/safe/a", request_id="r7"))
            await self.wait_until(
                lambda: any(
                    connection.unsent_bytes
                    for connection in self.daemon._connections
                )
            )
            writer.transport.abort()
            await self.wait_until(lambda: not self.daemon._connections)
            (line,) = self.find_lines(handler, "answer not delivered")
        self.assertEqual(line["request"], "r7")
        self.assertEqual(line["stage"], "buffered")

    async def test_stop_is_logged_with_what_connections_hold(self):
        with logbook.TestHandler().applicationbound() as handler:
            _, writer = await self.connect()
            await self.wait_until(lambda: self.daemon._connections)
            self.request_stop()
            await asyncio.wait_for(self.daemon_task, 6.0)
            (stopping,) = self.find_lines(handler, "stopping")
            (stopped,) = self.find_lines(handler, "stopped")
        self.assertEqual(stopping["connections"], 1)
        self.assertEqual(stopping["requests"], 0)
        self.assertEqual(stopped["reason"], "idle")
        self.assertEqual(stopped["unsent_bytes"], 0)
        self.assertGreaterEqual(stopped["ms"], 3_000)
        writer.close()


class StopTest(site_gateway_case.GatewayTestCase):
    async def test_stopping_daemon_answers_requests_in_flight(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.5
        reader, writer = await self.connect()
        writer.write(self.request("/safe/a"))
        await self.wait_until(lambda: self.count_executions() == 1)
        self.request_stop()
        status, headers, _ = await self.read_answer(reader)
        self.assertEqual(status, 200)
        self.assertEqual(headers["connection"], "close")
        writer.close()

    async def test_stopping_daemon_is_not_ready_but_serves(self):
        self.request_stop()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports[1]
        )
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        status, _, _ = await self.read_answer(reader)
        self.assertEqual(status, 503)
        writer.close()
        self.assertEqual((await self.call("/safe/a"))[0], 200)

    async def test_metrics_are_served(self):
        await self.call("/safe/a")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports[4]
        )
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        status, _, body = await self.read_answer(reader)
        self.assertEqual(status, 200)
        self.assertIn(b'hyssopwind_requests_total{outcome="answered"', body)
        self.assertIn(b"hyssopwind_gateway_copy_age", body)
        writer.close()
