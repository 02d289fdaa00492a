"""Servers in virtual time: slots, cold start, shedding, crashes, silence."""

import asyncio
import collections
import dataclasses
import random

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.pools import server_load
from hyssopwind.core.requests import classification

POISON_HEADER = "X-Crash-Server"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerModel:
    """Behaviour of a virtual server.

    Attributes:
        slots: requests worked on at a time.
        queue: requests that wait; more are shed.
        mean_work: mean of the exponential work time, in seconds.
        cold_requests: requests after which a new server is warm.
        cold_factor: how many times longer work takes in a cold server.
        restart_time: seconds between a crash and the new start.
        report_lag: age of a load report in seconds.
    """

    slots: int = 4
    queue: int = 16
    mean_work: float = 0.01
    cold_requests: int = 0
    cold_factor: float = 5.0
    restart_time: float = 1.0
    report_lag: float = 0.2


class VirtualServer:
    """One server; its clock is the running loop's."""

    def __init__(
        self,
        server: ids.ServerId,
        pool: ids.PoolId,
        model: ServerModel,
        generator: random.Random,
    ):
        self.server = server
        self.pool = pool
        self._model = model
        self._random = generator
        self._life = 1
        self._completed = 0
        self._slots = asyncio.Semaphore(model.slots)
        self._down_until = 0.0
        self._crashed = asyncio.Event()
        self.slow_factor = 1.0
        self.is_draining = False
        self.in_flight = 0
        self.peak = 0
        self.peak_cold = 0
        self.probes: list[float] = []
        self.arrivals: list[float] = []
        self.crashes = 0
        self.executions: collections.defaultdict[str, list[float]] = (
            collections.defaultdict(list)
        )

    @property
    def start(self) -> str:
        """The start identity."""
        return f"{self.server}-{self._life}"

    @property
    def is_cold(self) -> bool:
        """Whether the server can carry only a little."""
        return self._completed < self._model.cold_requests

    @property
    def is_down(self) -> bool:
        """Whether connections are refused."""
        return asyncio.get_running_loop().time() < self._down_until

    def crash(self) -> None:
        """Ends all running requests; a new start follows."""
        now = asyncio.get_running_loop().time()
        self.crashes += 1
        self._down_until = now + self._model.restart_time
        self._crashed.set()
        self._crashed = asyncio.Event()
        self._begin_life()

    def turn_cold(self) -> None:
        """Begins a new life without breaking a connection."""
        self._begin_life()

    def report(self) -> server_load.LoadReport:
        """Returns a load report."""
        now = asyncio.get_running_loop().time()
        self.probes.append(now)
        return server_load.LoadReport(
            self.start, self.is_cold, self.is_draining, self._model.report_lag
        )

    async def serve(
        self, request: classification.Request, not_after: float | None
    ) -> judgement.AttemptResult:
        """Runs a request that has arrived, or sheds it."""
        now = asyncio.get_running_loop().time()
        if self.is_down:
            return judgement.Failed(judgement.FailureKind.NOT_CONNECTED)
        if self.is_draining or (not_after is not None and now > not_after):
            return judgement.Shed(self.start, 1.0)
        if self.in_flight >= self._model.slots + self._model.queue:
            return judgement.Shed(self.start, 0.1)
        self.arrivals.append(now)
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        if self.is_cold:
            self.peak_cold = max(self.peak_cold, self.in_flight)
        life = self._life
        try:
            return await self._work(request, now)
        finally:
            if life == self._life:
                self.in_flight -= 1

    async def _work(
        self, request: classification.Request, started: float
    ) -> judgement.AttemptResult:
        crashed = asyncio.create_task(self._crashed.wait())
        working = asyncio.create_task(self._run(request, started))
        try:
            done, _ = await asyncio.wait(
                {crashed, working}, return_when=asyncio.FIRST_COMPLETED
            )
            if working in done:
                return working.result()
            return judgement.Failed(judgement.FailureKind.BROKEN)
        finally:
            crashed.cancel()
            working.cancel()

    async def _run(
        self, request: classification.Request, started: float
    ) -> judgement.AttemptResult:
        async with self._slots:
            self._count(request)
            if POISON_HEADER in request.headers:
                self.crash()
                return judgement.Failed(judgement.FailureKind.BROKEN)
            work = self._random.expovariate(1 / self._model.mean_work)
            factor = self._model.cold_factor if self.is_cold else 1.0
            await asyncio.sleep(work * factor * self.slow_factor)
        self._completed += 1
        answer = outcomes.Answered(
            200, (("X-Served-By", self.server),), request.body
        )
        elapsed = asyncio.get_running_loop().time() - started
        return judgement.WholeAnswer(answer, self.start, elapsed)

    def _count(self, request: classification.Request) -> None:
        for header in (
            classification.KEY_HEADER,
            classification.TICKET_HEADER,
        ):
            key = request.headers.get(header)
            if key and request.method == "POST":
                now = asyncio.get_running_loop().time()
                self.executions[key].append(now)

    def _begin_life(self) -> None:
        self._life += 1
        self._completed = 0
        self.in_flight = 0
        self._slots = asyncio.Semaphore(self._model.slots)
