"""Interfaces of the stages to the network; tests implement them too."""

from typing import Protocol

from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.node import key_component
from hyssopwind.daemon import request_context
from hyssopwind.daemon import upstream


class ServerTransport(Protocol):
    """Sends attempts to servers."""

    async def attempt(
        self, attempt_request: upstream.AttemptRequest
    ) -> attempt_results.AttemptResult:
        """Sends a request to a server and reads its whole answer."""
        ...


class PeerTransport(Protocol):
    """Forwards requests to other daemons."""

    async def forward(
        self,
        context: request_context.RequestContext,
        forward_to: key_component.Forward,
    ) -> outcomes.Outcome:
        """Returns the outcome of the other daemon."""
        ...
