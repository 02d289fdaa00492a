"""Keeps the load probes of a server within their budget."""

from hyssopwind.core import buckets
from hyssopwind.core import ids
from hyssopwind.core import invariants

WINDOW = 10.0  # seconds over which the budget is checked
SPENT_SHARE = 0.8  # of the budget; the rest covers a probe at a window's edge


class ProbeMeter:
    """Allows load probes of the servers of one pool, under a lease.

    Only the owner of a pool that holds its lease probes, so the budget of a
    server is spent by one daemon at a time. A new owner starts with nothing
    saved, because the owner before may just have probed.

    Examples:
        >>> monitor = invariants.InvariantMonitor()
        >>> meter = ProbeMeter(rate=1.0, monitor=monitor)
        >>> server = ids.ServerId("s")
        >>> meter.allow(server, 0.0), meter.allow(server, 1.3)
        (False, True)
    """

    def __init__(self, rate: float, monitor: invariants.InvariantMonitor):
        self._rate = rate
        self._monitor = monitor
        self._buckets: dict[ids.ServerId, buckets.TokenBucket] = {}
        self._sent: dict[ids.ServerId, list[float]] = {}

    def set_rate(self, rate: float) -> None:
        """Takes a changed budget; nothing is saved up under the new one."""
        if rate == self._rate:
            return
        self._rate = rate
        self._buckets.clear()

    def allow(self, server: ids.ServerId, now: float) -> bool:
        """Returns whether a probe may leave now, and counts it."""
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = buckets.TokenBucket(
                self._rate * SPENT_SHARE, 1.0, now, full=False
            )
            self._buckets[server] = bucket
        if not bucket.take(now):
            return False
        sent = [t for t in self._sent.get(server, []) if now - t < WINDOW]
        within = len(sent) + 1 <= self._rate * WINDOW
        allowed = self._monitor.holds(
            invariants.Invariant.PROBE_BUDGET, within, f"server {server}"
        )
        if allowed:
            sent.append(now)
        self._sent[server] = sent
        return allowed
