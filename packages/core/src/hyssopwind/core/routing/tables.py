"""A published configuration: routes, services and limits for callers."""

import dataclasses
from collections.abc import Mapping

from hyssopwind.core import ids
from hyssopwind.core.tenants import tenant_table


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One part of a split.

    Attributes:
        service: the service that gets the requests of the part.
        weight: its share relative to the weights of the other parts.
    """

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A rule for the requests below a path of a host.

    Attributes:
        name: unique name within the configuration.
        host: host name without a port, in lower case.
        prefix: start of the path, with a slash at both ends.
        is_idempotent: whether a request may run more than once.
        timeout_seconds: seconds for which a caller waits at most.
        latency_target_seconds: seconds within which an answer is most useful.
        priority: rank among the routes; 0 is the most urgent.
        max_attempts: number of servers that one request may be sent to.
        parts: the services that get the requests; a single one if the route is
            not split.
        regions: regions whose servers may be used; empty for all.
        is_public: whether its requests need no key of a tenant.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_seconds: float
    latency_target_seconds: float
    priority: int
    max_attempts: int
    parts: tuple[WeightedService, ...]
    regions: frozenset[str] = frozenset()
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfiguration:
    """Settings of a service in a published configuration.

    Attributes:
        health_path: path at which its servers answer probes.
        max_connections: connections that one server accepts from all callers.
        warmup_seconds: seconds for which a started server stays cold.
        warmup_requests_per_second: requests per second that a cold server
            tolerates.
    """

    health_path: str
    max_connections: int
    warmup_seconds: float
    warmup_requests_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send.

    Attributes:
        max_header_bytes: length of the longest request head.
        max_body_bytes: length of the longest request body.
        header_timeout_seconds: seconds from the first byte of a head to its
            last.
        idle_timeout_seconds: seconds for which an open connection may stay
            idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 8_000_000
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration that operators have published, at one version.

    Attributes:
        version: its version.
        routes: rules for the requests of callers.
        services: settings of the services.
        limits: limits on what a caller may send.
        tenants: the tenants and their keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ids.ServiceId, ServiceConfiguration]
    limits: CallerLimits
    tenants: tenant_table.TenantTable = dataclasses.field(
        default_factory=tenant_table.TenantTable
    )
