"""State of the platform, replicated from the store or from peers."""

import asyncio
import contextlib
import dataclasses
import typing
from collections.abc import Callable

import logbook

from hyssopwind.core import ids
from hyssopwind.core import left_out
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import freshness
from hyssopwind.core.discovery import items
from hyssopwind.core.discovery import positions
from hyssopwind.core.discovery import records
from hyssopwind.platform import items as platform_items
from hyssopwind.transport import boot_clock

if typing.TYPE_CHECKING:
    import reactivex
    from reactivex import subject

_log = logbook.Logger("knowledge")


class PlatformState:
    """The replica of the platform's items, the state in it and its age.

    Attributes:
        replica: the items as they were read.
        catalogue: the servers and the configuration decoded from them.
        freshness: the time for which the replica was last confirmed.
    """

    def __init__(self) -> None:
        self.replica = items.ItemReplica()
        self.catalogue = catalogue.Catalogue()
        self.freshness = freshness.Freshness()
        self._configuration_revision = 0
        self._announced_configuration_revision = 0
        self._configured = asyncio.Event()
        self._configuration_listeners: list[Callable[[], None]] = []
        self._configuration_source = ""
        self._configured_at = float("-inf")
        # The configuration in force as an item, and whether the platform has
        # lost it and has an older one.
        self._configuration_item: items.Item | None = None
        self._is_configuration_kept = False
        self._announced_kept_version = 0
        self._restoration_count = 0
        self._failed_item_count = 0
        self._left_out_parts = left_out.LeftOutParts()
        self._revisions: subject.Subject[int] | None = None

    @property
    def revisions(self) -> "reactivex.Observable[int]":
        """Stream of the revisions of the replica, one each time it advances."""
        if self._revisions is None:
            # Imported late, so that a daemon that starts serves callers sooner.
            from reactivex import subject

            self._revisions = subject.Subject()
        return self._revisions

    @property
    def configuration_revision(self) -> int:
        """Revision of the configuration in the replica; 0 without one."""
        return self._configuration_revision

    @property
    def kept_version(self) -> int:
        """Version in force that the platform has lost; 0 if it has it."""
        if not self._is_configuration_kept:
            return 0
        return self.catalogue.configuration_version

    @property
    def restoration_count(self) -> int:
        """How often the platform was found to be restored from a copy."""
        return self._restoration_count

    @property
    def failed_item_count(self) -> int:
        """Number of items that a defect kept from being applied."""
        return self._failed_item_count

    @property
    def unreadable_item_count(self) -> int:
        """Number of items that could not be decoded in whole."""
        return self._left_out_parts.counts[left_out.Source.STORE_ITEM]

    def configuration_age_seconds(self) -> float:
        """Returns the time for which the configuration has been in force."""
        return boot_clock.now() - self._configured_at

    def log_fields(self) -> dict[str, object]:
        """Returns the version of the state, its age and its source."""
        return {
            "revision": positions.revision_of(self.replica.revision),
            "era": positions.stated_era(self.replica.revision),
            "age_ms": round(min(self.age_seconds(), 1e6) * 1000),
            "version": self.catalogue.configuration_version,
            "version_source": self._configuration_source,
        }

    def record_announced_configuration(
        self, revision: int, kept_version: int = 0
    ) -> None:
        """Records the configuration that a peer has.

        Args:
            revision: its revision.
            kept_version: its version if the platform has lost it, or 0.
        """
        self._announced_configuration_revision = max(
            self._announced_configuration_revision, revision
        )
        self._announced_kept_version = max(
            self._announced_kept_version, kept_version
        )

    def add_configuration_listener(self, listener: Callable[[], None]) -> None:
        """Adds a function to call whenever a configuration comes in force."""
        self._configuration_listeners.append(listener)

    def kept_items(self) -> tuple[items.Item, ...]:
        """Returns the items in force that the platform has lost."""
        if not self._is_configuration_kept or self._configuration_item is None:
            return ()
        return (self._configuration_item,)

    def may_lack_configuration(self, bound_seconds: float) -> bool:
        """Whether a configuration may be in force that the replica lacks.

        Args:
            bound_seconds: seconds after which a change may be in force.
        """
        return (
            self._announced_configuration_revision > self.replica.revision
            or self._announced_kept_version
            > self.catalogue.configuration_version
            or self.catalogue.lacks_routes
            or self.age_seconds() > bound_seconds
        )

    async def wait_for_configuration(
        self, timeout_seconds: float | None
    ) -> bool:
        """Waits until a configuration is in force; returns whether one is.

        Args:
            timeout_seconds: longest wait; `None` to wait without a limit.
        """
        if self.catalogue.configuration is not None:
            return True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._configured.wait(), timeout_seconds)
        return self.catalogue.configuration is not None

    def age_seconds(self) -> float:
        """Returns the age of the replica in seconds."""
        return self.freshness.age_seconds(boot_clock.now())

    def apply_delta(self, delta: items.Delta, as_of: float, source: str) -> int:
        """Applies changes and returns the number of items that changed.

        Args:
            delta: the changes.
            as_of: monotonic time up to which `delta` holds all changes.
            source: where they were read, for the log.
        """
        now = boot_clock.now()
        delta = _hide_keys(delta)
        # Before the first listing there are no entries that could expire.
        if self.replica.revision and (
            self.freshness.age_seconds(now) > catalogue.OUTAGE_AGE_SECONDS
        ):
            self.catalogue.record_outage(now)
        self.freshness.confirm(as_of)
        previous_revision = self.replica.revision
        is_restored = bool(previous_revision) and positions.era_of(
            delta.revision
        ) > positions.era_of(previous_revision)
        if is_restored:
            self._record_restoration(delta.revision, now, source)
        changed = self.replica.apply(delta)
        for item in (*changed, *delta.kept):
            try:
                if item in delta.kept and not self._is_later(item):
                    continue
                self._apply_item(item, now, source, is_restored=is_restored)
            except Exception as error:
                # The replica has the item, so that it does not come again; the
                # items behind it must not be lost with it.
                self._failed_item_count += 1
                _log.error(
                    "item could not be applied",
                    extra={"key": item.key, "error": repr(error)},
                )
        if self.catalogue.configuration is not None:
            self._configured.set()
        if (
            self._revisions is not None
            and self.replica.revision > previous_revision
        ):
            self._revisions.on_next(self.replica.revision)
        return len(changed)

    def expire(self) -> list[ids.ServerId]:
        """Removes and returns the servers whose entries have expired."""
        expired = self.catalogue.remove_expired(boot_clock.now())
        for server in expired:
            _log.info("expired server removed", extra={"server": server})
        return expired

    def _record_restoration(
        self, position: int, now: float, source: str
    ) -> None:
        self._restoration_count += 1
        self.catalogue.record_restoration(now)
        _log.warn(
            "the platform was restored from a copy",
            extra={
                **self.log_fields(),
                "new_revision": positions.revision_of(position),
                "new_era": positions.stated_era(position),
                "source": source,
            },
        )

    def _apply_item(
        self, item: items.Item, now: float, source: str, *, is_restored: bool
    ) -> None:
        record = platform_items.decode_item(item)
        change = self.catalogue.apply_record(
            record, now, is_restored=is_restored
        )
        self._record_configuration(item, change)
        if change is catalogue.CatalogueChange.NOTHING:
            return
        if change is catalogue.CatalogueChange.ITEM_UNREADABLE:
            self._log_unreadable(item, record)
            return
        if isinstance(record, records.ConfigurationRecord) and record.findings:
            self._log_unreadable(item, record)
        if change is not catalogue.CatalogueChange.SERVER_CHANGED:
            fields: dict[str, object] = {
                "key": item.key,
                "revision": positions.revision_of(item.revision),
                "era": positions.stated_era(item.revision),
                "source": source,
            }
            if isinstance(record, records.ConfigurationRecord):
                self._configuration_revision = item.revision
                fields["version"] = record.configuration.version
                fields["routes"] = len(record.configuration.routes)
                if record.configuration.tenants.requires_keys:
                    fields["tenants"] = len(
                        record.configuration.tenants.tenants
                    )
                fields["age_ms"] = round(min(self.age_seconds(), 1e6) * 1000)
            if change is catalogue.CatalogueChange.CONFIGURATION_APPLIED:
                self._configuration_source = source
                self._configured_at = now
            _log.info(change.value, extra=fields)
        if change is catalogue.CatalogueChange.CONFIGURATION_APPLIED:
            for listener in self._configuration_listeners:
                listener()

    def _is_later(self, item: items.Item) -> bool:
        """Whether a peer has kept a later configuration than that in force."""
        record = platform_items.decode_item(item)
        return (
            isinstance(record, records.ConfigurationRecord)
            and record.configuration.version
            > self.catalogue.configuration_version
        )

    def _record_configuration(
        self, item: items.Item, change: catalogue.CatalogueChange
    ) -> None:
        """Records the item in force and whether the platform has lost it."""
        in_force = self._configuration_item
        is_removed = (
            in_force is not None
            and item.value is None
            and item.key == in_force.key
        )
        if (
            is_removed
            or change is catalogue.CatalogueChange.OLDER_CONFIGURATION_IGNORED
        ):
            self._is_configuration_kept = True
        elif change is catalogue.CatalogueChange.CONFIGURATION_APPLIED:
            self._configuration_item = item
            # An item that a peer has kept is not that of the replica.
            self._is_configuration_kept = (
                self.replica.items.get(item.key) != item
            )

    def _log_unreadable(self, item: items.Item, record: records.Record) -> None:
        """Counts an item that cannot be decoded, and logs new findings."""
        findings = [str(finding) for finding in getattr(record, "findings", ())]
        source = left_out.Source.STORE_ITEM
        if not self._left_out_parts.record(source, item.key, findings):
            return
        _log.warn(
            "unreadable item or part of one ignored",
            extra={
                "key": item.key,
                "revision": positions.revision_of(item.revision),
                "findings": list(
                    self._left_out_parts.reasons(source, item.key)
                ),
            },
        )


def _hide_keys(delta: items.Delta) -> items.Delta:
    """Returns changes without the keys of tenants, as peers may get them."""
    return dataclasses.replace(
        delta,
        items=tuple(platform_items.hide_keys(each) for each in delta.items),
        kept=tuple(platform_items.hide_keys(each) for each in delta.kept),
    )
