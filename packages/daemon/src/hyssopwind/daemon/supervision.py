"""Runs background tasks again after they have failed."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import logbook

RESTART_SECONDS = 0.5
# Exit status of a daemon that stopped because a background task ended.
EXIT_TASK_ENDED = 3

_log = logbook.Logger("supervision")


async def supervise(
    name: str,
    run: Callable[[], Coroutine[Any, Any, None]],
    *,
    on_failure: Callable[[], None] = lambda: None,
    restart_seconds: float = RESTART_SECONDS,
) -> None:
    """Runs a background task, and again each time it fails.

    A task that fails each time logs the failures whose number is a power of
    two, so that the volume of the log is bounded.

    Args:
        name: name of the task for the log.
        run: makes the coroutine of the task.
        on_failure: is called after each failure.
        restart_seconds: seconds after which the task runs again.
    """
    failure_count = 0
    while True:
        try:
            await run()
            return
        except Exception as error:
            failure_count += 1
            on_failure()
            if failure_count & (failure_count - 1) == 0:
                _log.error(
                    "background task failed; starting it again",
                    exc_info=(type(error), error, error.__traceback__),
                    extra={"task": name, "failures": failure_count},
                )
        await asyncio.sleep(restart_seconds)
