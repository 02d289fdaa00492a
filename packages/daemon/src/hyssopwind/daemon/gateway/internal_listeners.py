"""HTTP listeners for readiness checks, for scrapes of metrics and for peers.

They parse requests in the same way as the listener for callers, and what they
hold counts in the same account, since callers may reach them too.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeAlias

from hyssopwind.core import outcomes
from hyssopwind.core.callers import caller_account
from hyssopwind.core.dispatch import settings
from hyssopwind.core.routing import tables
from hyssopwind.daemon import headers
from hyssopwind.daemon.gateway import accepting
from hyssopwind.daemon.gateway import caller_connection
from hyssopwind.daemon.gateway import caller_parsing
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import caller_resources
from hyssopwind.daemon.gateway import listening

# Above all limits for callers, since requests of peers have fields of our own.
_LIMITS = tables.CallerLimits(
    max_header_bytes=131_072, max_body_bytes=67_108_864
)
_REFUSAL_NOT_FOUND = outcomes.Answered(404, (), b"")

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
        resources: caller_resources.CallerResources,
        caller_limits: Callable[[], tables.CallerLimits],
    ):
        self._is_ready = is_ready
        self._answer_peer = answer_peer
        self._render_metrics = render_metrics
        self._serve_handover = serve_handover
        self._resources = resources
        self._caller_limits = caller_limits
        self._servers: list[accepting.Acceptor] = []
        self._connections: set[caller_connection.CallerConnection] = set()

    async def start(
        self, gateway_settings: settings.GatewaySettings, metrics_port: int
    ) -> None:
        """Opens all internal listeners."""
        metrics_address = f"{gateway_settings.ip}:{metrics_port}"
        self._listen(
            caller_account.Listener.READY,
            gateway_settings.ready_address,
            self._handle_ready,
            self._judge_ready,
        )
        self._listen(
            caller_account.Listener.PEERS,
            gateway_settings.peers_address,
            self._handle_peer,
            self._judge_peer,
        )
        self._listen(
            caller_account.Listener.METRICS,
            metrics_address,
            self._handle_metrics,
            self._judge_metrics,
        )

    @property
    def has_unsent_answers(self) -> bool:
        """Whether answers are partly still held in the process."""
        return any(each.unsent_bytes for each in self._connections)

    def stop(self) -> None:
        """Closes all internal listeners; open connections stay."""
        for server in self._servers:
            server.close()

    def _listen(
        self,
        listener: caller_account.Listener,
        address: str,
        handler: _Handler,
        judge_head: caller_parsing.JudgeHead,
    ) -> None:
        loop = asyncio.get_running_loop()
        callbacks = caller_connection.CallerCallbacks(
            serve=handler,
            may_overlap=lambda _: False,
            limits=self._limits,
            judge_head=judge_head,
            is_stopping=lambda: False,
            takes_followers=lambda: True,
            log_rejection=self._log_rejection,
            count_undelivered=lambda _stage, _cause: None,
        )
        acceptor = accepting.Acceptor(
            listener,
            listening.listen(address),
            self._resources,
            lambda holding: caller_connection.CallerConnection(
                loop, callbacks, self._connections, self._resources, holding
            ),
        )
        acceptor.start()
        self._servers.append(acceptor)

    def _limits(self) -> tables.CallerLimits:
        """Returns limits with which a single request fits into the account."""
        total_bytes = self._resources.account.limits.total_bytes
        # Peers hand over what callers may send, whatever the memory.
        max_body_bytes = max(
            total_bytes // caller_account.BODY_COPIES,
            self._caller_limits().max_body_bytes,
        )
        if max_body_bytes >= _LIMITS.max_body_bytes:
            return _LIMITS
        return dataclasses.replace(_LIMITS, max_body_bytes=max_body_bytes)

    def _log_rejection(self, failure: outcomes.Failure, address: str) -> None:
        self._resources.record_refusal(
            failure.reason.slug, address, failure.detail
        )

    def _judge_ready(
        self, head: caller_requests.CallerRequest
    ) -> outcomes.Outcome:
        del head  # The body of a readiness check is not needed.
        return outcomes.Answered(200 if self._is_ready() else 503, (), b"")

    def _judge_peer(
        self, head: caller_requests.CallerRequest
    ) -> outcomes.Outcome | None:
        """Only requests that a peer hands over have a body."""
        if headers.HANDOVER in head.fields:
            return None
        return _REFUSAL_NOT_FOUND

    def _judge_metrics(
        self, head: caller_requests.CallerRequest
    ) -> outcomes.Outcome:
        del head
        return _REFUSAL_NOT_FOUND

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
