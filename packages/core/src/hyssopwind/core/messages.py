"""Messages between daemons, and their binary form.

The form is MessagePack with positional fields. A daemon drops what it can not
decode, so a field may be added only at the end and with a default.
"""

import enum
from typing import TypeAlias

import msgspec

from hyssopwind.core import ids


class Message(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag=True
):
    """Base of all messages."""


class Phase(enum.Enum):
    """Where a daemon is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Heartbeat(Message, frozen=True, kw_only=True, tag=1):
    """Tells that a daemon lives, and which documents it holds.

    Attributes:
        phase: where the daemon is in its life.
        data_centre: where it runs.
        peers: its address for daemons.
        callers: its address for callers.
        revisions: newest revision that it holds of each team.
    """

    phase: Phase
    data_centre: ids.DataCentreId
    peers: str
    callers: str
    revisions: dict[str, int]


class PublishedDocument(msgspec.Struct, frozen=True, array_like=True):
    """A settings document as the configuration service published it."""

    team: ids.TeamId
    revision: int
    text: str | None


class Documents(Message, frozen=True, kw_only=True, tag=2):
    """Passes on documents that are newer than those of the receiver."""

    documents: list[PublishedDocument]


class LeaseRequest(Message, frozen=True, kw_only=True, tag=3):
    """Asks a peer to back the sender as owner of resources.

    Attributes:
        round: number of the request, rising.
        resources: what the sender wants to own.
    """

    round: int
    resources: list[str]


class LeaseReply(Message, frozen=True, kw_only=True, tag=4):
    """Answers a `LeaseRequest`.

    Attributes:
        round: number of the request.
        granted: resources for which the peer backs the sender.
        previous: of these, the ones that the peer backs only lately, each
            with the holder that it backed before.
        refused: resources that the peer does not back, each with the holder
            that it backs; empty where the peer has just started.
    """

    round: int
    granted: list[str]
    previous: dict[str, str]
    refused: dict[str, str]


class LeaseRelease(Message, frozen=True, kw_only=True, tag=5):
    """Tells that the sender owns resources no longer."""

    resources: list[str]


class TransferRequest(Message, frozen=True, kw_only=True, tag=6):
    """Asks the owner of a resource to hand it over with its memory."""

    nonce: int
    resource: str


class TransferredRecord(msgspec.Struct, frozen=True, array_like=True):
    """What an owner remembers of one key.

    Attributes:
        key: the idempotency key.
        fingerprint: hash of the request.
        answer: encoded outcome; empty while the request runs.
        age: seconds since the last use.
    """

    key: str
    fingerprint: ids.Fingerprint
    answer: bytes
    age: float


class Transfer(Message, frozen=True, kw_only=True, tag=7):
    """Hands over a resource.

    Attributes:
        nonce: nonce of the request.
        resource: the resource.
        complete_since: wall time, in seconds, from which on the records hold
            every key that was run.
        records: the memory.
    """

    nonce: int
    resource: str
    complete_since: float
    records: list[TransferredRecord]


class Settled(Message, frozen=True, kw_only=True, tag=8):
    """Tells a new owner how a request ended that its predecessor ran."""

    key: str
    fingerprint: ids.Fingerprint
    answer: bytes


class ServerTell(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon knows of one server; counts are since its start.

    Attributes:
        server: the server.
        in_flight: requests that the daemon has at the server now.
        completed: whole answers.
        shed: refusals of the server for lack of room.
        failed: reset or timed-out attempts.
        start: start identity that the server showed last; empty if none.
        busy: sum of the times of all whole answers, in seconds.
        refused: attempts whose connection was refused at once.
    """

    server: ids.ServerId
    in_flight: int
    completed: int
    shed: int
    failed: int
    start: str
    busy: float
    refused: int = 0


class Tell(Message, frozen=True, kw_only=True, tag=9):
    """Tells the owner of a pool what the sender has in flight.

    Attributes:
        pool: the pool.
        grants_seen: number of the last grant that the counts include.
        started: requests sent without a grant since the start.
        servers: servers whose counts changed.
    """

    pool: ids.PoolId
    grants_seen: int
    started: int
    servers: list[ServerTell]


