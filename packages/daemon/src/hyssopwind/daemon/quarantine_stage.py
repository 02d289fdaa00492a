"""The stage that refuses requests that crash servers."""

import time

from hyssopwind.core import outcomes
from hyssopwind.core.node import node
from hyssopwind.daemon import exchange


class QuarantineStage:
    """Refuses a request after two crashes, seen by any daemon."""

    def __init__(self, decisions: node.Node):
        self._node = decisions

    async def apply(
        self, traffic: exchange.Exchange
    ) -> outcomes.Outcome | None:
        """Returns an outcome where the request is refused."""
        quarantine = self._node.quarantine
        if quarantine.is_empty:
            return None
        now = time.monotonic()
        fingerprint = traffic.ensure_fingerprint()
        if not quarantine.is_quarantined(fingerprint, now):
            return None
        return outcomes.NotRun(
            outcomes.Reason.QUARANTINED,
            "servers crashed on this request",
            quarantine.remaining(fingerprint, now),
        )
