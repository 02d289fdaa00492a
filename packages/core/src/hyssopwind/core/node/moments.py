"""A moment on the two clocks of a process."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """One moment.

    Attributes:
        now: seconds of the monotonic clock.
        wall: Unix time in seconds.
    """

    now: float
    wall: float
