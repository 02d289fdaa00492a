"""Tunes the garbage collector for a long-running process."""

import gc

# Allocations before a collection of the youngest generation, then collections
# of one generation before one of the next. With the interpreter's defaults, a
# full collection stops a busy daemon for several milliseconds.
GENERATION_THRESHOLDS = (20_000, 20, 50)


def configure() -> None:
    """Excludes existing objects from collections and makes these rarer."""
    gc.freeze()
    gc.set_threshold(*GENERATION_THRESHOLDS)
    gc.enable()
