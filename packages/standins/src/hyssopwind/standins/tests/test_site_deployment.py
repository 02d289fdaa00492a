"""Build command of the deploy file, and the daemon that it builds."""

import asyncio
import os
import pathlib
import re
import shlex
import shutil
import signal
import sys
import tempfile
import tomllib
import unittest

from hyssopwind.standins.site import documents
from hyssopwind.standins.site import ports
from hyssopwind.standins.site import server
from hyssopwind.standins.site import store

RUNS_ALONE = True  # real sockets and times

ROOT = pathlib.Path(__file__).resolve().parents[6]
BUILD_TIMEOUT_SECONDS = 600.0  # The platform's limit is fifteen minutes.
BUILD_INPUTS = ("deploy", "packages", "platform")
PLACEHOLDER = re.compile(r"\{\{([a-z_.]+)\}\}")


def fill_placeholders(text, fields):
    """Fills placeholders as the platform does, unknown ones with nothing."""

    def find_value(match):
        value = fields
        for name in match[1].split("."):
            value = value.get(name, {})
        return value if isinstance(value, str) else ""

    return PLACEHOLDER.sub(find_value, text)


class DeploymentTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = pathlib.Path(directory.name)
        for name in BUILD_INPUTS:
            shutil.copytree(
                ROOT / name,
                self.root / name,
                ignore=shutil.ignore_patterns("*.egg-info", "__pycache__"),
            )
        text = (self.root / "deploy/system.toml").read_text()
        self.deploy = tomllib.loads(text)
        self.store = store.StandInStore()
        await self.store.start()
        self.server = server.StandInServer(server.ServerOptions("i-1"))
        await self.server.start()
        route = documents.make_route_resource("safe", "/safe/")
        await self.store.put(
            "op/config", documents.make_configuration(1, [route])
        )
        entry = documents.make_server_entry(self.server.address)
        await self.store.put("servers/i-1", entry)

    async def asyncTearDown(self):
        await self.server.close()
        await self.store.stop()

    async def build(self):
        sources_before = self.list_sources()
        process = await asyncio.create_subprocess_shell(
            self.deploy["build"],
            cwd=self.root,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        status = await asyncio.wait_for(process.wait(), BUILD_TIMEOUT_SECONDS)
        self.assertEqual(status, 0)
        self.assertEqual(self.list_sources(), sources_before)

    def list_sources(self):
        return {
            path
            for name in BUILD_INPUTS
            for path in (self.root / name).rglob("*")
        }

    async def start(self, settings, **overrides):
        settings_path = self.root / "local.toml"
        settings_path.write_text(settings)
        fields = tomllib.loads(settings)
        role = self.deploy["roles"]["gateway"]
        command_words = shlex.split(role["run"])
        self.assertEqual(command_words[0], "python3")
        environment = {
            **{
                name: fill_placeholders(text, fields)
                for name, text in role["env"].items()
            },
            **overrides,
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(self.root / "target/deps"),
            "HYSSOPWIND_BOOT": str(settings_path),
            "HYSSOPWIND_METRICS_PORT": str(ports.find_free_ports(1)[0]),
        }
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *command_words[1:],
            cwd=self.root,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def fetch_status(self, port, target):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            f"GET {target} HTTP/1.1\r\nHost: {documents.HOST}\r\n"
            "Request-Id: r1\r\nConnection: close\r\n\r\n".encode()
        )
        data = await reader.read()
        writer.close()
        return int(data.split()[1])

    async def wait_for_status(self, port, target, expected):
        async with asyncio.timeout(20.0):
            while True:
                try:
                    if await self.fetch_status(port, target) == expected:
                        return
                except (OSError, IndexError):
                    pass  # The daemon does not listen yet.
                await asyncio.sleep(0.05)

    async def test_built_daemon_serves_stops_and_rejects_wrong_settings(self):
        await self.build()
        listen_ports = ports.find_free_ports(4)
        settings = documents.render_settings(
            store_address=self.store.address, ports=listen_ports
        )
        process = await self.start(settings)
        try:
            await self.wait_for_status(listen_ports[1], "/ready", 200)
            self.assertEqual(
                await self.fetch_status(listen_ports[0], "/safe/a"), 200
            )
            process.send_signal(signal.SIGTERM)
            await self.wait_for_status(listen_ports[1], "/ready", 503)
            output, errors = await asyncio.wait_for(process.communicate(), 10.0)
        finally:
            if process.returncode is None:
                process.kill()
        self.assertEqual(process.returncode, 0)
        self.assertEqual(errors, b"")
        self.assertIn(b'"message":"answered"', output)
        self.assertIn(b'"message":"stopped"', output)

        process = await self.start(settings.replace("[listen]", "[lost]"))
        _, errors = await asyncio.wait_for(process.communicate(), 10.0)
        self.assertEqual(process.returncode, 1)
        self.assertEqual(errors.count(b"\n"), 1)
        self.assertIn(b'key "listen": is missing', errors)

        other_address = f"127.0.0.1:{ports.find_free_ports(1)[0]}"
        process = await self.start(
            settings, HYSSOPWIND_CALLERS_ADDRESS=other_address
        )
        _, errors = await asyncio.wait_for(process.communicate(), 10.0)
        self.assertEqual(process.returncode, 1)
        self.assertIn(f"listens on {other_address}".encode(), errors)
