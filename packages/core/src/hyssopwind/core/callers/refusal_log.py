"""Bounds the log lines about refused callers."""

import dataclasses

LINE_INTERVAL_SECONDS = 1.0  # between two lines of one reason


@dataclasses.dataclass(slots=True)
class _Reason:
    logged_at: float
    unlogged_count: int = 0


class RefusalLog:
    """Decides which refusals are logged, by reason.

    Examples:
        >>> log = RefusalLog()
        >>> log.record("request-too-slow", now=0.0)
        1
        >>> log.record("request-too-slow", now=0.2) is None
        True
        >>> log.record("request-too-slow", now=1.0)
        2
    """

    def __init__(self) -> None:
        self._reasons: dict[str, _Reason] = {}

    def record(self, reason: str, now: float) -> int | None:
        """Counts a refusal.

        Returns:
            The refusals since the last line if one is due, otherwise `None`.
        """
        state = self._reasons.get(reason)
        if state is None:
            self._reasons[reason] = _Reason(now)
            return 1
        state.unlogged_count += 1
        if now - state.logged_at < LINE_INTERVAL_SECONDS:
            return None
        count = state.unlogged_count
        state.unlogged_count = 0
        state.logged_at = now
        return count
