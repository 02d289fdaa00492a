"""Reserves in the retry budget of a service for its more urgent requests.

When the servers of a service reject many requests, its retry budget runs
short. Each class of requests (`priorities.Priority`) then leaves as many
retries as the more urgent classes are likely to need in the rest of the
window. The need of a class is derived from its recent requests and from the
share of attempts that failed lately.

A retry costs the same part of the budget whatever its work is, but occupies a
server for its work. A request whose work is shorter than that of the more
urgent classes therefore leaves a smaller part of their reserve.
"""

import collections
import dataclasses
import enum

from hyssopwind.core.dispatch import priorities

# Weight of the newest attempt in the share of attempts that failed.
FAILURE_WEIGHT = 0.2
# Share of failed attempts that the reserve of more urgent classes assumes at
# least. The share is learnt from about five attempts, in which less urgent
# retries would otherwise spend the budget of the whole window.
MIN_FAILURE_RATIO = 0.25
# Share up to which failures are assumed to continue; at 1 the need would not
# depend on the number of attempts that a route allows.
MAX_FAILURE_RATIO = 0.9
# Part of a reserve that a request leaves whose caller came back after a
# refusal, as a further refusal costs its caller more than a first one.
RETURNED_RATIO = 0.5


class RetryKind(enum.Enum):
    """Why a request is sent to another server."""

    RETRY = "retry"
    HEDGE = "hedge"


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDemand:
    """A request that needs a retry or a hedge.

    Attributes:
        priority: its priority.
        work_seconds: expected seconds of its work.
        kind: why it is sent again.
        is_caller_retry: whether its caller came back after a refusal.
        is_late: whether its answer cannot be in target any more.
    """

    priority: priorities.Priority
    work_seconds: float = 0.0
    kind: RetryKind = RetryKind.RETRY
    is_caller_retry: bool = False
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    at: float
    priority: priorities.Priority
    work_seconds: float
    max_retries: int


@dataclasses.dataclass(slots=True)
class _Class:
    """The requests of one class in the window.

    Attributes:
        request_counts: number of requests by the retries that they may make.
        work_seconds: sum of their expected work.
        retry_count: number of retries that they have made, without hedges.
    """

    request_counts: collections.Counter[int]
    work_seconds: float = 0.0
    retry_count: int = 0

    def needed_count(self, failure_ratio: float) -> float:
        """Returns the number of retries that it is likely to need still."""
        count = 0.0
        for max_retries, request_count in self.request_counts.items():
            count += request_count * expected_retries(
                failure_ratio, max_retries
            )
        return max(0.0, count - self.retry_count)


def expected_retries(failure_ratio: float, max_retries: int) -> float:
    """Returns the mean number of retries of a request.

    Args:
        failure_ratio: share of attempts that fail.
        max_retries: number of retries that a request may make.

    Examples:
        >>> expected_retries(0.5, max_retries=2)
        0.75
    """
    count = 0.0
    reached_ratio = 1.0
    for _ in range(max_retries):
        reached_ratio *= failure_ratio
        count += reached_ratio
    return count


