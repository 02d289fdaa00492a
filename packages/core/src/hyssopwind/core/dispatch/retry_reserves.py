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
import math
from collections.abc import Iterator
from collections.abc import Mapping

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

# Time in which the weight of a request in the rate of its class decays by half.
# It is two windows of 10 s, as a daemon of a large fleet gets a rare kind less
# than once in a window.
RATE_HALF_LIFE_SECONDS = 20.0
# Decayed count of requests below which a class is forgotten.
MIN_RECENT_COUNT = 0.05


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
        classes: the priorities of its service in the configuration in force;
            if empty, those seen lately count.
    """

    priority: priorities.Priority
    work_seconds: float = 0.0
    kind: RetryKind = RetryKind.RETRY
    is_caller_retry: bool = False
    classes: frozenset[priorities.Priority] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    at: float
    priority: priorities.Priority
    work_seconds: float
    max_retries: int


class _Class:
    """The requests of one class in the window, and their rate before.

    Attributes:
        request_counts: number of requests by the retries that they may make.
        work_seconds: sum of their expected work.
        retry_count: number of retries that they have made, without hedges and
            those of late requests.
        recent_counts: as `request_counts`, with weights that decay.
        recent_work_seconds: as `work_seconds`, with weights that decay.
    """

    def __init__(self) -> None:
        self.request_counts: collections.Counter[int] = collections.Counter()
        self.work_seconds = 0.0
        self.retry_count = 0
        self.recent_counts: dict[int, float] = {}
        self.recent_work_seconds = 0.0
        self._decayed_at = 0.0

    @property
    def is_forgotten(self) -> bool:
        """Whether it had no request for long."""
        return (
            self.request_counts.total() == 0
            and sum(self.recent_counts.values()) < MIN_RECENT_COUNT
        )

    def decay(self, now: float) -> None:
        """Lowers the weights of recent requests by their age."""
        half_lives = max(0.0, now - self._decayed_at) / RATE_HALF_LIFE_SECONDS
        factor = math.pow(0.5, half_lives)
        for max_retries in self.recent_counts:
            self.recent_counts[max_retries] *= factor
        self.recent_work_seconds *= factor
        self._decayed_at = max(now, self._decayed_at)

    def add(self, request: _Request) -> None:
        """Adds a request."""
        self.decay(request.at)
        self.request_counts[request.max_retries] += 1
        self.work_seconds += request.work_seconds
        self._add_recent(request, 1.0)

    def expire(self, request: _Request) -> None:
        """Removes a request that has left the window."""
        self.request_counts[request.max_retries] -= 1
        self.work_seconds -= request.work_seconds

    def withdraw(self, request: _Request) -> None:
        """Removes a request as if it had not been made."""
        self.expire(request)
        half_lives = (self._decayed_at - request.at) / RATE_HALF_LIFE_SECONDS
        self._add_recent(request, -math.pow(0.5, half_lives))

    def expected_load(
        self, window_seconds: float, failure_ratio: float
    ) -> "_ExpectedLoad":
        """Returns what the class is likely to do in a window.

        The rate before counts only if the window has no request: while the load
        oscillates, the higher of the two would hold back too many hedges.
        """
        counts: Mapping[int, float] = self.request_counts
        request_count: float = self.request_counts.total()
        work_seconds = self.work_seconds
        if request_count == 0:
            # The decaying sum of a constant rate is the rate times this time.
            rate_seconds = RATE_HALF_LIFE_SECONDS / math.log(2.0)
            scale = window_seconds / rate_seconds
            counts = {
                max_retries: scale * count
                for max_retries, count in self.recent_counts.items()
            }
            request_count = sum(counts.values())
            work_seconds = scale * self.recent_work_seconds
        needed_count = -float(self.retry_count)
        for max_retries, count in counts.items():
            needed_count += count * expected_retries(failure_ratio, max_retries)
        return _ExpectedLoad(
            request_count, work_seconds, max(0.0, needed_count)
        )

    def _add_recent(self, request: _Request, weight: float) -> None:
        count = self.recent_counts.get(request.max_retries, 0.0)
        self.recent_counts[request.max_retries] = max(0.0, count + weight)
        self.recent_work_seconds = max(
            0.0, self.recent_work_seconds + weight * request.work_seconds
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _ExpectedLoad:
    """What a class is likely to do in a window.

    Attributes:
        request_count: number of its requests.
        work_seconds: sum of their expected work.
        needed_count: number of retries that it still needs.
    """

    request_count: float
    work_seconds: float
    needed_count: float


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
        self._window_seconds = 0.0

    @property
    def failure_ratio(self) -> float:
        """Share of recent attempts after which another server may be tried."""
        return self._failure_ratio

    @property
    def has_several_classes(self) -> bool:
        """Whether requests of several classes were seen lately."""
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
        request = _Request(now, priority, work_seconds, max(0, max_retries))
        self._requests.append(request)
        self._classes.setdefault(priority, _Class()).add(request)

    def withdraw_request(self, priority: priorities.Priority) -> None:
        """Takes back the latest request of a class."""
        for request in reversed(self._requests):
            if request.priority != priority:
                continue
            self._requests.remove(request)
            self._classes[priority].withdraw(request)
            self._forget_classes()
            return

    def record_retry(self, demand: RetryDemand, now: float) -> None:
        """Records a retry that was allowed; hedges meet no need of a class."""
        if demand.kind is RetryKind.HEDGE:
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

    def expire(self, now: float, window_seconds: float) -> None:
        """Drops what was recorded before the window that ends now."""
        self._window_seconds = window_seconds
        window_start = now - window_seconds
        while self._retries and self._retries[0][0] <= window_start:
            _, priority = self._retries.popleft()
            if priority in self._classes:
                self._classes[priority].retry_count -= 1
        while self._requests and self._requests[0].at <= window_start:
            request = self._requests.popleft()
            self._classes[request.priority].expire(request)
        for one_class in self._classes.values():
            one_class.decay(now)
        self._forget_classes()

    def has_several(self, demand: RetryDemand) -> bool:
        """Whether the service of a request has several classes."""
        if demand.classes:
            return len(demand.classes) > 1
        return self.has_several_classes

    def reserved_count(self, demand: RetryDemand) -> float:
        """Returns the number of retries that a request leaves to others.

        It is 0 if the service has one class only. If it has several, a hedge
        leaves what the retries of all of them need: it is speculative, while a
        retry follows a failure. Without recent failures that is 0.
        """
        if demand.kind is RetryKind.HEDGE:
            if not self.has_several(demand):
                return 0.0
            failure_ratio = min(MAX_FAILURE_RATIO, self._failure_ratio)
            return sum(
                load.needed_count
                for _, load in self._loads(demand, failure_ratio)
            )
        reserved = self._reserved_for_more_urgent(demand)
        return RETURNED_RATIO * reserved if demand.is_caller_retry else reserved

    def _loads(
        self, demand: RetryDemand, failure_ratio: float
    ) -> Iterator[tuple[priorities.Priority, _ExpectedLoad]]:
        """Returns the loads of the classes that a request considers."""
        for priority, one_class in self._classes.items():
            # Requests of an earlier priority may have been seen lately.
            if demand.classes and priority not in demand.classes:
                continue
            yield (
                priority,
                one_class.expected_load(self._window_seconds, failure_ratio),
            )

    def _reserved_for_more_urgent(self, demand: RetryDemand) -> float:
        failure_ratio = min(
            MAX_FAILURE_RATIO, max(MIN_FAILURE_RATIO, self._failure_ratio)
        )
        needed_count = 0.0
        request_count = 0.0
        work_seconds = 0.0
        for priority, load in self._loads(demand, failure_ratio):
            if priority >= demand.priority:
                continue
            needed_count += load.needed_count
            request_count += load.request_count
            work_seconds += load.work_seconds
        if demand.work_seconds * request_count >= work_seconds:
            return needed_count
        return needed_count * demand.work_seconds * request_count / work_seconds

    def _forget_classes(self) -> None:
        forgotten = [
            priority
            for priority, one_class in self._classes.items()
            if one_class.is_forgotten
        ]
        if not forgotten:
            return
        for priority in forgotten:
            del self._classes[priority]
        self._retries = collections.deque(
            each for each in self._retries if each[1] in self._classes
        )
