"""Test case with two gateway daemons and stand-ins in one process."""

import asyncio
import os

from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.settings import tuning
from hyssopwind.daemon import log_output
from hyssopwind.daemon.gateway import gateway
from hyssopwind.daemon.gateway import listening
from hyssopwind.platform import boot
from hyssopwind.standins.site import documents
from hyssopwind.standins.tests import site_gateway_case
from hyssopwind.transport import connection

PEER_IP = "127.0.0.2"


class PeersTestCase(site_gateway_case.GatewayTestCase):
    """Starts a second daemon in the data centre of the first one."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        text = documents.render_settings(
            store_address=self.store.address,
            ports=self.ports[:4],
            name="front-2",
            ip=PEER_IP,
            seed_address=f"127.0.0.1:{self.ports[2]}",
        )
        options = boot.parse_settings(text, "test")
        self.peer_read_end, write_end = os.pipe()
        stream = log_output.BoundedStream(
            write_end, tuning.GatewayTuning().logs
        )
        self.peer_listener = listening.listen(options.callers_address)
        self.peer = gateway.Gateway(
            options,
            tuning.GatewayTuning(),
            self.peer_listener,
            self.ports[4],
            stream,
        )
        self.peer_task = asyncio.create_task(self.peer.run())
        self.addAsyncCleanup(self.stop_peer)
        await self.wait_until(lambda: self.peer._is_ready())
        await self.wait_until(
            lambda: (
                list(self.daemon._member_list.peers())
                and list(self.peer._member_list.peers())
            )
        )

    async def stop_peer(self):
        self.peer_task.cancel()
        await asyncio.gather(self.peer_task, return_exceptions=True)
        self.peer._internal_listeners.stop()
        self.peer._gossip.stop()
        self.peer._request_path.stop()
        self.daemon._request_path.stop()
        self.peer_listener.close()
        self.peer._store_client.close_connections()
        os.close(self.peer_read_end)

    def cut_off(self, daemon, *, hangs=False, keeps_open=False):
        pool = daemon._pool

        async def fail(address):
            if hangs:
                await asyncio.sleep(0.4)
            raise connection.ExchangeError(
                attempt_results.FailureKind.NOT_CONNECTED, "partitioned"
            )

        pool._open = fail
        if not keeps_open:
            pool.retain(set())

    async def misdirect(self, daemon, protocol):
        """Gives a daemon connections to something that is no server."""
        listener = await asyncio.get_running_loop().create_server(
            protocol, PEER_IP, 0
        )
        self.addCleanup(listener.close)
        host, port = listener.sockets[0].getsockname()[:2]
        pool = daemon._pool
        original = type(pool)._open

        async def open_hung(address):
            return await original(pool, f"{host}:{port}")

        pool._open = open_hung
        pool.retain(set())

    def heal(self, daemon):
        del daemon._pool._open

    def handovers(self, daemon):
        return daemon._metrics._handovers
