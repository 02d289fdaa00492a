"""When a connection may close after its final answer.

A socket that is closed with unread bytes sends a reset, and the kernel then
discards what the caller has not acknowledged.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LingerSettings:
    """Limits of the time between the final answer and the close.

    Attributes:
        caller_close_seconds: time for the caller to close after it has
            acknowledged the answer.
        delivery_seconds: time for the caller to acknowledge the answer.
    """

    caller_close_seconds: float = 1.0
    delivery_seconds: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True)
class LingerState:
    """A connection after its final answer was written.

    Attributes:
        written_at: monotonic time in seconds at which the answer was written.
        delivered_at: monotonic time in seconds at which nothing was left to
            acknowledge, or `None`.
        has_caller_closed: whether the caller has closed its side.
    """

    written_at: float
    delivered_at: float | None = None
    has_caller_closed: bool = False


def may_close(settings: LingerSettings, state: LingerState, now: float) -> bool:
    """Returns whether the connection may close.

    Examples:
        >>> settings = LingerSettings()
        >>> may_close(settings, LingerState(0.0), 10.0)
        False
        >>> may_close(settings, LingerState(0.0, 5.0), 5.5)
        False
        >>> may_close(settings, LingerState(0.0, 5.0), 6.0)
        True
        >>> may_close(settings, LingerState(0.0, 5.0, True), 5.5)
        True
        >>> may_close(settings, LingerState(0.0, None, True), 5.5)
        False
        >>> may_close(settings, LingerState(0.0), 75.0)
        True
    """
    if state.delivered_at is None:
        return now >= state.written_at + settings.delivery_seconds
    if state.has_caller_closed:
        return True
    return now >= state.delivered_at + settings.caller_close_seconds
