"""Carries attempts and forwarded requests through a virtual network."""

import asyncio
from typing import Protocol

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.node import owning
from hyssopwind.core.requests import classification
from hyssopwind.daemon import clock
from hyssopwind.daemon import exchange
from hyssopwind.daemon import forwarding
from hyssopwind.daemon import headers
from hyssopwind.daemon import upstream
from hyssopwind.standins.virtual import servers

WALL_EPOCH = 1_800_000_000.0  # Unix time at the start of the world
SERVER_DELAY = 0.0002  # seconds, one way inside a data centre


class Daemon(Protocol):
    """What the transports need of a virtual daemon."""

    name: ids.DaemonId
    data_centre: str
    clock: clock.Clock
    is_alive: bool

    async def until_running(self) -> None:
        """Waits while the process is paused."""

    async def handle(
        self, request: classification.Request, forwarded_to: str = ""
    ) -> outcomes.Outcome:
        """Runs a request as the frontend does."""


class Fleet(Protocol):
    """What the transports need of a world."""

    servers: dict[ids.ServerId, servers.VirtualServer]

    @property
    def far_delay(self) -> float:
        """One-way seconds between data centres."""

    def find_daemon(self, name: str) -> Daemon | None:
        """Returns the present life of a daemon."""

    async def travel(self, origin: Daemon, receiver: str) -> bool:
        """Takes the time of one way; returns whether it arrives."""


class ServerTransport:
    """Carries attempts to virtual servers."""

    def __init__(self, target: Fleet, daemon: Daemon):
        self._world = target
        self._daemon = daemon

    async def attempt(
        self, order: upstream.AttemptOrder
    ) -> judgement.AttemptResult:
        """Runs an attempt, after the pause of the daemon if there is one."""
        await self._daemon.until_running()
        if not self._daemon.is_alive:
            return judgement.Failed(judgement.FailureKind.WITHHELD)
        patience = order.deadline - self._daemon.clock.now()
        not_after = None
        text = order.fields.get(headers.NOT_AFTER)
        if text is not None:
            not_after = int(text) / 1000 - WALL_EPOCH
        server = self._world.servers[order.server]
        working = asyncio.create_task(
            self._exchange(server, order.request, not_after)
        )
        try:
            return await asyncio.wait_for(working, max(0.0, patience))
        except TimeoutError:
            return judgement.Failed(judgement.FailureKind.TIMED_OUT)

    async def _exchange(
        self,
        server: servers.VirtualServer,
        request: classification.Request,
        not_after: float | None,
    ) -> judgement.AttemptResult:
        place = ids.pool_data_centre(server.pool)
        delay = SERVER_DELAY
        if place != self._daemon.data_centre:
            delay = self._world.far_delay
        await asyncio.sleep(delay)
        result = await server.serve(request, not_after)
        await asyncio.sleep(delay)
        await self._daemon.until_running()
        return result


class PeerTransport:
    """Carries forwarded requests to other virtual daemons."""

    def __init__(self, target: Fleet, daemon: Daemon):
        self._world = target
        self._daemon = daemon

    async def forward(
        self, traffic: exchange.Exchange, target: owning.Forward
    ) -> outcomes.Outcome:
        """Runs a request at another daemon and returns its outcome."""
        unknown = outcomes.Unknown(
            outcomes.Reason.KEY_OWNER_UNKNOWN,
            "the daemon that decides about the key gave no answer",
            forwarding.RETRY_AFTER,
        )
        patience = traffic.item.deadline - self._daemon.clock.now()
        working = asyncio.create_task(self._exchange(traffic, target))
        try:
            outcome = await asyncio.wait_for(
                asyncio.shield(working), max(0.0, patience)
            )
        except TimeoutError:
            return unknown
        return outcome or unknown

    async def _exchange(
        self, traffic: exchange.Exchange, target: owning.Forward
    ) -> outcomes.Outcome | None:
        if not await self._world.travel(self._daemon, target.daemon):
            return None
        daemon = self._world.find_daemon(target.daemon)
        if daemon is None or not daemon.is_alive:
            return None
        start = target.start or forwarding.ANY_START
        outcome = await daemon.handle(traffic.item.request, start)
        if not daemon.is_alive:
            return None
        if not await self._world.travel(daemon, self._daemon.name):
            return None
        return outcome
