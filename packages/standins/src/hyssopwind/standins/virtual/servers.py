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
        queue_length: number of requests that may wait; more are shed.
        mean_work_seconds: mean of the exponential work time, in seconds.
        requests_until_warm: number of requests after whose completion a started
            server is warm.
        cold_factor: factor on the work time while the server is cold.
        restart_seconds: seconds between a crash and the next start.
        report_age_seconds: age of a load report in seconds.
    """

    slots: int = 4
    queue_length: int = 16
    mean_work_seconds: float = 0.01
    requests_until_warm: int = 0
    cold_factor: float = 5.0
    restart_seconds: float = 1.0
    report_age_seconds: float = 0.2


class VirtualServer:
    """One server, on the clock of the running event loop.

    Attributes:
        server_id: identity of the server.
        pool_id: pool that the server belongs to.
        slow_factor: further factor on the work time.
        is_draining: whether the server sheds all requests.
        in_flight: number of requests that run or wait.
        max_in_flight: highest number of requests in flight.
        max_in_flight_while_cold: highest number of requests in flight while
            cold.
        probe_times: times of the load reports.
        arrival_times: times at which requests were accepted.
        crash_count: number of crashes.
        execution_times: times at which non-idempotent requests ran, by key or
            ticket.
    """

    def __init__(
        self,
        server_id: ids.ServerId,
        pool_id: ids.PoolId,
        model: ServerModel,
        random_source: random.Random,
    ):
        self.server_id = server_id
        self.pool_id = pool_id
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
        self.max_in_flight = 0
        self.max_in_flight_while_cold = 0
        self.probe_times: list[float] = []
        self.arrival_times: list[float] = []
        self.crash_count = 0
        self.execution_times: collections.defaultdict[str, list[float]] = (
            collections.defaultdict(list)
        )

    @property
    def start_id(self) -> str:
        """The identity of the current start."""
        return f"{self.server_id}-{self._start_number}"

    @property
    def is_cold(self) -> bool:
        """Whether the server has not completed enough requests to be warm."""
        return self._completed_count < self._model.requests_until_warm

    @property
    def is_down(self) -> bool:
        """Whether the server refuses connections after a crash."""
        return asyncio.get_running_loop().time() < self._down_until

    def crash(self) -> None:
        """Breaks all running requests and restarts after the restart time."""
        now = asyncio.get_running_loop().time()
        self.crash_count += 1
        self._down_until = now + self._model.restart_seconds
        self._crashed.set()
        self._crashed = asyncio.Event()
        self._reset_for_new_start()

    def restart_warmup(self) -> None:
        """Restarts cold, without breaking a connection."""
        self._reset_for_new_start()

    def load_report(self) -> server_load.LoadReport:
        """Returns a load report and records the time of the probe."""
        now = asyncio.get_running_loop().time()
        self.probe_times.append(now)
        return server_load.LoadReport(
            self.start_id,
            self.is_cold,
            self.is_draining,
            self._model.report_age_seconds,
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
            return attempt_results.Shed(self.start_id, 1.0)
        if self.in_flight >= self._model.slots + self._model.queue_length:
            return attempt_results.Shed(self.start_id, 0.1)
        self.arrival_times.append(now)
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        if self.is_cold:
            self.max_in_flight_while_cold = max(
                self.max_in_flight_while_cold, self.in_flight
            )
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
            work_seconds = self._random.expovariate(
                1 / self._model.mean_work_seconds
            )
            factor = self._model.cold_factor if self.is_cold else 1.0
            await asyncio.sleep(work_seconds * factor * self.slow_factor)
        self._completed_count += 1
        answer = outcomes.Answered(
            200, (("X-Served-By", self.server_id),), request.body
        )
        latency = asyncio.get_running_loop().time() - started_at
        return attempt_results.WholeAnswer(answer, self.start_id, latency)

    def _record_execution(self, request: classification.Request) -> None:
        for header in (
            classification.IDEMPOTENCY_KEY_HEADER,
            classification.TICKET_HEADER,
        ):
            key = request.headers.get(header)
            if key and request.method == "POST":
                now = asyncio.get_running_loop().time()
                self.execution_times[key].append(now)

    def _reset_for_new_start(self) -> None:
        self._start_number += 1
        self._completed_count = 0
        self.in_flight = 0
        self._slots = asyncio.Semaphore(self._model.slots)
