"""The clock of the gateway."""

import time


def now() -> float:
    """Returns the seconds since boot, with suspensions of the VM included.

    The monotonic clock stops while a VM is suspended, so that state received
    before a suspension would seem recent after it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
