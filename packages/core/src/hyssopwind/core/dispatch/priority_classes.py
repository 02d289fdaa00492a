"""Finds the priorities that the requests of each service may have."""

from collections.abc import Iterable
from collections.abc import Mapping

from hyssopwind.core import ids
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.routing import tables

_NO_PRIORITIES: frozenset[priorities.Priority] = frozenset()


def priorities_by_service(
    routes: Iterable[tables.Route],
    tenant_priorities: Iterable[int | None] = (),
) -> Mapping[ids.ServiceId, frozenset[priorities.Priority]]:
    """Returns the priorities of the requests that each service may get.

    A part of a split counts with any weight, since weights change while
    requests of the earlier ones are served. The priority of a tenant may occur
    at any service.

    Args:
        routes: the routes in force.
        tenant_priorities: the priorities of the tenants in force; `None` for
            each that has none.

    Examples:
        >>> part = tables.WeightedService(ids.ServiceId("a"), 1.0)
        >>> def route(name, priority):
        ...     return tables.Route(
        ...         name, "h", f"/{name}/", True, 1.0, 0.5, priority, 2, (part,)
        ...     )
        >>> found = priorities_by_service((route("x", 2), route("y", 0)))
        >>> sorted(found["a"])
        [0, 2]
    """
    of_tenants = {
        priorities.effective_priority(0, tenant_priority)
        for tenant_priority in tenant_priorities
        if tenant_priority is not None
    }
    found: dict[ids.ServiceId, set[priorities.Priority]] = {}
    for route in routes:
        for part in route.parts:
            of_service = found.setdefault(part.service, set(of_tenants))
            of_service.add(priorities.effective_priority(route.priority))
    return {service: frozenset(each) for service, each in found.items()}


class PriorityClasses:
    """The priorities of each service in the configuration in force."""

    def __init__(self) -> None:
        self._configuration: tables.Configuration | None = None
        self._by_service: Mapping[
            ids.ServiceId, frozenset[priorities.Priority]
        ] = {}

    def find(
        self,
        service: ids.ServiceId,
        configuration: tables.Configuration | None,
    ) -> frozenset[priorities.Priority]:
        """Returns the priorities that the requests of a service may have.

        Args:
            service: the service.
            configuration: the configuration in force; `None` before the first.
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            self._by_service = {}
            if configuration is not None:
                tenants = configuration.tenants.tenants.values()
                self._by_service = priorities_by_service(
                    configuration.routes, (each.priority for each in tenants)
                )
        return self._by_service.get(service, _NO_PRIORITIES)

    def has_several(
        self,
        service: ids.ServiceId,
        configuration: tables.Configuration | None,
    ) -> bool:
        """Returns whether the requests of a service differ in priority."""
        return len(self.find(service, configuration)) > 1
