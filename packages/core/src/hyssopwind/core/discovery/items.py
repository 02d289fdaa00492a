"""Replica of the items that the platform publishes, ordered by revision.

A daemon that reads the platform applies listings and events; the others apply
deltas of the replica of a peer. An item is replaced only by a later revision,
so delayed or repeated messages have no effect.

The revisions of a replica are positions, which order the states of a platform
that was restored; see `positions`.
"""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

MAX_TOMBSTONES = 4_000  # a change of 1,000 servers needs 2,000
# Size from which replaced values are retained, up to a total size, as bases of
# patches for peers that still hold them.
MIN_RETAINED_BYTES = 4_096
MAX_RETAINED_BYTES = 2_500_000
# Length of an item as the platform publishes it, without its value.
ITEM_OVERHEAD_BYTES = 150
# Length of a listing in Base64 relative to its values, with a margin for items
# that were added.
LISTING_RATIO = 1.6
MIN_LONG_BYTES = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A published value.

    Attributes:
        key: key of the item on the platform.
        value: the bytes as published; `None` if the item was removed.
        revision: revision of the platform at which it was set or removed.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Changes that bring a replica from one revision to another.

    Attributes:
        items: changed and removed items.
        revision: revision of the replica afterwards.
        is_complete: whether `items` and `unchanged_keys` name all items that
            exist, so that any other item of an earlier revision has been
            removed.
        unchanged_keys: keys of the items that exist and that the receiver has
            already.
        era: era that the platform stated with them; `None` if it stated none,
            or if they come from a replica.
        kept: items in force that the platform has lost, with the revisions of
            an earlier era. The platform has older values of their keys.
    """

    items: tuple[Item, ...]
    revision: int
    is_complete: bool
    unchanged_keys: frozenset[str] = frozenset()
    era: int | None = None
    kept: tuple[Item, ...] = ()


def max_useful_bytes(replica: "ItemReplica") -> int:
    """Returns the length above which changes are longer than a listing.

    A value that was set several times is in the changes several times, and in
    a listing once.

    Examples:
        >>> max_useful_bytes(ItemReplica())
        100000
    """
    value_bytes = sum(
        ITEM_OVERHEAD_BYTES + len(item.value or b"")
        for item in replica.items.values()
    )
    return max(MIN_LONG_BYTES, round(LISTING_RATIO * value_bytes))


def missed_keys(replica: "ItemReplica", listing: Delta) -> list[str]:
    """Returns the keys of changes up to the replica's revision that it lacks.

    Args:
        replica: the replica.
        listing: all items, as of its revision or a later one.

    Examples:
        >>> replica = ItemReplica()
        >>> _ = replica.apply(Delta((Item("a", b"1", 2),), 5, True))
        >>> listed = Item("a", b"1", 2), Item("b", b"2", 3), Item("c", b"3", 6)
        >>> missed_keys(replica, Delta(listed, 6, True))
        ['b']
    """
    if not replica.revision or listing.revision < replica.revision:
        return []
    listed = {item.key: item for item in listing.items}
    missed = [
        item.key
        for item in listing.items
        if item.revision <= replica.revision
        and (
            item.key not in replica.items
            or replica.items[item.key].revision < item.revision
        )
    ]
    # An item that is not listed may have been removed since.
    if listing.revision == replica.revision:
        missed.extend(
            key
            for key, item in replica.items.items()
            if key not in listed and item.revision <= listing.revision
        )
    return sorted(missed)


class ItemReplica:
    """Items of the platform as of one revision.

    A listing contains no removals. A replica that applied one therefore cannot
    name the items removed before it, and sends a peer at an earlier revision
    the keys of the items that exist instead.

    Examples:
        >>> replica = ItemReplica()
        >>> changed = replica.apply(Delta((Item("a", b"1", 5),), 5, True))
        >>> [item.key for item in changed]
        ['a']
        >>> replica.apply(Delta((Item("a", b"0", 4),), 4, False))
        []
        >>> replica.revision
        5
    """

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._tombstones: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._retained: collections.OrderedDict[tuple[str, int], bytes] = (
            collections.OrderedDict()
        )
        self._retained_bytes = 0
        self._revision = 0
        self._generation = 0
        self._digest = 0
        # Every removal after this revision has a tombstone.
        self._removals_since = 0

    @property
    def revision(self) -> int:
        """Revision of the replica; 0 before the first listing."""
        return self._revision

    @property
    def generation(self) -> int:
        """Number of the deltas with items, or complete ones, applied so far."""
        return self._generation

    @property
    def items(self) -> Mapping[str, Item]:
        """The items that exist, by key."""
        return self._items

    @property
    def digest(self) -> int:
        """Hash of the keys and revisions of the items, in any order.

        Two replicas of one revision with different digests do not hold the
        same items, so that one of them has missed a change.
        """
        return self._digest

    def apply(self, delta: Delta) -> list[Item]:
        """Applies a delta and returns the items that it changed.

        A complete delta that is not older than the replica also restores the
        items that the replica has missed.
        """
        changed = []
        if delta.items or delta.is_complete:
            self._generation += 1
        names_all = delta.is_complete and delta.revision >= self._revision
        for item in delta.items:
            if self._apply_item(item, may_be_missing=names_all):
                changed.append(item)
        if delta.is_complete:
            changed.extend(self._remove_missing(delta))
            self._removals_since = max(self._removals_since, delta.revision)
        self._revision = max(self._revision, delta.revision)
        return changed

    def earlier_value(self, key: str, revision: int) -> bytes | None:
        """Returns a replaced value if it is large and still retained."""
        return self._retained.get((key, revision))

    def delta_since(self, revision: int) -> Delta:
        """Returns the changes that a replica at `revision` lacks."""
        items = tuple(self._changes_after(revision))
        if revision >= self._removals_since:
            return Delta(items, self._revision, False)
        unchanged_keys = frozenset(
            item.key
            for item in self._items.values()
            if item.revision <= revision
        )
        return Delta(items, self._revision, True, unchanged_keys)

    def _changes_after(self, revision: int) -> Iterable[Item]:
        for item in self._items.values():
            if item.revision > revision:
                yield item
        for key, removal_revision in self._tombstones.items():
            if removal_revision > revision:
                yield Item(key, None, removal_revision)

    def _apply_item(self, item: Item, *, may_be_missing: bool) -> bool:
        """Applies an item that is newer; returns whether the value changed.

        Args:
            item: the item.
            may_be_missing: whether an item that the replica lacks exists,
                although the replica has its revision.
        """
        current = self._items.get(item.key)
        last_revision = (
            current.revision if current else self._tombstones.get(item.key, 0)
        )
        was_missed = may_be_missing and current is None
        if item.revision <= last_revision and not was_missed:
            return False
        if (
            current is None
            and item.revision <= self._revision
            and not was_missed
        ):
            # Removed before a listing, which leaves no tombstone.
            return False
        if item.value is None:
            self._drop(item.key)
            self._add_tombstone(item.key, item.revision)
            return current is not None
        self._tombstones.pop(item.key, None)
        if current is not None:
            self._retain(current)
            self._digest ^= _hash(current)
        self._items[item.key] = item
        self._digest ^= _hash(item)
        return current is None or current.value != item.value

    def _drop(self, key: str) -> None:
        dropped = self._items.pop(key, None)
        if dropped is not None:
            self._digest ^= _hash(dropped)

    def _remove_missing(self, delta: Delta) -> Iterable[Item]:
        listed_keys = {item.key for item in delta.items} | delta.unchanged_keys
        for key, item in list(self._items.items()):
            if key in listed_keys or item.revision > delta.revision:
                continue
            self._drop(key)
            self._add_tombstone(key, delta.revision)
            yield Item(key, None, delta.revision)

    def _retain(self, replaced: Item) -> None:
        value = replaced.value
        if value is None or len(value) < MIN_RETAINED_BYTES:
            return
        self._retained[replaced.key, replaced.revision] = value
        self._retained_bytes += len(value)
        while self._retained_bytes > MAX_RETAINED_BYTES:
            _, dropped = self._retained.popitem(last=False)
            self._retained_bytes -= len(dropped)

    def _add_tombstone(self, key: str, revision: int) -> None:
        self._tombstones[key] = revision
        self._tombstones.move_to_end(key)
        while len(self._tombstones) > MAX_TOMBSTONES:
            _, dropped_revision = self._tombstones.popitem(last=False)
            self._removals_since = max(self._removals_since, dropped_revision)


def _hash(item: Item) -> int:
    return xxhash.xxh3_64_intdigest(f"{item.revision} {item.key}".encode())
