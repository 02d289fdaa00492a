"""Messages between daemons and their binary encoding.

The encoding is MessagePack with positional fields. A daemon drops a message
that it cannot decode, so a field may be added only at the end and with a
default.
"""

import enum
from typing import Annotated
from typing import ClassVar
from typing import TypeAlias

import msgspec

from hyssopwind.core import decoding
from hyssopwind.core import ids

# Numbers that a daemon can send. Others are of a faulty sender, and could
# neither be compared nor sent on.
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Exponent: TypeAlias = Annotated[int, msgspec.Meta(ge=-1_000, le=1_000)]
Seconds: TypeAlias = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]


class Message(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag=True
):
    """Base of all messages.

    Attributes:
        LOG_NAME: the value of the log field `message_type` where it is
            not the name of the class.
    """

    LOG_NAME: ClassVar[str] = ""

    @property
    def log_name(self) -> str:
        """The value of the log field `message_type`."""
        return self.LOG_NAME or type(self).__name__


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
        peers_address: its address for other daemons.
        callers_address: its address for callers.
        revisions: the newest revision that it holds for each team.
    """

    phase: Phase
    data_centre: ids.DataCentreId
    peers_address: str
    callers_address: str
    revisions: dict[str, Count]


class PublishedDocument(msgspec.Struct, frozen=True, array_like=True):
    """A settings document as the configuration service published it.

    Attributes:
        team: the team.
        revision: the revision of the configuration service.
        text: the TOML text; `None` if the settings were deleted.
    """

    team: ids.TeamId
    revision: Count
    text: str | None


class Documents(Message, frozen=True, kw_only=True, tag=2):
    """Sends documents that are newer than those of the receiver."""

    documents: list[PublishedDocument]


class LeaseRequest(Message, frozen=True, kw_only=True, tag=3):
    """Asks a peer to grant the sender leases on resources.

    Attributes:
        round: number of the request; increases with each request.
        resources: the resources that the sender requests.
    """

    round: Count
    resources: list[str]


class LeaseReply(Message, frozen=True, kw_only=True, tag=4):
    """Answers a `LeaseRequest`.

    Attributes:
        round: number of the request.
        granted: resources on which the peer grants the sender a lease.
        previous_holders: of these, each resource whose holder changed within
            the last two lease durations, with the holder of the lease that the
            peer granted before.
        refused_holders: resources on which the peer grants the sender no lease,
            each with the current holder; an empty holder if the peer started
            less than one lease duration ago.
    """

    round: Count
    granted: list[str]
    previous_holders: dict[str, str]
    refused_holders: dict[str, str]


class LeaseRelease(Message, frozen=True, kw_only=True, tag=5):
    """Announces that the sender no longer owns the resources."""

    resources: list[str]


class TransferRequest(Message, frozen=True, kw_only=True, tag=6):
    """Asks the owner of a resource to transfer it with its key records.

    Attributes:
        nonce: number that the `Transfer` must repeat.
        resource: the resource.
    """

    nonce: Count
    resource: str


class TransferredRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of one key as sent to the next owner.

    Attributes:
        key: the key as it is stored, with its prefix.
        fingerprint: hash of the request.
        encoded_outcome: the encoded outcome; empty while the request runs.
        idle_seconds: seconds since the last use.
    """

    key: str
    fingerprint: ids.Fingerprint
    encoded_outcome: bytes
    idle_seconds: Seconds


class Transfer(Message, frozen=True, kw_only=True, tag=7):
    """Transfers a resource to its next owner.

    Attributes:
        nonce: nonce of the `TransferRequest`.
        resource: the resource.
        complete_since: Unix time in seconds since which the records include
            every key that was run.
        records: the key records.
    """

    nonce: Count
    resource: str
    complete_since: Seconds
    records: list[TransferredRecord]


class KeyCompleted(Message, frozen=True, kw_only=True, tag=8):
    """Sends the next owner the outcome of a request the previous one ran.

    Attributes:
        key: the key as it is stored, with its prefix.
        fingerprint: hash of the request.
        encoded_outcome: the encoded outcome.
    """

    LOG_NAME: ClassVar[str] = "Settled"

    key: str
    fingerprint: ids.Fingerprint
    encoded_outcome: bytes


class ServerLoadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Counts of the requests of one daemon at one server since its start.

    Attributes:
        server: the server.
        in_flight: requests that the server handles now.
        completed: attempts that got a complete answer.
        shed: attempts that the server refused for lack of capacity.
        failed: attempts that were reset or timed out.
        start_id: start identity that the server sent last; empty if none.
        total_latency_seconds: sum of the latencies of all complete answers.
        refused_connections: attempts whose connection was refused.
    """

    server: ids.ServerId
    in_flight: Count
    completed: Count
    shed: Count
    failed: Count
    start_id: str
    total_latency_seconds: Seconds
    refused_connections: Count = 0


class LoadUpdate(Message, frozen=True, kw_only=True, tag=9):
    """Reports the counts of the sender to the owner of a pool.

    Attributes:
        pool: the pool.
        last_grant_number: number of the last grant that the counts include.
        direct_request_count: requests that the sender sent without a grant
            since it started.
        servers: the servers whose counts changed.
    """

    LOG_NAME: ClassVar[str] = "Tell"

    pool: ids.PoolId
    last_grant_number: Count
    direct_request_count: Count
    servers: list[ServerLoadUpdate]


class AdmissionRequest(Message, frozen=True, kw_only=True, tag=10):
    """Asks the owner of a pool for a slot.

    Attributes:
        load_update: load update of the sender.
        admission_id: number of the admission request; increases with each one.
        priority_rank: rank of the priority; 0 is served first.
        timeout_seconds: time until the deadline of the request.
        is_remote: whether the sender is in another data centre.
        tried_servers: servers that the request tried before.
    """

    LOG_NAME: ClassVar[str] = "Ask"

    load_update: LoadUpdate
    admission_id: Count
    priority_rank: Count
    timeout_seconds: Seconds
    is_remote: bool
    tried_servers: list[ids.ServerId]


class Grant(Message, frozen=True, kw_only=True, tag=11):
    """Grants a slot at a server.

    Attributes:
        pool: the pool.
        admission_id: number of the admission request.
        server: the server.
        grant_number: number of the grant; increases for each daemon separately.
        queued_seconds: time that the request waited in the queue of the owner.
    """

    pool: ids.PoolId
    admission_id: Count
    server: ids.ServerId
    grant_number: Count
    queued_seconds: Seconds


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
        admission_id: number of the admission request.
        cause: why the owner refuses it.
        retry_after_seconds: seconds after which a slot may be free.
    """

    pool: ids.PoolId
    admission_id: Count
    cause: RefusalCause
    retry_after_seconds: Seconds


class Cancellation(Message, frozen=True, kw_only=True, tag=13):
    """Cancels an admission request.

    Attributes:
        pool: the pool.
        admission_id: number of the admission request.
    """

    LOG_NAME: ClassVar[str] = "Withdrawal"

    pool: ids.PoolId
    admission_id: Count


class ServerSummary(msgspec.Struct, frozen=True, array_like=True):
    """The state of one server as the owner of its pool reports it.

    Attributes:
        server: the server.
        limit: most requests in flight at the server.
        in_flight_elsewhere: requests of other daemons in flight at the server.
        direct_limit: most requests of the receiver in flight at the server
            without a grant until the next summary.
        may_send_direct: whether the receiver may use it without a grant.
        start_id: start identity that the owner last received; empty if none.
        slowness_log2: binary logarithm of the ratio of its latency to that of
            the fastest server.
    """

    server: ids.ServerId
    limit: Count
    in_flight_elsewhere: Count
    direct_limit: Count
    may_send_direct: bool
    start_id: str
    slowness_log2: Exponent = 0


class Summary(Message, frozen=True, kw_only=True, tag=14):
    """Sends the state of a pool to the daemons that use it.

    Attributes:
        pool: the pool.
        is_open: whether requests may be sent without a grant.
        servers: the usable servers.
        expected_wait_seconds: expected wait in the queue, rounded to
            milliseconds.
    """

    pool: ids.PoolId
    is_open: bool
    servers: list[ServerSummary]
    expected_wait_seconds: Seconds = 0.0


class CrashNotice(Message, frozen=True, kw_only=True, tag=15):
    """Reports how many attempts of a request crashed their server.

    Attributes:
        fingerprint: hash of the request.
        crash_count: the number of crashes; 0 clears the record of the request.
    """

    fingerprint: ids.Fingerprint
    crash_count: Count


AnyMessage: TypeAlias = (
    Heartbeat
    | Documents
    | LeaseRequest
    | LeaseReply
    | LeaseRelease
    | TransferRequest
    | Transfer
    | KeyCompleted
    | LoadUpdate
    | AdmissionRequest
    | Grant
    | Refusal
    | Cancellation
    | Summary
    | CrashNotice
)


class DaemonIdentity(msgspec.Struct, frozen=True, array_like=True):
    """The identity of a daemon process.

    Attributes:
        daemon: the name of the daemon.
        start_id: the identity of its start.
    """

    daemon: ids.DaemonId
    start_id: ids.StartId

    def __str__(self) -> str:
        return f"{self.daemon}/{self.start_id}"


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender."""

    sender: DaemonIdentity
    body: AnyMessage


class Outgoing(msgspec.Struct, frozen=True, array_like=True):
    """A message with its receiver."""

    receiver: ids.DaemonId
    body: AnyMessage


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = decoding.MessagePackDecoder[Envelope](Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes a message with its sender."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope | None:
    """Decodes a message; returns `None` if `data` is not a valid one.

    Examples:
        >>> sender = DaemonIdentity(ids.DaemonId("a"), ids.StartId("1"))
        >>> envelope = Envelope(sender, LeaseRelease(resources=["k/1"]))
        >>> decode_envelope(encode_envelope(envelope)) == envelope
        True
        >>> decode_envelope(b"?") is None
        True
    """
    try:
        return read_envelope(data)
    except decoding.DecodeError:
        return None


def read_envelope(data: bytes) -> Envelope:
    """Decodes a message.

    Raises:
        DecodeError: `data` is not a valid message.
    """
    return _DECODER.decode(data)


def check_addresses(envelope: Envelope) -> None:
    """Checks the addresses that a message states.

    Raises:
        DecodeError: one of them is no IP address with a port.
    """
    if isinstance(envelope.body, Heartbeat):
        decoding.split_address(envelope.body.peers_address)
        decoding.split_address(envelope.body.callers_address)
