"""A point in time on the monotonic clock and on the wall clock."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Timestamps:
    """The same point in time on both clocks of a process.

    Attributes:
        now: monotonic time in seconds.
        wall: Unix time in seconds.
    """

    now: float
    wall: float
