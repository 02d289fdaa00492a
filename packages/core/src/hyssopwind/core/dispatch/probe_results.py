"""Results of load probes of servers."""

import dataclasses

from hyssopwind.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of a server at one moment.

    Attributes:
        running: number of requests that it is processing.
        waiting: number of requests in its queue.
        slots: number of requests that it can process at a time.
        slowdown: how many times longer than typical its work takes now.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """The answer of a server to a probe.

    Attributes:
        server: the server that answered; empty if the answer does not name it.
        is_healthy: whether it accepts new work.
        load: its load, or `None` if it does not report it.
        warmup_left_seconds: seconds for which it stays cold.
    """

    server: ids.ServerId
    is_healthy: bool
    load: Load | None
    warmup_left_seconds: float
