"""Messages between daemons on the platform, as MessagePack arrays.

They are datagrams: each may be lost, repeated or late, and each says what its
sender holds rather than what changed. Ages are in milliseconds at the time of
sending; no message carries a time of day.
"""

from typing import TypeAlias

import msgspec

from hyssopwind.core.discovery import items

MAX_AGE_MS = 3_600_000  # an hour; stands for "never"


class Beat(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """A heartbeat.

    Attributes:
        name: the daemon that sends.
        ip: its IP address.
        data_centre: where it runs.
        revision: revision that its copy of the platform stands for.
        age_ms: age of that copy.
        reads: whether its own calls to the platform succeed.
        leaving: whether it is about to stop.
        roster: digest of the daemons that it knows.
    """

    name: str
    ip: str
    data_centre: str
    revision: int
    age_ms: int
    reads: bool
    leaving: bool
    roster: int


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One daemon in a roster."""

    name: str
    ip: str
    data_centre: str
    age_ms: int


class Roster(msgspec.Struct, array_like=True, tag="r", frozen=True):
    """Daemons that the sender has heard of lately."""

    sender: str
    members: list[Member]


class CrashNotice(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """Servers crashed on a request.

    Attributes:
        sender: the daemon that saw it.
        fingerprint: the request.
        crashes: how many were counted; 0 says that a server survived it.
        number: number of the notice, so that repeats are not counted again.
    """

    sender: str
    fingerprint: str
    crashes: int
    number: int


class Changes(msgspec.Struct, array_like=True, frozen=True):
    """Items of the platform that a copy at an earlier revision lacks.

    Attributes:
        items: key, value and revision of each; no value for a removal.
        revision: revision of the sender's copy.
        complete: whether the items and the kept ones are all that exist.
        kept: keys of older items that exist.
        age_ms: age of the sender's copy.
    """

    items: list[tuple[str, bytes | None, int]]
    revision: int
    complete: bool
    kept: list[str]
    age_ms: int


Datagram: TypeAlias = Beat | Roster | CrashNotice

_DATAGRAMS: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(
    Beat | Roster | CrashNotice
)
_CHANGES: msgspec.msgpack.Decoder[Changes] = msgspec.msgpack.Decoder(Changes)


def encode(message: Datagram | Changes) -> bytes:
    """Returns the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Datagram:
    """Returns the message of a datagram.

    Raises:
        msgspec.DecodeError: the bytes are no message.

    Examples:
        >>> beat = Beat("a", "127.0.0.1", "north", 7, 20, True, False, 1)
        >>> decode(encode(beat)) == beat
        True
    """
    return _DATAGRAMS.decode(data)


def encode_delta(delta: items.Delta, age_ms: int) -> bytes:
    """Returns the bytes of the answer to a pull.

    Args:
        delta: what the asking copy lacks.
        age_ms: age of the copy that answers.
    """
    changed = [(item.key, item.value, item.revision) for item in delta.items]
    return encode(
        Changes(
            changed, delta.revision, delta.complete, sorted(delta.kept), age_ms
        )
    )


def decode_delta(data: bytes) -> tuple[items.Delta, int]:
    """Returns what a peer sent, and the age of its copy in milliseconds.

    Raises:
        msgspec.DecodeError: the bytes are no changes.

    Examples:
        >>> delta = items.Delta((items.Item("a", b"1", 5),), 5, True)
        >>> decode_delta(encode_delta(delta, 20)) == (delta, 20)
        True
    """
    changes = _CHANGES.decode(data)
    changed = tuple(items.Item(*fields) for fields in changes.items)
    kept = frozenset(changes.kept)
    delta = items.Delta(changed, changes.revision, changes.complete, kept)
    return delta, changes.age_ms
