"""Simpler ways to choose a server, to compare with."""

from hyssopwind.core import ids
from hyssopwind.core.pools import member
from hyssopwind.core.settings import documents

RETRY_AFTER = 0.5  # seconds


class OwnCountsMember(member.PoolMember):
    """Chooses by the daemon's own requests in flight alone."""

    def plan(
        self,
        now: float,
        deadline: float,
        priority: documents.Priority,
        foreign: bool,
        avoid: frozenset[ids.ServerId],
    ) -> member.Plan:
        """Returns the server with the fewest own requests."""
        candidates = sorted(self.usable - avoid) or sorted(self.usable)
        if not candidates:
            return member.NoRoom(RETRY_AFTER)
        self.generator.shuffle(candidates)
        return member.SendDirect(min(candidates, key=self._own_count))

    def _own_count(self, server: ids.ServerId) -> int:
        counts = self.counts.get(server)
        return counts.in_flight if counts else 0
