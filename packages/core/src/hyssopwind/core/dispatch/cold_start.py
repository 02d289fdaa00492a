"""Limits the requests that the daemons send to cold servers.

A cold server tolerates few requests per second from all daemons together.
Rendezvous hashing permits as many daemons for each cold server as it tolerates
requests per second, and each of them sends one per second. Daemons with the
same view of the fleet agree without messages. If the fleet is partitioned into
two parts that each permit their own daemons, the sum is still within the
allowed overshoot.
"""

import math
from collections.abc import Iterable

import xxhash

from hyssopwind.core import ids

# Shortest time between two requests of one daemon to a cold server.
MIN_SPACING_SECONDS = 1.05


def permitted_daemons(
    server: ids.ServerId,
    daemons: Iterable[ids.DaemonId],
    requests_per_second: float,
) -> list[ids.DaemonId]:
    """Returns the daemons that may send to a cold server.

    Args:
        server: the cold server.
        daemons: the live daemons.
        requests_per_second: requests per second that the server tolerates
            from all daemons together.

    Examples:
        >>> daemons = [ids.DaemonId(name) for name in "abcdef"]
        >>> server = ids.ServerId("s")
        >>> len(permitted_daemons(server, daemons, requests_per_second=3.4))
        3
    """
    count = max(1, math.floor(requests_per_second))
    ranked = sorted(
        daemons,
        key=lambda daemon: xxhash.xxh3_64_intdigest(
            f"{server}\0{daemon}".encode()
        ),
    )
    return ranked[:count]


class ColdStartLimiter:
    """Limits the rate of requests of this daemon to cold servers.

    Examples:
        >>> limiter = ColdStartLimiter(ids.DaemonId("a"))
        >>> daemons = [ids.DaemonId("a")]
        >>> server = ids.ServerId("s")
        >>> limiter.may_send(server, daemons, 1.0, now=0.0)
        True
        >>> limiter.record_sent(server, now=0.0)
        >>> limiter.may_send(server, daemons, 1.0, now=0.5)
        False
    """

    def __init__(self, daemon: ids.DaemonId):
        self._daemon = daemon
        self._sent_at: dict[ids.ServerId, float] = {}

    def may_send(
        self,
        server: ids.ServerId,
        daemons: Iterable[ids.DaemonId],
        requests_per_second: float,
        now: float,
    ) -> bool:
        """Returns whether this daemon may send to a cold server now."""
        last_sent_at = self._sent_at.get(server)
        if (
            last_sent_at is not None
            and now - last_sent_at < MIN_SPACING_SECONDS
        ):
            return False
        return self._daemon in permitted_daemons(
            server, daemons, requests_per_second
        )

    def record_sent(self, server: ids.ServerId, now: float) -> None:
        """Records a request sent to a server, whether cold or warm."""
        self._sent_at[server] = now
        if len(self._sent_at) > 10_000:  # servers; twice the largest fleet
            self._sent_at.clear()
