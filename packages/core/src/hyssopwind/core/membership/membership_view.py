"""Membership view: the daemons that one daemon considers alive.

The VM list is published with a delay, so it only gives the addresses to
connect to. A daemon is alive if a recent heartbeat of it was received. It owns
no resources if its heartbeat or the VM list says that it is leaving.
"""

import dataclasses
from collections.abc import Mapping

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.membership import hashing
from hyssopwind.core.membership import vm_records
from hyssopwind.core.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Last heartbeat of another daemon.

    Attributes:
        sender: the process of the daemon.
        heartbeat: the last heartbeat that was received from it.
        last_heartbeat_at: monotonic time in seconds at which it was received.
    """

    sender: messages.DaemonIdentity
    heartbeat: messages.Heartbeat
    last_heartbeat_at: float


class MembershipView:
    """Stores the last heartbeat of each daemon and derives the owners."""

    def __init__(
        self,
        sender: messages.DaemonIdentity,
        settings: documents.DaemonSettings,
    ):
        self._sender = sender
        self._settings = settings
        self._peers: dict[ids.DaemonId, Peer] = {}
        self._entry_vms: Mapping[ids.DaemonId, vm_records.EntryVmRecord] = {}
        self._phase = messages.Phase.STARTING

    @property
    def phase(self) -> messages.Phase:
        """Phase of the life cycle of this daemon."""
        return self._phase

    @property
    def data_centre(self) -> ids.DataCentreId:
        """Data centre in which this daemon runs."""
        return ids.DataCentreId(self._settings.data_centre)

    def set_phase(self, phase: messages.Phase) -> None:
        """Sets the phase of this daemon."""
        self._phase = phase

    def set_entry_vms(
        self, entry_vms: Mapping[ids.DaemonId, vm_records.EntryVmRecord]
    ) -> None:
        """Replaces the entry VMs of the VM list."""
        self._entry_vms = entry_vms

    def heartbeat(
        self, revisions: Mapping[ids.TeamId, int]
    ) -> messages.Heartbeat:
        """Returns the heartbeat of this daemon."""
        return messages.Heartbeat(
            phase=self._phase,
            data_centre=self.data_centre,
            peers_address=self._settings.peers,
            callers_address=self._settings.callers,
            revisions={str(t): r for t, r in revisions.items()},
        )

    def record_heartbeat(
        self,
        sender: messages.DaemonIdentity,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> None:
        """Records a heartbeat of a peer; ignores those of this daemon."""
        if sender.daemon == self._sender.daemon:
            return
        self._peers[sender.daemon] = Peer(sender, heartbeat, now)

    def peer_addresses(self) -> dict[ids.DaemonId, str]:
        """Returns the addresses of the peers.

        An address from a heartbeat takes precedence over the VM list.
        """
        address_by_daemon = {
            name: record.peers for name, record in self._entry_vms.items()
        }
        for name, peer in self._peers.items():
            address_by_daemon[name] = peer.heartbeat.peers_address
        address_by_daemon.pop(self._sender.daemon, None)
        return address_by_daemon

    def find_live_peer(self, daemon: ids.DaemonId, now: float) -> Peer | None:
        """Returns a peer that is alive, or `None`."""
        peer = self._peers.get(daemon)
        if peer is None or not self._is_alive(peer, now):
            return None
        return peer

    def find_peer(self, daemon: ids.DaemonId) -> Peer | None:
        """Returns a peer, alive or not; `None` if it sent no heartbeat."""
        return self._peers.get(daemon)

    def live_peers(self, now: float) -> list[Peer]:
        """Returns the peers that are alive, in any phase."""
        return [p for p in self._peers.values() if self._is_alive(p, now)]

    def owner_candidates(
        self, now: float, data_centre: ids.DataCentreId | None = None
    ) -> list[ids.DaemonId]:
        """Returns the daemons that may own resources, this one included.

        Args:
            now: monotonic time in seconds.
            data_centre: if given, only the daemons there are returned, or all
                daemons if there is none.
        """
        candidates = []
        if self._phase is messages.Phase.SERVING:
            candidates.append((self._sender.daemon, self.data_centre))
        for peer in self.live_peers(now):
            if peer.heartbeat.phase is not messages.Phase.SERVING:
                continue
            if self._is_listed_leaving(peer.sender.daemon):
                continue
            centre = peer.heartbeat.data_centre
            candidates.append((peer.sender.daemon, centre))
        local = [name for name, centre in candidates if centre == data_centre]
        return local or [name for name, _ in candidates]

    def owner_of(
        self,
        resource: str,
        now: float,
        data_centre: ids.DataCentreId | None = None,
    ) -> ids.DaemonId | None:
        """Returns the daemon that should own a resource."""
        return hashing.choose_by_hash(
            resource, self.owner_candidates(now, data_centre)
        )

    def _is_alive(self, peer: Peer, now: float) -> bool:
        return (
            now - peer.last_heartbeat_at <= self._settings.cluster.suspect_after
        )

    def _is_listed_leaving(self, daemon: ids.DaemonId) -> bool:
        record = self._entry_vms.get(daemon)
        if record is None:
            return False
        return record.state is vm_records.VmState.LEAVING
