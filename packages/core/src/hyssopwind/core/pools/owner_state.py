"""State that a pool owner keeps per daemon, and its report on each server."""

import dataclasses

from hyssopwind.core import ids
from hyssopwind.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class OutstandingGrant:
    """A grant that no load update of its daemon includes yet.

    Attributes:
        number: number of the grant.
        server: the granted server.
        granted_at: monotonic time of the grant, in seconds.
    """

    number: int
    server: ids.ServerId
    granted_at: float


@dataclasses.dataclass(slots=True)
class DaemonState:
    """What one daemon reported, and what was sent to it.

    Attributes:
        sender: the process of the daemon.
        last_message_at: monotonic time of its last message.
        server_updates: its last load update for each server.
        direct_request_count: number of direct requests that it reported.
        last_grant_number: number of the last grant to it.
        outstanding_grants: grants that its load updates do not include yet.
        summary: the last summary sent to it.
        summary_sent_at: monotonic time of that summary.
    """

    sender: messages.DaemonIdentity
    last_message_at: float
    server_updates: dict[ids.ServerId, messages.ServerLoadUpdate] = (
        dataclasses.field(default_factory=dict)
    )
    direct_request_count: int = 0
    last_grant_number: int = 0
    outstanding_grants: list[OutstandingGrant] = dataclasses.field(
        default_factory=list
    )
    summary: messages.Summary | None = None
    summary_sent_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class ServerExplanation:
    """State of one server, which shows operators why it is used or not.

    Attributes:
        server: the server.
        in_flight: requests at the server, including granted ones.
        limit: maximum number of requests in flight at the server.
        usable: whether the server is neither draining nor ejected.
        cold: whether the server is warming up.
        latency: smoothed latency in seconds; zero if none is known.
    """

    server: ids.ServerId
    in_flight: int
    limit: int
    usable: bool
    cold: bool
    latency: float
