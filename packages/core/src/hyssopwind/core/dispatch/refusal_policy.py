"""When refused callers may come back to a service with several priorities.

A caller whose target can still be met is told to come back while it can, but
not before capacity is expected to be free. A caller whose target is lost is
told to come back later, so that its late work does not compete with work that
can still be in time. Both times are spread at random, so that callers do not
come back together.
"""

import dataclasses
import math

from hyssopwind.core.dispatch import retry_policy

# Multiple of the expected work that is left for the work after a return; the
# work of single requests differs by up to a third.
WORK_FACTOR = 1.3
# Part of the time left until the work has to start in which callers come back;
# the rest is for the search of a server and for another attempt.
IN_TARGET_RATIO = 0.5
# Bounds of the return of a caller whose target is lost, relative to the target:
# the requests that arrive meanwhile can still be in time.
MIN_LATE_RATIO = 0.5
MAX_LATE_RATIO = 1.5
# Least spread of returns, relative to the target, if capacity is expected only
# shortly before the work has to start.
MIN_SPREAD_RATIO = 0.1
# Largest part of the time until a caller gives up after which it is told to
# come back, so that another refusal leaves time for one more return. If this
# bound applies, returns are spread at least over this part below it.
MAX_REMAINING_RATIO = 1.0 / 3.0
CAPPED_SPREAD_RATIO = 0.5
# Time that a caller spent on earlier requests from which on a request counts as
# returned. Callers are told to come back after less than
# `retry_policy.CALLER_RETRY_MIN_SECONDS`. A return costs a caller at least two
# ways of some milliseconds and the time until the refusal.
RETURNED_MIN_SECONDS = 0.02
# Weight of the newest search in the averages, and the time in which they decay
# by half, as servers may be free again.
SEARCH_WEIGHT = 0.2
HALF_LIFE_SECONDS = 1.0
# Longest time without a successful search that is expected to continue; after
# it, the forecast would no longer follow servers that become free.
MAX_OUTAGE_SECONDS = HALF_LIFE_SECONDS
# Share of successful searches that is assumed at least.
MIN_FOUND_RATIO = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnTiming:
    """Times of a request that is refused.

    Attributes:
        latency_target_seconds: latency target of its route.
        elapsed_seconds: seconds since its caller first sent it.
        remaining_seconds: seconds until its caller gives up.
        work_seconds: expected seconds of its work.
        free_after_seconds: seconds after which a server is expected to be free.
    """

    latency_target_seconds: float
    elapsed_seconds: float
    remaining_seconds: float
    work_seconds: float
    free_after_seconds: float = 0.0


def return_after_seconds(timing: ReturnTiming, random_draw: float) -> float:
    """Returns the seconds after which a refused caller may come back.

    Args:
        timing: the times of its request.
        random_draw: a random number from 0 to 1.

    Examples:
        >>> timing = ReturnTiming(0.271, 0.02, 2.6, 0.1)
        >>> round(return_after_seconds(timing, 1.0), 4)
        0.0605
        >>> timing = ReturnTiming(0.271, 0.2, 2.4, 0.1)
        >>> round(return_after_seconds(timing, 0.0), 4)
        0.1355
    """
    earliest, latest = _return_bounds(timing)
    limit = MAX_REMAINING_RATIO * timing.remaining_seconds
    if limit <= 0.0:
        # The caller has given up; a time of 0 would let all return at once.
        limit = MIN_LATE_RATIO * timing.latency_target_seconds
    if not 0.0 < latest <= limit:
        latest = limit
        earliest = min(earliest, (1.0 - CAPPED_SPREAD_RATIO) * latest)
    return earliest + (latest - earliest) * random_draw


def _return_bounds(timing: ReturnTiming) -> tuple[float, float]:
    """Returns the earliest and the latest useful return in seconds."""
    work_seconds = WORK_FACTOR * timing.work_seconds
    earliest = max(0.0, timing.free_after_seconds)
    spare_seconds = (
        timing.latency_target_seconds - timing.elapsed_seconds - work_seconds
    )
    spread = IN_TARGET_RATIO * (spare_seconds - earliest)
    if spread >= MIN_SPREAD_RATIO * timing.latency_target_seconds:
        return earliest, earliest + spread
    earliest = max(earliest, MIN_LATE_RATIO * timing.latency_target_seconds)
    spread = timing.latency_target_seconds * (MAX_LATE_RATIO - MIN_LATE_RATIO)
    last_useful_seconds = max(0.0, timing.remaining_seconds - work_seconds)
    latest = min(earliest + spread, last_useful_seconds)
    earliest = min(earliest, IN_TARGET_RATIO * last_useful_seconds)
    return earliest, latest


def is_returned(spent_seconds: float, *, has_several_classes: bool) -> bool:
    """Returns whether a request counts as a retry by its caller.

    Args:
        spent_seconds: seconds that the caller spent on earlier requests.
        has_several_classes: whether its service has several priorities.
    """
    if has_several_classes:
        return spent_seconds > RETURNED_MIN_SECONDS
    return spent_seconds > retry_policy.CALLER_RETRY_MIN_SECONDS


class CapacityForecast:
    """Expects when a request of a service would find a server.

    It observes the searches of this daemon: how long the successful ones took
    and how many succeeded.

    Examples:
        >>> forecast = CapacityForecast()
        >>> for _ in range(50):
        ...     forecast.record_search(0.1, is_found=True, now=0.0)
        >>> round(forecast.free_after_seconds(now=0.0), 2)
        0.1
        >>> for _ in range(50):
        ...     forecast.record_search(0.1, is_found=False, now=0.0)
        >>> round(forecast.free_after_seconds(now=0.0), 2)
        2.0
        >>> forecast.free_after_seconds(now=10.0) < 0.01
        True
    """

    def __init__(self) -> None:
        self._search_seconds = 0.0
        self._lost_ratio = 0.0
        self._updated_at = 0.0
        # Time of the latest success, or of the first failure before any.
        self._last_found_at: float | None = None
        self._outage_seconds = 0.0

    def record_search(
        self, seconds: float, *, is_found: bool, now: float
    ) -> None:
        """Records the search of a request for a server.

        Args:
            seconds: its duration.
            is_found: whether a server was found.
            now: monotonic time in seconds.
        """
        if is_found:
            factor = self._decay_factor(now)
            self._search_seconds *= factor
            self._lost_ratio *= factor
            self._search_seconds += SEARCH_WEIGHT * (
                seconds - self._search_seconds
            )
            self._lost_ratio -= SEARCH_WEIGHT * self._lost_ratio
            self._last_found_at = now
            self._outage_seconds = 0.0
        else:
            # No decay: a failed search shows that no server is free yet.
            self._lost_ratio += SEARCH_WEIGHT * (1.0 - self._lost_ratio)
            if self._last_found_at is None:
                self._last_found_at = now
            self._outage_seconds = min(
                MAX_OUTAGE_SECONDS, now - self._last_found_at
            )
        self._updated_at = now

    def free_after_seconds(self, now: float) -> float:
        """Returns the expected seconds until a request finds a server."""
        factor = self._decay_factor(now)
        lost_ratio = factor * self._lost_ratio
        found_ratio = max(MIN_FOUND_RATIO, 1.0 - lost_ratio)
        return max(
            factor * self._search_seconds / found_ratio,
            lost_ratio * self._outage_seconds,
        )

    def _decay_factor(self, now: float) -> float:
        half_lives = max(0.0, now - self._updated_at) / HALF_LIFE_SECONDS
        return math.pow(0.5, half_lives)
