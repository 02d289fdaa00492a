import asyncio
import dataclasses

from hyssopwind.core import ids
from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_peers_case
from hyssopwind.transport import boot_clock

RUNS_ALONE = True  # real sockets and times


class ResettingProtocol(asyncio.Protocol):
    def connection_made(self, transport):
        transport.abort()


class HandoverTest(site_peers_case.PeersTestCase):
    """Two daemons of one data centre, one of which is partitioned."""

    # A daemon that was partitioned from all servers refused its callers.
    async def test_partitioned_daemon_serves_through_its_peer(self):
        for hangs in (False, True):
            self.cut_off(self.daemon, hangs=hangs)
            for number in range(20):
                target = "/unsafe/a" if number % 2 else "/safe/a"
                method = "POST" if number % 2 else "GET"
                body = b"12" if number % 2 else b""
                status, fields, _ = await self.call(
                    target, method, body, request_id=f"{hangs}{number}"
                )
                self.assertEqual(status, 200)
                self.assertIn("server-stamp", fields)
                self.assertNotIn("hyssopwind-handover", fields)
            self.assertTrue(self.daemon._request_path.monitor.is_cut_off)
            self.heal(self.daemon)
            await self.wait_until(
                lambda: self.daemon._request_path.monitor.is_reachable, 1.0
            )
        self.assertEqual(self.count_executions(), 40)
        self.assertEqual(
            {each.executions.most_common(1)[0][1] for each in self.servers}, {1}
        )
        self.assertEqual(self.handovers(self.peer)["received", "answered"], 40)

    # Connections that lived on made the daemon believe that it was not cut off.
    async def test_open_connections_live_on(self):
        for number in range(5):
            await self.call("/safe/a", request_id=f"w{number}")
        self.cut_off(self.daemon, keeps_open=True)
        for wave in range(6):
            # More than the connections that are open, and fewer than the slots.
            answers = await asyncio.gather(
                *(
                    self.call("/unsafe/a", request_id=f"u{wave}-{number}")
                    for number in range(5)
                )
            )
            self.assertEqual([status for status, _, _ in answers], [200] * 5)
        self.assertEqual(self.count_executions(), 35)

    # Requests on hung connections failed only at their deadlines, so that a
    # daemon whose servers report no load did not notice the partition.
    async def test_hung_connections_without_load_reports(self):
        for stand_in in self.servers:
            stand_in.options.omits_load = True
        # One attempt more than the request and its hedge take.
        route = documents.make_route_resource("safe", "/safe/", max_attempts=3)
        await self.configure(2, [route])
        for daemon in (self.daemon, self.peer):
            state = daemon._platform_state
            await self.wait_until(
                lambda state=state: state.catalogue.configuration_version == 2
            )
        for number in range(4):
            await self.call("/safe/a", request_id=f"w{number}")
        await self.misdirect(self.daemon, asyncio.Protocol)
        for number in range(5):
            started_at = boot_clock.now()
            status, _, _ = await self.call("/safe/a", request_id=f"h{number}")
            self.assertEqual(status, 200)
            seconds = boot_clock.now() - started_at
            self.assertLess(seconds, 0.2 if number else 0.9)

    # Requests were sent on new connections that were reset with them.
    async def test_new_connections_that_are_reset(self):
        for number in range(5):
            await self.call("/safe/a", request_id=f"w{number}")
        self.daemon._pool.retain(set())
        await self.misdirect(self.daemon, ResettingProtocol)
        # It may be sent before the daemon knows; only a safe one survives that.
        status, _, _ = await self.call("/safe/a", request_id="first")
        self.assertEqual(status, 200)
        for number in range(20):
            status, _, _ = await self.call(
                "/unsafe/a", "POST", b"12", request_id=f"u{number}"
            )
            self.assertEqual(status, 200)
        self.assertEqual(self.count_executions(), 26)

    # A peer that stopped dropped the requests that were handed to it.
    async def test_stopping_peer_finishes_what_it_was_handed(self):
        self.cut_off(self.daemon)
        await self.call("/safe/a", request_id="first")
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.6
        call = asyncio.create_task(self.call("/unsafe/a", request_id="late"))
        await self.wait_until(
            lambda: any(each.running_count for each in self.servers)
        )
        self.peer._request_stop()
        status, _, _ = await call
        self.assertEqual(status, 200)
        status, fields, _ = await self.call("/unsafe/a", request_id="refused")
        self.assertEqual(status, 503)
        self.assertEqual(fields["hyssopwind-outcome"], "not-run")
        self.assertEqual(
            sum(each.executions["refused"] for each in self.servers), 0
        )

    # Ejections by probes that could not be answered outlasted the partition.
    async def test_daemon_serves_at_once_after_the_partition(self):
        self.cut_off(self.daemon)
        for number in range(6):
            await self.call("/safe/a", request_id=f"c{number}")
        handed = self.handovers(self.daemon)["sent", "answered"]
        self.heal(self.daemon)
        await self.wait_until(
            lambda: self.daemon._request_path.monitor.is_reachable, 1.0
        )
        health = self.daemon._request_path._passive_health
        for stand_in in self.servers:
            server = ids.ServerId(stand_in.options.server_id)
            self.assertFalse(health.is_ejected(server, boot_clock.now()))
        status, _, _ = await self.call("/safe/a", request_id="after")
        self.assertEqual(status, 200)
        self.assertEqual(
            self.handovers(self.daemon)["sent", "answered"], handed
        )

    # Requests must not go from daemon to daemon when no server is reachable.
    async def test_all_daemons_cut_off_refuse_at_once(self):
        self.cut_off(self.daemon)
        self.cut_off(self.peer)
        for number in range(4):
            started_at = boot_clock.now()
            status, fields, _ = await self.call(
                "/unsafe/a", request_id=f"n{number}"
            )
            self.assertEqual(status, 503)
            self.assertIn("retry-after", fields)
            self.assertEqual(fields["hyssopwind-outcome"], "not-run")
            if number:
                self.assertLess(boot_clock.now() - started_at, 0.1)
        self.assertEqual(self.count_executions(), 0)
        self.assertLessEqual(
            sum(self.handovers(self.peer).values()), 1, "no request multiplies"
        )

    # A 503 promises that a request has not run, also where a peer may run it.
    async def test_peer_that_breaks_off_leaves_the_outcome_unknown(self):
        self.cut_off(self.daemon)
        await self.call("/safe/a", request_id="first")
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.5
        call = asyncio.create_task(self.call("/unsafe/a", request_id="broken"))
        await self.wait_until(
            lambda: any(each.executions["broken"] for each in self.servers)
        )
        for peer_connection in list(self.peer._internal_listeners._connections):
            peer_connection._transport.abort()
        status, fields, _ = await call
        self.assertEqual(status, 502)
        self.assertEqual(fields["hyssopwind-outcome"], "unknown")
        await asyncio.sleep(0.6)
        self.assertEqual(
            sum(each.executions["broken"] for each in self.servers), 1
        )

    # Servers went on working at a peer for callers that had left.
    async def test_caller_that_leaves_cancels_the_attempt_of_the_peer(self):
        self.cut_off(self.daemon)
        await self.call("/safe/a", request_id="first")
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.9
        _, writer = await self.connect()
        writer.write(self.request("/safe/a", request_id="left"))
        await self.wait_until(
            lambda: any(each.running_count for each in self.servers)
        )
        writer.close()
        await self.wait_until(
            lambda: not any(each.running_count for each in self.servers), 0.4
        )

    # A peer sent requests to servers long after their callers had left.
    async def test_request_that_waits_at_the_peer_ends_with_its_caller(self):
        self.cut_off(self.daemon)
        await self.call("/safe/a", request_id="first")
        picker = self.peer._dispatcher._picker
        pick = picker.pick

        async def pick_late(request):
            await asyncio.sleep(0.4)
            return await pick(request)

        picker.pick = pick_late
        _, writer = await self.connect()
        writer.write(self.request("/unsafe/a", "POST", request_id="left"))
        await self.wait_until(lambda: self.peer._dispatcher._received_count)
        writer.close()
        await asyncio.sleep(0.6)
        self.assertEqual(
            sum(each.executions["left"] for each in self.servers), 0
        )

    # The effect of an unsafe request is wanted also if its caller has left.
    async def test_unsafe_attempt_of_the_peer_outlasts_its_caller(self):
        self.cut_off(self.daemon)
        await self.call("/safe/a", request_id="first")
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.4
        _, writer = await self.connect()
        writer.write(self.request("/unsafe/a", "POST", request_id="left"))
        await self.wait_until(
            lambda: any(each.running_count for each in self.servers)
        )
        writer.close()
        await asyncio.sleep(0.2)
        self.assertEqual(sum(each.running_count for each in self.servers), 1)
        await self.wait_until(
            lambda: not any(each.running_count for each in self.servers), 1.0
        )

    # A peer that ended with its time gave no statement about its requests.
    async def test_peer_at_the_end_of_its_stop_answers_what_it_was_handed(self):
        self.cut_off(self.daemon)
        await self.call("/safe/a", request_id="first")
        self.peer._live_settings.replace(
            dataclasses.replace(self.peer._live_settings.current, grace=1.0)
        )
        picker = self.peer._dispatcher._picker

        async def pick_never(request):
            await asyncio.sleep(5.0)

        picker.pick = pick_never
        left = []
        self.peer_task.add_done_callback(
            lambda _: left.append(self.peer._dispatcher._received_count)
        )
        call = asyncio.create_task(
            self.call("/unsafe/a", "POST", b"12", request_id="held")
        )
        await self.wait_until(lambda: self.peer._dispatcher._received_count)
        self.peer._request_stop()
        status, fields, _ = await call
        self.assertEqual(status, 503)
        self.assertEqual(fields["hyssopwind-outcome"], "not-run")
        await asyncio.wait({self.peer_task}, timeout=1.0)
        self.assertEqual(left, [0])

    # Breaks of connections by a partition quarantined requests in the fleet.
    async def test_partition_confirms_no_crash(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.5
        call = asyncio.create_task(self.call("/safe/a", request_id="cut"))
        await self.wait_until(
            lambda: any(each.running_count for each in self.servers)
        )
        self.cut_off(self.daemon)
        for stand_in in self.servers:
            for writer in list(stand_in._writers):
                writer.transport.abort()
        await call
        await asyncio.sleep(0.3)
        self.assertTrue(self.daemon._crash_detector._quarantine.is_empty)
        self.assertTrue(self.peer._crash_detector._quarantine.is_empty)
