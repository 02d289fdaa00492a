"""Member list: the live daemons of the fleet and the leader of a data centre.

Each data centre has a leader, which reads the platform: the live daemon with
the widest link and, among those, the highest rendezvous hash. Members send
heartbeats to the first two in rank; the leader sends its own to all members and
to the leaders of other data centres. The daemons need not agree on the leader:
two leaders cost some messages, and the lack of one is detected by missing
heartbeats.

A heartbeat carries a digest of the member list of its sender. The leader sends
its member list only to members with a different digest; an equal digest in its
heartbeat confirms all daemons in the member list of the receiver.
"""

import dataclasses
import ipaddress
from collections.abc import Iterable

import xxhash

from hyssopwind.core import ids
from hyssopwind.core.fleet import gossip_messages

HEARTBEAT_INTERVAL_SECONDS = 0.5
# A daemon of the same data centre that has sent no heartbeat for two intervals
# and a margin is no longer regarded as the leader or as a reader.
SUSPECT_AFTER_SECONDS = 1.1
# The same for the leaders of other data centres, whose heartbeats come at half
# the rate.
REMOTE_SUSPECT_AFTER_SECONDS = 2.2
# A daemon of the same data centre is removed if nothing confirms it for this
# long. A leader confirms members with each heartbeat; after its failure the
# next leader does so two seconds later.
LOCAL_EXPIRY_SECONDS = 3.0
# The same for other data centres, whose leaders send member lists every 5 s.
REMOTE_EXPIRY_SECONDS = 12.0
# A removed daemon counts towards the size of the fleet for this long: it may
# only be cut off, and still send its share of the probes.
FLEET_SIZE_WINDOW_SECONDS = 60.0


@dataclasses.dataclass(slots=True)
class Peer:
    """A daemon in the member list. All times are monotonic.

    Attributes:
        name: name of the daemon.
        ip: IP address of the daemon.
        data_centre: data centre in which it runs.
        last_alive_at: time at which it was last known to be alive.
        last_heartbeat_at: time at which its last heartbeat was received.
        revision: position of its replica of the platform's items.
        has_store_access: whether its calls to the platform succeed.
        is_leaving: whether it is about to stop.
        member_digest: digest of its member list; 0 before its first heartbeat.
        link_mbps: width of the link of its VM in Mbit/s; 0 if unknown.
        is_receiving: whether it receives an answer of the platform.
        can_inflate: whether it can decode deflated pages.
        rank: rendezvous hash of its name, which orders daemons with links of
            the same width.
    """

    name: ids.DaemonId
    ip: str
    data_centre: ids.DataCentreId
    last_alive_at: float
    last_heartbeat_at: float = float("-inf")
    revision: int = 0
    has_store_access: bool = True
    is_leaving: bool = False
    member_digest: int = 0
    link_mbps: int = 0
    is_receiving: bool = False
    can_inflate: bool = False
    rank: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.rank = xxhash.xxh3_64_intdigest(self.name.encode())


