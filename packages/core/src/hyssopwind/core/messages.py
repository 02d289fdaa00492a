"""Messages between daemons and their binary encoding.

The encoding is MessagePack with positional fields. A daemon drops a message
that it cannot decode, so a field may be added only at the end and with a
default.
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
    """The phases in the lifecycle of a daemon."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Heartbeat(Message, frozen=True, kw_only=True, tag=1):
    """Announces that a daemon is alive and which documents it holds.

    Attributes:
        phase: the lifecycle phase of the daemon.
        data_centre: the data centre in which it runs.
        peers: its address for other daemons.
        callers: its address for callers.
        revisions: the newest revision that it holds for each team.
    """

    phase: Phase
    data_centre: ids.DataCentreId
    peers: str
    callers: str
    revisions: dict[str, int]


class PublishedDocument(msgspec.Struct, frozen=True, array_like=True):
    """A settings document as the configuration service published it.

    Attributes:
        team: the team.
        revision: the revision of the configuration service.
        text: the TOML text; `None` if the settings were deleted.
    """

    team: ids.TeamId
    revision: int
    text: str | None


class Documents(Message, frozen=True, kw_only=True, tag=2):
    """Sends documents that are newer than those of the receiver."""

    documents: list[PublishedDocument]


class LeaseRequest(Message, frozen=True, kw_only=True, tag=3):
    """Asks a peer to back the sender as owner of resources.

    Attributes:
        round: number of the request; increases with each request.
        resources: the resources that the sender requests.
    """

    round: int
    resources: list[str]


class LeaseReply(Message, frozen=True, kw_only=True, tag=4):
    """Answers a `LeaseRequest`.

    Attributes:
        round: number of the request.
        granted: resources for which the peer backs the sender.
        previous: of these, each resource whose holder changed within the last
            two lease durations, with the holder that the peer backed before.
        refused: resources for which the peer does not back the sender, each
            with the holder that it backs instead; an empty holder if the peer
            started less than one lease duration ago.
    """

    round: int
    granted: list[str]
    previous: dict[str, str]
    refused: dict[str, str]


class LeaseRelease(Message, frozen=True, kw_only=True, tag=5):
    """Announces that the sender no longer owns the resources."""

    resources: list[str]


class TransferRequest(Message, frozen=True, kw_only=True, tag=6):
    """Asks the owner of a resource to transfer it with its key records.

    Attributes:
        nonce: number that the `Transfer` must repeat.
        resource: the resource.
    """

    nonce: int
    resource: str


class TransferredRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of one key as sent to the next owner.

    Attributes:
        key: the idempotency key.
        fingerprint: hash of the request.
        answer: the encoded outcome; empty while the request runs.
        age: seconds since the last use.
    """

    key: str
    fingerprint: ids.Fingerprint
    answer: bytes
    age: float


class Transfer(Message, frozen=True, kw_only=True, tag=7):
    """Transfers a resource to its next owner.

    Attributes:
        nonce: nonce of the `TransferRequest`.
        resource: the resource.
        complete_since: Unix time in seconds since which the records include
            every key that was run.
        records: the key records.
    """

    nonce: int
    resource: str
    complete_since: float
    records: list[TransferredRecord]


class Settled(Message, frozen=True, kw_only=True, tag=8):
    """Sends the next owner the outcome of a request the previous one ran.

    Attributes:
        key: the key as it is stored, with its prefix.
        fingerprint: hash of the request.
        answer: the encoded outcome.
    """

    key: str
    fingerprint: ids.Fingerprint
    answer: bytes


class ServerTell(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon counted at one server since the daemon started.

    Attributes:
        server: the server.
        in_flight: requests of the daemon that the server handles now.
        completed: attempts that got a complete answer.
        shed: attempts that the server refused for lack of capacity.
        failed: attempts that were reset or timed out.
        start: start identity that the server sent last; empty if none.
        busy: total latency of all complete answers in seconds.
        refused: attempts whose connection was refused.
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
    """Reports the counts of the sender to the owner of a pool.

    Attributes:
        pool: the pool.
        grants_seen: number of the last grant that the counts include.
        started: requests that the sender sent without a grant since it
            started.
        servers: the servers whose counts changed.
    """

    pool: ids.PoolId
    grants_seen: int
    started: int
    servers: list[ServerTell]


class Ask(Message, frozen=True, kw_only=True, tag=10):
    """Asks the owner of a pool for a slot.

    Attributes:
        tell: load update of the sender.
        ask: number of the admission request; increases with each one.
        rank: rank of the priority; 0 is served first.
        patience: seconds until the deadline.
        foreign: whether the sender is in another data centre.
        avoid: servers that the request tried before.
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
        ask: number of the admission request.
        server: the server.
        number: number of the grant; increases for each daemon separately.
        waited: seconds that the request waited in the queue of the owner.
    """

    pool: ids.PoolId
    ask: int
    server: ids.ServerId
    number: int
    waited: float


class RefusalCause(enum.Enum):
    """The reasons for which an owner refuses a slot."""

    OVERLOADED = "overloaded"
    NO_SERVER = "no server"
    DATA_CENTRE_OUT = "data centre out"
    NOT_OWNER = "not owner"


class Refusal(Message, frozen=True, kw_only=True, tag=12):
    """Refuses a slot.

    Attributes:
        pool: the pool.
        ask: number of the admission request.
        cause: why the owner refuses it.
        retry_after: seconds after which a slot may be free.
    """

    pool: ids.PoolId
    ask: int
    cause: RefusalCause
    retry_after: float


class Withdrawal(Message, frozen=True, kw_only=True, tag=13):
    """Cancels an admission request.

    Attributes:
        pool: the pool.
        ask: number of the admission request.
    """

    pool: ids.PoolId
    ask: int


class ServerSummary(msgspec.Struct, frozen=True, array_like=True):
    """The state of one server as the owner of its pool reports it.

    Attributes:
        server: the server.
        limit: most requests in flight at the server.
        others: requests of other daemons in flight at the server.
        allowance: most requests of the receiver in flight at the server
            without a grant until the next summary.
        direct: whether the receiver may use it without a grant.
        start: start identity that the owner last received; empty if none.
        slowness: binary logarithm of the ratio of its latency to that of the
            fastest server.
    """

    server: ids.ServerId
    limit: int
    others: int
    allowance: int
    direct: bool
    start: str
    slowness: int = 0


class Summary(Message, frozen=True, kw_only=True, tag=14):
    """Sends the state of a pool to the daemons that use it.

    Attributes:
        pool: the pool.
        open: whether requests may be sent without a grant.
        servers: the usable servers.
        wait: expected wait in the queue in seconds, rounded to milliseconds.
    """

    pool: ids.PoolId
    open: bool
    servers: list[ServerSummary]
    wait: float = 0.0


class CrashNotice(Message, frozen=True, kw_only=True, tag=15):
    """Reports how many attempts of a request crashed their server.

    Attributes:
        fingerprint: hash of the request.
        crashes: the number of crashes; 0 clears the record of the request.
    """

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
    """The identity of a daemon process.

    Attributes:
        daemon: the name of the daemon.
        start: the identity of its start.
    """

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
    """Encodes a message with its sender."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope | None:
    """Decodes a message; returns `None` if `data` is not a valid one.

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
