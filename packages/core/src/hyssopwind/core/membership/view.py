"""The daemons that are alive as one daemon sees them.

The list of VMs lags, so it only says whom to greet. Who counts as alive is
decided by heartbeats; a daemon that says or is said to leave owns nothing.
"""

import dataclasses
from collections.abc import Mapping

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.membership import hashing
from hyssopwind.core.membership import machines
from hyssopwind.core.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """What the last heartbeat of a daemon said.

    Attributes:
        sender: the process.
        heartbeat: its last heartbeat.
        heard: monotonic time of the heartbeat, in seconds.
    """

    sender: messages.Sender
    heartbeat: messages.Heartbeat
    heard: float


class MembershipView:
    """Keeps the last heartbeat of each daemon."""

    def __init__(
        self,
        sender: messages.Sender,
        settings: documents.DaemonSettings,
    ):
        self._sender = sender
        self._settings = settings
        self._peers: dict[ids.DaemonId, Peer] = {}
        self._listed: Mapping[ids.DaemonId, machines.EntryRecord] = {}
        self._phase = messages.Phase.STARTING

    @property
    def phase(self) -> messages.Phase:
        """Where this daemon is in its life."""
        return self._phase

    @property
    def data_centre(self) -> ids.DataCentreId:
        """Where this daemon runs."""
        return ids.DataCentreId(self._settings.data_centre)

    def set_phase(self, phase: messages.Phase) -> None:
        """Moves this daemon to another phase."""
        self._phase = phase

    def set_listed(
        self, entries: Mapping[ids.DaemonId, machines.EntryRecord]
    ) -> None:
        """Takes the entry VMs of the list of VMs."""
        self._listed = entries

    def heartbeat(
        self, revisions: Mapping[ids.TeamId, int]
    ) -> messages.Heartbeat:
        """Returns the heartbeat of this daemon."""
        return messages.Heartbeat(
            phase=self._phase,
            data_centre=self.data_centre,
            peers=self._settings.peers,
            callers=self._settings.callers,
            revisions={str(t): r for t, r in revisions.items()},
        )

    def observe(
        self,
        sender: messages.Sender,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> None:
        """Takes the heartbeat of a peer."""
        if sender.daemon == self._sender.daemon:
            return
        self._peers[sender.daemon] = Peer(sender, heartbeat, now)

    def addresses(self) -> dict[ids.DaemonId, str]:
        """Returns where to greet each daemon that is listed or was heard."""
        known = {name: record.peers for name, record in self._listed.items()}
        for name, peer in self._peers.items():
            known[name] = peer.heartbeat.peers
        known.pop(self._sender.daemon, None)
        return known

    def find_peer(self, daemon: ids.DaemonId, now: float) -> Peer | None:
        """Returns a peer that was heard lately, or `None`."""
        peer = self._peers.get(daemon)
        if peer is None or not self._is_heard(peer, now):
            return None
        return peer

    def last_heard(self, daemon: ids.DaemonId) -> Peer | None:
        """Returns the last heartbeat of a peer, however old."""
        return self._peers.get(daemon)

    def live_peers(self, now: float) -> list[Peer]:
        """Returns the peers that were heard lately, in any phase."""
        return [p for p in self._peers.values() if self._is_heard(p, now)]

    def owners(
        self, now: float, data_centre: ids.DataCentreId | None = None
    ) -> list[ids.DaemonId]:
        """Returns the daemons that may own resources, this one included.

        Args:
            now: monotonic time in seconds.
            data_centre: where given, only the daemons there; all daemons
                where none is there.
        """
        candidates = []
        if self._phase is messages.Phase.SERVING:
            candidates.append((self._sender.daemon, self.data_centre))
        for peer in self.live_peers(now):
            if peer.heartbeat.phase is not messages.Phase.SERVING:
                continue
            if self._is_listed_leaving(peer.sender.daemon):
                continue
            place = peer.heartbeat.data_centre
            candidates.append((peer.sender.daemon, place))
        near = [name for name, place in candidates if place == data_centre]
        return near or [name for name, _ in candidates]

    def owner_of(
        self,
        resource: str,
        now: float,
        data_centre: ids.DataCentreId | None = None,
    ) -> ids.DaemonId | None:
        """Returns the daemon that should own a resource."""
        return hashing.choose_by_hash(resource, self.owners(now, data_centre))

    def _is_heard(self, peer: Peer, now: float) -> bool:
        return now - peer.heard <= self._settings.cluster.suspect_after

    def _is_listed_leaving(self, daemon: ids.DaemonId) -> bool:
        record = self._listed.get(daemon)
        if record is None:
            return False
        return record.state is machines.MachineState.LEAVING