class MemberList:
    """The daemons that one daemon considers alive, itself included."""

    def __init__(
        self,
        name: ids.DaemonId,
        ip: str,
        data_centre: ids.DataCentreId,
        now: float,
        link_mbps: int = 0,
    ):
        self._own = Peer(name, ip, data_centre, now, link_mbps=link_mbps)
        self._peers: dict[ids.DaemonId, Peer] = {}
        self._last_alive_by_name: dict[ids.DaemonId, float] = {name: now}
        self._started_at = now
        self._digest: int | None = None

    @property
    def started_at(self) -> float:
        """Monotonic time at which this daemon started."""
        return self._started_at

    def handle_heartbeat(
        self, heartbeat: gossip_messages.Heartbeat, now: float
    ) -> bool:
        """Handles a heartbeat; returns whether its sender is new."""
        name = ids.DaemonId(heartbeat.name)
        if name == self._own.name or not _is_ip_address(heartbeat.ip):
            return False
        is_new = name not in self._peers
        peer = self._put_peer(name, heartbeat.ip, heartbeat.data_centre, now)
        peer.last_heartbeat_at = now
        peer.link_mbps = max(0, heartbeat.link_mbps)
        peer.can_inflate = heartbeat.link_mbps >= 0
        peer.is_receiving = heartbeat.is_receiving
        peer.revision = heartbeat.position
        peer.has_store_access = heartbeat.has_store_access
        if peer.is_leaving != heartbeat.is_leaving:
            peer.is_leaving = heartbeat.is_leaving
            self._digest = None
        peer.member_digest = heartbeat.member_digest
        if heartbeat.member_digest == self.digest() and peer is self.leader(
            now
        ):
            self._confirm_all(now)
        return is_new

    def handle_member_list_page(
        self, page: gossip_messages.MemberListPage, now: float
    ) -> bool:
        """Handles a page of a member list; returns whether a daemon is new."""
        found_new = False
        widths = page.link_mbps
        if len(widths) != len(page.members):
            widths = [0] * len(page.members)
        for member, link_mbps in zip(page.members, widths, strict=True):
            name = ids.DaemonId(member.name)
            if name == self._own.name or not _is_ip_address(member.ip):
                continue
            last_alive_at = now - member.age_ms / 1000
            if now - last_alive_at > self._expiry_seconds(member.data_centre):
                continue
            found_new = found_new or name not in self._peers
            peer = self._put_peer(
                name, member.ip, member.data_centre, last_alive_at
            )
            peer.link_mbps = link_mbps or peer.link_mbps
        return found_new

    def remove_expired(self, now: float) -> list[ids.DaemonId]:
        """Removes the daemons not confirmed in time and returns their names."""
        expired = []
        for name, peer in self._peers.items():
            if now - peer.last_alive_at > self._expiry_seconds(
                peer.data_centre
            ):
                expired.append(name)
        for name in expired:
            del self._peers[name]
            self._digest = None
        for name, last_alive_at in list(self._last_alive_by_name.items()):
            if (
                now - last_alive_at > FLEET_SIZE_WINDOW_SECONDS
                and name not in self._peers
            ):
                del self._last_alive_by_name[name]
        self._last_alive_by_name[self._own.name] = now
        return expired

    @property
    def link_mbps(self) -> int:
        """Width of the link of this VM in Mbit/s; 0 if unknown."""
        return self._own.link_mbps

    def fleet_size(self) -> int:
        """Returns the number of daemons that were alive in the last minute."""
        return len(self._last_alive_by_name)

    def find(self, name: ids.DaemonId) -> Peer | None:
        """Returns another daemon, or `None` if it is not in the list."""
        return self._peers.get(name)

    def live_daemons(self) -> list[ids.DaemonId]:
        """Returns the names of the daemons that are not about to stop."""
        members = [self._own, *self._peers.values()]
        return [member.name for member in members if not member.is_leaving]

    def live_daemons_by_centre(
        self,
    ) -> list[tuple[ids.DaemonId, ids.DataCentreId]]:
        """Returns the live daemons, as `live_daemons`, and where they run."""
        members = [self._own, *self._peers.values()]
        return [
            (member.name, member.data_centre)
            for member in members
            if not member.is_leaving
        ]

    def peers(self) -> Iterable[Peer]:
        """Returns the other daemons."""
        return self._peers.values()

    def local_peers(self) -> list[Peer]:
        """Returns the other daemons of the own data centre."""
        own_centre = self._own.data_centre
        return [p for p in self._peers.values() if p.data_centre == own_centre]

    def ranked_daemons(self, data_centre: ids.DataCentreId) -> list[Peer]:
        """Returns the daemons of a data centre, highest rank first.

        Daemons that are about to stop are left out.
        """
        found = [
            peer
            for peer in self._peers.values()
            if peer.data_centre == data_centre and not peer.is_leaving
        ]
        if data_centre == self._own.data_centre and not self._own.is_leaving:
            found.append(self._own)
        found.sort(key=lambda peer: (peer.link_mbps, peer.rank), reverse=True)
        return found

    def leader(self, now: float) -> Peer | None:
        """Returns the leader of the own data centre, or `None` without one.

        It is the first in rank that is this daemon or sent a heartbeat in time.
        """
        for peer in self.ranked_daemons(self._own.data_centre):
            if (
                peer is self._own
                or now - peer.last_heartbeat_at <= SUSPECT_AFTER_SECONDS
            ):
                return peer
        return None

    def is_leader(self, now: float) -> bool:
        """Whether this daemon leads its data centre."""
        return self.leader(now) is self._own

    def digest(self) -> int:
        """Returns a digest of the daemons that are not about to stop."""
        if self._digest is None:
            members = [self._own, *self._peers.values()]
            lines = sorted(
                f"{p.name}\0{p.ip}" for p in members if not p.is_leaving
            )
            self._digest = xxhash.xxh3_64_intdigest("\n".join(lines).encode())
        return self._digest

    def peers_with_other_digest(self) -> list[Peer]:
        """Returns the local daemons whose member list has another digest."""
        digest = self.digest()
        return [
            peer for peer in self.local_peers() if peer.member_digest != digest
        ]

    def highest_ranked_peers(self, count: int) -> list[Peer]:
        """Returns the first `count` peers in rank of the own data centre."""
        ranked = self.ranked_daemons(self._own.data_centre)
        return [peer for peer in ranked if peer is not self._own][:count]

    def remote_leaders(self, now: float) -> list[Peer]:
        """Returns the likely leader of each other data centre.

        It is the first in rank that sent a heartbeat in time, or else the first
        in rank.
        """
        centres = {peer.data_centre for peer in self._peers.values()}
        centres.discard(self._own.data_centre)
        leaders = []
        for centre in sorted(centres):
            ranked = self.ranked_daemons(centre)
            heard = [
                peer
                for peer in ranked
                if now - peer.last_heartbeat_at <= REMOTE_SUSPECT_AFTER_SECONDS
            ]
            leaders.extend((heard or ranked)[:1])
        return leaders

    def daemon_ids(self, data_centre: ids.DataCentreId) -> list[ids.DaemonId]:
        """Returns the names of the daemons of a data centre.

        If the data centre has none, the names of all daemons are returned.
        """
        found = [peer.name for peer in self.ranked_daemons(data_centre)]
        if found:
            return found
        return [self._own.name, *self._peers]

    def mark_leaving(self) -> None:
        """Marks this daemon as about to stop."""
        self._own.is_leaving = True
        self._digest = None

    def list_members(
        self, now: float, *, local_only: bool
    ) -> list[gossip_messages.Member]:
        """Returns the members to send to peers, this daemon included."""
        members = [_make_member(self._own, now, now)]
        for peer in self._peers.values():
            if local_only and peer.data_centre != self._own.data_centre:
                continue
            if peer.is_leaving:
                continue
            members.append(_make_member(peer, peer.last_alive_at, now))
        return members

    def link_widths(self, members: list[gossip_messages.Member]) -> list[int]:
        """Returns the widths of links for a page; empty if all are unknown."""
        widths = []
        for member in members:
            peer = self._peers.get(ids.DaemonId(member.name))
            widths.append(peer.link_mbps if peer else self._own.link_mbps)
        return widths if any(widths) else []

    def _put_peer(
        self,
        name: ids.DaemonId,
        ip: str,
        data_centre: str,
        last_alive_at: float,
    ) -> Peer:
        peer = self._peers.get(name)
        if peer is None or peer.ip != ip:
            peer = Peer(name, ip, ids.DataCentreId(data_centre), last_alive_at)
            self._peers[name] = peer
            self._digest = None
        peer.last_alive_at = max(peer.last_alive_at, last_alive_at)
        self._last_alive_by_name[name] = max(
            last_alive_at, self._last_alive_by_name.get(name, last_alive_at)
        )
        return peer

    def _confirm_all(self, now: float) -> None:
        """Records that all daemons were alive one heartbeat interval ago.

        The leader may have received their heartbeats that long ago.
        """
        last_alive_at = now - HEARTBEAT_INTERVAL_SECONDS
        for name, peer in self._peers.items():
            peer.last_alive_at = max(peer.last_alive_at, last_alive_at)
            self._last_alive_by_name[name] = max(
                self._last_alive_by_name[name], last_alive_at
            )

    def _expiry_seconds(self, data_centre: str) -> float:
        if data_centre == self._own.data_centre:
            return LOCAL_EXPIRY_SECONDS
        return REMOTE_EXPIRY_SECONDS


def _is_ip_address(text: str) -> bool:
    """Whether a message names an address, to which messages may be sent."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _make_member(
    peer: Peer, last_alive_at: float, now: float
) -> gossip_messages.Member:
    age_ms = min(
        gossip_messages.MAX_AGE_MS, max(0, round((now - last_alive_at) * 1000))
    )
    return gossip_messages.Member(peer.name, peer.ip, peer.data_centre, age_ms)
