"""Sets the garbage collector for a process that lives long."""

import gc

# Objects, then collections of each age. At the defaults of the interpreter a
# full collection stops a busy daemon for several milliseconds.
THRESHOLDS = (20_000, 20, 50)


def begin_serving() -> None:
    """Leaves what was imported out of collections, and makes them rare."""
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
    gc.enable()
