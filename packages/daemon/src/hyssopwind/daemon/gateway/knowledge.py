"""What this daemon knows of the platform, whoever it heard it from."""

import asyncio
import contextlib
import typing

import logbook

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import freshness
from hyssopwind.core.discovery import items
from hyssopwind.core.discovery import records
from hyssopwind.platform import items as platform_items
from hyssopwind.transport import clock

if typing.TYPE_CHECKING:
    import reactivex
    from reactivex import subject

_log = logbook.Logger("knowledge")


class Knowledge:
    """The items, their meaning and their age."""

    def __init__(self) -> None:
        self.copy = items.ItemCopy()
        self.catalogue = catalogue.Catalogue()
        self.freshness = freshness.Freshness()
        self._configured = asyncio.Event()
        self._unreadable: set[str] = set()
        self._revisions: subject.Subject[int] | None = None

    @property
    def revisions(self) -> "reactivex.Observable[int]":
        """Revisions of the copy from now on, as it moves on."""
        if self._revisions is None:
            # A daemon that starts imports it when it serves callers already.
            from reactivex import subject

            self._revisions = subject.Subject()
        return self._revisions

    async def wait_for_configuration(self, seconds: float | None) -> bool:
        """Waits until a configuration is in force; returns whether one is.

        Args:
            seconds: how long to wait; `None` for as long as it takes.
        """
        if self.catalogue.configuration is not None:
            return True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._configured.wait(), seconds)
        return self.catalogue.configuration is not None

    def age(self) -> float:
        """Returns how old the copy is, in seconds."""
        return self.freshness.age(clock.now())

    def take(self, delta: items.Delta, as_of: float, source: str) -> int:
        """Takes changes in and returns how many there were.

        Args:
            delta: the changes.
            as_of: moment for which they are right.
            source: who told them, for the log.
        """
        now = clock.now()
        # Before the first listing nothing could lapse.
        if self.copy.revision and (
            self.freshness.age(now) > catalogue.OUTAGE_AGE
        ):
            self.catalogue.note_outage(now)
        self.freshness.confirm(as_of)
        before = self.copy.revision
        changed = self.copy.apply(delta)
        for item in changed:
            self._take_item(item, now, source)
        if self.catalogue.configuration is not None:
            self._configured.set()
        if self._revisions is not None and self.copy.revision > before:
            self._revisions.on_next(self.copy.revision)
        return len(changed)

    def expire(self) -> list[ids.ServerId]:
        """Drops servers whose entries have lapsed for good."""
        ended = self.catalogue.expire(clock.now())
        for server in ended:
            _log.info("lapsed server dropped", extra={"server": server})
        return ended

    def _take_item(self, item: items.Item, now: float, source: str) -> None:
        record = platform_items.decode(item)
        effect = self.catalogue.take(record, now)
        if effect is catalogue.Effect.NOTHING:
            return
        if effect is catalogue.Effect.UNREADABLE:
            self._note_unreadable(item, record)
        elif effect is not catalogue.Effect.SERVER_CHANGED:
            fields = {"key": item.key, "revision": item.revision}
            fields["source"] = source
            if isinstance(record, records.ConfigurationRecord):
                fields["version"] = record.configuration.version
                fields["routes"] = len(record.configuration.routes)
            _log.info(effect.value, extra=fields)

    def _note_unreadable(
        self, item: items.Item, record: records.Record
    ) -> None:
        """Logs an item that makes no sense, once for each item."""
        if item.key in self._unreadable:
            return
        if len(self._unreadable) > items.MAX_TOMBSTONES:
            self._unreadable.clear()
        self._unreadable.add(item.key)
        found = getattr(record, "findings", ())
        _log.warn(
            "item left aside",
            extra={
                "key": item.key,
                "revision": item.revision,
                "findings": [str(finding) for finding in found],
            },
        )
