"""Healthy servers that seem to hang, and what peers do, in virtual time."""

import asyncio
import types
import unittest
from unittest import mock

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import probe_budgets
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import server_health
from hyssopwind.daemon.gateway import load_probes
from hyssopwind.standins.virtual import loop
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection

SERVER = ids.ServerId("i-1")
SERVICE = ids.ServiceId("s")
ENTRY = entries.ServerEntry(
    SERVER, SERVICE, "10.0.0.1:80", ids.DataCentreId("dc"), 2, False, 0.0, 0
)
LISTED = catalogue.ListedServer(ENTRY, 0.0, 0.0)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
ROUND_TRIP_SECONDS = 0.002


class Transport(asyncio.Transport):
    """A transport to the server; `unsent` bytes are on their way."""

    unsent = 0

    def write(self, data):
        """Drops the request."""

    def is_closing(self):
        return False

    def abort(self):
        """Does nothing."""

    def get_write_buffer_size(self):
        return self.unsent


class Scene:
    """A daemon with a request at a server, and a peer with none.

    Attributes:
        running: requests that probes report; `None` if they are not answered.
    """

    def __init__(self):
        self.running = 0
        self.connections = []
        self.own = self.make_prober()
        self.peer = self.make_prober()
        self.transport = Transport()
        self.connection = connection.ClientConnection(ENTRY.address)
        self.connection.connection_made(self.transport)

    def make_prober(self):
        listing = types.SimpleNamespace(
            server_count=6,
            find=lambda _: LISTED,
            usable_servers=lambda *_: [LISTED],
            service_settings=lambda _: None,
        )
        prober = load_probes.LoadProber(
            listing,
            server_health.PassiveHealth(),
            self,
            types.SimpleNamespace(fleet_size=lambda: 2),
            probe_budgets.ProbeBudget(1_000.0, boot_clock.now()),
            announce_hang=lambda *notice: self.peer.handle_hang_notice(*notice),
            busy_connections=lambda _: self.connections,
        )
        prober._reporting_services.add(SERVICE)
        return prober

    async def probe(self, _entry, _path):
        load = self.running
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        if load is None:
            return None
        return probe_results.ProbeResult(
            SERVER, True, probe_results.Load(load, 0, 2), 0.0
        )

    async def send(self):
        self.own._passive_health.record_start(SERVER, boot_clock.now())
        self.connections.append(self.connection)
        self.attempt = asyncio.create_task(
            self.connection.exchange(b"x", "GET")
        )
        await asyncio.sleep(0)

    async def probe_for(self, seconds):
        """Probes every 20 ms, as other requests do that choose a server."""
        ends_at = boot_clock.now() + seconds
        while boot_clock.now() < ends_at:
            self.own.check_server(LISTED)
            await asyncio.sleep(0.02)

    def peer_ejects(self):
        return self.peer._passive_health.is_ejected(SERVER, boot_clock.now())


class HangNoticeTest(unittest.TestCase):
    def run_scene(self, play):
        async def main():
            event_loop = asyncio.get_running_loop()
            with mock.patch.object(boot_clock, "now", event_loop.time):
                await asyncio.sleep(1.0)
                scene = Scene()
                await play(scene)
                return scene.peer_ejects()

        return loop.run_virtual(main())

    # The time to open a connection counted as time at the server.
    def test_request_that_waits_for_its_connection(self):
        async def play(scene):
            scene.own._passive_health.record_start(SERVER, boot_clock.now())
            await scene.probe_for(0.4)

        self.assertFalse(self.run_scene(play))

    # The time to write the body counted as time at the server.
    def test_long_body_on_slow_link(self):
        async def play(scene):
            scene.transport.unsent = 500_000
            await scene.send()
            await scene.probe_for(1.6)
            scene.transport.unsent = 0
            await scene.probe_for(0.04)
            scene.running = 1
            await scene.probe_for(0.5)

        self.assertFalse(self.run_scene(play))

    # The server had reported no load since before the request came.
    def test_load_computed_before_request_came(self):
        async def play(scene):
            await scene.send()
            await scene.probe_for(0.2)
            scene.running = 1
            await scene.probe_for(0.5)

        self.assertFalse(self.run_scene(play))

    # The probe's answer overtook that of the request, which was lost once.
    def test_answer_that_is_retransmitted(self):
        async def play(scene):
            scene.running = 1
            await scene.send()
            await scene.probe_for(0.3)
            scene.running = 0
            await scene.probe_for(0.22)
            scene.connection.data_received(ANSWER)
            scene.connections.clear()
            await scene.probe_for(0.5)

        self.assertFalse(self.run_scene(play))

    # The server had finished a request whose answer took long to transfer.
    def test_answer_that_is_partly_received(self):
        async def play(scene):
            await scene.send()
            scene.connection.data_received(ANSWER[:-1])
            await scene.probe_for(1.0)

        self.assertFalse(self.run_scene(play))

    # The machine restarted, so that nobody answers the request or ends it.
    def test_server_that_restarted_after_request(self):
        async def play(scene):
            scene.running = 1
            await scene.send()
            await scene.probe_for(0.2)
            scene.running = None
            await scene.probe_for(0.2)
            scene.running = 0
            await scene.probe_for(1.0)

        self.assertFalse(self.run_scene(play))

    # A peer that knows the server to work needs no check of its own.
    def test_suspicion_ends_with_load(self):
        async def play(scene):
            await scene.send()
            await scene.probe_for(0.15)
            health = scene.peer._passive_health
            now = boot_clock.now()
            self.assertGreater(health.penalty_ratio(SERVER, now), 1.0)
            self.assertFalse(scene.peer_ejects())
            load = probe_results.Load(1, 0, 2)
            health.record_load(SERVER, load, (), now, now)
            self.assertEqual(health.penalty_ratio(SERVER, now), 1.0)

        self.run_scene(play)

    def test_server_that_hangs_is_ejected(self):
        async def play(scene):
            await scene.send()
            await scene.probe_for(0.5)

        self.assertTrue(self.run_scene(play))

    # A check for which the budget had no probe left was never made up for.
    def test_server_that_hangs_is_ejected_though_a_check_was_denied(self):
        async def play(scene):
            scene.own._probe_budget = types.SimpleNamespace(
                try_acquire=lambda *_, **__: False
            )
            scene.own.check_server = scene.own._start_probe
            await scene.send()
            # Another server was checked, so that this check needs the budget.
            scene.own._hang_checked_at = boot_clock.now()
            await scene.probe_for(1.5)

        self.assertTrue(self.run_scene(play))

    # The answer of a hedge cancelled the request before it could be verified.
    def test_server_that_hangs_is_ejected_though_the_request_is_cancelled(self):
        async def play(scene):
            await scene.send()
            await scene.probe_for(0.15)
            scene.attempt.cancel()
            scene.connections.clear()
            await scene.probe_for(0.35)

        self.assertTrue(self.run_scene(play))
