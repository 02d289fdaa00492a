"""Retry policy: what follows an attempt at a server."""

import enum

from hyssopwind.core.attempts import judgement
from hyssopwind.core.settings import tuning

# Time that a caller has spent before, from which its request counts as a retry
# by the caller; a first request has spent none.
RETURNED_AFTER = 0.1
# Less time than a server needs to answer.
SHORTEST_USEFUL = 0.02
# Bounds of the time after which a refused caller may retry, relative to the
# latency target. The time is drawn at random between them, so that callers do
# not retry together.
EARLIEST_RETURN_SHARE = 0.15
LATEST_RETURN_SHARE = 0.5


class Step(enum.Enum):
    """Action that follows an attempt."""

    FINISH = "finish"
    TRY_AGAIN = "try again"


def is_failure(result: judgement.AttemptResult) -> bool:
    """Returns whether another server may give a better result.

    Examples:
        >>> is_failure(judgement.Shed("", 0.0))
        True
        >>> kind = judgement.FailureKind.BROKEN
        >>> is_failure(judgement.Failed(kind))
        True
    """
    if isinstance(result, judgement.WholeAnswer):
        return result.answer.status >= 500
    return True


def next_step(
    result: judgement.AttemptResult,
    *,
    idempotent: bool,
    tries_left: int,
    remaining: float,
) -> Step:
    """Returns whether the request is sent to another server.

    Args:
        result: how the attempt ended.
        idempotent: whether the request may run more than once.
        tries_left: number of servers that it may still be sent to.
        remaining: seconds until the timeout of the caller or the route.
    """
    if tries_left <= 0 or remaining < SHORTEST_USEFUL:
        return Step.FINISH
    if not is_failure(result):
        return Step.FINISH
    execution = judgement.judge_execution(result)
    if execution is judgement.Execution.NEVER or idempotent:
        return Step.TRY_AGAIN
    return Step.FINISH


def hedge_delay(
    estimated_seconds: float,
    latency_target_seconds: float,
    settings: tuning.RepeatingSettings,
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


def retry_after(latency_target_seconds: float, random_draw: float) -> float:
    """Returns the seconds after which a refused caller may retry.

    Args:
        latency_target_seconds: latency target of the route.
        random_draw: a random number from 0 to 1.
    """
    spread = LATEST_RETURN_SHARE - EARLIEST_RETURN_SHARE
    return latency_target_seconds * (
        EARLIEST_RETURN_SHARE + spread * random_draw
    )


class UsualDeadlines:
    """Estimates the time that a caller has spent on earlier requests.

    Callers state the time for which they will still wait. A caller that
    retries after a refusal states less than at first; the difference to the
    longest time stated on its route is the time that it has spent.

    Examples:
        >>> tracker = UsualDeadlines()
        >>> deadlines = (2.5, 2.0, None)
        >>> [tracker.note("r", seconds) for seconds in deadlines]
        [0.0, 0.5, 0.0]
    """

    def __init__(self) -> None:
        self._longest_seconds: dict[str, float] = {}

    def note(self, route_name: str, stated_seconds: float | None) -> float:
        """Records a stated deadline and returns the seconds spent before.

        Args:
            route_name: name of the route of the request.
            stated_seconds: seconds for which the caller will still wait, or
                `None` if it does not state them.
        """
        if stated_seconds is None:
            return 0.0
        longest = max(
            stated_seconds,
            self._longest_seconds.get(route_name, stated_seconds),
        )
        self._longest_seconds[route_name] = longest
        return longest - stated_seconds
