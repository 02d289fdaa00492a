"""What the stages need of the network; tests put stand-ins in its place."""

from typing import Protocol

from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.node import owning
from hyssopwind.daemon import exchange
from hyssopwind.daemon import upstream


class ServerTransport(Protocol):
    """Makes attempts at servers."""

    async def attempt(
        self, order: upstream.AttemptOrder
    ) -> judgement.AttemptResult:
        """Sends a request to a server and reads its whole answer."""
        ...


class PeerTransport(Protocol):
    """Hands requests on to other daemons."""

    async def forward(
        self, traffic: exchange.Exchange, target: owning.Forward
    ) -> outcomes.Outcome:
        """Returns the outcome that the other daemon gives."""
        ...
