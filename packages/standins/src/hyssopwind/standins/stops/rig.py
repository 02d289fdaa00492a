"""Runs a plan against real gateway processes of the deploy file."""

import asyncio
import contextlib
import dataclasses
import itertools
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import sys
import time
import tomllib
from typing import Any

from hyssopwind.standins.site import documents
from hyssopwind.standins.site import ports
from hyssopwind.standins.site import store
from hyssopwind.standins.stops import callers
from hyssopwind.standins.stops import crowds
from hyssopwind.standins.stops import judging
from hyssopwind.standins.stops import plans
from hyssopwind.standins.stops import records
from hyssopwind.standins.stops import servers
from hyssopwind.standins.stops import world

ROOT = pathlib.Path(__file__).resolve().parents[6]
BUILD_INPUTS = ("deploy", "packages", "platform")
BUILD_TIMEOUT_SECONDS = 600.0  # The platform's limit is fifteen minutes.
START_TIMEOUT_SECONDS = 20.0
SERVER_COUNT = 4
LISTENER_POLL_SECONDS = 0.002
LOOP_CHECK_SECONDS = 0.02
READINESS_INTERVAL_SECONDS = 1.0
READINESS_TIMEOUT_SECONDS = 1.0
MISSES_OUT_OF_ROTATION = 2
BUSY_CODE = "while True: pass"
_PLACEHOLDER = re.compile(r"\{\{([a-z_.]+)\}\}")


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """What a run showed.

    Attributes:
        plan: its plan.
        judged: all requests with their verdicts.
        timelines: what was done to each gateway.
        logs: the log file of each gateway, for a trace only.
        world: what was done to the store, the operator and the servers.
        held_up_seconds: longest time for which the event loop of the run, which
            callers and servers share, was held up.
    """

    plan: plans.Plan
    judged: tuple[judging.Judged, ...]
    timelines: tuple[records.GatewayTimeline, ...]
    logs: tuple[pathlib.Path, ...]
    world: records.WorldTimeline = dataclasses.field(
        default_factory=records.WorldTimeline
    )
    held_up_seconds: float = 0.0

    @property
    def foreign(self) -> list[judging.Judged]:
        """The requests that got the answer to another one."""
        return [each for each in self.judged if each.caller.foreign_id]

    @property
    def broken(self) -> list[judging.Judged]:
        """The requests that break the rule, or got another one's answer."""
        return [*judging.find_broken(self.judged), *self.foreign]

    @property
    def crashes(self) -> list[tuple[int, int]]:
        """Gateway and status of each end that no kill or stop explains."""
        found = []
        for number, timeline in enumerate(self.timelines):
            for _, status in timeline.exits:
                if status not in (0, -signal.SIGTERM, -signal.SIGKILL):
                    found.append((number, status))
        return found

    @property
    def is_passed(self) -> bool:
        """Whether no answer was lost and no gateway crashed."""
        return not self.broken and not self.crashes


