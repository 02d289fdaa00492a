"""HTTP listeners for readiness checks, for scrapes of metrics and for peers.

They parse requests in the same way as the listener for callers.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeAlias

from hyssopwind.core import outcomes
from hyssopwind.core.dispatch import settings
from hyssopwind.core.routing import tables
from hyssopwind.daemon import headers
from hyssopwind.daemon.gateway import caller_connection
from hyssopwind.daemon.gateway import caller_requests

# Above all limits for callers, since requests of peers have fields of our own.
_LIMITS = tables.CallerLimits(
    max_header_bytes=131_072, max_body_bytes=67_108_864
)

_Handler: TypeAlias = Callable[
    [caller_requests.CallerRequest], Coroutine[Any, Any, outcomes.Outcome]
]


class InternalListeners:
    """The HTTP listeners of the daemon other than the one for callers."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        answer_peer: Callable[[str], Awaitable[outcomes.Answered]],
        render_metrics: Callable[[], bytes],
        serve_handover: _Handler,
    ):
        self._is_ready = is_ready
        self._answer_peer = answer_peer
        self._render_metrics = render_metrics
        self._serve_handover = serve_handover
        self._servers: list[asyncio.Server] = []
        self._connections: set[caller_connection.CallerConnection] = set()

    async def start(
        self, gateway_settings: settings.GatewaySettings, metrics_port: int
    ) -> None:
        """Opens all internal listeners."""
        metrics_address = f"{gateway_settings.ip}:{metrics_port}"
        await self._listen(gateway_settings.ready_address, self._handle_ready)
        await self._listen(gateway_settings.peers_address, self._handle_peer)
        await self._listen(metrics_address, self._handle_metrics)

    @property
    def has_unsent_answers(self) -> bool:
        """Whether answers are partly still held in the process."""
        return any(each.unsent_bytes for each in self._connections)

    def stop(self) -> None:
        """Closes all internal listeners; open connections stay."""
        for server in self._servers:
            server.close()

    async def _listen(self, address: str, handler: _Handler) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        callbacks = caller_connection.CallerCallbacks(
            serve=handler,
            may_overlap=lambda _: False,
            limits=lambda: _LIMITS,
            is_stopping=lambda: False,
            takes_followers=lambda: True,
            log_rejection=lambda _: None,
            count_undelivered=lambda _stage, _cause: None,
        )
        server = await loop.create_server(
            lambda: caller_connection.CallerConnection(
                loop, callbacks, self._connections
            ),
            host,
            int(port),
        )
        self._servers.append(server)

    async def _handle_ready(
        self, request: caller_requests.CallerRequest
    ) -> outcomes.Outcome:
        return outcomes.Answered(200 if self._is_ready() else 503, (), b"")

    async def _handle_peer(
        self, request: caller_requests.CallerRequest
    ) -> outcomes.Outcome:
        if headers.HANDOVER in request.fields:
            return await self._serve_handover(request)
        return await self._answer_peer(request.target)

    async def _handle_metrics(
        self, request: caller_requests.CallerRequest
    ) -> outcomes.Outcome:
        fields = (("Content-Type", "text/plain; version=0.0.4"),)
        return outcomes.Answered(200, fields, self._render_metrics())
