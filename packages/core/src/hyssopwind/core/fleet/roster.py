"""Which daemons of the fleet live, and which of them lead a data centre.

Each data centre has a leader: the live daemon with the highest rendezvous
hash. Members send heartbeats to the first two in rank; the leader sends its
own to all members and to the leaders elsewhere. No agreement is needed: two
leaders cost some messages, and none is noticed by silence.

A heartbeat carries a digest of the daemons that its sender knows. The leader
lists them only to members with another digest; an equal one in the leader's
heartbeat confirms all that a member knows.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from hyssopwind.core import ids
from hyssopwind.core.fleet import messages

BEAT_INTERVAL = 0.5  # seconds
# Seconds without a message after which a daemon of the same data centre is
# passed over: two heartbeats.
SUSPECT_AFTER = 1.1
# Seconds after which it is forgotten. The leader confirms members with each
# heartbeat, and a leader that takes over does so two seconds later.
NEAR_LIFE = 3.0
# The same for other data centres, whose rosters repeat every five seconds.
FAR_LIFE = 12.0
# Seconds for which a daemon counts towards the size of the fleet.
SIZE_MEMORY = 60.0


@dataclasses.dataclass(slots=True)
class Peer:
    """A daemon that was heard of.

    Attributes:
        name: the daemon.
        ip: its IP address.
        data_centre: where it runs.
        heard_at: when it was last known to live.
        direct_at: when its last heartbeat came here.
        revision: revision of its copy.
        reads: whether its calls to the platform succeed.
        leaving: whether it is about to stop.
        roster: digest of the daemons that it knows; 0 before a heartbeat.
        rank: rendezvous hash of its name; the highest leads.
    """

    name: ids.DaemonId
    ip: str
    data_centre: ids.DataCentreId
    heard_at: float
    direct_at: float = float("-inf")
    revision: int = 0
    reads: bool = True
    leaving: bool = False
    roster: int = 0
    rank: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.rank = xxhash.xxh3_64_intdigest(self.name.encode())


class FleetRoster:
    """The daemons known to one of them, itself included."""

    def __init__(
        self,
        name: ids.DaemonId,
        ip: str,
        data_centre: ids.DataCentreId,
        now: float,
    ):
        self._own = Peer(name, ip, data_centre, now)
        self._peers: dict[ids.DaemonId, Peer] = {}
        self._seen: dict[ids.DaemonId, float] = {name: now}
        self._started = now
        self._digest: int | None = None

    @property
    def started(self) -> float:
        """When this daemon started."""
        return self._started

    def take_beat(self, beat: messages.Beat, now: float) -> bool:
        """Takes a heartbeat in; returns whether its sender is new."""
        name = ids.DaemonId(beat.name)
        if name == self._own.name:
            return False
        is_new = name not in self._peers
        peer = self._put(name, beat.ip, beat.data_centre, now)
        peer.direct_at = now
        peer.revision = beat.revision
        peer.reads = beat.reads
        if peer.leaving != beat.leaving:
            peer.leaving = beat.leaving
            self._digest = None
        peer.roster = beat.roster
        if beat.roster == self.digest() and peer is self.leader(now):
            self._confirm(now)
        return is_new

    def take_roster(self, roster: messages.Roster, now: float) -> bool:
        """Takes what another daemon has heard; returns whether any is new."""
        found_new = False
        for member in roster.members:
            name = ids.DaemonId(member.name)
            if name == self._own.name:
                continue
            heard_at = now - member.age_ms / 1000
            if now - heard_at > self._life(member.data_centre):
                continue
            found_new = found_new or name not in self._peers
            self._put(name, member.ip, member.data_centre, heard_at)
        return found_new

    def expire(self, now: float) -> list[ids.DaemonId]:
        """Forgets daemons that were not heard of; returns them."""
        ended = []
        for name, peer in self._peers.items():
            if now - peer.heard_at > self._life(peer.data_centre):
                ended.append(name)
        for name in ended:
            del self._peers[name]
            self._digest = None
        for name, seen in list(self._seen.items()):
            if now - seen > SIZE_MEMORY and name not in self._peers:
                del self._seen[name]
        self._seen[self._own.name] = now
        return ended

    def size(self) -> int:
        """Returns how many daemons lived lately, as far as known."""
        return len(self._seen)

    def peers(self) -> Iterable[Peer]:
        """Returns all other daemons."""
        return self._peers.values()

    def near(self) -> list[Peer]:
        """Returns the other daemons of the own data centre."""
        own = self._own.data_centre
        return [p for p in self._peers.values() if p.data_centre == own]

    def ranked(self, data_centre: ids.DataCentreId) -> list[Peer]:
        """Returns the daemons of a data centre, the leader first."""
        found = [
            peer
            for peer in self._peers.values()
            if peer.data_centre == data_centre and not peer.leaving
        ]
        if data_centre == self._own.data_centre and not self._own.leaving:
            found.append(self._own)
        found.sort(key=lambda peer: peer.rank, reverse=True)
        return found

    def leader(self, now: float) -> Peer | None:
        """Returns the leader of the own data centre, or `None` without one."""
        for peer in self.ranked(self._own.data_centre):
            if peer is self._own or now - peer.direct_at <= SUSPECT_AFTER:
                return peer
        return None

    def is_leader(self, now: float) -> bool:
        """Whether this daemon leads its data centre."""
        return self.leader(now) is self._own

    def digest(self) -> int:
        """Returns a digest of the daemons known, without those that leave."""
        if self._digest is None:
            known = [self._own, *self._peers.values()]
            names = sorted(f"{p.name}\0{p.ip}" for p in known if not p.leaving)
            self._digest = xxhash.xxh3_64_intdigest("\n".join(names).encode())
        return self._digest

    def differing(self) -> list[Peer]:
        """Returns the near daemons that know other daemons than this one."""
        digest = self.digest()
        return [peer for peer in self.near() if peer.roster != digest]

    def leaders(self, count: int) -> list[Peer]:
        """Returns the first in rank of the own data centre, without itself."""
        ranked = self.ranked(self._own.data_centre)
        return [peer for peer in ranked if peer is not self._own][:count]

    def far_leaders(self) -> list[Peer]:
        """Returns the leader of each other data centre."""
        centres = {peer.data_centre for peer in self._peers.values()}
        centres.discard(self._own.data_centre)
        return [self.ranked(c)[0] for c in sorted(centres) if self.ranked(c)]

    def daemons(self, data_centre: ids.DataCentreId) -> list[ids.DaemonId]:
        """Returns the daemons of a data centre, or all where it has none."""
        found = [peer.name for peer in self.ranked(data_centre)]
        if found:
            return found
        return [self._own.name, *self._peers]

    def leave(self) -> None:
        """Notes that this daemon is about to stop."""
        self._own.leaving = True
        self._digest = None

    def list_members(
        self, now: float, *, near_only: bool
    ) -> list[messages.Member]:
        """Returns the roster to send, this daemon included."""
        members = [_member(self._own, now, now)]
        for peer in self._peers.values():
            if near_only and peer.data_centre != self._own.data_centre:
                continue
            if peer.leaving:
                continue
            members.append(_member(peer, peer.heard_at, now))
        return members

    def _put(
        self,
        name: ids.DaemonId,
        ip: str,
        data_centre: str,
        heard_at: float,
    ) -> Peer:
        peer = self._peers.get(name)
        if peer is None or peer.ip != ip:
            peer = Peer(name, ip, ids.DataCentreId(data_centre), heard_at)
            self._peers[name] = peer
            self._digest = None
        peer.heard_at = max(peer.heard_at, heard_at)
        self._seen[name] = max(heard_at, self._seen.get(name, heard_at))
        return peer

    def _confirm(self, now: float) -> None:
        """Takes all daemons as heard of by the leader, an interval ago."""
        heard_at = now - BEAT_INTERVAL
        for name, peer in self._peers.items():
            peer.heard_at = max(peer.heard_at, heard_at)
            self._seen[name] = max(self._seen[name], heard_at)

    def _life(self, data_centre: str) -> float:
        if data_centre == self._own.data_centre:
            return NEAR_LIFE
        return FAR_LIFE


def _member(peer: Peer, heard_at: float, now: float) -> messages.Member:
    age = min(messages.MAX_AGE_MS, max(0, round((now - heard_at) * 1000)))
    return messages.Member(peer.name, peer.ip, peer.data_centre, age)
