"""Callers in virtual time, and checks of the outcomes they receive."""

import asyncio
import dataclasses
import random
import uuid
from collections.abc import Iterator

import multidict

from hyssopwind.core import outcomes
from hyssopwind.core.requests import classification
from hyssopwind.standins.virtual import fleet_simulation
from hyssopwind.standins.virtual import transports

MAX_RESEND_DELAY_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class SendResult:
    """The result of sending a request once.

    Attributes:
        sent_at: virtual time at which the request was sent.
        ended_at: virtual time of the answer or of the timeout.
        outcome: outcome that the daemon returned; `None` without an answer.
    """

    sent_at: float
    ended_at: float
    outcome: outcomes.Outcome | None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHistory:
    """The results of all attempts of a caller to send one request.

    Attributes:
        key: idempotency key or ticket of the request.
        body: body of the request, which the servers return as the answer.
        results: results in the order of sending.
    """

    key: str
    body: bytes
    results: tuple[SendResult, ...]


class VirtualCaller:
    """Sends requests to the daemons of a simulation."""

    def __init__(
        self,
        simulation: fleet_simulation.Simulation,
        random_source: random.Random,
    ):
        self._simulation = simulation
        self._random = random_source

    def new_key(self, clock_error_seconds: float = 0.0) -> str:
        """Returns a UUID of version 7 from a wall clock with an error."""
        now = asyncio.get_running_loop().time()
        milliseconds = int(
            (transports.START_UNIX_SECONDS + now + clock_error_seconds) * 1000
        )
        value = milliseconds << 80 | 7 << 76 | 2 << 62
        value |= self._random.getrandbits(12) << 64
        value |= self._random.getrandbits(62)
        return str(uuid.UUID(int=value))

    def request_ticket(self) -> str | None:
        """Returns a ticket of a random daemon, or `None` if none is ready."""
        ready = [d for d in self._simulation.daemons.values() if d.is_ready]
        ready = [d for d in ready if not d.is_paused]
        if not ready:
            return None
        daemon = self._random.choice(ready)
        return daemon.node.keys.issue_ticket(daemon.clock.now())

    async def send(
        self,
        request: classification.Request,
        timeout: float,
        daemon: fleet_simulation.VirtualDaemon | None = None,
    ) -> SendResult:
        """Sends a request once, to the given daemon or to a random one."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        receiver = daemon or self._random.choice(
            list(self._simulation.daemons.values())
        )
        await asyncio.sleep(0.001)  # one way between caller and daemon
        if not receiver.is_alive:
            return SendResult(sent_at, loop.time(), None)
        handling = asyncio.create_task(receiver.handle(request))
        done, _ = await asyncio.wait({handling}, timeout=timeout)
        if not done or not receiver.is_alive:
            return SendResult(sent_at, loop.time(), None)
        await asyncio.sleep(0.001)  # one way between caller and daemon
        return SendResult(sent_at, loop.time(), handling.result())

    async def post_until_final(
        self,
        path: str,
        key_header: str,
        key: str,
        *,
        attempts: int = 6,
        timeout: float = 1.5,
        extra_headers: dict[str, str] | None = None,
    ) -> RequestHistory:
        """Resends a non-idempotent request until its outcome is final."""
        body = f"body of {key}".encode()
        fields = multidict.CIMultiDict(
            {key_header: key, **(extra_headers or {})}
        )
        request = classification.Request("POST", path, path, fields, body)
        results: list[SendResult] = []
        for _ in range(attempts):
            results.append(await self.send(request, timeout))
            if _is_final(results[-1].outcome):
                break
            await asyncio.sleep(
                self._random.uniform(0.0, MAX_RESEND_DELAY_SECONDS)
            )
        return RequestHistory(key, body, tuple(results))

    async def get(self, path: str, timeout: float = 3.0) -> SendResult:
        """Sends an idempotent request once."""
        fields: multidict.CIMultiDict[str] = multidict.CIMultiDict()
        request = classification.Request("GET", path, path, fields, b"")
        return await self.send(request, timeout)


def _is_final(outcome: outcomes.Outcome | None) -> bool:
    if isinstance(outcome, outcomes.Answered):
        return True
    if isinstance(outcome, outcomes.Unknown):
        return outcome.retry_after_seconds is None
    return False


def check_history(
    history: RequestHistory, executions: list[float]
) -> Iterator[str]:
    """Yields a description of each violated guarantee of one request.

    Args:
        history: results that the caller received.
        executions: times at which servers ran the request.
    """
    if len(executions) > 1:
        yield f"key {history.key} ran {len(executions)} times"
    for position, result in enumerate(history.results):
        if isinstance(result.outcome, outcomes.Answered):
            if not executions:
                yield f"key {history.key} was answered but never ran"
            if result.outcome.body != history.body:
                yield f"key {history.key} got an answer that is not its own"
        if not isinstance(result.outcome, outcomes.NotRun):
            continue
        # The request may run later only if the caller sends it again.
        is_last = position == len(history.results) - 1
        not_run_until = float("inf") if is_last else result.ended_at
        if any(time < not_run_until for time in executions):
            yield f"key {history.key} was reported as not run but ran"
