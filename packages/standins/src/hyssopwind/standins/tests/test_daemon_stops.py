"""Stops of real daemons, judged by what callers and servers see."""

import asyncio
import contextlib
import dataclasses
import pathlib
import re
import socket
import tempfile
import time
import unittest

import aiohttp

from hyssopwind.standins import caller
from hyssopwind.standins import process_fleet
from hyssopwind.standins import processes
from hyssopwind.standins import server

RUNS_ALONE = True  # real sockets and times

PATH = "/team/ledger/search"
DAEMON = "entry-chicago-1"
SMALL_RECEIVE_BUFFER_BYTES = 32_768
# More than the sockets of both sides buffer for a caller that does not read.
LARGE_ANSWER_BYTES = 7_500_000
READ_BYTES = 65_536
# For signals, the end of the interpreter and a busy machine.
SLACK_SECONDS = 4.0
SERVICE = process_fleet.ServicePlan(
    "team",
    "ledger",
    slots=64,
    servers_per_data_centre=1,
    extra_settings=('idempotent_routes = ["/search"]\ndeadline = "20s"'),
)


@dataclasses.dataclass(slots=True)
class AnswerCount:
    """Answers that a raw caller read from one connection.

    Attributes:
        whole: answers of servers that arrived whole.
        failures: status codes of the daemon's own answers.
        cut_bytes: bytes of the last answer, if the connection ended inside it.
        was_reset: whether the connection ended with a reset.
    """

    whole: int = 0
    failures: list[int] = dataclasses.field(default_factory=list)
    cut_bytes: int = 0
    was_reset: bool = False