async def build(root: pathlib.Path) -> None:
    """Builds the gateway in `root` with the command of the deploy file.

    Raises:
        RuntimeError: the command failed.
    """
    for name in BUILD_INPUTS:
        shutil.copytree(
            ROOT / name,
            root / name,
            ignore=shutil.ignore_patterns("*.egg-info", "__pycache__"),
        )
    process = await asyncio.create_subprocess_shell(
        _read_deploy(root)["build"],
        cwd=root,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    status = await asyncio.wait_for(process.wait(), BUILD_TIMEOUT_SECONDS)
    if status:
        raise RuntimeError(f"the build ended with status {status}")


async def run(
    plan: plans.Plan, root: pathlib.Path, log_directory: pathlib.Path
) -> RunResult:
    """Runs a plan with the gateway that was built in `root`."""
    async with contextlib.AsyncExitStack() as stack:
        return await _Run(plan, root, log_directory, stack).run()


class GatewayProcess:
    """A gateway process, and its successors, on one VM."""

    def __init__(
        self,
        settings_path: pathlib.Path,
        root: pathlib.Path,
        log_path: pathlib.Path,
        grace_seconds: float,
        cores: frozenset[int],
    ):
        self.timeline = records.GatewayTimeline()
        self.log_path = log_path
        self.is_in_rotation = True
        self._settings_path = settings_path
        self._root = root
        self._grace_seconds = grace_seconds
        self._cores = cores
        self._settings = tomllib.loads(settings_path.read_text())
        self._process: asyncio.subprocess.Process | None = None
        self._metrics_port = 0
        self._is_stopping = False
        self._start: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def callers_address(self) -> tuple[str, int]:
        """IP address and port for callers."""
        return self.find_address(plans.Listener.CALLERS)

    def find_address(self, listener: plans.Listener) -> tuple[str, int]:
        """Returns the IP address and port of a listener."""
        if listener is plans.Listener.METRICS:
            return self._settings["ip"], self._metrics_port
        address = self._settings["listen"][listener.value]
        host, _, port = address.rpartition(":")
        return host, int(port)

    async def start(self) -> None:
        """Starts the process after the end of its predecessor."""
        if self._process is not None:
            await self._process.wait()
        role = _read_deploy(self._root)["roles"]["gateway"]
        environment = {
            name: _fill_placeholders(text, self._settings)
            for name, text in role["env"].items()
        }
        # The ports of the listeners are free on 127.0.0.1, which is searched.
        listen_ports = {
            int(address.rpartition(":")[2])
            for address in self._settings["listen"].values()
        }
        (self._metrics_port,) = ports.find_free_ports(1, listen_ports)
        environment |= {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(self._root / "target/deps"),
            "HYSSOPWIND_BOOT": str(self._settings_path),
            "HYSSOPWIND_METRICS_PORT": str(self._metrics_port),
        }
        environment |= self._extra_environment()
        with self.log_path.open("ab") as stream:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._make_arguments(shlex.split(role["run"])[1:]),
                cwd=self._root,
                env=environment,
                stdout=stream,
                stderr=stream,
            )
        os.sched_setaffinity(self._process.pid, self._cores)
        self._is_stopping = False
        self.timeline.started_at.append(time.monotonic())
        self._start_task(self._watch(self._process))

    async def act(self, kind: plans.ActionKind) -> None:
        """Does what an action says."""
        if kind is plans.ActionKind.START:
            # Two successors of one process would need the same ports.
            if self._start is None or self._start.done():
                self._start = self._start_task(self.start())
            return
        process = self._process
        if process is None or process.returncode is not None:
            return
        now = time.monotonic()
        if kind is plans.ActionKind.TERMINATE:
            self.timeline.terminated_at.append(now)
            _signal(process, signal.SIGTERM)
            if not self._is_stopping:
                self._is_stopping = True
                self._start_task(self._kill_after_grace(process))
        elif kind is plans.ActionKind.RELOAD:
            self.timeline.reloaded_at.append(now)
            _signal(process, signal.SIGHUP)
        elif kind is plans.ActionKind.FREEZE:
            self.timeline.impaired.append((now, float("inf")))
            _signal(process, signal.SIGSTOP)
        elif kind is plans.ActionKind.THAW:
            start, _ = self.timeline.impaired[-1]
            self.timeline.impaired[-1] = (start, now)
            _signal(process, signal.SIGCONT)
        else:
            self.timeline.impaired.append((now, now))
            _signal(process, signal.SIGKILL)

    async def is_ready(self) -> bool:
        """Whether the readiness check gets 200 in time."""
        host, _, port = self._settings["listen"]["ready"].rpartition(":")
        try:
            async with asyncio.timeout(READINESS_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(
                        b"GET /ready HTTP/1.1\r\nHost: h\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    status_line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in status_line

    async def wait_for_listener(self) -> None:
        """Waits until the process accepts connections of callers."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                try:
                    _, writer = await asyncio.open_connection(
                        *self.callers_address
                    )
                except OSError:
                    await asyncio.sleep(LISTENER_POLL_SECONDS)
                    continue
                writer.close()
                return

    async def watch_readiness(self) -> None:
        """Takes the gateway out of rotation and in again, as a balancer."""
        misses = 0
        while True:
            checked_at = time.monotonic()
            misses = 0 if await self.is_ready() else misses + 1
            self.is_in_rotation = misses < MISSES_OUT_OF_ROTATION
            elapsed_seconds = time.monotonic() - checked_at
            await asyncio.sleep(
                max(0.0, READINESS_INTERVAL_SECONDS - elapsed_seconds)
            )

    async def close(self) -> None:
        """Kills the process."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def _make_arguments(self, arguments: list[str]) -> list[str]:
        """Returns the arguments of the interpreter."""
        return arguments

    def _extra_environment(self) -> dict[str, str]:
        """Returns variables that add to or replace those of the platform."""
        return {}

    async def _kill_after_grace(
        self, process: asyncio.subprocess.Process
    ) -> None:
        await asyncio.sleep(self._grace_seconds)
        if process.returncode is None:
            _signal(process, signal.SIGKILL)

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        self.timeline.exits.append((time.monotonic(), status))

    def _start_task(self, coroutine: Any) -> "asyncio.Task[None]":
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class _Run:
    """One run of a plan."""

    _run_numbers = itertools.count(os.getpid())

    def __init__(
        self,
        plan: plans.Plan,
        root: pathlib.Path,
        log_directory: pathlib.Path,
        stack: contextlib.AsyncExitStack,
    ):
        self._number = next(self._run_numbers)
        self._plan = plan
        self._root = root
        self._log_directory = log_directory
        self._stack = stack
        self._random = random.Random(plan.seed)
        self._gateways: list[GatewayProcess] = []
        self._servers: list[servers.RecordingServer] = []
        self._caller_records: list[records.CallerRecord] = []
        self._held_up_seconds = 0.0

    async def run(self) -> RunResult:
        """Starts everything, does all actions and judges."""
        await self._start()
        addresses = [each.callers_address for each in self._gateways]
        loop_watch = asyncio.create_task(self._watch_loop())
        self._stack.callback(loop_watch.cancel)
        traffic_start = time.monotonic()
        callers_ended = asyncio.gather(
            *(
                callers.Caller(
                    caller_plan,
                    number,
                    addresses,
                    self._select_gateway,
                    self._caller_records,
                    random.Random(f"{self._plan.seed}-{number}"),
                ).run(traffic_start)
                for number, caller_plan in enumerate(self._plan.callers)
            )
        )
        world_ended = asyncio.ensure_future(
            self._world.run(self._plan.world_actions, traffic_start)
        )
        self._stack.callback(world_ended.cancel)
        for crowd in self._plan.crowds:
            find_address = self._gateways[crowd.gateway].find_address
            crowd_ended = asyncio.ensure_future(
                crowds.run(crowd, find_address, traffic_start)
            )
            self._stack.callback(crowd_ended.cancel)
        for action in self._plan.actions:
            delay_seconds = traffic_start + action.at - time.monotonic()
            await asyncio.sleep(max(0.0, delay_seconds))
            gateway = self._gateways[action.gateway]
            if action.waits_for_listener:
                await gateway.wait_for_listener()
            await gateway.act(action.kind)
        await callers_ended
        await world_ended
        timelines = tuple(each.timeline for each in self._gateways)
        judged = judging.judge_run(
            self._caller_records,
            [record for each in self._servers for record in each.records],
            timelines,
            judging.Bounds(grace=self._plan.grace_seconds),
        )
        return RunResult(
            self._plan,
            tuple(judged),
            timelines,
            tuple(each.log_path for each in self._gateways),
            self._world.timeline,
            self._held_up_seconds,
        )

    async def _watch_loop(self) -> None:
        """Measures for how long the event loop is held up."""
        while True:
            expected_at = time.monotonic() + LOOP_CHECK_SECONDS
            await asyncio.sleep(LOOP_CHECK_SECONDS)
            self._held_up_seconds = max(
                self._held_up_seconds, time.monotonic() - expected_at
            )

    async def _start(self) -> None:
        platform_store = store.StandInStore()
        await platform_store.start()
        self._stack.push_async_callback(platform_store.stop)
        for number in range(SERVER_COUNT):
            # Most servers drop a request when its connection closes.
            server = servers.RecordingServer(
                f"i-{number}", drops_requests=number > 0
            )
            await server.start()
            self._stack.push_async_callback(server.close)
            self._servers.append(server)
        self._world = world.World(
            platform_store, self._servers, self._plan.service_count
        )
        await self._world.start()
        listen_ports = ports.find_free_ports(4)
        for number in range(self._plan.gateway_count):
            gateway = self._create_gateway(
                number, listen_ports, platform_store.address
            )
            self._gateways.append(gateway)
            self._stack.push_async_callback(gateway.close)
            if self._plan.starts_ready:
                await gateway.start()
        for gateway in self._gateways:
            if not self._plan.starts_ready:
                continue
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                while not await gateway.is_ready():
                    await asyncio.sleep(0.05)
        for gateway in self._gateways:
            task = asyncio.create_task(gateway.watch_readiness())
            self._stack.callback(task.cancel)
        for _ in range(self._plan.busy_processes):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", BUSY_CODE
            )
            self._stack.push_async_callback(process.wait)
            self._stack.callback(process.kill)
            os.sched_setaffinity(process.pid, self._cores())

    def _cores(self) -> frozenset[int]:
        """Returns the cores that gateways and busy processes may use."""
        cores = sorted(os.sched_getaffinity(0))
        if self._plan.shares_core:
            return frozenset({cores[self._number % len(cores)]})
        return frozenset(cores)

    def _create_gateway(
        self, number: int, listen_ports: list[int], store_address: str
    ) -> GatewayProcess:
        # Each gateway has its own address, because all use the same ports.
        ips = [
            f"127.0.{self._number % 250 + 1}.{each + 1}"
            for each in range(self._plan.gateway_count)
        ]
        seed_ip = ips[(number + 1) % len(ips)]
        settings_path = self._log_directory / f"gateway-{number}.toml"
        settings_path.write_text(
            documents.render_settings(
                store_address=store_address,
                ports=listen_ports,
                name=f"front-{number}",
                ip=ips[number],
                seed_address=f"{seed_ip}:{listen_ports[2]}",
                grace_seconds=self._plan.grace_seconds,
            )
        )
        return GatewayProcess(
            settings_path,
            self._root,
            self._log_directory / f"gateway-{number}.log",
            self._plan.grace_seconds,
            self._cores(),
        )

    def _select_gateway(self, caller_plan: plans.CallerPlan) -> int | None:
        """Returns the gateway for a new connection, as the balancer would."""
        if not caller_plan.heeds_rotation:
            return caller_plan.gateway
        candidates = [
            number
            for number, gateway in enumerate(self._gateways)
            if gateway.is_in_rotation
        ]
        if not candidates:
            return None
        if caller_plan.gateway in candidates:
            return caller_plan.gateway
        return self._random.choice(candidates)


def _signal(
    process: asyncio.subprocess.Process, signal_number: signal.Signals
) -> None:
    """Sends a signal to a process that may just have ended.

    The method of the process would collect its exit status, which is then lost
    to the one who waits for it.
    """
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, signal_number)


def _read_deploy(root: pathlib.Path) -> dict[str, Any]:
    return tomllib.loads((root / "deploy/system.toml").read_text())


def _fill_placeholders(text: str, fields: dict[str, Any]) -> str:
    """Fills placeholders as the platform does, unknown ones with nothing."""

    def find_value(match: re.Match[str]) -> str:
        value: Any = fields
        for name in match[1].split("."):
            value = value.get(name, {})
        return value if isinstance(value, str) else ""

    return _PLACEHOLDER.sub(find_value, text)
