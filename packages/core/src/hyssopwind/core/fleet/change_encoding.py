"""Compact encoding of the changes that a daemon sends to a peer.

A large value is sent as a patch of a version that the peer states it holds, or
else deflated. Its digest is sent too, so that a value is never put together
from the wrong base.
"""

import collections
import zlib
from collections.abc import Collection
from collections.abc import Iterable

import msgspec
import xxhash

from hyssopwind.core import decoding
from hyssopwind.core.discovery import items
from hyssopwind.core.discovery import value_patches

# Smaller messages are not deflated as a whole.
MIN_DEFLATED_BYTES = 1_024
# Fast, and within a sixth of the smallest result for configurations.
DEFLATE_LEVEL = 1
MAX_INFLATED_BYTES = 64_000_000
MAX_CACHED_VALUES = 8
MAX_CACHED_MESSAGES = 16


class BaseMissingError(decoding.DecodeError):
    """A patch was made for a version that the replica does not hold."""


class _LargeValue(msgspec.Struct, array_like=True, frozen=True):
    """A large value.

    Attributes:
        base_revision: revision of the version that is patched; 0 for none.
        digest: hash of the value.
        data: the deflated value, or the deflated steps of the patch.
    """

    base_revision: int
    digest: int
    data: bytes


class _Change(msgspec.Struct, array_like=True, frozen=True):
    key: str
    revision: int
    # Absent for a removal and for a large value.
    value: bytes | None = None
    large_value: _LargeValue | None = None


class _Changes(msgspec.Struct, array_like=True, frozen=True):
    changes: list[_Change]
    revision: int
    is_complete: bool
    unchanged_keys: list[str]


class _Message(msgspec.Struct, array_like=True, frozen=True):
    age_ms: int
    is_deflated: bool
    changes: bytes
    # Items that the platform has lost, each with a deflated value.
    kept: list[_Change] = []


_MESSAGE_DECODER = decoding.MessagePackDecoder[_Message](_Message)
_CHANGES_DECODER = decoding.MessagePackDecoder[_Changes](_Changes)
_STEPS_DECODER = decoding.MessagePackDecoder[list[tuple[int, int] | bytes]](
    list[tuple[int, int] | bytes]
)


def large_revisions(replica: items.ItemReplica) -> list[int]:
    """Returns the revisions of the large values of a replica."""
    return sorted(
        item.revision
        for item in replica.items.values()
        if item.value is not None
        and len(item.value) >= items.MIN_RETAINED_BYTES
    )


