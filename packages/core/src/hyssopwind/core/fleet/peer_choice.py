"""Chooses the peer to which a daemon hands a request that it cannot serve.

A partition often concerns many daemons of a data centre, and the notices of
some may not have arrived. So only half of the requests go to peers of the own
data centre, and fewer if more of its daemons are cut off than are left to serve
for them. Of two random peers the one with fewer requests of this daemon is
taken.
"""

import collections
import random
from collections.abc import Collection
from collections.abc import Iterable

from hyssopwind.core import ids
from hyssopwind.core.fleet import fleet_members

MAX_IN_FLIGHT = 32  # requests of this daemon at one peer
# Ratio of the requests that go to peers of the own data centre, if any others
# can serve too.
LOCAL_RATIO = 0.5
# A notice of a peer that is cut off is repeated every second.
CUT_OFF_MEMORY_SECONDS = 3.0
# The same for a peer to which no connection could be made.
UNCONNECTED_MEMORY_SECONDS = 2.0


class PeerChoice:
    """Which peers serve requests for this daemon, and how many each has."""

    def __init__(self, data_centre: ids.DataCentreId):
        self._data_centre = data_centre
        self._avoided_until: dict[ids.DaemonId, float] = {}
        self._cut_off_until: dict[ids.DaemonId, float] = {}
        self._in_flight: collections.Counter[ids.DaemonId] = (
            collections.Counter()
        )

    def choose(
        self,
        peers: Iterable[fleet_members.Peer],
        tried: Collection[ids.DaemonId],
        random_source: random.Random,
        now: float,
    ) -> fleet_members.Peer | None:
        """Returns a peer, or `None` if none may be able to serve.

        Args:
            peers: the peers that may get the request.
            tried: peers that it was handed to before.
            random_source: source of randomness.
            now: monotonic time in seconds.
        """
        local: list[fleet_members.Peer] = []
        remote: list[fleet_members.Peer] = []
        local_cut_off_count = 1  # this daemon
        for peer in peers:
            is_local = peer.data_centre == self._data_centre
            if now < self._avoided_until.get(peer.name, now):
                local_cut_off_count += is_local
                continue
            if (
                peer.is_leaving
                or peer.name in tried
                or self._in_flight[peer.name] >= MAX_IN_FLIGHT
            ):
                continue
            (local if is_local else remote).append(peer)
        if not local and not remote:
            return None
        local_ratio = LOCAL_RATIO * min(1.0, len(local) / local_cut_off_count)
        if not remote:
            local_ratio = 1.0
        eligible = local if random_source.random() < local_ratio else remote
        drawn = random_source.sample(eligible, min(2, len(eligible)))
        return min(drawn, key=lambda peer: self._in_flight[peer.name])

    def record_start(self, name: ids.DaemonId) -> None:
        """Records that a request is handed to a peer."""
        self._in_flight[name] += 1

    def record_end(self, name: ids.DaemonId) -> None:
        """Records that a request is no longer at a peer."""
        self._in_flight[name] -= 1
        if self._in_flight[name] <= 0:
            del self._in_flight[name]

    def record_cut_off(
        self, name: ids.DaemonId, now: float, *, is_cut_off: bool = True
    ) -> None:
        """Records whether a peer is cut off from the servers."""
        if is_cut_off:
            self._avoided_until[name] = now + CUT_OFF_MEMORY_SECONDS
            self._cut_off_until[name] = now + CUT_OFF_MEMORY_SECONDS
        else:
            self._avoided_until.pop(name, None)
            self._cut_off_until.pop(name, None)

    def cut_off_count(self, now: float) -> int:
        """Returns the number of peers that are cut off from the servers."""
        for name, ends_at in list(self._cut_off_until.items()):
            if ends_at <= now:
                del self._cut_off_until[name]
        return len(self._cut_off_until)

    def record_unconnected(self, name: ids.DaemonId, now: float) -> None:
        """Records that no connection to a peer could be made."""
        self._avoided_until[name] = now + UNCONNECTED_MEMORY_SECONDS
