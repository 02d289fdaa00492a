"""The stage that refuses requests that crash servers."""

from hyssopwind.core import outcomes
from hyssopwind.core.node import node
from hyssopwind.daemon import clock
from hyssopwind.daemon import exchange


class QuarantineStage:
    """Refuses a request after two crashes, seen by any daemon."""

    def __init__(self, decisions: node.Node, timer: clock.Clock):
        self._node = decisions
        self._clock = timer

    async def apply(
        self, traffic: exchange.Exchange
    ) -> outcomes.Outcome | None:
        """Returns an outcome where the request is refused."""
        quarantine = self._node.quarantine
        if quarantine.is_empty:
            return None
        now = self._clock.now()
        fingerprint = traffic.ensure_fingerprint()
        if not quarantine.is_quarantined(fingerprint, now):
            return None
        return outcomes.NotRun(
            outcomes.Reason.QUARANTINED,
            "servers crashed on this request",
            quarantine.remaining(fingerprint, now),
        )
