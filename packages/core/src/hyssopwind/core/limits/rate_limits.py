"""The limits on the request rate of servers, from all sources.

A limit is a bound on the requests of all daemons together. Sources are
registered; the lowest of their limits holds.
"""

import math
from collections.abc import Callable
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import registry
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.limits import permit_issuer
from hyssopwind.core.limits import request_limits
from hyssopwind.core.limits import stated_limits

# Limit of cold servers of a service whose configuration is unknown.
DEFAULT_WARMUP_REQUESTS_PER_SECOND = 1.0
# With a burst of one, a server would stay unused after each gap in the demand.
STATED_BURST_COUNT = 2.0
# Period of the whole requests of a cold server, longer than a second, so that
# delays on the way do not bring one more into the same second.
WARMUP_PERIOD_SECONDS = 1.05


def make_warmup_limit(
    requests_per_second: float,
) -> request_limits.RateLimit:
    """Returns the limit of a cold server, which tolerates no bursts.

    No second contains more requests than the server tolerates.

    Examples:
        >>> make_warmup_limit(2.1)
        RateLimit(requests_per_second=1.9047619047619047, burst_count=1.0)
    """
    count = math.floor(requests_per_second)
    if count < 1:
        return request_limits.RateLimit(requests_per_second, 1.0)
    return request_limits.RateLimit(count / WARMUP_PERIOD_SECONDS, 1.0)


class RateLimits:
    """The limits of the servers in a catalogue.

    Attributes:
        stated: the limits that servers stated.
    """

    def __init__(
        self,
        server_catalogue: catalogue.Catalogue,
        stated: stated_limits.StatedLimits,
    ):
        self.stated = stated
        self._catalogue = server_catalogue
        self._cold_until: dict[ids.InstanceId, float] = {}

    def find(
        self, listed_server: catalogue.ListedServer, now: float
    ) -> request_limits.RateLimit | None:
        """Returns the limit of a server, if it has one."""
        lowest = None
        for name in SOURCES:
            limit = SOURCES.find(name)(self, listed_server, now)
            if limit is not None:
                lowest = limit if lowest is None else lowest.lower(limit)
        return lowest

    def limited_services(self, now: float) -> set[ids.ServiceId]:
        """Returns the services with servers that have limits."""
        return {
            listed_server.entry.service
            for listed_server in self._catalogue.listed_servers()
            if self.find(listed_server, now) is not None
        }

    def limited_servers(
        self, service: ids.ServiceId, now: float
    ) -> list[permit_issuer.Candidate]:
        """Returns the servers of a service that have limits."""
        found = []
        for listed_server in self._catalogue.usable_servers(service, now):
            limit = self.find(listed_server, now)
            if limit is not None:
                instance = listed_server.entry.instance
                found.append(permit_issuer.Candidate(instance, limit))
        return found

    def record_warmup(
        self, instance: ids.InstanceId, seconds: float, now: float
    ) -> bool:
        """Records how long a server stays cold, by its answer to a probe.

        Returns whether it was warm until then.
        """
        previous = self._cold_until.get(instance, now)
        self._cold_until[instance] = max(previous, now + seconds)
        return previous <= now

    def warmup_rate(
        self, listed_server: catalogue.ListedServer, now: float
    ) -> float | None:
        """Returns the requests per second that a cold server tolerates.

        `None` is returned for a warm server.
        """
        cold_until = max(
            listed_server.cold_until,
            self._cold_until.get(listed_server.entry.instance, now),
        )
        if cold_until <= now:
            return None
        service_settings = self._catalogue.service_settings(
            listed_server.entry.service
        )
        if service_settings is None:
            return DEFAULT_WARMUP_REQUESTS_PER_SECOND
        return service_settings.warmup_requests_per_second

    def retain(self, instances: set[ids.InstanceId]) -> None:
        """Drops what is known of all other servers."""
        self.stated.retain(instances)
        for instance in list(self._cold_until):
            if instance not in instances:
                del self._cold_until[instance]


Source: TypeAlias = Callable[
    [RateLimits, catalogue.ListedServer, float],
    request_limits.RateLimit | None,
]

SOURCES: "registry.Registry[str, Source]" = registry.Registry("limit source")


@SOURCES.register("stated")
def find_stated_limit(
    limits: RateLimits, listed_server: catalogue.ListedServer, now: float
) -> request_limits.RateLimit | None:
    """Returns the limit that a server states in its answers, if any."""
    rate = limits.stated.rate(listed_server.entry.instance, now)
    if rate is None:
        return None
    return request_limits.RateLimit(rate, STATED_BURST_COUNT)


@SOURCES.register("warm-up")
def find_warmup_limit(
    limits: RateLimits, listed_server: catalogue.ListedServer, now: float
) -> request_limits.RateLimit | None:
    """Returns the limit of a cold server; `None` if it is warm."""
    rate = limits.warmup_rate(listed_server, now)
    return None if rate is None else make_warmup_limit(rate)
