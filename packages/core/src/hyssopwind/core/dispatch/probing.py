"""The share of one daemon in the fleet's budget of load checks.

The budget is a rate for each server over all daemons and holds over a day, so
that a daemon may spend some seconds of its share at once when requests wait
for a good server.
"""

SPENT_PART = 0.8  # of the budget, since daemons differ in their share
BURST = 10.0  # seconds of the share that may be spent at once


class ProbeBudget:
    """Counts the load checks of one daemon.

    Examples:
        >>> budget = ProbeBudget(rate=1.0, now=0.0)
        >>> budget.take(100, servers=10, daemons=4, now=0.0)
        20
        >>> budget.take(100, servers=10, daemons=4, now=1.0)
        2
    """

    def __init__(self, rate: float, now: float):
        self._rate = rate
        self._spent = 0.0
        self._updated = now

    def take(
        self, wanted: int, *, servers: int, daemons: int, now: float
    ) -> int:
        """Takes checks from the budget and returns how many are allowed.

        Args:
            wanted: checks that are wanted.
            servers: listed servers, each with a budget of its own.
            daemons: daemons that share it.
            now: monotonic time in seconds.
        """
        share = SPENT_PART * self._rate * servers / max(1, daemons)
        elapsed = max(0.0, now - self._updated)
        self._updated = max(self._updated, now)
        self._spent = max(0.0, self._spent - elapsed * share)
        allowed = max(0, min(wanted, int(share * BURST - self._spent)))
        self._spent += allowed
        return allowed
