"""Retry budget of one daemon, as a share of the fleet's retry budget.

The fleet's budget is a sum over all daemons: a ratio of the requests of a
service plus a fixed number in each window. Each daemon spends the ratio of its
own requests and an equal part of the fixed number, so that no messages are
needed. The parts are computed from the largest number of daemons seen
recently, because a daemon that cannot be reached may go on spending.
"""

import collections
import dataclasses

from hyssopwind.core import ids
from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import tuning


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatTerms:
    """The retry budget of the fleet for each service.

    Attributes:
        ratio: retries per request.
        window: seconds over which retries and requests are counted.
        slack: retries in a window beyond the ratio.
        spent_part: ratio of the budget that is spent.
    """

    ratio: float
    window: float
    slack: float
    spent_part: float = 1.0


def terms_of(
    gateway_settings: settings.GatewaySettings,
    tuned_settings: tuning.RepeatingSettings,
) -> RepeatTerms:
    """Returns the retry budget that the settings declare."""
    return RepeatTerms(
        gateway_settings.retry_ratio,
        gateway_settings.retry_window,
        gateway_settings.retry_slack,
        tuned_settings.spent_part,
    )


class RepeatBudget:
    """Counts requests and retries of each service in a sliding window.

    Examples:
        >>> budget = RepeatBudget(RepeatTerms(0.5, 10.0, 5.0, 0.8))
        >>> service = ids.ServiceId("a")
        >>> [budget.take(service, 0.0, daemons=2) for _ in range(3)]
        [True, True, False]
        >>> for _ in range(10):
        ...     budget.note_request(service, 0.0)
        >>> budget.take(service, 0.0, daemons=2)
        True
    """

    def __init__(self, retry_settings: RepeatTerms):
        self._settings = retry_settings
        self._requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceId, collections.deque[float]] = {}

    def change_terms(self, retry_settings: RepeatTerms) -> None:
        """Puts changed settings in force."""
        self._settings = retry_settings

    def note_request(self, service: ids.ServiceId, now: float) -> None:
        """Counts a request of a caller."""
        self._recent_times(self._requests, service, now).append(now)

    def take(self, service: ids.ServiceId, now: float, daemons: int) -> bool:
        """Acquires one retry and returns whether it is allowed."""
        if self.available(service, now, daemons) < 1.0:
            return False
        self._recent_times(self._retries, service, now).append(now)
        return True

    def available(
        self, service: ids.ServiceId, now: float, daemons: int
    ) -> float:
        """Returns the number of retries that are left, with fractions."""
        request_count = len(self._recent_times(self._requests, service, now))
        retry_count = len(self._recent_times(self._retries, service, now))
        allowed = self._settings.ratio * request_count
        allowed += self._settings.slack / max(1, daemons)
        return self._settings.spent_part * allowed - retry_count

    def _recent_times(
        self,
        times_by_service: dict[ids.ServiceId, collections.deque[float]],
        service: ids.ServiceId,
        now: float,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._settings.window:
            times.popleft()
        return times
