"""A copy of the items that the platform publishes, ordered by revision.

Whoever reads the platform applies listings and events; whoever hears from a
peer applies deltas of the peer's copy. All of them only move forward: an item
is replaced only by a later revision, so delayed or repeated messages do no
harm.
"""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

MAX_TOMBSTONES = 4_000  # removed keys; a change of 1,000 servers is 2,000


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A published value.

    Attributes:
        key: its name on the platform.
        value: the bytes as published; `None` where the item was removed.
        revision: revision of the platform at which this happened.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """What brings a copy from one revision to another.

    Attributes:
        items: changed and removed items.
        revision: revision of the copy afterwards.
        complete: whether `items` and `kept` name all that exists, so that any
            other item of an earlier revision is gone.
        kept: keys of items that exist and that the receiver holds already.
    """

    items: tuple[Item, ...]
    revision: int
    complete: bool
    kept: frozenset[str] = frozenset()


class ItemCopy:
    """The items known here, with the revision that they stand for.

    A listing does not show what was removed before it. A copy that took one
    therefore can't tell a peer at an earlier revision which of the peer's
    items are gone, and names those that exist instead.

    Examples:
        >>> copy = ItemCopy()
        >>> changed = copy.apply(Delta((Item("a", b"1", 5),), 5, True))
        >>> [item.key for item in changed]
        ['a']
        >>> copy.apply(Delta((Item("a", b"0", 4),), 4, False))
        []
        >>> copy.revision
        5
    """

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._tombstones: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._revision = 0
        # Each removal after this revision has a tombstone.
        self._removals_since = 0

    @property
    def revision(self) -> int:
        """Revision that the copy stands for; 0 before the first listing."""
        return self._revision

    @property
    def items(self) -> Mapping[str, Item]:
        """The items that exist, by key."""
        return self._items

    def apply(self, delta: Delta) -> list[Item]:
        """Takes a delta in and returns the items that it changed here."""
        changed = []
        for item in delta.items:
            if self._take(item):
                changed.append(item)
        if delta.complete:
            changed.extend(self._drop_missing(delta))
            self._removals_since = max(self._removals_since, delta.revision)
        self._revision = max(self._revision, delta.revision)
        return changed

    def delta_since(self, revision: int) -> Delta:
        """Returns what a copy at `revision` lacks."""
        items = tuple(self._changes_after(revision))
        if revision >= self._removals_since:
            return Delta(items, self._revision, False)
        kept = frozenset(
            item.key
            for item in self._items.values()
            if item.revision <= revision
        )
        return Delta(items, self._revision, True, kept)

    def _changes_after(self, revision: int) -> Iterable[Item]:
        for item in self._items.values():
            if item.revision > revision:
                yield item
        for key, removed in self._tombstones.items():
            if removed > revision:
                yield Item(key, None, removed)

    def _take(self, item: Item) -> bool:
        known = self._items.get(item.key)
        last = known.revision if known else self._tombstones.get(item.key, 0)
        if item.revision <= last:
            return False
        if item.value is None:
            self._items.pop(item.key, None)
            self._bury(item.key, item.revision)
            return known is not None
        self._tombstones.pop(item.key, None)
        self._items[item.key] = item
        return known is None or known.value != item.value

    def _drop_missing(self, delta: Delta) -> Iterable[Item]:
        listed = {item.key for item in delta.items} | delta.kept
        for key, item in list(self._items.items()):
            if key in listed or item.revision > delta.revision:
                continue
            del self._items[key]
            self._bury(key, delta.revision)
            yield Item(key, None, delta.revision)

    def _bury(self, key: str, revision: int) -> None:
        self._tombstones[key] = revision
        self._tombstones.move_to_end(key)
        while len(self._tombstones) > MAX_TOMBSTONES:
            _, oldest = self._tombstones.popitem(last=False)
            self._removals_since = max(self._removals_since, oldest)
