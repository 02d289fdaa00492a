"""Transports of attempts and forwarded requests over a virtual network."""

import asyncio
from typing import Protocol

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.node import key_component
from hyssopwind.core.requests import classification
from hyssopwind.daemon import clock
from hyssopwind.daemon import forwarding
from hyssopwind.daemon import headers
from hyssopwind.daemon import request_context
from hyssopwind.daemon import upstream
from hyssopwind.standins.virtual import servers

START_UNIX_SECONDS = 1_800_000_000.0  # Unix time at virtual time zero
SERVER_DELAY_SECONDS = 0.0002  # one way inside a data centre


class Daemon(Protocol):
    """The part of a virtual daemon that the transports use.

    Attributes:
        name: identity of the daemon.
        data_centre: data centre of the daemon.
        clock: clocks of the daemon.
        is_alive: whether the process has not ended.
    """

    name: ids.DaemonId
    data_centre: str
    clock: clock.Clock
    is_alive: bool

    async def wait_until_running(self) -> None:
        """Waits while the process is paused."""

    async def handle(
        self, request: classification.Request, expected_start_id: str = ""
    ) -> outcomes.Outcome:
        """Runs a request as the frontend does."""


class SimulatedFleet(Protocol):
    """The part of a simulation that the transports use.

    Attributes:
        servers: virtual servers by identity.
    """

    servers: dict[ids.ServerId, servers.VirtualServer]

    @property
    def remote_delay_seconds(self) -> float:
        """One-way seconds between data centres."""

    def find_daemon(self, name: str) -> Daemon | None:
        """Returns the last started process of a daemon, or `None`."""

    async def simulate_transit(self, origin: Daemon, receiver: str) -> bool:
        """Waits the one-way delay; returns whether the message arrives."""


class ServerTransport:
    """Sends attempts to virtual servers."""

    def __init__(self, simulation: SimulatedFleet, daemon: Daemon):
        self._simulation = simulation
        self._daemon = daemon

    async def attempt(
        self, attempt_request: upstream.AttemptRequest
    ) -> attempt_results.AttemptResult:
        """Runs an attempt once the daemon is not paused."""
        await self._daemon.wait_until_running()
        if not self._daemon.is_alive:
            return attempt_results.Failed(attempt_results.FailureKind.WITHHELD)
        timeout = attempt_request.deadline - self._daemon.clock.now()
        not_after = None
        not_after_ms = attempt_request.fields.get(headers.NOT_AFTER)
        if not_after_ms is not None:
            not_after = int(not_after_ms) / 1000 - START_UNIX_SECONDS
        server = self._simulation.servers[attempt_request.server]
        exchange_task = asyncio.create_task(
            self._exchange(server, attempt_request.request, not_after)
        )
        try:
            return await asyncio.wait_for(exchange_task, max(0.0, timeout))
        except TimeoutError:
            return attempt_results.Failed(attempt_results.FailureKind.TIMED_OUT)

    async def _exchange(
        self,
        server: servers.VirtualServer,
        request: classification.Request,
        not_after: float | None,
    ) -> attempt_results.AttemptResult:
        data_centre = ids.pool_data_centre(server.pool_id)
        delay = SERVER_DELAY_SECONDS
        if data_centre != self._daemon.data_centre:
            delay = self._simulation.remote_delay_seconds
        await asyncio.sleep(delay)
        result = await server.serve(request, not_after)
        await asyncio.sleep(delay)
        await self._daemon.wait_until_running()
        return result


class PeerTransport:
    """Forwards requests to other virtual daemons."""

    def __init__(self, simulation: SimulatedFleet, daemon: Daemon):
        self._simulation = simulation
        self._daemon = daemon

    async def forward(
        self,
        context: request_context.RequestContext,
        target: key_component.Forward,
    ) -> outcomes.Outcome:
        """Forwards a request to another daemon and returns its outcome."""
        unknown = outcomes.Unknown(
            outcomes.Reason.KEY_OWNER_UNKNOWN,
            "the daemon that decides about the key gave no answer",
            forwarding.RETRY_AFTER_SECONDS,
        )
        timeout = context.classified.deadline - self._daemon.clock.now()
        exchange_task = asyncio.create_task(self._exchange(context, target))
        try:
            outcome = await asyncio.wait_for(
                asyncio.shield(exchange_task), max(0.0, timeout)
            )
        except TimeoutError:
            return unknown
        return outcome or unknown

    async def _exchange(
        self,
        context: request_context.RequestContext,
        target: key_component.Forward,
    ) -> outcomes.Outcome | None:
        if not await self._simulation.simulate_transit(
            self._daemon, target.daemon
        ):
            return None
        daemon = self._simulation.find_daemon(target.daemon)
        if daemon is None or not daemon.is_alive:
            return None
        start_id = target.start_id or forwarding.ANY_START_ID
        outcome = await daemon.handle(context.classified.request, start_id)
        if not daemon.is_alive:
            return None
        if not await self._simulation.simulate_transit(
            daemon, self._daemon.name
        ):
            return None
        return outcome
