"""Time as the gateway measures it."""

import time


def now() -> float:
    """Returns seconds of a clock that also counts suspensions of the VM.

    The monotonic clock stands still while a VM is suspended, so that what a
    daemon knew before would look fresh when it wakes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
