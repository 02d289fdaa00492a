"""What callers and servers saw of each request, on one monotonic clock."""

import dataclasses
import enum

from hyssopwind.standins.stops import plans


class Ending(enum.Enum):
    """How a request ended for its caller.

    Attributes:
        OPEN: it has not ended.
        WHOLE: with a whole answer.
        CLOSED: with an orderly end of the connection.
        RESET: with a reset of the connection.
    """

    OPEN = "open"
    WHOLE = "whole"
    CLOSED = "closed"
    RESET = "reset"


@dataclasses.dataclass(slots=True)
class CallerRecord:
    """One request as its caller saw it.

    Attributes:
        request_id: id of this attempt.
        kind: the kind of request.
        gateway: index of the gateway.
        connection: number of the connection within the run.
        requests_ahead: unanswered requests before it on the connection.
        sent_first_at: time before its first byte was sent.
        sent_last_at: time after its last byte was sent, if all were.
        ended_at: time of the end.
        ending: how it ended.
        status: status of its answer, 0 if no head came.
        is_stamped: whether the answer is a server's.
        bytes_received: bytes of the body of the answer.
        foreign_id: id of another request whose answer came in place of its own.
    """

    request_id: str
    kind: plans.RequestKind
    gateway: int
    connection: int
    requests_ahead: int
    sent_first_at: float
    sent_last_at: float | None = None
    ended_at: float | None = None
    ending: Ending = Ending.OPEN
    status: int = 0
    is_stamped: bool = False
    bytes_received: int = 0
    foreign_id: str = ""


@dataclasses.dataclass(slots=True)
class ServerRecord:
    """One arrival of a request at a server.

    Attributes:
        request_id: id of the caller's attempt.
        server: id of the server.
        arrived_at: time at which its last byte was read.
        began_at: time at which the work began.
        ended_at: time at which the work ended.
        disconnected_at: time at which the connection closed during the work.
        broke_off_at: time at which the server crashed during the work.
    """

    request_id: str
    server: str
    arrived_at: float
    began_at: float | None = None
    ended_at: float | None = None
    disconnected_at: float | None = None
    broke_off_at: float | None = None


@dataclasses.dataclass(slots=True)
class WorldTimeline:
    """What was done to the store, the operator and the servers.

    Attributes:
        confirmed: time of the confirmation and number of the service, from 0,
            of each version.
        disturbed: start and end of each impairment of the store, and of each
            restoration until what it lost is written again.
    """

    confirmed: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    disturbed: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class GatewayTimeline:
    """What was done to one gateway.

    Attributes:
        started_at: starts of the process.
        terminated_at: SIGTERMs.
        reloaded_at: SIGHUPs.
        impaired: start and end of each freeze or unplanned kill.
        exits: time and exit status of each end of the process.
    """

    started_at: list[float] = dataclasses.field(default_factory=list)
    terminated_at: list[float] = dataclasses.field(default_factory=list)
    reloaded_at: list[float] = dataclasses.field(default_factory=list)
    impaired: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    exits: list[tuple[float, int]] = dataclasses.field(default_factory=list)
