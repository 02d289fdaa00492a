"""Keys of tenants with gateways and stand-ins in one process."""

import asyncio
import dataclasses
import json
import logging
import os
import pathlib
import signal
import sys
import tempfile
import unittest

import logbook

from hyssopwind.core.fleet import handovers
from hyssopwind.core.tenants import tenant_table
from hyssopwind.daemon import headers
from hyssopwind.daemon import log_output
from hyssopwind.platform import field_names
from hyssopwind.standins.site import documents
from hyssopwind.standins.site import ports
from hyssopwind.standins.site import server
from hyssopwind.standins.site import store
from hyssopwind.standins.tests import site_gateway_case
from hyssopwind.standins.tests import site_peers_case
from hyssopwind.transport import boot_clock

RUNS_ALONE = True  # real sockets and times

KEY = "key-of-one-5d1c"
OTHER_KEY = "key-of-two-77aa"
SHARED_KEY = "key-of-both-90e2"


class TenantTestCase(site_gateway_case.GatewayTestCase):
    """A daemon with a configuration of two tenants and a public route."""

    routes = [
        *site_gateway_case.GatewayTestCase.routes,
        documents.make_route_resource("public", "/public/", public=True),
    ]
    tenants = [
        documents.make_tenant_resource("one", [KEY, SHARED_KEY]),
        documents.make_tenant_resource("two", [OTHER_KEY, SHARED_KEY]),
    ]

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.put_version(2, self.tenants)

    async def put_version(self, version, tenants, routes=None):
        await self.configure(version, [*(routes or self.routes), *tenants])
        for daemon in self.daemons():
            catalogue = daemon._platform_state.catalogue
            await self.wait_until(
                lambda catalogue=catalogue: (
                    catalogue.configuration_version == version
                )
            )

    def daemons(self):
        return [self.daemon]

    def received(self):
        return b"".join(b"".join(s.received_requests) for s in self.servers)

    async def call_with_key(self, key=KEY, target="/safe/a", **fields):
        return await self.call(target, Api_Key=key, **fields)

    def change_settings(self, daemon, **changes):
        live_settings = daemon._live_settings
        live_settings.replace(
            dataclasses.replace(live_settings.current, **changes)
        )

    def age_replica(self, daemon, seconds):
        """Makes the replica of a daemon look as if it were not confirmed."""
        state = daemon._platform_state
        state.freshness.age_seconds = lambda now: seconds


