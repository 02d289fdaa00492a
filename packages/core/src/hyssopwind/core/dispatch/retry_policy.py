"""Retry policy: what follows an attempt at a server."""

import enum

from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.settings import tuning

# A request counts as a retry by its caller if the caller has spent more than
# this on earlier requests; for a first request it has spent none.
CALLER_RETRY_MIN_SECONDS = 0.1
# Time left below which no retry is made; no server answers in less.
MIN_USEFUL_SECONDS = 0.02
# Bounds of the time after which a refused caller may retry, relative to the
# latency target. The time is drawn at random between them, so that callers do
# not retry together.
MIN_RETRY_AFTER_RATIO = 0.15
MAX_RETRY_AFTER_RATIO = 0.5


class RetryDecision(enum.Enum):
    """Action that follows an attempt."""

    FINISH = "finish"
    RETRY = "try again"


def is_failure(result: attempt_results.AttemptResult) -> bool:
    """Returns whether another server may give a better result.

    Examples:
        >>> is_failure(attempt_results.Shed("", 0.0))
        True
        >>> kind = attempt_results.FailureKind.BROKEN
        >>> is_failure(attempt_results.Failed(kind))
        True
    """
    if isinstance(result, attempt_results.WholeAnswer):
        return result.answer.status >= 500
    return True


def retry_decision(
    result: attempt_results.AttemptResult,
    *,
    is_idempotent: bool,
    attempts_left: int,
    remaining_seconds: float,
) -> RetryDecision:
    """Returns whether the request is sent to another server.

    Args:
        result: how the attempt ended.
        is_idempotent: whether the request may run more than once.
        attempts_left: number of servers that it may still be sent to.
        remaining_seconds: seconds until the timeout of the caller or the route.
    """
    if attempts_left <= 0 or remaining_seconds < MIN_USEFUL_SECONDS:
        return RetryDecision.FINISH
    if not is_failure(result):
        return RetryDecision.FINISH
    execution = attempt_results.classify_execution(result)
    if execution is attempt_results.Execution.NEVER or is_idempotent:
        return RetryDecision.RETRY
    return RetryDecision.FINISH


def hedge_delay_seconds(
    estimated_seconds: float,
    latency_target_seconds: float,
    settings: tuning.RetryHedgeSettings,
) -> float:
    """Returns the seconds after which a hedged attempt starts.

    Args:
        estimated_seconds: expected duration of the first attempt.
        latency_target_seconds: latency target of the route.
        settings: the settings of retries and hedges.
    """
    return min(
        settings.hedge_factor * estimated_seconds,
        settings.latest_hedge * latency_target_seconds,
    )


def retry_after_seconds(
    latency_target_seconds: float, random_draw: float
) -> float:
    """Returns the seconds after which a refused caller may retry.

    Args:
        latency_target_seconds: latency target of the route.
        random_draw: a random number from 0 to 1.
    """
    spread_ratio = MAX_RETRY_AFTER_RATIO - MIN_RETRY_AFTER_RATIO
    return latency_target_seconds * (
        MIN_RETRY_AFTER_RATIO + spread_ratio * random_draw
    )


class DeadlineTracker:
    """Estimates the time that a caller has spent on earlier requests.

    Callers state the time for which they will still wait. A caller that
    retries after a refusal states less than at first; the difference to the
    longest time stated on its route is the time that it has spent.

    Examples:
        >>> tracker = DeadlineTracker()
        >>> deadlines = (2.5, 2.0, None)
        >>> [tracker.record_deadline("r", seconds) for seconds in deadlines]
        [0.0, 0.5, 0.0]
    """

    def __init__(self) -> None:
        self._longest_seconds: dict[str, float] = {}

    def record_deadline(
        self, route_name: str, stated_seconds: float | None
    ) -> float:
        """Records a stated deadline and returns the seconds spent before.

        Args:
            route_name: name of the route of the request.
            stated_seconds: seconds for which the caller will still wait, or
                `None` if it does not state them.
        """
        if stated_seconds is None:
            return 0.0
        longest_seconds = max(
            stated_seconds,
            self._longest_seconds.get(route_name, stated_seconds),
        )
        self._longest_seconds[route_name] = longest_seconds
        return longest_seconds - stated_seconds
