"""Catalogue of the usable servers, with the configuration in force.

The removal of an entry means that its server has stopped. During an outage of
the platform entries are also removed because servers cannot report. Such
servers report again within a grace period after the outage; until it ends they
stay usable unless they had announced that they would stop.

A platform that was restored from a copy has lost what was written since. Its
operator and the servers write it again within the same grace period; what the
copy says of a time before the catalogue's is ignored.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable
from collections.abc import Iterator

from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.discovery import records
from hyssopwind.core.routing import matching
from hyssopwind.core.routing import tables

# Servers report again within about 2 s of the end of an outage.
EXPIRY_GRACE_SECONDS = 2.4
# Age of the replica above which an outage of the platform is assumed. Without
# an outage the replica is at most 1.9 s old; the platform removes an entry
# 4.5 s after the last report of its server.
OUTAGE_AGE_SECONDS = 2.5
MAX_REMOVED_ENTRIES = 4_000  # that are remembered


class CatalogueChange(enum.Enum):
    """Change of the catalogue by a record."""

    NOTHING = "nothing"
    SERVER_ADDED = "server added"
    SERVER_CHANGED = "server changed"
    SERVER_DRAINING = "server draining"
    SERVER_REMOVED = "server removed"
    REMOVAL_DEFERRED = "server lapsed"
    OLDER_ENTRY_IGNORED = "older entry ignored"
    CONFIGURATION_APPLIED = "configuration in force"
    OLDER_CONFIGURATION_IGNORED = "older configuration ignored"
    EVACUATION_STARTED = "evacuation"
    EVACUATION_ENDED = "evacuation ended"
    EVACUATION_KEPT = "evacuation lapsed"
    ITEM_UNREADABLE = "unreadable"


@dataclasses.dataclass(slots=True)
class ListedServer:
    """A registered server with the times at which its state changes.

    Attributes:
        entry: the entry as last published.
        first_listed_at: monotonic time at which the server was first listed.
        cold_until: monotonic time until which it reports itself cold.
        expires_at: monotonic time at which the grace period of an entry that
            was removed in an outage ends; `None` while the entry exists.
    """

    entry: entries.ServerEntry
    first_listed_at: float
    cold_until: float
    expires_at: float | None = None


class Catalogue:
    """Servers by service, evacuated data centres and the configuration."""

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, ListedServer] = {}
        self._by_service: dict[
            ids.ServiceId, dict[ids.ServerId, ListedServer]
        ] = {}
        # Last entries of servers that were removed.
        self._removed_entries: collections.OrderedDict[
            ids.ServerId, entries.ServerEntry
        ] = collections.OrderedDict()
        # When an evacuation ends that a restored platform does not have.
        self._evacuated: dict[ids.DataCentreId, float] = {}
        self._configuration: tables.Configuration | None = None
        self._lacks_routes = False
        self._routes = matching.RouteIndex(())
        self._grace_ends_at = float("-inf")

    @property
    def configuration(self) -> tables.Configuration | None:
        """The configuration in force, or `None` before the first."""
        return self._configuration

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._configuration.version if self._configuration else 0

    @property
    def lacks_routes(self) -> bool:
        """Whether the newest configuration could not be read in whole."""
        return self._lacks_routes

    @property
    def routes(self) -> matching.RouteIndex:
        """The routes in force."""
        return self._routes

    @property
    def evacuated_data_centres(self) -> frozenset[ids.DataCentreId]:
        """Data centres that receive no new requests."""
        return frozenset(self._evacuated)

    @property
    def server_count(self) -> int:
        """Number of listed servers."""
        return len(self._servers)

    def record_outage(self, now: float) -> None:
        """Records the end of an outage, at which the grace period starts."""
        self._grace_ends_at = now + EXPIRY_GRACE_SECONDS

    def record_restoration(self, now: float) -> None:
        """Records that the platform was restored from a copy."""
        self.record_outage(now)

    def find(self, server: ids.ServerId) -> ListedServer | None:
        """Returns a listed server, or `None` if it is not listed."""
        return self._servers.get(server)

    def addresses(self) -> set[str]:
        """Returns the addresses of all listed servers."""
        return {
            listed_server.entry.address
            for listed_server in self._servers.values()
        }

    def server_ids(self) -> set[ids.ServerId]:
        """Returns the ids of all listed servers."""
        return set(self._servers)

    def instances(self) -> set[ids.InstanceId]:
        """Returns the identifiers of the starts of all listed servers."""
        return {
            listed_server.entry.instance
            for listed_server in self._servers.values()
        }

    def instances_of(self, service: ids.ServiceId) -> list[ids.InstanceId]:
        """Returns the starts of the listed servers of a service."""
        listed_servers = self._by_service.get(service, {}).values()
        return [listed.entry.instance for listed in listed_servers]

    def listed_servers(self) -> Iterable[ListedServer]:
        """Returns all listed servers."""
        return self._servers.values()

    def service_settings(
        self, service: ids.ServiceId
    ) -> tables.ServiceConfiguration | None:
        """Returns the settings in force of a service; `None` without any."""
        if self._configuration is None:
            return None
        return self._configuration.services.get(service)

    def usable_servers(
        self, service: ids.ServiceId, now: float
    ) -> Iterator[ListedServer]:
        """Yields the servers that may receive a new request of a service."""
        for listed_server in self._by_service.get(service, {}).values():
            if listed_server.entry.is_draining:
                continue
            if listed_server.entry.data_centre in self._evacuated:
                continue
            if (
                listed_server.expires_at is not None
                and listed_server.expires_at <= now
            ):
                continue
            yield listed_server

    def may_send(self, server: ids.ServerId, now: float) -> bool:
        """Whether a server may receive a request at `now`."""
        listed_server = self._servers.get(server)
        if listed_server is None or listed_server.entry.is_draining:
            return False
        if (
            listed_server.expires_at is not None
            and listed_server.expires_at <= now
        ):
            return False
        return listed_server.entry.data_centre not in self._evacuated

    def apply_record(
        self, record: records.Record, now: float, *, is_restored: bool = False
    ) -> CatalogueChange:
        """Applies a record and returns the change that it made.

        Args:
            record: the record.
            now: monotonic time.
            is_restored: whether it comes from a platform that was restored
                from a copy, which may have lost later states of the record.
        """
        if isinstance(record, records.ServerRecord):
            if is_restored and self._is_known_later(record.entry):
                return CatalogueChange.OLDER_ENTRY_IGNORED
            return self._put_entry(record.entry, now)
        if isinstance(record, records.ServerRemoved):
            return self._remove_entry(record.server, now)
        if isinstance(record, records.UnreadableServer):
            self._discard(record.server)
            return CatalogueChange.ITEM_UNREADABLE
        if isinstance(record, records.ConfigurationRecord):
            return self._put_configuration(record)
        if isinstance(record, records.EvacuationRecord):
            return self._set_evacuation(record, is_restored=is_restored)
        if isinstance(record, records.UnreadableConfiguration):
            self._lacks_routes = True
            return CatalogueChange.ITEM_UNREADABLE
        return CatalogueChange.NOTHING

    def remove_expired(self, now: float) -> list[ids.ServerId]:
        """Removes the servers whose grace period is over and returns them.

        Evacuations end likewise.
        """
        for data_centre, ends_at in list(self._evacuated.items()):
            if ends_at <= now:
                del self._evacuated[data_centre]
        expired = []
        for server, listed_server in self._servers.items():
            if (
                listed_server.expires_at is not None
                and listed_server.expires_at <= now
            ):
                expired.append(server)
        for server in expired:
            self._discard(server)
        return expired

    def _is_known_later(self, entry: entries.ServerEntry) -> bool:
        """Whether a later report of the same start of a server is known."""
        current = self._servers.get(entry.id)
        if current is not None:
            return (
                current.entry.instance == entry.instance
                and entry.sequence < current.entry.sequence
            )
        removed = self._removed_entries.get(entry.id)
        return (
            removed is not None
            and removed.instance == entry.instance
            and entry.sequence <= removed.sequence
        )

    def _put_entry(
        self, entry: entries.ServerEntry, now: float
    ) -> CatalogueChange:
        current = self._servers.get(entry.id)
        cold_until = now + entry.warmup_left_seconds
        if (
            current is None
            or current.entry.started_at_ms != entry.started_at_ms
        ):
            self._discard(entry.id)
            self._add(ListedServer(entry, now, cold_until))
            return CatalogueChange.SERVER_ADDED
        if current.entry.service != entry.service:
            self._discard(entry.id)
            self._add(ListedServer(entry, current.first_listed_at, cold_until))
            return CatalogueChange.SERVER_CHANGED
        was_draining = current.entry.is_draining
        current.entry = entry
        current.cold_until = cold_until
        current.expires_at = None
        if entry.is_draining and not was_draining:
            return CatalogueChange.SERVER_DRAINING
        return CatalogueChange.SERVER_CHANGED

    def _add(self, listed_server: ListedServer) -> None:
        entry = listed_server.entry
        self._servers[entry.id] = listed_server
        self._by_service.setdefault(entry.service, {})[entry.id] = listed_server

    def _discard(self, server: ids.ServerId) -> None:
        listed_server = self._servers.pop(server, None)
        if listed_server is None:
            return
        del self._by_service[listed_server.entry.service][server]
        self._removed_entries[server] = listed_server.entry
        self._removed_entries.move_to_end(server)
        if len(self._removed_entries) > MAX_REMOVED_ENTRIES:
            self._removed_entries.popitem(last=False)

    def _remove_entry(
        self, server: ids.ServerId, now: float
    ) -> CatalogueChange:
        listed_server = self._servers.get(server)
        if listed_server is None:
            return CatalogueChange.NOTHING
        if now < self._grace_ends_at and not listed_server.entry.is_draining:
            listed_server.expires_at = self._grace_ends_at
            return CatalogueChange.REMOVAL_DEFERRED
        self._discard(server)
        return CatalogueChange.SERVER_REMOVED

    def _put_configuration(
        self, record: records.ConfigurationRecord
    ) -> CatalogueChange:
        configuration = record.configuration
        current = self._configuration
        if current is not None and configuration.version < current.version:
            return CatalogueChange.OLDER_CONFIGURATION_IGNORED
        self._lacks_routes = record.is_incomplete
        if current is not None:
            # A route that cannot be read stays as it is.
            kept = tuple(
                route
                for route in current.routes
                if route.name in record.unreadable_routes
            )
            configuration = dataclasses.replace(
                configuration, routes=kept + configuration.routes
            )
        self._configuration = configuration
        self._routes = matching.RouteIndex(configuration.routes)
        return CatalogueChange.CONFIGURATION_APPLIED

    def _set_evacuation(
        self, record: records.EvacuationRecord, *, is_restored: bool
    ) -> CatalogueChange:
        if record.is_active:
            self._evacuated[record.data_centre] = math.inf
            return CatalogueChange.EVACUATION_STARTED
        if is_restored and record.data_centre in self._evacuated:
            self._evacuated[record.data_centre] = self._grace_ends_at
            return CatalogueChange.EVACUATION_KEPT
        self._evacuated.pop(record.data_centre, None)
        return CatalogueChange.EVACUATION_ENDED
