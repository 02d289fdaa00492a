"""Rate limiter that keeps the load probes of a server within their budget."""

from hyssopwind.core import buckets
from hyssopwind.core import ids
from hyssopwind.core import invariants

BUDGET_WINDOW_SECONDS = 10.0
# Part of the budget that is spent; the rest covers a probe at the edge of a
# window.
SPENT_BUDGET_RATIO = 0.8


class ProbeRateLimiter:
    """Limits the rate of load probes to each server of one pool.

    Only the pool owner that holds the lease sends probes, so the budget of a
    server is spent by one daemon at a time. A new owner starts with empty
    token buckets, because the previous owner may just have sent a probe.

    Examples:
        >>> monitor = invariants.InvariantMonitor()
        >>> limiter = ProbeRateLimiter(rate=1.0, monitor=monitor)
        >>> server = ids.ServerId("s")
        >>> limiter.try_acquire(server, 0.0), limiter.try_acquire(server, 1.3)
        (False, True)
    """

    def __init__(self, rate: float, monitor: invariants.InvariantMonitor):
        self._rate = rate
        self._monitor = monitor
        self._buckets: dict[ids.ServerId, buckets.TokenBucket] = {}
        self._sent_times: dict[ids.ServerId, list[float]] = {}

    def set_rate(self, rate: float) -> None:
        """Sets the budget; a changed one starts with empty token buckets."""
        if rate == self._rate:
            return
        self._rate = rate
        self._buckets.clear()

    def try_acquire(self, server: ids.ServerId, now: float) -> bool:
        """Returns whether a probe may be sent now, and counts it if so."""
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = buckets.TokenBucket(
                self._rate * SPENT_BUDGET_RATIO, 1.0, now, is_full=False
            )
            self._buckets[server] = bucket
        if not bucket.try_acquire(now):
            return False
        sent_times = [
            time
            for time in self._sent_times.get(server, [])
            if now - time < BUDGET_WINDOW_SECONDS
        ]
        is_within_budget = (
            len(sent_times) + 1 <= self._rate * BUDGET_WINDOW_SECONDS
        )
        allowed = self._monitor.check(
            invariants.Invariant.PROBE_BUDGET,
            is_within_budget,
            f"server {server}",
        )
        if allowed:
            sent_times.append(now)
        self._sent_times[server] = sent_times
        return allowed
