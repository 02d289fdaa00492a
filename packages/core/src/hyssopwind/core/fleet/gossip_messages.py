"""Messages between daemons on the platform, as MessagePack arrays.

They are sent as datagrams, which may be lost, repeated or delayed, except for
`Changes`, the response to a daemon that pulls newer items from a peer. A
heartbeat carries the state of its sender rather than a change of it. Ages are
in milliseconds at the time of sending; no message carries a time of day.
"""

from typing import TypeAlias

import msgspec

from hyssopwind.core.discovery import items

MAX_AGE_MS = 3_600_000  # sent for any longer age, and for "never confirmed"


class Heartbeat(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """A heartbeat.

    Attributes:
        name: name of the daemon that sends it.
        ip: IP address of the daemon.
        data_centre: data centre in which it runs.
        revision: revision of its replica of the platform's items.
        age_ms: age of that replica.
        has_store_access: whether its own calls to the platform succeed.
        is_leaving: whether it is about to stop.
        member_digest: digest of its member list.
    """

    name: str
    ip: str
    data_centre: str
    revision: int
    age_ms: int
    has_store_access: bool
    is_leaving: bool
    member_digest: int


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
    """

    sender: str
    members: list[Member]


class CrashNotice(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """A notice that servers crashed while they ran a request.

    Attributes:
        sender: name of the daemon that observed the crashes.
        fingerprint: fingerprint of the request.
        crash_count: number of crashes; 0 if a server survived the request.
        notice_number: number of the notice, by which repeated ones are ignored.
    """

    sender: str
    fingerprint: str
    crash_count: int
    notice_number: int


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


Datagram: TypeAlias = Heartbeat | MemberListPage | CrashNotice

_DATAGRAM_DECODER: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(
    Heartbeat | MemberListPage | CrashNotice
)
_CHANGES_DECODER: msgspec.msgpack.Decoder[Changes] = msgspec.msgpack.Decoder(
    Changes
)


def encode(message: Datagram | Changes) -> bytes:
    """Returns the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Datagram:
    """Returns the message of a datagram.

    Raises:
        msgspec.DecodeError: the bytes are not a valid message.

    Examples:
        >>> sent = Heartbeat("a", "127.0.0.1", "north", 7, 20, True, False, 1)
        >>> decode(encode(sent)) == sent
        True
    """
    return _DATAGRAM_DECODER.decode(data)


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
        msgspec.DecodeError: the bytes are not a valid delta.

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
