"""Readiness for the platform's balancer, metrics, and bulk between daemons."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeAlias

from aiohttp import web

from hyssopwind.core.dispatch import settings

_Handler: TypeAlias = Callable[
    [web.BaseRequest], Coroutine[Any, Any, web.Response]
]


class HttpSide:
    """The HTTP listeners beside the one for callers."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        changes_after: Callable[[int], bytes],
        render_metrics: Callable[[], bytes],
    ):
        self._is_ready = is_ready
        self._changes_after = changes_after
        self._render_metrics = render_metrics
        self._runners: list[web.ServerRunner] = []

    async def start(
        self, options: settings.GatewaySettings, metrics_port: int
    ) -> None:
        """Listens on all side addresses."""
        await self._listen(options.ready_address, self._answer_ready)
        await self._listen(options.peers_address, self._answer_peer)
        await self._listen(f"{options.ip}:{metrics_port}", self._answer_metrics)

    async def stop(self) -> None:
        """Ends all side listeners."""
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(self, address: str, answer: _Handler) -> None:
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _answer_peer(self, request: web.BaseRequest) -> web.Response:
        after = request.query.get("after", "")
        if request.path != "/changes" or not after.isdigit():
            return web.Response(status=404)
        return web.Response(
            body=self._changes_after(int(after)),
            content_type="application/msgpack",
        )

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        return web.Response(
            body=self._render_metrics(), content_type="text/plain"
        )
