"""Signals to the process of a gateway daemon, and changes of its settings."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from hyssopwind.standins.site import documents
from hyssopwind.standins.site import ports
from hyssopwind.standins.site import store

RUNS_ALONE = True  # real sockets and times

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0
HANGUP_INTERVAL_SECONDS = 0.005
RELOAD_SECONDS = 2.5


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store and the process of a daemon."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.store = store.StandInStore()
        await self.store.start()
        route = documents.make_route_resource("safe", "/safe/")
        await self.store.put(
            "op/config", documents.make_configuration(1, [route])
        )
        self.ports = ports.find_free_ports(5)
        self.settings_path = pathlib.Path(directory.name) / "local.toml"
        self.settings_text = documents.render_settings(
            store_address=self.store.address, ports=self.ports[:4]
        )
        self.settings_path.write_text(self.settings_text)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hyssopwind.daemon.gateway",
            env={
                **os.environ,
                "HYSSOPWIND_BOOT": str(self.settings_path),
                "HYSSOPWIND_METRICS_PORT": str(self.ports[4]),
                "HYSSOPWIND_CALLERS_ADDRESS": f"127.0.0.1:{self.ports[0]}",
            },
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )

    async def asyncTearDown(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.communicate()
        await self.store.stop()

    async def fetch(self, port, target):
        """Returns the answer to a GET; empty if nothing listens yet."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return b""
        writer.write(
            f"GET {target} HTTP/1.1\r\nHost: {documents.HOST}\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        try:
            return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def wait_for_listener(self):
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while self.process.returncode is None:
                try:
                    _, writer = await asyncio.open_connection(
                        "127.0.0.1", self.ports[0]
                    )
                except OSError:
                    await asyncio.sleep(HANGUP_INTERVAL_SECONDS)
                    continue
                writer.close()
                return

    async def is_ready(self):
        answer = await self.fetch(self.ports[1], "/ready")
        return answer.startswith(b"HTTP/1.1 200")

    async def wait_until_ready(self):
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while self.process.returncode is None:
                if await self.is_ready():
                    return
                await asyncio.sleep(HANGUP_INTERVAL_SECONDS)


class StartSignalTest(ProcessTestCase):
    # The default action of SIGHUP ended a daemon that was still starting, with
    # the connections that callers had opened since it listened.
    async def test_sighup_during_the_start_does_not_end_the_daemon(self):
        await self.wait_for_listener()
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while self.process.returncode is None:
                self.process.send_signal(signal.SIGHUP)
                if await self.is_ready():
                    break
                await asyncio.sleep(HANGUP_INTERVAL_SECONDS)
        self.assertIsNone(self.process.returncode)
        self.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_SECONDS)
        self.assertEqual(self.process.returncode, 0)


class StopSignalTest(ProcessTestCase):
    # SIGINT cancelled everything in progress instead of draining.
    async def test_sigint_drains_like_sigterm(self):
        await self.wait_until_ready()
        self.process.send_signal(signal.SIGINT)
        await asyncio.sleep(0.5)
        answer = await self.fetch(self.ports[0], "/other/")
        self.assertTrue(answer.startswith(b"HTTP/1.1 404"))
        await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_SECONDS)
        self.assertEqual(self.process.returncode, 0)


class ReloadTest(ProcessTestCase):
    async def check_reload_is_survived(self, valid, invalid):
        await self.wait_until_ready()
        text = self.settings_text.replace(valid, invalid)
        self.assertNotEqual(text, self.settings_text)
        self.settings_path.write_text(text)
        # The file is polled each second, and a call to the store that is
        # waiting for changes ends within another.
        await asyncio.sleep(RELOAD_SECONDS)
        self.assertTrue(await self.is_ready())
        self.assertIsNone(self.process.returncode)

    # The next call to the store failed at the address; the daemon stops if one
    # of its background tasks fails.
    async def test_store_address_without_a_port_does_not_end_the_daemon(self):
        host = self.store.address.rpartition(":")[0]
        await self.check_reload_is_survived(
            f'"{self.store.address}"', f'"{host}"'
        )

    # The poll of the settings file failed at the empty list.
    async def test_empty_range_of_ports_does_not_end_the_daemon(self):
        port = self.ports[3]
        await self.check_reload_is_survived(f"[{port},{port}]", "[]")
