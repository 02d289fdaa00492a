"""The settings in force, indexed by service and by path prefix."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

from hyssopwind.core import ids
from hyssopwind.core.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with its settings and the data centres of its team.

    Attributes:
        id: identifier of the service.
        prefix: path prefix of its requests, including the path of the team.
        settings: the settings of the service.
        data_centres: settings of the data centres of the team, by name.
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

    def data_centre_state(self, data_centre: str) -> documents.DataCentreState:
        """Returns the state of a data centre for this service.

        It is `OUT` unless the team declares both the data centre and a load of
        the service there.
        """
        declared = self.data_centres.get(data_centre)
        if declared is None or data_centre not in self.settings.load:
            return documents.DataCentreState.OUT
        return declared.state


class Snapshot:
    """All services in force; it does not change after its creation.

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
    """Returns the snapshot of the settings of all teams."""
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
