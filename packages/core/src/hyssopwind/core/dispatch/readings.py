"""What servers report about their load, and what is read off it."""

import dataclasses

from hyssopwind.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of a server at one moment.

    Attributes:
        running: requests that it works on.
        waiting: requests in its queue.
        slots: requests that it can work on at a time.
        slowdown: how many times longer than usual work takes now.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """The answer to a health check.

    Attributes:
        server: the server that answered; empty where it did not say.
        healthy: whether it takes new work.
        load: its load, or `None` where it does not tell.
        warmup_left: seconds for which it stays cold.
    """

    server: ids.ServerId
    healthy: bool
    load: Load | None
    warmup_left: float
