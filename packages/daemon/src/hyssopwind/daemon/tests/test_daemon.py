import asyncio
import socket
import unittest
from unittest import mock

from hyssopwind.core.settings import parsing
from hyssopwind.daemon import daemon
from hyssopwind.daemon import supervision

RUNS_ALONE = True  # real sockets and times

SETTINGS = """
name = "one"
data_centre = "chicago"
callers = "127.0.0.1:{0}"
peers = "127.0.0.1:{1}"
admin = "127.0.0.1:{2}"
[platform]
configuration = "http://127.0.0.1:{3}"
virtual_machines = "http://127.0.0.1:{3}"
[cluster]
entry_vms = 1
[keys]
signing_keys = ["a-signing-key-for-tests"]
[stop]
balancer_delay = "10ms"
grace = "100ms"
"""


def find_free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class TaskEndTest(unittest.IsolatedAsyncioTestCase):
    def make_daemon(self):
        text = SETTINGS.format(*find_free_ports(4))
        settings = parsing.parse_daemon(text, "d.toml").value
        return daemon.Daemon(settings, lambda: settings)

    # The status was 0, so that a supervisor left the daemon down.
    async def test_daemon_whose_task_ends_stops_with_a_status(self):
        async def end(*_, **__):
            return None

        with mock.patch.object(supervision, "supervise", end):
            status = await asyncio.wait_for(self.make_daemon().run(), 20.0)
        self.assertEqual(status, supervision.EXIT_TASK_ENDED)

    async def test_daemon_goes_on_while_a_task_fails(self):
        running = self.make_daemon()

        async def fail():
            raise RecursionError("deep")

        with mock.patch.object(running, "_probe", fail):
            task = asyncio.create_task(running.run())
            await asyncio.sleep(1.2)
        self.assertFalse(task.done())
        failures = running._counters.task_failures.labels("probes")
        self.assertGreaterEqual(failures._value.get(), 2)
        running._stop.set()
        self.assertEqual(await asyncio.wait_for(task, 20.0), 0)


if __name__ == "__main__":
    unittest.main()
