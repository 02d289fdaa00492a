"""Distributes the requests of a split route over its parts by weight.

Smooth weighted round robin: for each request every part gains its weight as
credit, the part with the highest credit is chosen and its credit is reduced by
the sum of all weights. Over any sequence of requests the shares differ from
the weights by less than one request for each part. Independent random draws
do not achieve this for the few requests that one daemon gets.
"""

import random

from hyssopwind.core import ids
from hyssopwind.core.routing import tables


class Splitter:
    """Chooses the service of each request of split routes.

    Examples:
        >>> parts = (
        ...     tables.WeightedService(ids.ServiceId("a"), 3),
        ...     tables.WeightedService(ids.ServiceId("b"), 1),
        ... )
        >>> splitter = Splitter(random.Random(1))
        >>> chosen = [splitter.choose("r", parts) for _ in range(8)]
        >>> chosen.count("a"), chosen.count("b")
        (6, 2)
    """

    def __init__(self, random_source: random.Random):
        self._random_source = random_source
        self._credits: dict[str, dict[ids.ServiceId, float]] = {}

    def choose(
        self, route_name: str, parts: tuple[tables.WeightedService, ...]
    ) -> ids.ServiceId:
        """Returns the service for the next request of a route.

        Args:
            route_name: name of the route; its credits are reset when the
                services of its parts change.
            parts: at least one part; a part of weight 0 gets no requests.
        """
        if len(parts) == 1:
            return parts[0].service
        total_weight = sum(part.weight for part in parts)
        credits = self._credits.get(route_name)
        if credits is None or credits.keys() != {p.service for p in parts}:
            # Random initial credits keep daemons with few requests from all
            # sending their first requests to the same part.
            credits = {
                part.service: self._random_source.random() * total_weight
                for part in parts
            }
            self._credits[route_name] = credits
        for part in parts:
            credits[part.service] += part.weight
        chosen = max(parts, key=lambda part: credits[part.service])
        credits[chosen.service] -= total_weight
        return chosen.service
