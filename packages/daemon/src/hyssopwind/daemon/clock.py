"""The clocks of a process, as one object that tests replace."""

import time

from hyssopwind.core.node import timestamp


class Clock:
    """The monotonic clock and the wall clock of the machine."""

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns the Unix time in seconds."""
        return time.time()

    def timestamps(self) -> timestamp.Timestamps:
        """Returns the time on both clocks."""
        return timestamp.Timestamps(self.now(), self.wall())
