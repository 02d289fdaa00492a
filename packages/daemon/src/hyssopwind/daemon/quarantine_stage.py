"""The stage that refuses requests that crash servers."""

from hyssopwind.core import outcomes
from hyssopwind.core.node import node
from hyssopwind.daemon import clock
from hyssopwind.daemon import request_context


class QuarantineStage:
    """Refuses requests that the crash records of all daemons quarantine."""

    def __init__(self, daemon_node: node.Node, process_clock: clock.Clock):
        self._node = daemon_node
        self._clock = process_clock

    async def apply(
        self, context: request_context.RequestContext
    ) -> outcomes.Outcome | None:
        """Returns the refusal of a quarantined request, or `None`."""
        quarantine = self._node.quarantine
        if quarantine.is_empty:
            return None
        now = self._clock.now()
        fingerprint = context.ensure_fingerprint()
        if not quarantine.is_quarantined(fingerprint, now):
            return None
        return outcomes.NotRun(
            outcomes.Reason.QUARANTINED,
            "servers crashed on this request",
            quarantine.remaining_seconds(fingerprint, now),
        )