class ChangeEncoder:
    """Encodes the changes of a replica, and remembers the results.

    All daemons of a data centre ask for the same changes at the same time.
    """

    def __init__(self, replica: items.ItemReplica):
        self._replica = replica
        # Generation of the replica, and the revision as of it.
        self._newest_large = (-1, 0)
        self._values: collections.OrderedDict[
            tuple[str, int, int], _LargeValue
        ] = collections.OrderedDict()
        self._messages: collections.OrderedDict[
            tuple[int, int, int, frozenset[int]], tuple[bool, bytes]
        ] = collections.OrderedDict()

    def newest_large_revision(self) -> int:
        """Returns the newest revision of a large value; 0 without any."""
        generation = self._replica.generation
        if self._newest_large[0] != generation:
            newest = max(large_revisions(self._replica), default=0)
            self._newest_large = (generation, newest)
        return self._newest_large[1]

    def encode(
        self,
        revision: int,
        held_revisions: Collection[int],
        age_ms: int,
        kept: Iterable[items.Item] = (),
    ) -> bytes:
        """Returns the changes that a replica at `revision` lacks.

        Args:
            revision: revision of the replica of the peer.
            held_revisions: revisions of the large values of the peer.
            age_ms: age of the replica of this daemon in milliseconds.
            kept: items in force that the platform has lost.
        """
        cache_key = (
            self._replica.revision,
            self._replica.generation,
            revision,
            frozenset(held_revisions),
        )
        cached = self._messages.get(cache_key)
        if cached is None:
            cached = self._encode_changes(revision, held_revisions)
            self._messages[cache_key] = cached
            if len(self._messages) > MAX_CACHED_MESSAGES:
                self._messages.popitem(last=False)
        is_deflated, data = cached
        encoded_kept = [
            _Change(
                item.key,
                item.revision,
                None,
                self._encode_value(item, item.value, ()),
            )
            for item in kept
            if item.value is not None
        ]
        return msgspec.msgpack.encode(
            _Message(age_ms, is_deflated, data, encoded_kept)
        )

    def _encode_changes(
        self, revision: int, held_revisions: Collection[int]
    ) -> tuple[bool, bytes]:
        delta = self._replica.delta_since(revision)
        changes = _Changes(
            list(self._encode_items(delta.items, held_revisions)),
            delta.revision,
            delta.is_complete,
            sorted(delta.unchanged_keys),
        )
        data = msgspec.msgpack.encode(changes)
        if len(data) < MIN_DEFLATED_BYTES:
            return False, data
        return True, zlib.compress(data, DEFLATE_LEVEL)

    def _encode_items(
        self, changed: Iterable[items.Item], held_revisions: Collection[int]
    ) -> Iterable[_Change]:
        for item in changed:
            if item.value is None or len(item.value) < items.MIN_RETAINED_BYTES:
                yield _Change(item.key, item.revision, item.value)
                continue
            large_value = self._encode_value(item, item.value, held_revisions)
            yield _Change(item.key, item.revision, None, large_value)

    def _encode_value(
        self, item: items.Item, value: bytes, held_revisions: Collection[int]
    ) -> _LargeValue:
        base_revision, base = self._find_base(item.key, held_revisions)
        cache_key = (item.key, item.revision, base_revision)
        cached = self._values.get(cache_key)
        if cached is not None:
            return cached
        data = value
        if base is not None:
            data = msgspec.msgpack.encode(value_patches.make_patch(base, value))
        encoded = _LargeValue(
            base_revision, _digest(value), zlib.compress(data, DEFLATE_LEVEL)
        )
        self._values[cache_key] = encoded
        if len(self._values) > MAX_CACHED_VALUES:
            self._values.popitem(last=False)
        return encoded

    def _find_base(
        self, key: str, held_revisions: Collection[int]
    ) -> tuple[int, bytes | None]:
        for revision in sorted(held_revisions, reverse=True):
            base = self._replica.earlier_value(key, revision)
            if base is not None:
                return revision, base
        return 0, None


def decode(data: bytes, replica: items.ItemReplica) -> tuple[items.Delta, int]:
    """Returns the changes of a peer and the age of its replica.

    Args:
        data: the message.
        replica: replica of this daemon, which holds the bases of patches.

    Returns:
        The changes, and the age in milliseconds.

    Raises:
        BaseMissingError: a patch is for a version that the replica lacks.
        DecodeError: the bytes are no valid message.
    """
    message = _MESSAGE_DECODER.decode(data)
    encoded = message.changes
    if message.is_deflated:
        encoded = decoding.inflate(encoded, MAX_INFLATED_BYTES)
    changes = _CHANGES_DECODER.decode(encoded)
    changed = tuple(_decode_change(c, replica) for c in changes.changes)
    delta = items.Delta(
        changed,
        changes.revision,
        changes.is_complete,
        frozenset(changes.unchanged_keys),
        kept=tuple(_decode_change(c, replica) for c in message.kept),
    )
    return delta, message.age_ms


def _decode_change(change: _Change, replica: items.ItemReplica) -> items.Item:
    if change.large_value is None:
        return items.Item(change.key, change.value, change.revision)
    value = _decode_value(change.key, change.large_value, replica)
    return items.Item(change.key, value, change.revision)


def _decode_value(
    key: str, large_value: _LargeValue, replica: items.ItemReplica
) -> bytes:
    value = decoding.inflate(large_value.data, MAX_INFLATED_BYTES)
    if large_value.base_revision:
        current = replica.items.get(key)
        if (
            current is None
            or current.value is None
            or current.revision != large_value.base_revision
        ):
            raise BaseMissingError(
                f'"{key}" at revision {large_value.base_revision} is not held'
            )
        steps = _STEPS_DECODER.decode(value)
        try:
            value = decoding.apply(
                value_patches.apply_patch, current.value, steps
            )
        except decoding.DecodeError as error:
            # The peer's replica has another form of the base.
            raise BaseMissingError(str(error)) from error
    if _digest(value) != large_value.digest:
        raise BaseMissingError(f'the digest of "{key}" differs')
    return value


def _digest(value: bytes) -> int:
    return xxhash.xxh3_64_intdigest(value)
