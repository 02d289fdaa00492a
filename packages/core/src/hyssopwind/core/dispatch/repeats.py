"""The share of one daemon in the fleet's budget of repeated requests.

The budget is a sum over all daemons: a share of the requests of a service
and a fixed number in each window. Each daemon spends the share of its own
requests and its part of the fixed number, so that no message is needed. The
parts are worked out with the most daemons known lately, because a daemon that
is out of reach may go on spending.
"""

import collections
import dataclasses

from hyssopwind.core import ids
from hyssopwind.core.dispatch import settings
from hyssopwind.core.settings import tuning


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatTerms:
    """The budget of the fleet for each service.

    Attributes:
        ratio: repeats for each request.
        window: seconds over which both are counted.
        slack: repeats in a window beyond the ratio.
        spent_part: part of the budget that is spent.
    """

    ratio: float
    window: float
    slack: float
    spent_part: float = 1.0


def terms_of(
    options: settings.GatewaySettings, tuned: tuning.RepeatingSettings
) -> RepeatTerms:
    """Returns the budget that the settings name."""
    return RepeatTerms(
        options.retry_ratio,
        options.retry_window,
        options.retry_slack,
        tuned.spent_part,
    )


class RepeatBudget:
    """Counts requests and repeats of each service in a sliding window.

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

    def __init__(self, terms: RepeatTerms):
        self._terms = terms
        self._requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self._repeats: dict[ids.ServiceId, collections.deque[float]] = {}

    def change_terms(self, terms: RepeatTerms) -> None:
        """Puts other terms in force."""
        self._terms = terms

    def note_request(self, service: ids.ServiceId, now: float) -> None:
        """Counts a request of a caller."""
        self._recent(self._requests, service, now).append(now)

    def take(self, service: ids.ServiceId, now: float, daemons: int) -> bool:
        """Takes one repeat and returns whether it is allowed."""
        if self.available(service, now, daemons) < 1.0:
            return False
        self._recent(self._repeats, service, now).append(now)
        return True

    def available(
        self, service: ids.ServiceId, now: float, daemons: int
    ) -> float:
        """Returns the repeats that are left, with fractions."""
        requests = len(self._recent(self._requests, service, now))
        repeats = len(self._recent(self._repeats, service, now))
        allowed = self._terms.ratio * requests
        allowed += self._terms.slack / max(1, daemons)
        return self._terms.spent_part * allowed - repeats

    def _recent(
        self,
        counts: dict[ids.ServiceId, collections.deque[float]],
        service: ids.ServiceId,
        now: float,
    ) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        while times and times[0] <= now - self._terms.window:
            times.popleft()
        return times
