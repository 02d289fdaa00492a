"""Retry budget of one service.

References:
    "Addressing cascading failures", in B. Beyer et al., Site Reliability
    Engineering, O'Reilly 2016: retry budgets.
"""

from hyssopwind.core import buckets
from hyssopwind.core.settings import documents

_BURST_RETRY_COUNT = 10.0  # retries that may be made at once


class RetryBudget:
    """Allows retries up to a ratio of the requests, with a minimum rate.

    Examples:
        >>> settings = documents.RetrySettings(ratio=0.5)
        >>> budget = RetryBudget(settings, now=0.0)
        >>> [budget.try_acquire(0.0) for _ in range(11)].count(True)
        10
    """

    def __init__(self, settings: documents.RetrySettings, now: float):
        self._settings = settings
        self._bucket = buckets.TokenBucket(
            settings.minimum, _BURST_RETRY_COUNT, now
        )

    def record_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._bucket.deposit(self._settings.ratio, now)

    def try_acquire(self, now: float) -> bool:
        """Acquires one retry and returns whether it is allowed."""
        return self._bucket.try_acquire(now)
