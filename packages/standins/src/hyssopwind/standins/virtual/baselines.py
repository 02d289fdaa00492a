"""Simpler pool clients that serve as baselines of the comparison."""

from hyssopwind.core import ids
from hyssopwind.core.pools import clients
from hyssopwind.core.settings import documents

RETRY_AFTER_SECONDS = 0.5


class OwnCountsPoolClient(clients.PoolClient):
    """Chooses servers by the requests in flight of its own daemon alone."""

    def plan(
        self,
        now: float,
        deadline: float,
        priority: documents.Priority,
        is_remote: bool,
        avoid: frozenset[ids.ServerId],
    ) -> clients.Plan:
        """Selects a server with the fewest requests of this daemon."""
        candidates = sorted(self.live_servers - avoid) or sorted(
            self.live_servers
        )
        if not candidates:
            return clients.NoCapacity(RETRY_AFTER_SECONDS)
        self.random_source.shuffle(candidates)
        return clients.SendDirect(min(candidates, key=self._in_flight_count))

    def _in_flight_count(self, server: ids.ServerId) -> int:
        counts = self.server_counts.get(server)
        return counts.in_flight if counts else 0
