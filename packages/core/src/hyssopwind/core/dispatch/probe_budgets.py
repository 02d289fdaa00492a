"""Budget of load probes of one daemon, as a share of the fleet's budget.

The fleet's budget is a rate per server over all daemons, counted over a day.
A daemon may therefore spend some seconds of its share at once when requests
wait for a good server.
"""

import math

# Ratio of the budget that is spent; the rest covers differences between the
# shares of the daemons.
SPENT_RATIO = 0.8
# Ratio of its share that a daemon that is cut off from the servers spends.
CUT_OFF_SPENT_RATIO = 0.25
# Time whose share of the budget may be spent at once.
BURST_SECONDS = 10.0
# Ratio of that above which rounds of probes are spread over time.
PACED_SPENT_RATIO = 0.5


def sharing_daemon_count(fleet_size: int, cut_off_count: int) -> int:
    """Returns by how many daemons the budget is shared.

    Daemons that are cut off from the servers leave the most of their shares to
    those that serve their callers.

    Args:
        fleet_size: number of all daemons.
        cut_off_count: number of daemons that are cut off.

    Examples:
        >>> sharing_daemon_count(15, 0), sharing_daemon_count(15, 14)
        (15, 5)
    """
    unspent = (1.0 - CUT_OFF_SPENT_RATIO) * cut_off_count
    return max(1, math.ceil(fleet_size - unspent))


class ProbeBudget:
    """Counts the load probes of one daemon.

    The rate that it is created with is that of one server over all daemons.

    Examples:
        >>> budget = ProbeBudget(probes_per_second=1.0, now=0.0)
        >>> budget.try_acquire(100, server_count=10, daemon_count=4, now=0.0)
        20
        >>> budget.try_acquire(100, server_count=10, daemon_count=4, now=1.0)
        2
    """

    def __init__(self, probes_per_second: float, now: float):
        self._probes_per_second = probes_per_second
        self._spent_count = 0.0
        self._updated_at = now

    def pause_seconds(
        self, probe_count: int, *, server_count: int, daemon_count: int
    ) -> float:
        """Returns the pause after a round of probes that keeps a reserve.

        Args:
            probe_count: number of probes of a round.
            server_count: number of listed servers.
            daemon_count: number of daemons that share the budget.
        """
        share_per_second = self._share_per_second(server_count, daemon_count)
        burst_count = share_per_second * BURST_SECONDS
        if self._spent_count <= PACED_SPENT_RATIO * burst_count:
            return 0.0
        return probe_count / share_per_second

    def try_acquire(
        self,
        requested_count: int,
        *,
        server_count: int,
        daemon_count: int,
        now: float,
    ) -> int:
        """Acquires probes from the budget and returns how many are allowed.

        Args:
            requested_count: number of probes that are requested.
            server_count: number of listed servers, each with its own budget.
            daemon_count: number of daemons that share the budget.
            now: monotonic time in seconds.
        """
        share_per_second = self._share_per_second(server_count, daemon_count)
        elapsed_seconds = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._spent_count = max(
            0.0, self._spent_count - elapsed_seconds * share_per_second
        )
        allowed_count = max(
            0,
            min(
                requested_count,
                int(share_per_second * BURST_SECONDS - self._spent_count),
            ),
        )
        self._spent_count += allowed_count
        return allowed_count

    def _share_per_second(self, server_count: int, daemon_count: int) -> float:
        return (
            SPENT_RATIO
            * self._probes_per_second
            * server_count
            / max(1, daemon_count)
        )
