"""The servers that may be used, and the configuration in force.

An entry that disappears means that the server has left. While the platform
is away entries also lapse because servers could not report, and such servers
report again within `LAPSE_GRACE` of its return; until then they stay usable
unless they had announced that they leave.
"""

import dataclasses
import enum
from collections.abc import Iterator

from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.discovery import records
from hyssopwind.core.routing import matching
from hyssopwind.core.routing import tables

# Seconds; servers report again within about two of the platform's return.
LAPSE_GRACE = 2.4
# Age of the copy in seconds from which the platform counts as having been
# away. A calm copy is up to 1.9 s old; entries lapse after 4.5 s of silence.
OUTAGE_AGE = 2.5


class Effect(enum.Enum):
    """What a record changed."""

    NOTHING = "nothing"
    SERVER_ADDED = "server added"
    SERVER_CHANGED = "server changed"
    SERVER_DRAINING = "server draining"
    SERVER_REMOVED = "server removed"
    SERVER_LAPSED = "server lapsed"
    CONFIGURATION = "configuration in force"
    OLDER_CONFIGURATION = "older configuration ignored"
    EVACUATION = "evacuation"
    EVACUATION_ENDED = "evacuation ended"
    UNREADABLE = "unreadable"


@dataclasses.dataclass(slots=True)
class Listed:
    """A server with what this daemon holds about its listing.

    Attributes:
        entry: the entry as last published.
        since: monotonic time at which it was first seen.
        cold_until: monotonic time until which it says that it is cold.
        lapses_at: monotonic time at which a vanished entry ends, or `None`.
    """

    entry: entries.ServerEntry
    since: float
    cold_until: float
    lapses_at: float | None = None


class Catalogue:
    """Servers by service, evacuated data centres and the configuration."""

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, Listed] = {}
        self._by_service: dict[ids.ServiceId, dict[ids.ServerId, Listed]] = {}
        self._evacuated: set[ids.DataCentreId] = set()
        self._configuration: tables.Configuration | None = None
        self._routes = matching.RouteIndex(())
        self._grace_until = float("-inf")

    @property
    def configuration(self) -> tables.Configuration | None:
        """The configuration in force, or `None` before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._configuration.version if self._configuration else 0

    @property
    def routes(self) -> matching.RouteIndex:
        """The routes in force."""
        return self._routes

    @property
    def evacuated(self) -> frozenset[ids.DataCentreId]:
        """Data centres that get no new work."""
        return frozenset(self._evacuated)

    @property
    def size(self) -> int:
        """Number of listed servers."""
        return len(self._servers)

    def note_outage(self, now: float) -> None:
        """Notes that the platform was unreachable until now."""
        self._grace_until = now + LAPSE_GRACE

    def find(self, server: ids.ServerId) -> Listed | None:
        """Returns a listed server."""
        return self._servers.get(server)

    def addresses(self) -> set[str]:
        """Returns the addresses of all listed servers."""
        return {listed.entry.address for listed in self._servers.values()}

    def servers(self) -> set[ids.ServerId]:
        """Returns the ids of all listed servers."""
        return set(self._servers)

    def terms(self, service: ids.ServiceId) -> tables.ServiceTerms | None:
        """Returns the terms of a service in force."""
        if self._configuration is None:
            return None
        return self._configuration.services.get(service)

    def usable(self, service: ids.ServiceId, now: float) -> Iterator[Listed]:
        """Yields the servers that may get a new request of a service."""
        for listed in self._by_service.get(service, {}).values():
            if listed.entry.draining:
                continue
            if listed.entry.data_centre in self._evacuated:
                continue
            if listed.lapses_at is not None and listed.lapses_at <= now:
                continue
            yield listed

    def may_send(self, server: ids.ServerId, now: float) -> bool:
        """Whether a server may still get a request at this moment."""
        listed = self._servers.get(server)
        if listed is None or listed.entry.draining:
            return False
        if listed.lapses_at is not None and listed.lapses_at <= now:
            return False
        return listed.entry.data_centre not in self._evacuated

    def take(self, record: records.Record, now: float) -> Effect:
        """Takes a record in and returns what it changed."""
        if isinstance(record, records.ServerRecord):
            return self._put(record.entry, now)
        if isinstance(record, records.ServerGone):
            return self._remove(record.server, now)
        if isinstance(record, records.UnreadableServer):
            self._discard(record.server)
            return Effect.UNREADABLE
        if isinstance(record, records.ConfigurationRecord):
            return self._configure(record.configuration)
        if isinstance(record, records.EvacuationRecord):
            return self._evacuate(record)
        if isinstance(record, records.Unreadable):
            return Effect.UNREADABLE
        return Effect.NOTHING

    def expire(self, now: float) -> list[ids.ServerId]:
        """Forgets lapsed servers whose grace is over and returns them."""
        ended = []
        for server, listed in self._servers.items():
            if listed.lapses_at is not None and listed.lapses_at <= now:
                ended.append(server)
        for server in ended:
            self._discard(server)
        return ended

    def _put(self, entry: entries.ServerEntry, now: float) -> Effect:
        known = self._servers.get(entry.id)
        cold_until = now + entry.warmup_left
        if known is None or known.entry.started != entry.started:
            self._discard(entry.id)
            self._add(Listed(entry, now, cold_until))
            return Effect.SERVER_ADDED
        if known.entry.service != entry.service:
            self._discard(entry.id)
            self._add(Listed(entry, known.since, cold_until))
            return Effect.SERVER_CHANGED
        was_draining = known.entry.draining
        known.entry = entry
        known.cold_until = cold_until
        known.lapses_at = None
        if entry.draining and not was_draining:
            return Effect.SERVER_DRAINING
        return Effect.SERVER_CHANGED

    def _add(self, listed: Listed) -> None:
        entry = listed.entry
        self._servers[entry.id] = listed
        self._by_service.setdefault(entry.service, {})[entry.id] = listed

    def _discard(self, server: ids.ServerId) -> None:
        listed = self._servers.pop(server, None)
        if listed is not None:
            del self._by_service[listed.entry.service][server]

    def _remove(self, server: ids.ServerId, now: float) -> Effect:
        listed = self._servers.get(server)
        if listed is None:
            return Effect.NOTHING
        if now < self._grace_until and not listed.entry.draining:
            listed.lapses_at = self._grace_until
            return Effect.SERVER_LAPSED
        self._discard(server)
        return Effect.SERVER_REMOVED

    def _configure(self, configuration: tables.Configuration) -> Effect:
        current = self._configuration
        if current is not None and configuration.version < current.version:
            return Effect.OLDER_CONFIGURATION
        self._configuration = configuration
        self._routes = matching.RouteIndex(configuration.routes)
        return Effect.CONFIGURATION

    def _evacuate(self, record: records.EvacuationRecord) -> Effect:
        if record.active:
            self._evacuated.add(record.data_centre)
            return Effect.EVACUATION
        self._evacuated.discard(record.data_centre)
        return Effect.EVACUATION_ENDED
