"""Simpler pool clients that serve as baselines of the comparison."""

from hyssopwind.core import ids
from hyssopwind.core.pools import member
from hyssopwind.core.settings import documents

RETRY_AFTER = 0.5


class OwnCountsMember(member.PoolMember):
    """Chooses servers by the requests in flight of its own daemon alone."""

    def plan(
        self,
        now: float,
        deadline: float,
        priority: documents.Priority,
        foreign: bool,
        avoid: frozenset[ids.ServerId],
    ) -> member.Plan:
        """Selects a server with the fewest requests of this daemon."""
        candidates = sorted(self.usable - avoid) or sorted(self.usable)
        if not candidates:
            return member.NoRoom(RETRY_AFTER)
        self.generator.shuffle(candidates)
        return member.SendDirect(min(candidates, key=self._in_flight_count))

    def _in_flight_count(self, server: ids.ServerId) -> int:
        counts = self.counts.get(server)
        return counts.in_flight if counts else 0
