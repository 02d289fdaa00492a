"""An event loop whose virtual time advances only while nothing is ready."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

T = TypeVar("T")

# A smaller step is lost in the rounding of floats.
MIN_STEP_SECONDS = 1e-6


class _TimeSkippingSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_seconds = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the events that are ready now and skips the timeout."""
        if timeout is not None and timeout > 0.0:
            self.skipped_seconds += max(timeout, MIN_STEP_SECONDS)
        return super().select(0.0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, which starts at zero."""

    def __init__(self) -> None:
        self._skipping_selector = _TimeSkippingSelector()
        super().__init__(self._skipping_selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._skipping_selector.skipped_seconds


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to its end on a new virtual loop."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        loop.run_until_complete(gathered)