class Ask(Message, frozen=True, kw_only=True, tag=10):
    """Asks the owner of a pool for a slot.

    Attributes:
        tell: counts of the sender.
        ask: number of the request, rising.
        rank: rank of the priority, 0 first.
        patience: seconds until the deadline.
        foreign: whether the sender is in another data centre.
        avoid: servers that were tried already.
    """

    tell: Tell
    ask: int
    rank: int
    patience: float
    foreign: bool
    avoid: list[ids.ServerId]


class Grant(Message, frozen=True, kw_only=True, tag=11):
    """Grants a slot at a server.

    Attributes:
        pool: the pool.
        ask: number of the request.
        server: the server.
        number: number of the grant, rising for each daemon.
        waited: seconds that the request waited at the owner.
    """

    pool: ids.PoolId
    ask: int
    server: ids.ServerId
    number: int
    waited: float


class RefusalCause(enum.Enum):
    """Why an owner grants no slot."""

    OVERLOADED = "overloaded"
    NO_SERVER = "no server"
    DATA_CENTRE_OUT = "data centre out"
    NOT_OWNER = "not owner"


class Refusal(Message, frozen=True, kw_only=True, tag=12):
    """Refuses a slot.

    Attributes:
        pool: the pool.
        ask: number of the request.
        cause: why.
        retry_after: seconds after which a slot may be free.
    """

    pool: ids.PoolId
    ask: int
    cause: RefusalCause
    retry_after: float


class Withdrawal(Message, frozen=True, kw_only=True, tag=13):
    """Withdraws a request for a slot."""

    pool: ids.PoolId
    ask: int


class ServerSummary(msgspec.Struct, frozen=True, array_like=True):
    """What the owner of a pool says of one server.

    Attributes:
        server: the server.
        limit: requests that the server may have at a time.
        others: requests of other daemons at the server.
        allowance: requests that the receiver may have there without a grant
            until the next summary.
        direct: whether it may be used without a grant.
        start: start identity that the owner knows; empty if none.
        slowness: binary logarithm of its answer time against the fastest.
    """

    server: ids.ServerId
    limit: int
    others: int
    allowance: int
    direct: bool
    start: str
    slowness: int = 0


class Summary(Message, frozen=True, kw_only=True, tag=14):
    """Tells the users of a pool its state.

    Attributes:
        pool: the pool.
        open: whether requests may go out without a grant.
        servers: the usable servers.
        wait: expected seconds in the queue, rounded to milliseconds.
    """

    pool: ids.PoolId
    open: bool
    servers: list[ServerSummary]
    wait: float = 0.0


class CrashNotice(Message, frozen=True, kw_only=True, tag=15):
    """Tells how many attempts of a request ended in a crash of the server."""

    fingerprint: ids.Fingerprint
    crashes: int


AnyMessage: TypeAlias = (
    Heartbeat
    | Documents
    | LeaseRequest
    | LeaseReply
    | LeaseRelease
    | TransferRequest
    | Transfer
    | Settled
    | Tell
    | Ask
    | Grant
    | Refusal
    | Withdrawal
    | Summary
    | CrashNotice
)


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """A process: the name of the daemon and the identity of its start."""

    daemon: ids.DaemonId
    start: ids.StartId

    def __str__(self) -> str:
        return f"{self.daemon}/{self.start}"


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender."""

    sender: Sender
    body: AnyMessage


class Outgoing(msgspec.Struct, frozen=True, array_like=True):
    """A message with its receiver."""

    receiver: ids.DaemonId
    body: AnyMessage


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the binary form of a message with its sender."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope | None:
    """Returns the message, or `None` where `data` is none.

    Examples:
        >>> sender = Sender(ids.DaemonId("a"), ids.StartId("1"))
        >>> envelope = Envelope(sender, LeaseRelease(resources=["k/1"]))
        >>> decode_envelope(encode_envelope(envelope)) == envelope
        True
        >>> decode_envelope(b"?") is None
        True
    """
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