class AuthenticationTest(TenantTestCase):
    async def test_requests_need_the_key_of_one_tenant(self):
        self.assertEqual((await self.call_with_key())[0], 200)
        self.assertEqual((await self.call_with_key(OTHER_KEY))[0], 200)
        served = self.count_executions()
        for answer in (
            await self.call("/safe/a"),
            await self.call_with_key("unknown"),
            await self.call_with_key(SHARED_KEY),
            await self.call_with_key(KEY.upper()),
            await self.call_with_key(f"{KEY}, {KEY}"),
        ):
            status, fields, body = answer
            self.assertEqual(status, 401)
            self.assertEqual(fields["hyssopwind-outcome"], "not-run")
            self.assertNotIn("retry-after", fields)
            self.assertEqual(fields["www-authenticate"], "Api-Key")
            self.assertEqual(json.loads(body)["outcome"], "not-run")
        self.assertEqual(self.count_executions(), served)

    # A server, or a proxy on the way, could take the other value.
    async def test_repeated_field_is_refused(self):
        reader, writer = await self.connect()
        head = self.request("/safe/a", Api_Key=KEY)
        writer.write(head[:-2] + f"api-key: {KEY}\r\n\r\n".encode())
        self.assertEqual((await self.read_answer(reader))[0], 401)
        writer.close()
        self.assertEqual(self.count_executions(), 0)

    async def test_server_gets_the_name_of_the_tenant_instead_of_the_key(self):
        for target in ("/safe/a", "/unsafe/a"):
            await self.call_with_key(target=target, Tenant="two", tenant="x")
        received = self.received()
        self.assertEqual(received.count(b"Tenant: one\r\n"), 2)
        self.assertEqual(received.lower().count(b"tenant:"), 2)
        self.assertNotIn(b"api-key", received.lower())
        self.assertNotIn(KEY.encode(), received)

    # A caller could pretend to be a tenant on a route without keys.
    async def test_public_route_needs_no_key_and_has_no_tenant(self):
        for key in ("", KEY, "unknown"):
            fields = {"Api_Key": key} if key else {}
            answer = await self.call("/public/a", Tenant="one", **fields)
            self.assertEqual(answer[0], 200)
        received = self.received().lower()
        self.assertNotIn(b"tenant", received)
        self.assertNotIn(b"api-key", received)

    async def test_fields_pass_unchanged_without_tenants(self):
        await self.put_version(3, [])
        status, _, _ = await self.call_with_key("unknown", Tenant="anyone")
        self.assertEqual(status, 200)
        self.assertIn(b"Api-Key: unknown\r\n", self.received())
        self.assertIn(b"Tenant: anyone\r\n", self.received())

    async def test_request_without_a_route_is_answered_404(self):
        self.assertEqual((await self.call("/other/a"))[0], 404)

    # An unauthenticated caller could learn which requests crash servers.
    async def test_quarantined_request_needs_a_key_too(self):
        detector = self.daemon._crash_detector
        detector.quarantine_seconds = lambda request: 5.0
        self.assertEqual((await self.call("/safe/a"))[0], 401)
        self.assertEqual((await self.call_with_key())[0], 503)


class UncertaintyTest(TenantTestCase):
    async def assert_refused_for_now(self, answer):
        status, fields, body = answer
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["retry-after"]), 0.0)
        self.assertEqual(json.loads(body)["outcome"], "not-run")

    # Callers with new keys were told not to try again by a daemon that did not
    # have the version with their keys yet.
    async def test_unknown_key_is_refused_for_now_while_a_version_is_due(self):
        state = self.daemon._platform_state
        state.record_announced_configuration(state.replica.revision + 5)
        await self.assert_refused_for_now(await self.call_with_key("new"))
        self.assertEqual((await self.call_with_key())[0], 200)
        self.assertEqual((await self.call("/safe/a"))[0], 401)

    async def test_unknown_key_may_be_that_of_an_unreadable_tenant(self):
        unreadable = documents.make_tenant_resource(
            "three", ["new"], burst="many"
        )
        await self.put_version(3, [*self.tenants, unreadable])
        await self.assert_refused_for_now(await self.call_with_key("new"))
        self.assertEqual((await self.call_with_key())[0], 200)
        self.assertEqual((await self.call("/safe/a"))[0], 401)
        self.assertEqual((await self.call_with_key(SHARED_KEY))[0], 401)

    async def test_daemon_continues_with_its_latest_copy(self):
        self.age_replica(self.daemon, 60.0)
        self.assertEqual((await self.call_with_key())[0], 200)
        await self.assert_refused_for_now(await self.call_with_key("new"))

    async def test_daemon_that_fails_closed_refuses_all_keys(self):
        self.change_settings(self.daemon, fail_closed=True, revoke_bound=3.0)
        self.age_replica(self.daemon, 2.9)
        self.assertEqual((await self.call_with_key())[0], 200)
        self.age_replica(self.daemon, 3.1)
        for fields in ({}, {"Api_Key": KEY}, {"Api_Key": "new"}):
            await self.assert_refused_for_now(
                await self.call("/safe/a", **fields)
            )
        self.assertEqual((await self.call("/public/a"))[0], 200)

    # A restored platform has the version before a revocation.
    async def test_older_version_does_not_bring_a_key_back(self):
        await self.put_version(3, self.tenants[1:])
        await self.configure(2, [*self.routes, *self.tenants])
        state = self.daemon._platform_state
        revision = state.replica.revision
        await self.wait_until(lambda: state.replica.revision >= revision)
        await asyncio.sleep(0.3)
        self.assertEqual(state.catalogue.configuration_version, 3)
        self.assertEqual((await self.call_with_key())[0], 401)


