"""Budget of load probes of one daemon, as a share of the fleet's budget.

The fleet's budget is a rate per server over all daemons, counted over a day.
A daemon may therefore spend some seconds of its share at once when requests
wait for a good server.
"""

# Ratio of the budget that is spent, since the daemons differ in their shares.
SPENT_PART = 0.8
# Time whose share may be spent at once.
BURST = 10.0


class ProbeBudget:
    """Counts the load probes of one daemon.

    Examples:
        >>> budget = ProbeBudget(rate=1.0, now=0.0)
        >>> budget.take(100, servers=10, daemons=4, now=0.0)
        20
        >>> budget.take(100, servers=10, daemons=4, now=1.0)
        2
    """

    def __init__(self, rate: float, now: float):
        self._rate = rate
        self._spent_count = 0.0
        self._updated_at = now

    def take(
        self, wanted: int, *, servers: int, daemons: int, now: float
    ) -> int:
        """Acquires probes from the budget and returns how many are allowed.

        Args:
            wanted: number of probes that are wanted.
            servers: number of listed servers, each with its own budget.
            daemons: number of daemons that share the budget.
            now: monotonic time in seconds.
        """
        probes_per_second = SPENT_PART * self._rate * servers / max(1, daemons)
        elapsed_seconds = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._spent_count = max(
            0.0, self._spent_count - elapsed_seconds * probes_per_second
        )
        allowed_count = max(
            0, min(wanted, int(probes_per_second * BURST - self._spent_count))
        )
        self._spent_count += allowed_count
        return allowed_count
