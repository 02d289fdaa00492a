"""What the owner of a pool keeps of each daemon, and says of each server."""

import dataclasses

from hyssopwind.core import ids
from hyssopwind.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class OutstandingGrant:
    """A grant that no tell includes yet."""

    number: int
    server: ids.ServerId
    time: float


@dataclasses.dataclass(slots=True)
class DaemonCounts:
    """What one daemon told.

    Attributes:
        sender: the process.
        heard: monotonic time of its last message.
        counts: its last tell of each server.
        started: direct requests that it told.
        last_grant: number of the last grant to it.
        outstanding: grants that its tells do not include yet.
        summary: the last summary sent to it.
        summary_time: monotonic time of that summary.
    """

    sender: messages.Sender
    heard: float
    counts: dict[ids.ServerId, messages.ServerTell] = dataclasses.field(
        default_factory=dict
    )
    started: int = 0
    last_grant: int = 0
    outstanding: list[OutstandingGrant] = dataclasses.field(
        default_factory=list
    )
    summary: messages.Summary | None = None
    summary_time: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class ServerExplanation:
    """Why a server is used or not, for operators."""

    server: ids.ServerId
    in_flight: int
    limit: int
    usable: bool
    cold: bool
    latency: float
