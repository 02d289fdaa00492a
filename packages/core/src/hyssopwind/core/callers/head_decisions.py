"""Refusals that the head of a request decides, before its body is read."""

from hyssopwind.core import outcomes

NOT_READY_RETRY_AFTER_SECONDS = 0.5  # a daemon is configured within a second
# Time after which a caller that was refused for lack of memory or connections
# may come back. Stalled requests are closed within about half a second.
OVERLOAD_RETRY_AFTER_SECONDS = 1.0
# Longest wait of a request that is partly read for memory, and of a whole one
# until others have ended.
MAX_WAIT_SECONDS = 1.0


def no_route(*, may_lack_configuration: bool) -> outcomes.NotRun:
    """Returns the refusal of a request without a route.

    Args:
        may_lack_configuration: whether a newer configuration, which this
            daemon does not know yet, may have a route.
    """
    if may_lack_configuration:
        return outcomes.NotRun(
            outcomes.Reason.NOT_READY,
            "a newer configuration may have a route",
            NOT_READY_RETRY_AFTER_SECONDS,
        )
    return outcomes.NotRun(
        outcomes.Reason.NO_ROUTE, "no route matches the request"
    )


def body_too_large(max_body_bytes: int) -> outcomes.NotRun:
    """Returns the refusal of a body over the limit."""
    return outcomes.NotRun(
        outcomes.Reason.REQUEST_TOO_LARGE,
        f"the body is over {max_body_bytes} bytes",
    )


def overloaded(detail: str, random_draw: float) -> outcomes.NotRun:
    """Returns the refusal of a request that there is no capacity for.

    Args:
        detail: what is lacking.
        random_draw: random number from 0 to 1, so that callers do not come
            back together.
    """
    seconds = OVERLOAD_RETRY_AFTER_SECONDS * (0.5 + random_draw)
    return outcomes.NotRun(outcomes.Reason.OVERLOADED, detail, seconds)
