"""Which daemons may send to a cold server, and how often.

A cold server bears few requests a second over all daemons. Rendezvous
hashing names as many daemons for each cold server as it bears requests a
second; each of them sends one a second. All daemons that see the same fleet
agree without a message, and when two parts of a split fleet each name their
own, the sum is still within the overshoot that is allowed.
"""

import math
from collections.abc import Iterable

import xxhash

from hyssopwind.core import ids

SPACING = 1.05  # seconds between two requests of one daemon


def permitted_daemons(
    server: ids.ServerId, daemons: Iterable[ids.DaemonId], rate: float
) -> list[ids.DaemonId]:
    """Returns the daemons that may send to a cold server.

    Args:
        server: the cold server.
        daemons: the daemons that live.
        rate: requests a second that the server tolerates.

    Examples:
        >>> fleet = [ids.DaemonId(name) for name in "abcdef"]
        >>> len(permitted_daemons(ids.ServerId("s"), fleet, rate=3.4))
        3
    """
    count = max(1, math.floor(rate))
    ranked = sorted(
        daemons,
        key=lambda daemon: xxhash.xxh3_64_intdigest(
            f"{server}\0{daemon}".encode()
        ),
    )
    return ranked[:count]


class ColdPermits:
    """Spaces the requests of this daemon to cold servers.

    Examples:
        >>> permits = ColdPermits(ids.DaemonId("a"))
        >>> fleet = [ids.DaemonId("a")]
        >>> server = ids.ServerId("s")
        >>> permits.may_send(server, fleet, 1.0, now=0.0)
        True
        >>> permits.note_sent(server, now=0.0)
        >>> permits.may_send(server, fleet, 1.0, now=0.5)
        False
    """

    def __init__(self, daemon: ids.DaemonId):
        self._daemon = daemon
        self._sent: dict[ids.ServerId, float] = {}

    def may_send(
        self,
        server: ids.ServerId,
        daemons: Iterable[ids.DaemonId],
        rate: float,
        now: float,
    ) -> bool:
        """Whether this daemon may send a request to a cold server now."""
        last = self._sent.get(server)
        if last is not None and now - last < SPACING:
            return False
        return self._daemon in permitted_daemons(server, daemons, rate)

    def note_sent(self, server: ids.ServerId, now: float) -> None:
        """Notes a request to a server, cold or not."""
        self._sent[server] = now
        if len(self._sent) > 10_000:  # servers; twice the largest fleet
            self._sent.clear()
