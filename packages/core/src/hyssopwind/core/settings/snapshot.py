"""The settings in force, compiled for the path of a request."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

from hyssopwind.core import ids
from hyssopwind.core.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service with its identifiers and the settings of its team.

    Attributes:
        id: identifier of the service.
        prefix: path prefix of its requests, the path of the team included.
        settings: the settings of the service.
        data_centres: data centres of the team, by their names.
    """

    id: ids.ServiceId
    prefix: str
    settings: documents.ServiceSettings
    data_centres: Mapping[str, documents.DataCentreSettings]

    @property
    def idempotent_prefixes(self) -> tuple[str, ...]:
        """Path prefixes on which every method is idempotent."""
        routes = self.settings.idempotent_routes
        return tuple(self.prefix + route for route in routes)

    def state_of(self, data_centre: str) -> documents.DataCentreState:
        """Returns the state of a data centre; one not declared is out."""
        declared = self.data_centres.get(data_centre)
        if declared is None or data_centre not in self.settings.load:
            return documents.DataCentreState.OUT
        return declared.state


class Snapshot:
    """All services in force; immutable.

    Examples:
        >>> Snapshot([]).find_service("/studio/looks") is None
        True
    """

    def __init__(self, services: Iterable[Service]):
        self._services = {service.id: service for service in services}
        self._by_prefix = {
            service.prefix: service for service in self._services.values()
        }

    @property
    def services(self) -> Mapping[ids.ServiceId, Service]:
        """The services by their identifiers."""
        return self._services

    def find_service(self, path: str) -> Service | None:
        """Returns the service with the longest prefix of whole segments."""
        prefix = path
        while prefix:
            service = self._by_prefix.get(prefix)
            if service is not None:
                return service
            prefix = prefix.rpartition("/")[0]
        return None


def compile_snapshot(
    teams: Mapping[ids.TeamId, documents.TeamSettings],
) -> Snapshot:
    """Returns the snapshot of the subtrees of all teams."""
    services = []
    for team, settings in sorted(teams.items()):
        for name, service in sorted(settings.services.items()):
            services.append(
                Service(
                    ids.service_id(team, name),
                    f"/{team}{service.route}",
                    service,
                    settings.data_centres,
                )
            )
    return Snapshot(services)
