"""The clocks of a process, behind one object that tests replace."""

import time

from hyssopwind.core.node import moments


class Clock:
    """The monotonic clock and the wall clock of the machine."""

    def now(self) -> float:
        """Returns seconds of the monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return time.time()

    def moment(self) -> moments.Moment:
        """Returns both clocks."""
        return moments.Moment(self.now(), self.wall())
