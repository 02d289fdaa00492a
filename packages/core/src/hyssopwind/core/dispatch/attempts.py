"""What follows an attempt at a server."""

import enum

from hyssopwind.core.attempts import judgement
from hyssopwind.core.settings import tuning

RETURNED_AFTER = 0.1  # seconds spent before; a first attempt has spent none
SHORTEST_USEFUL = 0.02  # seconds; less time than a server needs to answer
# Bounds of the time after which a refused caller may come back, as shares of
# the latency target; drawn at random so that callers don't return together.
EARLIEST_RETURN_SHARE = 0.15
LATEST_RETURN_SHARE = 0.5


class Step(enum.Enum):
    """What to do after an attempt."""

    FINISH = "finish"
    TRY_AGAIN = "try again"


def is_failure(result: judgement.AttemptResult) -> bool:
    """Whether another server might do better.

    Examples:
        >>> is_failure(judgement.Shed("", 0.0))
        True
        >>> is_failure(judgement.Failed(judgement.FailureKind.BROKEN))
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
    """Returns whether another server is tried.

    Args:
        result: how the attempt ended.
        idempotent: whether the request may run more than once.
        tries_left: servers that it may still be sent to.
        remaining: seconds until the caller or the route gives up.
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
    estimate: float, target: float, terms: tuning.RepeatingSettings
) -> float:
    """Returns the seconds after which a second attempt starts."""
    return min(terms.hedge_factor * estimate, terms.latest_hedge * target)


def retry_after(target: float, draw: float) -> float:
    """Returns the seconds after which a refused caller may come back.

    Args:
        target: latency target of the route in seconds.
        draw: a random number from 0 to 1.
    """
    spread = LATEST_RETURN_SHARE - EARLIEST_RETURN_SHARE
    return target * (EARLIEST_RETURN_SHARE + spread * draw)


class UsualDeadlines:
    """Finds out how long a caller has been trying.

    Callers state how long they still wait. One that comes back after a
    refusal states less than it did at first, and the difference to the most
    that is stated on its route is the time that it has spent.

    Examples:
        >>> usual = UsualDeadlines()
        >>> usual.note("r", 2.5), usual.note("r", 2.0), usual.note("r", None)
        (0.0, 0.5, 0.0)
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def note(self, route: str, stated: float | None) -> float:
        """Takes a stated deadline in; returns the seconds spent before."""
        if stated is None:
            return 0.0
        longest = max(stated, self._longest.get(route, stated))
        self._longest[route] = longest
        return longest - stated
