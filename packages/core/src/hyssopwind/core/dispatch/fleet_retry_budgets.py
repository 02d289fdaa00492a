"""Retry budget of one daemon, as a share of the fleet's retry budget.

The fleet's budget is a sum over all daemons: a ratio of the requests of a
service plus a fixed number in each window. Each daemon spends the ratio of its
own requests and an equal part of the fixed number, so that no messages are
needed. The equal parts are computed from the largest number of daemons seen
recently, because a daemon that cannot be reached may go on spending its part.

If a service has requests of several priorities, the less urgent ones leave a
reserve for the more urgent ones (`retry_reserves`). Otherwise requests are
served in the order in which they ask.
"""

import collections
import dataclasses
import zlib

from hyssopwind.core import ids
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import retry_reserves
from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import tuning

# Part of the rounding phase that is used. The share of a daemon varies with its
# random arrivals, and its retries follow the peaks: with the whole phase, 312
# daemons with 0.6 requests/s each that spend all they may came to 1.07 of the
# fleet's budget in a window, with this part to 0.98.
ROUNDED_RATIO = 0.75
DEFAULT_PRIORITY = priorities.Priority(0)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRetrySettings:
    """The retry budget of the fleet for each service.

    Attributes:
        ratio: retries per request.
        window_seconds: seconds over which retries and requests are counted.
        slack: retries of the fleet in a window beyond the ratio.
        spent_ratio: ratio of the budget that is spent; the rest covers sliding
            windows and unequal shares of the daemons.
    """

    ratio: float
    window_seconds: float
    slack: float
    spent_ratio: float = 1.0


def fleet_retry_settings(
    gateway_settings: settings.GatewaySettings,
    tuned_settings: tuning.RetryHedgeSettings,
) -> FleetRetrySettings:
    """Returns the retry budget that the settings declare."""
    return FleetRetrySettings(
        gateway_settings.retry_ratio,
        gateway_settings.retry_window,
        gateway_settings.retry_slack,
        tuned_settings.spent_part,
    )


def rounding_phase(daemon: ids.DaemonId) -> float:
    """Returns a number from 0 to 1 that differs between daemons.

    Examples:
        >>> round(rounding_phase(ids.DaemonId("a")), 3)
        0.909
    """
    return zlib.crc32(daemon.encode()) / 2**32


class FleetRetryBudget:
    """Counts requests and retries of each service in a sliding window.

    Examples:
        >>> budget = FleetRetryBudget(FleetRetrySettings(0.5, 10.0, 5.0, 0.8))
        >>> service = ids.ServiceId("a")
        >>> [budget.try_acquire(service, 0.0, daemon_count=2) for _ in range(3)]
        [True, True, False]
        >>> for _ in range(10):
        ...     budget.record_request(service, 0.0)
        >>> budget.try_acquire(service, 0.0, daemon_count=2)
        True
    """

    def __init__(
        self, retry_settings: FleetRetrySettings, rounding_phase: float = 0.0
    ):
        """Creates a budget without any requests.

        Args:
            retry_settings: the budget of the fleet.
            rounding_phase: a number from 0 to 1 that differs between daemons;
                the part of a retry that may be used beyond the daemon's share
                if a service has several classes.
        """
        self._settings = retry_settings
        self._rounding_phase = rounding_phase
        self._requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceId, collections.deque[float]] = {}
        self._reserves: dict[ids.ServiceId, retry_reserves.RetryReserves] = {}

    def apply_settings(self, retry_settings: FleetRetrySettings) -> None:
        """Puts changed settings in force."""
        self._settings = retry_settings

    def record_request(
        self,
        service: ids.ServiceId,
        now: float,
        priority: priorities.Priority = DEFAULT_PRIORITY,
        work_seconds: float = 0.0,
        max_retries: int = 1,
    ) -> None:
        """Counts a request of a caller.

        Args:
            service: its service.
            now: monotonic time in seconds.
            priority: its priority.
            work_seconds: expected seconds of its work.
            max_retries: number of retries that its route allows.
        """
        self._recent_times(self._requests, service, now).append(now)
        self.reserves(service, now).record_request(
            priority, work_seconds, max_retries, now
        )

    def withdraw_request(
        self, service: ids.ServiceId, priority: priorities.Priority
    ) -> None:
        """Takes back a request that another daemon sends and counts."""
        times = self._requests.get(service)
        if times:
            times.pop()
            self._reserves[service].withdraw_request(priority)

    def record_attempt(
        self, service: ids.ServiceId, *, has_failed: bool
    ) -> None:
        """Records whether another server may be tried after an attempt."""
        reserves = self._reserves.get(service)
        if reserves is not None:
            reserves.record_attempt(has_failed=has_failed)

    def reserves(
        self, service: ids.ServiceId, now: float
    ) -> retry_reserves.RetryReserves:
        """Returns the reserves of a service as of now."""
        reserves = self._reserves.get(service)
        if reserves is None:
            reserves = retry_reserves.RetryReserves()
            self._reserves[service] = reserves
        reserves.expire(now, self._settings.window_seconds)
        return reserves

    def try_acquire(
        self,
        service: ids.ServiceId,
        now: float,
        daemon_count: int,
        demand: retry_reserves.RetryDemand | None = None,
    ) -> bool:
        """Acquires one retry and returns whether it is allowed.

        Args:
            service: the service of the request.
            now: monotonic time in seconds.
            daemon_count: number of daemons that share the budget.
            demand: the request that needs it; `None` if all are equal.
        """
        if not self.may_acquire(service, now, daemon_count, demand):
            return False
        self._recent_times(self._retries, service, now).append(now)
        if demand is not None:
            self._reserves[service].record_retry(demand, now)
        return True

    def may_acquire(
        self,
        service: ids.ServiceId,
        now: float,
        daemon_count: int,
        demand: retry_reserves.RetryDemand | None = None,
    ) -> bool:
        """Returns whether one retry is allowed now.

        If a service has several classes, they may exceed the share by the
        rounding phase.
        """
        available_count = self.available_count(service, now, daemon_count)
        if demand is None:
            return available_count >= 1.0
        reserves = self.reserves(service, now)
        available_count -= reserves.reserved_count(demand)
        if not reserves.has_several(demand):
            return available_count >= 1.0
        # The share of a daemon with little traffic is a small number with a
        # fraction, which would be lost in each window. It is rounded up at as
        # many daemons as the fraction states, so that the sum over the fleet
        # stays the same. The phase is constant, as a sliding window would get
        # the rounded-up retries of two phases.
        return available_count >= 1.0 - ROUNDED_RATIO * self._rounding_phase

    def available_count(
        self, service: ids.ServiceId, now: float, daemon_count: int
    ) -> float:
        """Returns the number of retries that are left, with fractions."""
        retry_count = len(self._recent_times(self._retries, service, now))
        share = self._share(service, now, daemon_count)
        return self._settings.spent_ratio * share - retry_count

    def _share(
        self, service: ids.ServiceId, now: float, daemon_count: int
    ) -> float:
        """Returns the daemon's share of the budget in the present window."""
        request_count = len(self._recent_times(self._requests, service, now))
        allowed = self._settings.ratio * request_count
        return allowed + self._settings.slack / max(1, daemon_count)

    def _recent_times(
        self,
        times_by_service: dict[ids.ServiceId, collections.deque[float]],
        service: ids.ServiceId,
        now: float,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._settings.window_seconds:
            times.popleft()
        return times