class RevocationTest(TenantTestCase):
    async def test_key_is_refused_on_an_open_connection(self):
        reader, writer = await self.connect()
        writer.write(self.request("/safe/a", Api_Key=KEY))
        self.assertEqual((await self.read_answer(reader))[0], 200)
        await self.put_version(3, self.tenants[1:])
        served = self.count_executions()
        writer.write(self.request("/safe/a", request_id="r2", Api_Key=KEY))
        self.assertEqual((await self.read_answer(reader))[0], 401)
        writer.write(
            self.request("/safe/a", request_id="r3", Api_Key=OTHER_KEY)
        )
        self.assertEqual((await self.read_answer(reader))[0], 200)
        writer.close()
        self.assertEqual(self.count_executions(), served + 1)

    async def test_pipelined_requests_are_refused_after_the_revocation(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.6
        reader, writer = await self.connect()
        for number in range(3):
            writer.write(
                self.request("/unsafe/a", "POST", f"r{number}", Api_Key=KEY)
            )
        await self.wait_until(lambda: self.count_executions() == 1)
        await self.put_version(3, self.tenants[1:])
        statuses = [(await self.read_answer(reader))[0] for _ in range(3)]
        self.assertEqual(statuses, [200, 401, 401])
        self.assertEqual(self.count_executions(), 1)
        writer.close()

    async def test_waiting_request_is_refused_before_it_is_sent(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = 0.9
            stand_in.options.slots = 1
        routes = [
            documents.make_route_resource(
                "safe", "/safe/", timeout_s=4.0, target_latency_s=3.0
            )
        ]
        await self.put_version(3, self.tenants, routes)
        first = [
            asyncio.create_task(
                self.call_with_key(OTHER_KEY, request_id=f"o{number}")
            )
            for number in range(2)
        ]
        await self.wait_until(lambda: self.count_executions() == 2)
        late = asyncio.create_task(self.call_with_key(request_id="late"))
        await asyncio.sleep(0.1)
        self.assertEqual(self.count_executions(), 2)
        await self.put_version(4, self.tenants[1:], routes)
        self.assertEqual((await late)[0], 401)
        self.assertEqual([(await call)[0] for call in first], [200, 200])
        self.assertEqual(self.count_executions(), 2)

    # The connection to a server may take long to open.
    async def test_request_is_refused_when_its_connection_is_open(self):
        pool = self.daemon._pool
        pool.retain(set())
        open_connection = pool._open

        async def open_late(address):
            opened = await open_connection(address)
            await self.put_version(3, self.tenants[1:])
            return opened

        pool._open = open_late
        status, _, _ = await self.call_with_key(target="/unsafe/a")
        self.assertEqual(status, 401)
        self.assertEqual(self.count_executions(), 0)

    # 401 promises that a request has not run.
    async def test_retry_with_a_revoked_key_keeps_the_first_outcome(self):
        for stand_in in self.servers:
            stand_in.options.scripted_answers.append(b"")
        server_picker = self.daemon._dispatcher._picker
        pick = server_picker.pick

        async def pick_late(request):
            selected = await pick(request)
            if request.tried_servers:
                await self.put_version(3, self.tenants[1:])
            return selected

        server_picker.pick = pick_late
        status, fields, _ = await self.call_with_key()
        self.assertEqual(status, 502)
        self.assertEqual(fields["hyssopwind-outcome"], "unknown")
        self.assertEqual(self.count_executions(), 1)


class SecrecyTest(TenantTestCase):
    async def test_key_is_in_no_log_line_and_no_metric(self):
        with (
            logbook.TestHandler(level=logbook.NOTSET).applicationbound() as log,
            self.assertLogs(level=logging.DEBUG) as standard_log,
        ):
            logging.getLogger("test").debug("assertLogs needs one line")
            await self.call_with_key()
            await self.call_with_key("unknown-" + KEY)
            await self.call_with_key(SHARED_KEY)
            await self.call_with_key(target="/other/a")
            await self.call_with_key(target="/public/a")
            await self.call_with_key(Long="x" * 3_000)
            await self.call_with_key(Deadline_Ms="0")
            reader, writer = await self.connect()
            writer.write(
                self.request("/safe/a", Api_Key=KEY)[:-2] + b"bad\0: x\r\n\r\n"
            )
            await self.read_answer(reader)
            writer.close()
            self.daemon._dispatcher.find_route = None  # makes `serve` raise
            status, _, body = await self.call_with_key()
            self.assertEqual(status, 502)
            self.assertNotIn(KEY.encode(), body)
            del self.daemon._dispatcher.find_route
            await self.put_version(
                3,
                [
                    *self.tenants,
                    documents.make_tenant_resource("three", [KEY, 5]),
                    documents.make_tenant_resource("four", [KEY], burst=1),
                ],
            )
            await asyncio.sleep(0.3)
            records = [log_output.format_record(r, log) for r in log.records]
        lines = [*records, *standard_log.output]
        self.assertTrue(any('"requests refused"' in line for line in lines))
        self.assertTrue(any('"one\\", \\"two\\"' in line for line in lines))
        metrics = self.daemon._metrics.render().decode()
        self.assertIn(
            'hyssopwind_authentications_total{result="unknown_key"} 1.0',
            metrics,
        )
        for secret in (KEY, SHARED_KEY, tenant_table.digest_key(KEY)):
            for text in (*lines, metrics):
                self.assertNotIn(secret, text)
        for name in ("one", "two"):
            self.assertNotIn(f'"{name}"', metrics)

    # Daemons send each other the items of their replicas.
    async def test_replica_holds_no_key(self):
        await self.put_version(
            3,
            [
                *self.tenants,
                documents.make_tenant_resource("three", [KEY, 5]),
            ],
        )
        state = self.daemon._platform_state
        for revision in (0, state.replica.revision - 1):
            delta = state.replica.delta_since(revision)
            (value,) = [
                item.value for item in delta.items if item.key == "op/config"
            ]
            for key in (KEY, OTHER_KEY, SHARED_KEY):
                self.assertNotIn(key.encode(), value)
        self.assertEqual((await self.call_with_key(OTHER_KEY))[0], 200)

    # A crowd with wrong keys must not fill the log.
    async def test_refusals_of_a_class_have_one_line_a_second(self):
        with logbook.TestHandler().applicationbound() as log:
            started_at = boot_clock.now()
            reader, writer = await self.connect()
            for number in range(50):
                writer.write(self.request("/safe/a", request_id=f"r{number}"))
                self.assertEqual((await self.read_answer(reader))[0], 401)
            writer.close()
            await asyncio.sleep(1.4)
            seconds = boot_clock.now() - started_at
            lines = [
                record.extra
                for record in log.records
                if record.message == "requests refused"
            ]
            other_lines = [
                record
                for record in log.records
                if record.channel in ("request", "attempt")
            ]
        self.assertLessEqual(len(lines), seconds + 1)
        self.assertEqual(sum(line["count"] for line in lines), 50)
        self.assertEqual(lines[0]["cause"], "missing_key")
        self.assertEqual(other_lines, [])


class HandoverTest(site_peers_case.PeersTestCase, TenantTestCase):
    """The daemon that callers reach hands its requests to its peer."""

    def daemons(self):
        # The peer starts after the first version with tenants.
        peer = getattr(self, "peer", None)
        return [self.daemon] if peer is None else [self.daemon, peer]

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.received_by_peer = bytearray()
        self.cut_off(self.daemon)
        pool = self.daemon._request_path.handover._pool
        acquire = pool.acquire

        async def acquire_recorded(address):
            peer_connection = await acquire(address)
            exchange = peer_connection.exchange

            async def exchange_recorded(data, *arguments):
                self.received_by_peer += data
                return await exchange(data, *arguments)

            peer_connection.exchange = exchange_recorded
            return peer_connection

        pool.acquire = acquire_recorded

    def sent_terms(self):
        name = headers.HANDOVER.encode() + b": "
        lines = bytes(self.received_by_peer).split(b"\r\n")
        return [
            handovers.decode_terms(line.removeprefix(name).decode())
            for line in lines
            if line.startswith(name)
        ]

    async def test_peer_gets_a_digest_and_never_the_key(self):
        status, _, _ = await self.call_with_key(target="/unsafe/a", Tenant="x")
        self.assertEqual(status, 200)
        (terms,) = self.sent_terms()
        self.assertEqual(terms.tenant, "one")
        self.assertEqual(terms.key_digest, tenant_table.digest_key(KEY))
        self.assertEqual(terms.configuration_version, 2)
        self.assertNotIn(KEY.encode(), self.received_by_peer)
        self.assertNotIn(b"api-key", self.received_by_peer.lower())
        received = self.received()
        self.assertEqual(received.count(b"Tenant: one\r\n"), 1)
        self.assertEqual(received.lower().count(b"tenant:"), 1)

    async def test_public_request_is_handed_over_without_a_tenant(self):
        status, _, _ = await self.call_with_key(target="/public/a", Tenant="x")
        self.assertEqual(status, 200)
        self.assertNotIn(b"tenant:", self.received().lower())

    # The allowance of a tenant was charged by the daemon of the caller.
    async def test_allowance_is_charged_once(self):
        charged = []

        def count(daemon):
            dispatcher = daemon._request_path.dispatcher
            acquire = dispatcher._acquire_allowance

            async def acquire_counted(tenant):
                charged.append((daemon._initial_settings.name, tenant.id))
                return await acquire(tenant)

            dispatcher._acquire_allowance = acquire_counted

        for daemon in self.daemons():
            count(daemon)
        await self.call_with_key()
        self.assertEqual(charged, [("front-1", "one")])

    async def test_key_that_the_peer_knows_to_be_revoked_is_refused(self):
        state = self.daemon._platform_state
        state.apply_delta = lambda *arguments: 0
        await self.configure(3, [*self.routes, *self.tenants[1:]])
        catalogue = self.peer._platform_state.catalogue
        await self.wait_until(lambda: catalogue.configuration_version == 3)
        status, fields, _ = await self.call_with_key(target="/unsafe/a")
        self.assertEqual(status, 401)
        self.assertEqual(fields["hyssopwind-outcome"], "not-run")
        self.assertEqual(self.count_executions(), 0)

    # A peer with an older version cannot know that a key is unknown.
    async def test_peer_with_an_older_version_refuses_for_now(self):
        state = self.peer._platform_state
        state.apply_delta = lambda *arguments: 0
        added = documents.make_tenant_resource("three", ["new"])
        await self.configure(3, [*self.routes, *self.tenants, added])
        catalogue = self.daemon._platform_state.catalogue
        await self.wait_until(lambda: catalogue.configuration_version == 3)
        status, fields, _ = await self.call_with_key("new")
        self.assertEqual(status, 503)
        self.assertEqual(fields["hyssopwind-outcome"], "not-run")
        self.assertEqual((await self.call_with_key())[0], 200)

    # The previous release hands the field over as the caller sent it.
    async def test_request_of_the_previous_release_is_authenticated(self):
        catalogue = self.daemon._platform_state.catalogue
        catalogue._configuration = dataclasses.replace(
            catalogue.configuration, tenants=tenant_table.TenantTable()
        )
        self.assertEqual((await self.call_with_key(Tenant="x"))[0], 200)
        self.assertEqual((await self.call_with_key("unknown"))[0], 401)
        received = self.received()
        self.assertIn(b"Tenant: one\r\n", received)
        self.assertNotIn(b"Tenant: x\r\n", received)
        self.assertNotIn(KEY.encode(), received)


class ProcessLogTest(unittest.IsolatedAsyncioTestCase):
    """Two processes of daemons whose whole output is kept."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.store = store.StandInStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.server = server.StandInServer(server.ServerOptions("i-1"))
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        entry = documents.make_server_entry(self.server.address)
        await self.store.put("servers/i-1", entry)
        await self.publish(1, ["one", "two"])
        self.ports = ports.find_free_ports(5)
        self.processes = []
        for number in (1, 2):
            self.processes.append(await self.start_daemon(number))

    async def publish(self, version, names):
        tenants = [
            documents.make_tenant_resource(name, [f"{KEY}-{name}", SHARED_KEY])
            for name in names
        ]
        unreadable = documents.make_tenant_resource("odd", [OTHER_KEY, 1])
        route = documents.make_route_resource("safe", "/safe/")
        document = documents.make_configuration(
            version, [route, *tenants, unreadable]
        )
        await self.store.put("op/config", document)

    async def start_daemon(self, number):
        ip = f"127.0.0.{number}"
        path = self.directory / f"daemon-{number}.toml"
        path.write_text(
            documents.render_settings(
                store_address=self.store.address,
                ports=self.ports[:4],
                name=f"front-{number}",
                ip=ip,
                seed_address=f"127.0.0.1:{self.ports[2]}",
            )
        )
        with (self.directory / f"daemon-{number}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hyssopwind.daemon.gateway",
                env={
                    **os.environ,
                    "HYSSOPWIND_BOOT": str(path),
                    "HYSSOPWIND_METRICS_PORT": str(self.ports[4]),
                    "HYSSOPWIND_CALLERS_ADDRESS": f"{ip}:{self.ports[0]}",
                },
                stdout=log,
                stderr=log,
            )
        self.addAsyncCleanup(self.end, process)
        return process

    async def end(self, process):
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def fetch(self, ip, port, target, *lines):
        """Returns the status of a GET; 0 if nothing answers."""
        try:
            reader, writer = await asyncio.open_connection(ip, port)
        except OSError:
            return 0
        fields = [f"Host: {documents.HOST}", "Connection: close", *lines]
        head = "\r\n".join([f"GET {target} HTTP/1.1", *fields])
        writer.write(head.encode() + b"\r\n\r\n")
        answer = await reader.read()
        writer.close()
        return int(answer.split()[1]) if answer else 0

    async def wait_for_status(self, status, ip, port, target, *lines):
        async with asyncio.timeout(20.0):
            while await self.fetch(ip, port, target, *lines) != status:
                await asyncio.sleep(0.05)

    async def test_no_line_of_any_process_has_a_key(self):
        key_lines = [
            f"{field_names.API_KEY}: {key}"
            for key in (f"{KEY}-one", f"{KEY}-two", SHARED_KEY, OTHER_KEY)
        ]
        for ip in ("127.0.0.1", "127.0.0.2"):
            await self.wait_for_status(200, ip, self.ports[1], "/ready")
            for target in ("/safe/a", "/other/a"):
                for lines in (*zip(key_lines), key_lines, ["x" * 3_000]):
                    await self.fetch(ip, self.ports[0], target, *lines)
            port = self.ports[0]
            self.assertEqual(
                await self.fetch(ip, port, "/safe/a", key_lines[0]), 200
            )
            self.assertEqual(
                await self.fetch(ip, port, "/safe/a", key_lines[3]), 503
            )
        await self.publish(2, ["two", "three"])
        for ip in ("127.0.0.1", "127.0.0.2"):
            await self.wait_for_status(
                503, ip, self.ports[0], "/safe/a", key_lines[0]
            )
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(15.0):
                self.assertEqual(await process.wait(), 0)
        for number in (1, 2):
            log = (self.directory / f"daemon-{number}.log").read_text()
            self.assertIn("requests refused", log)
            self.assertIn("unreadable item or part of one ignored", log)
            self.assertIn("stopped", log)
            for key in (KEY, SHARED_KEY, OTHER_KEY):
                self.assertNotIn(key, log)