class RawCaller:
    """A caller's socket, of which the test controls each read and write."""

    def __init__(self, receive_buffer_bytes: int = 0):
        self._socket = socket.socket()
        self._socket.setblocking(False)
        if receive_buffer_bytes:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )

    async def connect(self, address: str) -> None:
        """Connects to the callers' address of a daemon."""
        host, _, port = address.partition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (host, int(port)))

    async def send(
        self, work_seconds: float = 0.0, padding_bytes: int = 0
    ) -> None:
        """Sends one request."""
        head = (
            f"GET {PATH} HTTP/1.1\r\nHost: daemon\r\n"
            f"{server.WORK_SECONDS_HEADER}: {work_seconds}\r\n"
            f"{server.PADDING_HEADER}: {padding_bytes}\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._socket, head.encode())

    async def send_until_closed(self, interval_seconds: float) -> int:
        """Sends requests until the socket refuses one; returns their number."""
        count = 0
        with contextlib.suppress(OSError):
            while True:
                await self.send()
                count += 1
                await asyncio.sleep(interval_seconds)
        return count

    async def read(self, pause_seconds: float = 0.0) -> AnswerCount:
        """Reads answers until the connection ends, with a pause after each."""
        count = AnswerCount()
        buffer = bytearray()
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await loop.sock_recv(self._socket, READ_BYTES)
            except OSError:
                count.was_reset = True
                break
            if not data:
                break
            buffer += data
            _remove_whole_answers(buffer, count)
            if pause_seconds:
                await asyncio.sleep(pause_seconds)
        count.cut_bytes = len(buffer)
        return count

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()


def _remove_whole_answers(buffer: bytearray, count: AnswerCount) -> None:
    """Removes the whole answers from the front and counts them."""
    while True:
        head_end = buffer.find(b"\r\n\r\n")
        if head_end < 0:
            return
        head = bytes(buffer[:head_end])
        match = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
        length = int(match.group(1)) if match else 0
        answer_end = head_end + 4 + length
        if len(buffer) < answer_end:
            return
        del buffer[:answer_end]
        if b"\r\nX-Served-By:" in head:
            count.whole += 1
        else:
            count.failures.append(int(head[9:12]))


class DaemonStopTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet and counts what its servers ran."""

    warm_up_requests = 50
    plan = process_fleet.FleetPlan(
        ("chicago",), (SERVICE,), daemons_per_data_centre=1, lease_ms=500
    )

    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.group = stack.enter_context(processes.process_group(directory))
        self.warm_up_count = 0
        self.session = await stack.enter_async_context(aiohttp.ClientSession())
        self.fleet = process_fleet.Fleet(
            self.plan, self.group, directory, self.session
        )
        await self.start_fleet()

    async def start_fleet(self):
        await self.fleet.start()
        await self.warm_up()

    async def warm_up(self):
        """Sends requests until the daemons use all slots of the servers."""
        for daemon in self.fleet.daemons.values():
            url = f"http://{daemon.callers_address}{PATH}"
            for _ in range(self.warm_up_requests):
                async with self.session.get(url) as response:
                    await response.read()
        self.warm_up_count = await self.count_completed()

    async def connect(self, receive_buffer_bytes=0, name=DAEMON):
        raw_caller = RawCaller(receive_buffer_bytes)
        self.addCleanup(raw_caller.close)
        await raw_caller.connect(self.fleet.daemons[name].callers_address)
        return raw_caller

    async def count_completed(self):
        total = -self.warm_up_count
        for name in self.fleet.servers:
            audit = await self.fleet.read_audit(name)
            total += audit["completed"]
        return total

    async def wait_for_exit(self, name=DAEMON):
        status = await asyncio.to_thread(self.group.wait, name)
        log = self.group.read_log(name)
        self.assertEqual(status, 0, log)
        self.assertNotIn("Traceback", log, log[-3000:])
        return log


class SlowReaderStopTest(DaemonStopTestCase):
    """Guards against answers that are written but not delivered."""

    async def test_answer_written_during_stop_arrives_whole(self):
        # Failure: the process ends while it still holds the answer's end.
        raw_caller = await self.connect(SMALL_RECEIVE_BUFFER_BYTES)
        await raw_caller.send(0.5, LARGE_ANSWER_BYTES)
        self.group.terminate(DAEMON)
        await asyncio.sleep(1.5)
        count = await raw_caller.read(pause_seconds=0.01)
        self.assertEqual(await self.count_completed(), 1)
        self.assertEqual(count.whole, 1, count)
        await self.wait_for_exit()

    async def test_answer_written_before_stop_arrives_whole(self):
        # Failure: a connection without a running request counts as finished.
        raw_caller = await self.connect(SMALL_RECEIVE_BUFFER_BYTES)
        await raw_caller.send(padding_bytes=LARGE_ANSWER_BYTES)
        await asyncio.sleep(0.5)
        self.group.terminate(DAEMON)
        await asyncio.sleep(1.5)
        count = await raw_caller.read(pause_seconds=0.01)
        self.assertEqual(await self.count_completed(), 1)
        self.assertEqual(count.whole, 1, count)
        await self.wait_for_exit()

    async def test_pipelining_caller_gets_last_answer_whole(self):
        # Failure: bytes that nobody reads turn the close into a reset, which
        # discards what the kernel has not delivered yet.
        raw_caller = await self.connect(SMALL_RECEIVE_BUFFER_BYTES)
        await raw_caller.send(0.8, LARGE_ANSWER_BYTES)
        self.group.terminate(DAEMON)
        await asyncio.sleep(0.4)
        sending = asyncio.create_task(raw_caller.send_until_closed(0.005))
        await asyncio.sleep(1.5)
        count = await raw_caller.read(pause_seconds=0.01)
        raw_caller.close()
        await sending
        self.assertEqual(count.whole, await self.count_completed(), count)
        await self.wait_for_exit()


class StuckReaderStopTest(DaemonStopTestCase):
    """Guards against a stop that a single caller delays."""

    plan = dataclasses.replace(DaemonStopTestCase.plan, stop_grace_ms=1000)

    async def test_stop_ends_after_grace_with_caller_that_reads_nothing(self):
        # Failure: the close of the connections waits 60 s beyond the grace.
        raw_caller = await self.connect(SMALL_RECEIVE_BUFFER_BYTES)
        await raw_caller.send(padding_bytes=LARGE_ANSWER_BYTES)
        await asyncio.sleep(0.5)
        started = time.monotonic()
        self.group.terminate(DAEMON)
        bound_seconds = (
            self.plan.balancer_delay_ms + self.plan.stop_grace_ms
        ) / 1000 + SLACK_SECONDS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(bound_seconds):
                while "stopped" not in self.group.read_log(DAEMON):
                    await asyncio.sleep(0.05)
        self.assertIn("stopped", self.group.read_log(DAEMON))
        self.assertLess(time.monotonic() - started, bound_seconds)


class KeptConnectionStopTest(DaemonStopTestCase):
    """Guards against requests that are passed on and then cut."""

    plan = dataclasses.replace(
        DaemonStopTestCase.plan, daemons_per_data_centre=2
    )

    async def test_callers_that_send_until_the_end_lose_no_answer(self):
        # Failure: requests of kept connections that arrive while the keys are
        # handed over are passed on, and the process ends before their answers.
        raw_callers = [await self.connect() for _ in range(60)]
        reads = [asyncio.create_task(one.read()) for one in raw_callers]
        stop_event = asyncio.Event()
        sending = asyncio.create_task(
            self.send_in_turn(raw_callers, stop_event)
        )
        await asyncio.sleep(0.3)
        self.group.terminate(DAEMON)
        await self.wait_for_exit()
        stop_event.set()
        await sending
        counts = await asyncio.gather(*reads)
        whole = sum(count.whole for count in counts)
        self.assertEqual(whole, await self.count_completed(), counts)

    async def send_in_turn(self, raw_callers, stop_event):
        """Sends a request on one connection after the other."""
        for raw_caller in raw_callers * 10:
            if stop_event.is_set():
                return
            with contextlib.suppress(OSError):
                await raw_caller.send(work_seconds=0.3)
            await asyncio.sleep(0.02)


class ColdServerStopTest(DaemonStopTestCase):
    """Guards against requests that wait for a slot when the daemon closes."""

    warm_up_requests = 0
    plan = dataclasses.replace(
        DaemonStopTestCase.plan, daemons_per_data_centre=2
    )

    async def test_pipelining_callers_lose_no_answer(self):
        # Failure: a waiting request sends a message on a closed link, and its
        # caller gets a 500 with an unknown outcome.
        raw_callers = [await self.connect() for _ in range(10)]
        reads = [asyncio.create_task(one.read()) for one in raw_callers]
        sends = [
            asyncio.create_task(one.send_until_closed(0.01))
            for one in raw_callers
        ]
        await asyncio.sleep(0.5)
        self.group.terminate(DAEMON)
        await self.wait_for_exit()
        counts = await asyncio.gather(*reads)
        await asyncio.gather(*sends)
        whole = sum(count.whole for count in counts)
        self.assertEqual(whole, await self.count_completed(), counts)


class ForwardedRequestStopTest(DaemonStopTestCase):
    """Guards against lost answers of requests that a peer forwards."""

    plan = dataclasses.replace(
        DaemonStopTestCase.plan, daemons_per_data_centre=2
    )

    async def test_stop_of_either_daemon_loses_no_forwarded_answer(self):
        # Failure: a daemon that runs a request for a peer ends before it.
        stopping, other = self.fleet.daemons
        post_caller = caller.Caller(self.session, timeout_seconds=15.0)
        calls = [
            asyncio.create_task(
                post_caller.call(
                    self.fleet.daemons[name].callers_address,
                    "/team/ledger/deposits",
                    method="POST",
                    body=b"deposit",
                    headers={
                        caller.KEY_HEADER: caller.make_key(),
                        server.WORK_SECONDS_HEADER: "1.5",
                    },
                )
            )
            for name in (stopping, other) * 15
        ]
        await asyncio.sleep(0.5)
        self.group.terminate(stopping)
        results = await asyncio.gather(*calls)
        verdicts = {result.verdict for result in results}
        self.assertEqual(verdicts, {caller.Verdict.WHOLE}, results)
        await self.wait_for_exit(stopping)


class StartingStopTest(DaemonStopTestCase):
    """Guards against a daemon that serves although it never became ready."""

    plan = dataclasses.replace(DaemonStopTestCase.plan, balancer_delay_ms=1500)

    async def start_fleet(self):
        """Starts all but the configuration and the list of VMs."""
        self.fleet._plan_servers()
        self.fleet._plan_daemons()
        self.fleet.start_daemon(DAEMON)

    async def test_stop_while_starting_refuses_requests_as_not_ready(self):
        # Failure: a daemon that knows no settings answers 404.
        url = f"http://{self.fleet.daemons[DAEMON].callers_address}{PATH}"
        async with asyncio.timeout(process_fleet.READY_TIMEOUT_SECONDS):
            while not await self.fleet.has_status(url, 503):
                await asyncio.sleep(0.05)
        self.group.terminate(DAEMON)
        await asyncio.sleep(0.5)
        async with self.session.get(url) as response:
            self.assertEqual(response.status, 503)
        log = await self.wait_for_exit()
        self.assertNotIn('"ready"', log)


if __name__ == "__main__":
    unittest.main()
