"""Exceptions of one connection of a caller in a planned stop."""

import asyncio
import socket
import struct
from unittest import mock

import logbook

from hyssopwind.daemon.gateway import caller_connection
from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_gateway_case

RUNS_ALONE = True  # real sockets and times

IDLE_CONNECTION_COUNT = 20
WORK_SECONDS = 3.2  # ends after idle connections are closed, before the grace


class StopExceptionTest(site_gateway_case.GatewayTestCase):
    routes = [
        documents.make_route_resource("safe", "/safe/"),
        documents.make_route_resource(
            "unsafe", "/unsafe/", kind="unsafe", timeout_s=9.0
        ),
    ]

    async def configure(self, version, routes, **limits):
        # Idle connections must outlast the first part of the stop.
        await super().configure(version, routes, idle_timeout_s=15, **limits)

    async def open_idle_connections(self):
        loop = asyncio.get_running_loop()
        raw_sockets = []
        for number in range(IDLE_CONNECTION_COUNT):
            raw_socket = socket.socket()
            raw_socket.setblocking(False)
            await loop.sock_connect(raw_socket, ("127.0.0.1", self.ports[0]))
            request = self.request("/safe/a", request_id=f"i{number}")
            await loop.sock_sendall(raw_socket, request)
            await loop.sock_recv(raw_socket, 65_536)
            raw_sockets.append(raw_socket)
            self.addCleanup(raw_socket.close)
        return raw_sockets

    async def start_work(self):
        for stand_in in self.servers:
            stand_in.options.work_seconds = WORK_SECONDS
        reader, writer = await self.connect()
        request = self.request("/unsafe/a", "POST", Deadline_Ms="9000")
        ran = self.count_executions()
        writer.write(request)
        await self.wait_until(lambda: self.count_executions() > ran)
        self.addCleanup(writer.close)
        return reader

    async def check_stop_with(self, close_if_idle):
        reader = await self.start_work()
        with mock.patch.object(
            caller_connection.CallerConnection, "close_if_idle", close_if_idle
        ):
            self.request_stop()
            status, _, body = await self.read_answer(reader)
        self.assertEqual((status, body), (200, b"ran "))
        await asyncio.wait_for(self.daemon_task, 2.0)

    # Callers reset the idle connections of a pool when the daemon closes the
    # first of them. The close of a connection that had just been reset raised
    # ENOTCONN, which ended the process; running requests got no answer.
    async def test_running_request_is_answered_when_idle_callers_reset(self):
        raw_sockets = await self.open_idle_connections()
        close_if_idle = caller_connection.CallerConnection.close_if_idle

        def reset_others(connection):
            while raw_sockets:
                raw_socket = raw_sockets.pop()
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                raw_socket.close()
            close_if_idle(connection)

        await self.check_stop_with(reset_others)
        self.assertFalse(raw_sockets)

    # Any exception of one connection ended the drain of all.
    async def test_running_request_is_answered_when_a_close_fails(self):
        await self.open_idle_connections()
        close_if_idle = caller_connection.CallerConnection.close_if_idle

        def fail_if_idle(connection):
            if connection.is_idle:
                raise RuntimeError("a defect")
            close_if_idle(connection)

        await self.check_stop_with(fail_if_idle)

    async def test_stop_goes_on_when_it_cannot_be_announced(self):
        with mock.patch.object(
            self.daemon._gossip, "announce_stop", side_effect=RuntimeError
        ):
            await self.check_stop_with(
                caller_connection.CallerConnection.close_if_idle
            )

    # The exception reached the reader of the store, which began anew.
    async def test_change_that_cannot_be_announced_ends_no_task(self):
        await asyncio.sleep(1.5)  # The subscription begins late.
        gossip = self.daemon._gossip
        handler = logbook.TestHandler()
        with (
            handler.applicationbound(),
            mock.patch.object(
                gossip, "announce_change", side_effect=RuntimeError
            ) as announce,
        ):
            for version in (2, 3):
                count = announce.call_count
                await self.configure(version, self.routes)
                await self.wait_until(
                    lambda count=count: announce.call_count > count
                )
        messages = {record.message for record in handler.records}
        self.assertIn("change could not be announced", messages)
        self.assertNotIn("background task failed; starting it again", messages)
