"""Messages between daemons on the platform, as MessagePack arrays.

They are sent as datagrams, which may be lost, repeated or delayed, except for
`Changes`, the response to a daemon that pulls newer items from a peer. A
heartbeat carries the state of its sender rather than a change of it. Ages are
in milliseconds at the time of sending; no message carries a time of day.
"""

import zlib
from typing import TypeAlias

import msgspec

from hyssopwind.core import decoding
from hyssopwind.core.discovery import items
from hyssopwind.core.discovery import positions

MAX_AGE_MS = 3_600_000  # sent for any longer age, and for "never confirmed"

MAX_PAGE_BYTES = 100_000  # of an inflated page


class Heartbeat(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """A heartbeat.

    Attributes:
        name: name of the daemon that sends it.
        ip: IP address of the daemon.
        data_centre: data centre in which it runs.
        revision: revision of its replica of the platform's items, without the
            era, as daemons of earlier releases send it.
        age_ms: age of that replica.
        has_store_access: whether its own calls to the platform succeed.
        is_leaving: whether it is about to stop.
        member_digest: digest of its member list.
        configuration_revision: revision of the configuration in its replica;
            0 if it has none of this era.
        link_mbps: width of the link of its VM in Mbit/s; 0 if unknown, -1 from
            daemons of releases that cannot decode deflated pages.
        is_receiving: whether it receives an answer of the platform, which may
            be large.
        era: era of the revisions.
        digest: digest of its replica; 0 if it does not read the platform.
        kept_version: version of its configuration in force if the platform has
            lost it and has an older one; 0 otherwise.
    """

    name: str
    ip: str
    data_centre: str
    revision: int
    age_ms: int
    has_store_access: bool
    is_leaving: bool
    member_digest: int
    configuration_revision: int = 0
    link_mbps: int = -1
    is_receiving: bool = False
    era: int = 0
    digest: int = 0
    kept_version: int = 0

    @property
    def position(self) -> int:
        """Position of the sender's replica."""
        return positions.make_position(self.era, self.revision)

    @property
    def configuration_position(self) -> int:
        """Position of the sender's configuration; 0 if it has none."""
        if not self.configuration_revision:
            return 0
        return positions.make_position(self.era, self.configuration_revision)


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A daemon in a page of a member list.

    Attributes:
        name: name of the daemon.
        ip: IP address of the daemon.
        data_centre: data centre in which it runs.
        age_ms: time since it was last known to be alive.
    """

    name: str
    ip: str
    data_centre: str
    age_ms: int


class MemberListPage(msgspec.Struct, array_like=True, tag="r", frozen=True):
    """A part of the member list of the sender.

    Attributes:
        sender: name of the daemon that sends it.
        members: daemons that the sender considers alive.
        link_mbps: widths of the links of their VMs in Mbit/s, in the same
            order; empty if all are unknown.
    """

    sender: str
    members: list[Member]
    link_mbps: list[int] = []


class DeflatedPage(msgspec.Struct, array_like=True, tag="z", frozen=True):
    """A `MemberListPage`, encoded and deflated."""

    data: bytes


class CrashNotice(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """A notice that servers crashed while they ran a request.

    Attributes:
        sender: name of the daemon that observed the crashes.
        fingerprint: fingerprint of the request.
        crash_count: number of crashes; 0 if a server survived the request.
        notice_number: number of the notice, by which repeated ones are ignored.
        sent_ms_ago: time since the attempt was sent; `None` if not stated.
        crashed_ms_ago: time since the connection broke; `None` if not stated.
    """

    sender: str
    fingerprint: str
    crash_count: int
    notice_number: int
    sent_ms_ago: int | None = None
    crashed_ms_ago: int | None = None


class LimitStatement(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of the limit that a server states.

    Attributes:
        instance: identifier of the start of the server.
        requests_per_second: the limit stated last.
        stated_age_ms: time since an answer stated it.
        omitted_age_ms: time since an answer omitted it; -1 if none has.
        kinds: kinds of answers that have stated it.
    """

    instance: str
    requests_per_second: float
    stated_age_ms: int
    omitted_age_ms: int
    kinds: list[str]


class LimitNotice(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """A notice of the owner of a service's permits.

    Attributes:
        sender: name of the daemon that owns the permits.
        service: the service.
        statements: what it knows of the limits of the service's servers.
        returns_loans: whether it will issue no more permits, so that the
            shares that it holds may be lent again.
        digest: digest of all limits of the service that the daemon knows.
    """

    sender: str
    service: str
    statements: list[LimitStatement]
    returns_loans: bool = False
    digest: int = 0


class ShareLoan(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """A loan of the sender's share, or a question whether a daemon answers.

    Attributes:
        sender: name of the daemon that lends.
        service: the service whose limits are shared.
        is_lent: whether the share is lent; otherwise only a notice is wanted.
        statements: what it knows of the limits beyond the owner's last notice.
        digest: digest of all limits of the service that the daemon knows; an
            owner that knows the same need not state them.
    """

    sender: str
    service: str
    is_lent: bool
    statements: list[LimitStatement]
    digest: int = 0


class PermitRequest(msgspec.Struct, array_like=True, tag="p", frozen=True):
    """A request for a permit to send to one of several servers.

    Attributes:
        sender: name of the daemon that sends it.
        request_number: number by which a repeated request is recognised.
        service: the service of the servers.
        candidates: instance, limit and burst of each server, the best one
            first.
        max_wait_ms: longest wait for the permit that is of use.
        remaining_ms: time until the caller gives up.
    """

    sender: str
    request_number: int
    service: str
    candidates: list[tuple[str, float, float]]
    max_wait_ms: int
    remaining_ms: int


class PermitReply(msgspec.Struct, array_like=True, tag="g", frozen=True):
    """The answer to a request for a permit.

    Attributes:
        sender: name of the daemon that owns the permits.
        request_number: number of the request.
        instance: the server that may be sent to; empty if none may.
        delay_ms: time after which the request may be sent.
        wait_ms: time until the next permit of each candidate.
        service_wait_ms: time until the next permit of any server of the
            service that has a limit.
        return_after_ms: time after which the caller may come back.
    """

    sender: str
    request_number: int
    instance: str
    delay_ms: int
    wait_ms: dict[str, int]
    service_wait_ms: int
    return_after_ms: int


class LeavingNotice(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A notice that a server said that it is about to stop.

    Attributes:
        sender: name of the daemon that the server answered.
        instance: identifier of the start of the server.
    """

    sender: str
    instance: str


class HangNotice(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """A notice that a server ignores requests while it reports none.

    Attributes:
        sender: name of the daemon whose requests it ignores.
        server: the server.
    """

    sender: str
    server: str


class HangSuspicion(msgspec.Struct, array_like=True, tag="hs", frozen=True):
    """A notice that a server may ignore requests, which is verified now.

    It is a type of its own because daemons of the previous release eject a
    server on any `HangNotice`.

    Attributes:
        sender: name of the daemon whose requests it may ignore.
        server: the server.
    """

    sender: str
    server: str


class ReachabilityNotice(msgspec.Struct, array_like=True, tag="u", frozen=True):
    """A notice whether the sender has a way to the servers.

    It is sent when a cut begins and ends, and repeated in between.

    Attributes:
        sender: name of the daemon.
        is_cut_off: whether it reaches no server.
    """

    sender: str
    is_cut_off: bool


class AllowanceLoan(msgspec.Struct, array_like=True, tag="al", frozen=True):
    """A loan of the sender's share of all allowances, or a question.

    Attributes:
        sender: name of the daemon that lends.
        is_lent: whether the share is lent; otherwise only an answer is wanted.
        fleet_size: number of daemons in the fleet, as the sender knows it.
        stamp: the latest stamp of the receiver that the sender has got; 0 if
            it has none.
        stamp_age_ms: time since it got the stamp.
    """

    sender: str
    is_lent: bool
    fleet_size: int
    stamp: int = 0
    stamp_age_ms: int = 0


class AllowanceRequest(msgspec.Struct, array_like=True, tag="aq", frozen=True):
    """A request for tokens of a tenant's allowance.

    Attributes:
        sender: name of the daemon that sends it.
        request_number: number by which a repeated request is recognised.
        tenant: name of the tenant.
        count: number of tokens that it asks for.
        version: version of the sender's configuration.
        requests_per_second: rate of the allowance in this configuration.
        burst: burst of the allowance in this configuration.
        returns: earlier requests of the sender, each with the number of its
            tokens, of all that it got, for which no server ran a request.
    """

    sender: str
    request_number: int
    tenant: str
    count: int
    version: int
    requests_per_second: float
    burst: float
    returns: list[tuple[int, int]] = []


class AllowanceReply(msgspec.Struct, array_like=True, tag="ar", frozen=True):
    """The answer of an owner to a loan or to a request for tokens.

    Attributes:
        sender: name of the owner.
        request_number: number of the request; 0 in the answer to a loan.
        granted_count: number of tokens issued.
        wait_ms: time until the sender of the request may ask again, if it got
            fewer tokens than it asked for.
        fleet_size: number of daemons in the fleet, as the owner knows it; 0 if
            it does not know it yet and therefore issues no tokens.
        stamp: time of the owner, which a loan returns.
    """

    sender: str
    request_number: int
    granted_count: int
    wait_ms: int
    fleet_size: int
    stamp: int


class Changes(msgspec.Struct, array_like=True, frozen=True):
    """Items of the platform that a replica at an earlier revision lacks.

    Attributes:
        items: key, value and revision of each; no value for a removal.
        revision: revision of the sender's replica.
        is_complete: whether `items` and `unchanged_keys` name all items that
            exist.
        unchanged_keys: keys of the older items that exist.
        age_ms: age of the sender's replica.
    """

    items: list[tuple[str, bytes | None, int]]
    revision: int
    is_complete: bool
    unchanged_keys: list[str]
    age_ms: int


PermitMessage: TypeAlias = LimitNotice | ShareLoan | PermitRequest | PermitReply
AllowanceMessage: TypeAlias = AllowanceLoan | AllowanceRequest | AllowanceReply
Datagram: TypeAlias = (
    Heartbeat
    | MemberListPage
    | CrashNotice
    | LeavingNotice
    | HangNotice
    | HangSuspicion
    | ReachabilityNotice
    | PermitMessage
    | AllowanceMessage
)

_DATAGRAM_DECODER = decoding.MessagePackDecoder[Datagram | DeflatedPage](
    Datagram | DeflatedPage
)
_PAGE_DECODER = decoding.MessagePackDecoder[MemberListPage](MemberListPage)
_CHANGES_DECODER = decoding.MessagePackDecoder[Changes](Changes)


def encode(message: Datagram | Changes) -> bytes:
    """Returns the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Datagram:
    """Returns the message of a datagram.

    Raises:
        DecodeError: the bytes are not a valid message.

    Examples:
        >>> sent = Heartbeat("a", "127.0.0.1", "north", 7, 20, True, False, 1)
        >>> decode(encode(sent)) == sent
        True
    """
    message = _DATAGRAM_DECODER.decode(data)
    if not isinstance(message, DeflatedPage):
        return message
    return _PAGE_DECODER.decode(decoding.inflate(message.data, MAX_PAGE_BYTES))


def encode_deflated(page: MemberListPage) -> bytes:
    """Returns the bytes of a page for a daemon that can inflate it.

    Examples:
        >>> page = MemberListPage("a", [Member("b", "127.0.0.2", "north", 5)])
        >>> decode(encode_deflated(page)) == page
        True
    """
    data = zlib.compress(msgspec.msgpack.encode(page))
    return msgspec.msgpack.encode(DeflatedPage(data))


def encode_age(seconds: float) -> int:
    """Returns an age as messages carry it, in milliseconds.

    Examples:
        >>> encode_age(0.25), encode_age(float("inf")) == MAX_AGE_MS
        (250, True)
    """
    if seconds * 1000 >= MAX_AGE_MS:
        return MAX_AGE_MS
    return round(seconds * 1000)


def encode_delta(delta: items.Delta, age_ms: int) -> bytes:
    """Returns the bytes of the response to a pull.

    Args:
        delta: changes that the replica of the pulling daemon lacks.
        age_ms: age of the replica of the responding daemon.
    """
    changed = [(item.key, item.value, item.revision) for item in delta.items]
    return encode(
        Changes(
            changed,
            delta.revision,
            delta.is_complete,
            sorted(delta.unchanged_keys),
            age_ms,
        )
    )


def decode_delta(data: bytes) -> tuple[items.Delta, int]:
    """Returns the delta of a peer and the age of its replica in milliseconds.

    Raises:
        DecodeError: the bytes are not a valid delta.

    Examples:
        >>> delta = items.Delta((items.Item("a", b"1", 5),), 5, True)
        >>> decode_delta(encode_delta(delta, 20)) == (delta, 20)
        True
    """
    changes = _CHANGES_DECODER.decode(data)
    changed = tuple(items.Item(*fields) for fields in changes.items)
    unchanged_keys = frozenset(changes.unchanged_keys)
    delta = items.Delta(
        changed, changes.revision, changes.is_complete, unchanged_keys
    )
    return delta, changes.age_ms
