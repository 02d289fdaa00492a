"""Test case with a gateway daemon and stand-ins in one process."""

import asyncio
import os
import signal
import unittest

from hyssopwind.core.settings import tuning
from hyssopwind.daemon import log_output
from hyssopwind.daemon.gateway import gateway
from hyssopwind.daemon.gateway import listening
from hyssopwind.platform import boot
from hyssopwind.standins.site import documents
from hyssopwind.standins.site import ports
from hyssopwind.standins.site import server
from hyssopwind.standins.site import store


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, two servers and a daemon."""

    routes = [
        documents.make_route_resource("safe", "/safe/"),
        documents.make_route_resource("unsafe", "/unsafe/", kind="unsafe"),
    ]

    async def asyncSetUp(self):
        self.store = store.StandInStore()
        await self.store.start()
        self.servers = []
        for number in range(2):
            await self.add_server(f"i-{number}")
        await self.configure(1, self.routes)
        await self.start_daemon()
        await self.wait_until(lambda: self.daemon._is_ready())

    async def asyncTearDown(self):
        self.daemon_task.cancel()
        await asyncio.gather(self.daemon_task, return_exceptions=True)
        self.daemon._internal_listeners.stop()
        self.daemon._gossip.stop()
        self.listener.close()
        self.daemon._store_client.close_connections()
        for stand_in in self.servers:
            await stand_in.close()
        await self.store.stop()
        os.close(self.read_end)

    async def add_server(self, name, **changes):
        stand_in = server.StandInServer(server.ServerOptions(name))
        await stand_in.start()
        self.servers.append(stand_in)
        entry = documents.make_server_entry(stand_in.address, **changes)
        await self.store.put(f"servers/{name}", entry)
        return stand_in

    async def configure(self, version, routes, **limits):
        document = documents.make_configuration(version, routes, **limits)
        await self.store.put("op/config", document)

    async def start_daemon(self):
        self.ports = ports.find_free_ports(5)
        text = documents.render_settings(
            store_address=self.store.address, ports=self.ports[:4]
        )
        self.options = boot.parse_settings(text, "test")
        gateway_tuning = tuning.GatewayTuning()
        self.read_end, write_end = os.pipe()
        stream = log_output.BoundedStream(write_end, gateway_tuning.logs)
        self.listener = listening.listen(self.options.callers_address)
        self.daemon = gateway.Gateway(
            self.options, gateway_tuning, self.listener, self.ports[4], stream
        )
        self.daemon_task = asyncio.create_task(self.daemon.run())

    def request_stop(self):
        """Sends SIGTERM to this process, which the daemon handles."""
        signal.raise_signal(signal.SIGTERM)

    async def wait_until(self, condition, seconds=3.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.ports[0])

    def request(self, target, method="GET", request_id="r1", **fields):
        headers = {
            "Host": documents.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "2000",
            **{k.replace("_", "-"): v for k, v in fields.items()},
        }
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def call(self, target, method="GET", body=b"", **fields):
        reader, writer = await self.connect()
        if body:
            fields["Content_Length"] = str(len(body))
        writer.write(self.request(target, method, **fields) + body)
        answer = await self.read_answer(reader)
        writer.close()
        return answer

    async def read_answer(self, reader):
        async with asyncio.timeout(5.0):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(": ")
                headers[name.lower()] = value
            body = await reader.readexactly(int(headers["content-length"]))
        return int(head.split()[1]), headers, body

    def count_executions(self):
        return sum(stand_in.executions.total() for stand_in in self.servers)