class RetryReserves:
    """Requests, attempts and retries of one service by class, in a window.

    Examples:
        >>> reserves = RetryReserves()
        >>> urgent, tolerant = priorities.Priority(0), priorities.Priority(2)
        >>> for _ in range(8):
        ...     reserves.record_request(urgent, 0.1, max_retries=1, now=0.0)
        >>> reserves.reserved_count(RetryDemand(urgent, 0.1))
        0.0
        >>> reserves.reserved_count(RetryDemand(tolerant, 0.6))
        2.0
        >>> round(reserves.reserved_count(RetryDemand(tolerant, 0.05)), 6)
        1.0
    """

    def __init__(self) -> None:
        self._requests: collections.deque[_Request] = collections.deque()
        self._retries: collections.deque[tuple[float, priorities.Priority]] = (
            collections.deque()
        )
        self._classes: dict[priorities.Priority, _Class] = {}
        self._failure_ratio = 0.0

    @property
    def failure_ratio(self) -> float:
        """Share of recent attempts after which another server may be tried."""
        return self._failure_ratio

    @property
    def has_several_classes(self) -> bool:
        """Whether requests of several classes are in the window."""
        return len(self._classes) > 1

    def record_request(
        self,
        priority: priorities.Priority,
        work_seconds: float,
        max_retries: int,
        now: float,
    ) -> None:
        """Records a request of a caller.

        Args:
            priority: its priority.
            work_seconds: expected seconds of its work.
            max_retries: number of retries that its route allows.
            now: monotonic time in seconds.
        """
        self._requests.append(
            _Request(now, priority, work_seconds, max(0, max_retries))
        )
        one_class = self._classes.setdefault(
            priority, _Class(collections.Counter())
        )
        one_class.request_counts[max(0, max_retries)] += 1
        one_class.work_seconds += work_seconds

    def withdraw_request(self, priority: priorities.Priority) -> None:
        """Takes back the latest request of a class."""
        for request in reversed(self._requests):
            if request.priority != priority:
                continue
            self._requests.remove(request)
            self._remove(request)
            return

    def record_retry(self, demand: RetryDemand, now: float) -> None:
        """Records a retry that was allowed.

        Hedges and retries of late requests meet no need of a class.
        """
        if demand.kind is RetryKind.HEDGE or demand.is_late:
            return
        one_class = self._classes.get(demand.priority)
        if one_class is None:
            return
        one_class.retry_count += 1
        self._retries.append((now, demand.priority))

    def record_attempt(self, *, has_failed: bool) -> None:
        """Records how an attempt ended."""
        sample = 1.0 if has_failed else 0.0
        self._failure_ratio += FAILURE_WEIGHT * (sample - self._failure_ratio)

    def expire(self, window_start: float) -> None:
        """Drops what was recorded at or before the start of the window."""
        while self._retries and self._retries[0][0] <= window_start:
            _, priority = self._retries.popleft()
            if priority in self._classes:
                self._classes[priority].retry_count -= 1
        while self._requests and self._requests[0].at <= window_start:
            self._remove(self._requests.popleft())

    def reserved_count(self, demand: RetryDemand) -> float:
        """Returns the number of retries that a request leaves to others.

        It is 0 if the window has requests of one class only. If it has several,
        a hedge and a late request leave what the retries of all of them need:
        a hedge is speculative, while a retry follows a failure, and a late
        answer is worth a fraction of one in target. Without recent failures
        that is 0.
        """
        reserved = 0.0
        if demand.kind is RetryKind.RETRY:
            reserved = self._reserved_for_more_urgent(demand)
            if not demand.is_late:
                ratio = RETURNED_RATIO if demand.is_caller_retry else 1.0
                return ratio * reserved
        if not self.has_several_classes:
            return reserved
        failure_ratio = min(MAX_FAILURE_RATIO, self._failure_ratio)
        return max(
            reserved,
            sum(
                one_class.needed_count(failure_ratio)
                for one_class in self._classes.values()
            ),
        )

    def _reserved_for_more_urgent(self, demand: RetryDemand) -> float:
        failure_ratio = min(
            MAX_FAILURE_RATIO, max(MIN_FAILURE_RATIO, self._failure_ratio)
        )
        needed_count = 0.0
        request_count = 0
        work_seconds = 0.0
        for priority, one_class in self._classes.items():
            if priority >= demand.priority:
                continue
            needed_count += one_class.needed_count(failure_ratio)
            request_count += one_class.request_counts.total()
            work_seconds += one_class.work_seconds
        if demand.work_seconds * request_count >= work_seconds:
            return needed_count
        return needed_count * demand.work_seconds * request_count / work_seconds

    def _remove(self, request: _Request) -> None:
        one_class = self._classes[request.priority]
        one_class.request_counts[request.max_retries] -= 1
        one_class.work_seconds -= request.work_seconds
        if one_class.request_counts.total() > 0:
            return
        del self._classes[request.priority]
        self._retries = collections.deque(
            each for each in self._retries if each[1] != request.priority
        )
