"""Deals the requests of a split route to its parts by weight.

Smooth weighted round robin: each turn every part gains its weight, the part
with the most is chosen and pays the sum of all weights. Over any run of turns
the shares differ from the weights by less than one turn for each part, which
independent random draws don't achieve for the few requests that one daemon
sees.
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
        >>> turns = [splitter.choose("r", parts) for _ in range(8)]
        >>> turns.count("a"), turns.count("b")
        (6, 2)
    """

    def __init__(self, randomness: random.Random):
        self._random = randomness
        self._credits: dict[str, dict[ids.ServiceId, float]] = {}

    def choose(
        self, route: str, parts: tuple[tables.WeightedService, ...]
    ) -> ids.ServiceId:
        """Returns the service for the next request of a route.

        Args:
            route: name of the route; a changed list of parts starts anew.
            parts: at least one part; weights of 0 get nothing.
        """
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        credits = self._credits.get(route)
        if credits is None or credits.keys() != {p.service for p in parts}:
            # A random start keeps daemons with few requests from all giving
            # their first ones to the same part.
            credits = {
                part.service: self._random.random() * total for part in parts
            }
            self._credits[route] = credits
        for part in parts:
            credits[part.service] += part.weight
        chosen = max(parts, key=lambda part: credits[part.service])
        credits[chosen.service] -= total
        return chosen.service
