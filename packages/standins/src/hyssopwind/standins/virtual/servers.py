"""Virtual servers with slots, a queue, cold starts, shedding and crashes."""

import asyncio
import collections
import dataclasses
import random

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.pools import server_load
from hyssopwind.core.requests import classification

POISON_HEADER = "X-Crash-Server"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerModel:
    """Behaviour of a virtual server.

    Attributes:
        slots: number of requests that run at the same time.
        queue: number of requests that may wait; more are shed.
        mean_work: mean of the exponential work time, in seconds.
        cold_requests: requests that a started server completes until warm.
        cold_factor: factor on the work time while the server is cold.
        restart_time: seconds between a crash and the next start.
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
    """One server, on the clock of the running event loop.

    Attributes:
        server: identity of the server.
        pool: pool that the server belongs to.
        slow_factor: further factor on the work time.
        is_draining: whether the server sheds all requests.
        in_flight: number of requests that run or wait.
        peak: highest number of requests in flight.
        peak_cold: highest number of requests in flight while cold.
        probes: times of the load reports.
        arrivals: times at which requests were accepted.
        crashes: number of crashes.
        executions: times at which non-idempotent requests ran, by key or
            ticket.
    """

    def __init__(
        self,
        server: ids.ServerId,
        pool: ids.PoolId,
        model: ServerModel,
        random_source: random.Random,
    ):
        self.server = server
        self.pool = pool
        self._model = model
        self._random = random_source
        self._start_number = 1
        self._completed_count = 0
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
        """The identity of the current start."""
        return f"{self.server}-{self._start_number}"

    @property
    def is_cold(self) -> bool:
        """Whether the server has not completed enough requests to be warm."""
        return self._completed_count < self._model.cold_requests

    @property
    def is_down(self) -> bool:
        """Whether the server refuses connections after a crash."""
        return asyncio.get_running_loop().time() < self._down_until

    def crash(self) -> None:
        """Breaks all running requests and restarts after the restart time."""
        now = asyncio.get_running_loop().time()
        self.crashes += 1
        self._down_until = now + self._model.restart_time
        self._crashed.set()
        self._crashed = asyncio.Event()
        self._reset_for_new_start()

    def turn_cold(self) -> None:
        """Becomes a cold new start without breaking a connection."""
        self._reset_for_new_start()

    def report(self) -> server_load.LoadReport:
        """Returns a load report and records the time of the probe."""
        now = asyncio.get_running_loop().time()
        self.probes.append(now)
        return server_load.LoadReport(
            self.start, self.is_cold, self.is_draining, self._model.report_lag
        )

    async def serve(
        self, request: classification.Request, not_after: float | None
    ) -> attempt_results.AttemptResult:
        """Runs a request that has arrived, or sheds it.

        Args:
            request: the request.
            not_after: virtual time after which the request is shed, if any.
        """
        now = asyncio.get_running_loop().time()
        if self.is_down:
            return attempt_results.Failed(
                attempt_results.FailureKind.NOT_CONNECTED
            )
        if self.is_draining or (not_after is not None and now > not_after):
            return attempt_results.Shed(self.start, 1.0)
        if self.in_flight >= self._model.slots + self._model.queue:
            return attempt_results.Shed(self.start, 0.1)
        self.arrivals.append(now)
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        if self.is_cold:
            self.peak_cold = max(self.peak_cold, self.in_flight)
        start_number = self._start_number
        try:
            return await self._run_until_crash(request, now)
        finally:
            if start_number == self._start_number:
                self.in_flight -= 1

    async def _run_until_crash(
        self, request: classification.Request, started_at: float
    ) -> attempt_results.AttemptResult:
        crashed = asyncio.create_task(self._crashed.wait())
        running = asyncio.create_task(self._run(request, started_at))
        try:
            done, _ = await asyncio.wait(
                {crashed, running}, return_when=asyncio.FIRST_COMPLETED
            )
            if running in done:
                return running.result()
            return attempt_results.Failed(attempt_results.FailureKind.BROKEN)
        finally:
            crashed.cancel()
            running.cancel()

    async def _run(
        self, request: classification.Request, started_at: float
    ) -> attempt_results.AttemptResult:
        async with self._slots:
            self._record_execution(request)
            if POISON_HEADER in request.headers:
                self.crash()
                return attempt_results.Failed(
                    attempt_results.FailureKind.BROKEN
                )
            work_seconds = self._random.expovariate(1 / self._model.mean_work)
            factor = self._model.cold_factor if self.is_cold else 1.0
            await asyncio.sleep(work_seconds * factor * self.slow_factor)
        self._completed_count += 1
        answer = outcomes.Answered(
            200, (("X-Served-By", self.server),), request.body
        )
        latency = asyncio.get_running_loop().time() - started_at
        return attempt_results.WholeAnswer(answer, self.start, latency)

    def _record_execution(self, request: classification.Request) -> None:
        for header in (
            classification.IDEMPOTENCY_KEY_HEADER,
            classification.TICKET_HEADER,
        ):
            key = request.headers.get(header)
            if key and request.method == "POST":
                now = asyncio.get_running_loop().time()
                self.executions[key].append(now)

    def _reset_for_new_start(self) -> None:
        self._start_number += 1
        self._completed_count = 0
        self.in_flight = 0
        self._slots = asyncio.Semaphore(self._model.slots)
