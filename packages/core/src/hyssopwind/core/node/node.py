"""A node: all decisions of one daemon.

The node takes messages, lists, settings and the passing of time, and gives
messages and events. It performs no input or output, so that tests run many
nodes on one virtual clock.
"""

import random
from collections.abc import Callable
from typing import Any
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import registry
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.configuration import store
from hyssopwind.core.membership import machines
from hyssopwind.core.membership import view
from hyssopwind.core.node import configuring
from hyssopwind.core.node import context
from hyssopwind.core.node import events
from hyssopwind.core.node import moments
from hyssopwind.core.node import owning
from hyssopwind.core.node import pooling
from hyssopwind.core.placement import data_centres
from hyssopwind.core.pools import member
from hyssopwind.core.settings import documents

PAUSE = 0.25  # seconds between two ticks that count as a pause of the process

Handler: TypeAlias = Callable[
    ["Node", messages.Sender, Any, moments.Moment], None
]
_HANDLERS: registry.Registry[type, Handler] = registry.Registry(
    "message handler"
)


class Node:
    """The decisions of one daemon in one life."""

    def __init__(
        self,
        sender: messages.Sender,
        settings: documents.DaemonSettings,
        generator: random.Random,
        monitor: invariants.InvariantMonitor,
        now: float,
        make_member: pooling.MemberFactory = member.PoolMember,
    ):
        self._shared = context.Context(sender, settings, generator, monitor)
        self._keys = owning.OwningPart(self._shared, now)
        self._pools = pooling.PoolingPart(self._shared, self._keys, make_member)
        self._configuration = configuring.ConfiguringPart(self._shared)
        self._quarantine = quarantine.CrashQuarantine()
        self._returns = data_centres.Returns()
        self._beat = float("-inf")
        self._ticked = now
        self._owners_seen: tuple[object, ...] = ()

    @property
    def sender(self) -> messages.Sender:
        """The process."""
        return self._shared.sender

    @property
    def generator(self) -> random.Random:
        """The source of randomness."""
        return self._shared.generator

    @property
    def members(self) -> view.MembershipView:
        """The daemons that are alive."""
        return self._shared.members

    @property
    def keys(self) -> owning.OwningPart:
        """Tickets, keys and leases."""
        return self._keys

    @property
    def pools(self) -> pooling.PoolingPart:
        """Used and owned pools."""
        return self._pools

    @property
    def configuration(self) -> configuring.ConfiguringPart:
        """The settings."""
        return self._configuration

    @property
    def quarantine(self) -> quarantine.CrashQuarantine:
        """The requests that crash servers."""
        return self._quarantine

    @property
    def returns(self) -> data_centres.Returns:
        """The data centres that came back."""
        return self._returns

    @property
    def monitor(self) -> invariants.InvariantMonitor:
        """The counter of breaches."""
        return self._shared.monitor

    def set_phase(self, phase: messages.Phase, moment: moments.Moment) -> None:
        """Moves the daemon to another phase of its life and tells the peers."""
        self.members.set_phase(phase)
        self._send_heartbeats(moment.now)
        self._follow_membership(moment.now)
        self._deliver_own(moment)

    def receive(
        self, envelope: messages.Envelope, moment: moments.Moment
    ) -> None:
        """Takes a message of a peer."""
        self._handle(envelope.sender, envelope.body, moment)
        self._deliver_own(moment)

    def take_settings_listing(
        self,
        listing: list[store.TeamDocument],
        revision: int,
        moment: moments.Moment,
    ) -> None:
        """Takes a whole listing of the configuration service."""
        self._configuration.take_listing(listing, revision)
        self._follow_settings(moment)

    def take_settings_document(
        self, document: store.TeamDocument, moment: moments.Moment
    ) -> None:
        """Takes a changed document of the configuration service."""
        self._configuration.take_document(document)
        self._follow_settings(moment)

    def take_machines(
        self, listing: machines.MachineList, moment: moments.Moment
    ) -> None:
        """Takes a list of VMs."""
        self._pools.take_machines(listing, moment.now)
        self._deliver_own(moment)

    def tick(self, moment: moments.Moment) -> None:
        """Takes the passing of time; called every few milliseconds."""
        if moment.now - self._ticked > PAUSE:
            self._pools.forget_summaries()
        self._ticked = moment.now
        if moment.now - self._beat >= self._shared.settings.cluster.heartbeat:
            self._beat = moment.now
            self._send_heartbeats(moment.now)
            self._follow_membership(moment.now)
            self._keys.tick(moment)
            self._pools.refresh_members(moment.now)
        self._pools.tick(moment.now)
        self._deliver_own(moment)

    def note_crash(
        self,
        fingerprint: ids.Fingerprint,
        sent: float,
        moment: moments.Moment,
    ) -> None:
        """Counts a crash and tells the other daemons."""
        if self._quarantine.note_crash(fingerprint, sent, moment.now):
            self._notify_crashes(fingerprint, 1, moment.now)

    def note_survived(
        self,
        fingerprint: ids.Fingerprint,
        sent: float,
        moment: moments.Moment,
    ) -> None:
        """Clears a suspected request, also at the other daemons."""
        if self._quarantine.note_completed(fingerprint, sent, moment.now):
            self._notify_crashes(fingerprint, 0, moment.now)

    def run_own_messages(self, moment: moments.Moment) -> None:
        """Handles what the node sent to itself."""
        self._deliver_own(moment)

    def take_outgoing(self) -> list[messages.Outgoing]:
        """Takes the messages for other daemons."""
        return self._shared.take_outgoing()

    def take_events(self) -> list[events.Event]:
        """Takes the events."""
        return self._shared.take_events()

    def _notify_crashes(
        self, fingerprint: ids.Fingerprint, crashes: int, now: float
    ) -> None:
        notice = messages.CrashNotice(fingerprint=fingerprint, crashes=crashes)
        self._shared.broadcast(notice, now)

    def _handle(
        self,
        sender: messages.Sender,
        body: messages.AnyMessage,
        moment: moments.Moment,
    ) -> None:
        _HANDLERS.find(type(body))(self, sender, body, moment)

    def _deliver_own(self, moment: moments.Moment) -> None:
        while True:
            body = self._shared.take_own()
            if body is None:
                return
            self._handle(self.sender, body, moment)

    def _send_heartbeats(self, now: float) -> None:
        heartbeat = self.members.heartbeat(
            self._configuration.documents.revisions
        )
        for daemon in self.members.addresses():
            self._shared.send(daemon, heartbeat)

    def _follow_membership(self, now: float) -> None:
        """Moves pools to other owners where the live daemons changed."""
        seen: list[object] = [self.members.phase]
        for peer in self.members.live_peers(now):
            seen.append((peer.sender, peer.heartbeat.phase))
        key = tuple(sorted(seen, key=str))
        if key == self._owners_seen:
            return
        self._owners_seen = key
        self._pools.update_owners(now)

    def _follow_settings(self, moment: moments.Moment) -> None:
        settings = self._configuration.documents.snapshot
        self._returns.note_settings(settings, moment.now)
        self._pools.take_settings(settings, moment.now)
        self._deliver_own(moment)

    @_HANDLERS.register(messages.Heartbeat)
    def _on_heartbeat(
        self,
        sender: messages.Sender,
        heartbeat: messages.Heartbeat,
        moment: moments.Moment,
    ) -> None:
        is_new = self.members.find_peer(sender.daemon, moment.now) is None
        self.members.observe(sender, heartbeat, moment.now)
        self._configuration.take_heartbeat(sender, heartbeat)
        self._follow_membership(moment.now)
        if is_new:
            answer = self.members.heartbeat(
                self._configuration.documents.revisions
            )
            self._shared.send(sender.daemon, answer)

    @_HANDLERS.register(messages.Documents)
    def _on_documents(
        self,
        sender: messages.Sender,
        message: messages.Documents,
        moment: moments.Moment,
    ) -> None:
        before = self._configuration.documents.snapshot
        self._configuration.take_documents(message)
        if self._configuration.documents.snapshot is not before:
            self._follow_settings(moment)

    @_HANDLERS.register(messages.LeaseRequest)
    def _on_lease_request(
        self,
        sender: messages.Sender,
        message: messages.LeaseRequest,
        moment: moments.Moment,
    ) -> None:
        self._keys.take_lease_request(sender, message, moment.now)

    @_HANDLERS.register(messages.LeaseReply)
    def _on_lease_reply(
        self,
        sender: messages.Sender,
        message: messages.LeaseReply,
        moment: moments.Moment,
    ) -> None:
        self._keys.take_lease_reply(sender, message, moment)

    @_HANDLERS.register(messages.LeaseRelease)
    def _on_lease_release(
        self,
        sender: messages.Sender,
        message: messages.LeaseRelease,
        moment: moments.Moment,
    ) -> None:
        self._keys.take_lease_release(sender, message)

    @_HANDLERS.register(messages.TransferRequest)
    def _on_transfer_request(
        self,
        sender: messages.Sender,
        message: messages.TransferRequest,
        moment: moments.Moment,
    ) -> None:
        self._keys.take_transfer_request(sender, message, moment)

    @_HANDLERS.register(messages.Transfer)
    def _on_transfer(
        self,
        sender: messages.Sender,
        message: messages.Transfer,
        moment: moments.Moment,
    ) -> None:
        self._keys.take_transfer(sender, message, moment.now)

    @_HANDLERS.register(messages.Settled)
    def _on_settled(
        self,
        sender: messages.Sender,
        message: messages.Settled,
        moment: moments.Moment,
    ) -> None:
        self._keys.take_settled(message, moment.now)

    @_HANDLERS.register(messages.Tell)
    def _on_tell(
        self,
        sender: messages.Sender,
        message: messages.Tell,
        moment: moments.Moment,
    ) -> None:
        self._pools.take_tell(sender, message, moment.now)

    @_HANDLERS.register(messages.Ask)
    def _on_ask(
        self,
        sender: messages.Sender,
        message: messages.Ask,
        moment: moments.Moment,
    ) -> None:
        self._pools.take_ask(sender, message, moment.now)

    @_HANDLERS.register(messages.Withdrawal)
    def _on_withdrawal(
        self,
        sender: messages.Sender,
        message: messages.Withdrawal,
        moment: moments.Moment,
    ) -> None:
        self._pools.take_withdrawal(sender, message)

    @_HANDLERS.register(messages.Grant)
    def _on_grant(
        self,
        sender: messages.Sender,
        message: messages.Grant,
        moment: moments.Moment,
    ) -> None:
        self._pools.take_grant(sender, message, moment.now)

    @_HANDLERS.register(messages.Refusal)
    def _on_refusal(
        self,
        sender: messages.Sender,
        message: messages.Refusal,
        moment: moments.Moment,
    ) -> None:
        self._pools.take_refusal(sender, message)

    @_HANDLERS.register(messages.Summary)
    def _on_summary(
        self,
        sender: messages.Sender,
        message: messages.Summary,
        moment: moments.Moment,
    ) -> None:
        self._pools.take_summary(sender, message, moment.now)

    @_HANDLERS.register(messages.CrashNotice)
    def _on_crash_notice(
        self,
        sender: messages.Sender,
        message: messages.CrashNotice,
        moment: moments.Moment,
    ) -> None:
        self._quarantine.take_notice(
            message.fingerprint, message.crashes, moment.now
        )
