"""Retry budget of one daemon, as a share of the fleet's retry budget.

The fleet's budget is a sum over all daemons: a ratio of the requests of a
service plus a fixed number in each window. Each daemon spends the ratio of its
own requests and an equal part of the fixed number, so that no messages are
needed. The equal parts are computed from the largest number of daemons seen
recently, because a daemon that cannot be reached may go on spending its part.
"""

import collections
import dataclasses

from hyssopwind.core import ids
from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import tuning


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

    def __init__(self, retry_settings: FleetRetrySettings):
        self._settings = retry_settings
        self._requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceId, collections.deque[float]] = {}

    def apply_settings(self, retry_settings: FleetRetrySettings) -> None:
        """Puts changed settings in force."""
        self._settings = retry_settings

    def record_request(self, service: ids.ServiceId, now: float) -> None:
        """Counts a request of a caller."""
        self._recent_times(self._requests, service, now).append(now)

    def withdraw_request(self, service: ids.ServiceId) -> None:
        """Takes back a request that another daemon sends and counts."""
        times = self._requests.get(service)
        if times:
            times.pop()

    def try_acquire(
        self, service: ids.ServiceId, now: float, daemon_count: int
    ) -> bool:
        """Acquires one retry and returns whether it is allowed."""
        if self.available_count(service, now, daemon_count) < 1.0:
            return False
        self._recent_times(self._retries, service, now).append(now)
        return True

    def available_count(
        self, service: ids.ServiceId, now: float, daemon_count: int
    ) -> float:
        """Returns the number of retries that are left, with fractions."""
        request_count = len(self._recent_times(self._requests, service, now))
        retry_count = len(self._recent_times(self._retries, service, now))
        allowed = self._settings.ratio * request_count
        allowed += self._settings.slack / max(1, daemon_count)
        return self._settings.spent_ratio * allowed - retry_count

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
