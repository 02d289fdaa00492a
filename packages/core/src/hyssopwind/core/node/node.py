"""The node, which makes all decisions of one daemon.

Its input is messages, VM lists, settings and the current time; its output is
messages and events. It performs no input or output itself, so that tests can
run many nodes on one virtual clock.
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
from hyssopwind.core.membership import membership_view
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import configuring
from hyssopwind.core.node import context
from hyssopwind.core.node import events
from hyssopwind.core.node import moments
from hyssopwind.core.node import owning
from hyssopwind.core.node import pooling
from hyssopwind.core.placement import data_centres
from hyssopwind.core.pools import clients
from hyssopwind.core.settings import documents

PROCESS_PAUSE_SECONDS = 0.25  # a longer gap between ticks is a pause

Handler: TypeAlias = Callable[
    ["Node", messages.Sender, Any, moments.Moment], None
]
_HANDLERS: registry.Registry[type, Handler] = registry.Registry(
    "message handler"
)


class Node:
    """The decisions of one daemon from its start to its exit.

    Input and output code calls `receive`, `tick` and the other methods that
    act, then sends what `take_outgoing` returns and handles `take_events`.
    """

    def __init__(
        self,
        sender: messages.Sender,
        settings: documents.DaemonSettings,
        random_source: random.Random,
        monitor: invariants.InvariantMonitor,
        now: float,
        make_pool_client: pooling.MemberFactory = clients.PoolClient,
    ):
        self._context = context.Context(
            sender, settings, random_source, monitor
        )
        self._keys = owning.OwningPart(self._context, now)
        self._pools = pooling.PoolingPart(
            self._context, self._keys, make_pool_client
        )
        self._configuration = configuring.ConfiguringPart(self._context)
        self._quarantine = quarantine.CrashQuarantine()
        self._recovery_ramps = data_centres.RecoveryRamps()
        self._last_heartbeat_time = float("-inf")
        self._last_tick_time = now
        self._last_peer_states: tuple[object, ...] = ()

    @property
    def sender(self) -> messages.Sender:
        """The identity of this process."""
        return self._context.sender

    @property
    def generator(self) -> random.Random:
        """The random number generator."""
        return self._context.generator

    @property
    def members(self) -> membership_view.MembershipView:
        """The daemons that are alive."""
        return self._context.members

    @property
    def keys(self) -> owning.OwningPart:
        """The component for tickets, keys and leases."""
        return self._keys

    @property
    def pools(self) -> pooling.PoolingPart:
        """The component for used and owned pools."""
        return self._pools

    @property
    def configuration(self) -> configuring.ConfiguringPart:
        """The component for the settings."""
        return self._configuration

    @property
    def quarantine(self) -> quarantine.CrashQuarantine:
        """The quarantine of requests that crash servers."""
        return self._quarantine

    @property
    def returns(self) -> data_centres.RecoveryRamps:
        """The recovery ramps of the data centres."""
        return self._recovery_ramps

    @property
    def monitor(self) -> invariants.InvariantMonitor:
        """The counter of invariant breaches."""
        return self._context.monitor

    def set_phase(
        self, phase: messages.Phase, timestamps: moments.Moment
    ) -> None:
        """Sets the lifecycle phase and announces it to the peers."""
        self.members.set_phase(phase)
        self._send_heartbeats(timestamps.now)
        self._apply_membership(timestamps.now)
        self._deliver_own_messages(timestamps)

    def receive(
        self, envelope: messages.Envelope, timestamps: moments.Moment
    ) -> None:
        """Handles a message from a peer."""
        self._dispatch(envelope.sender, envelope.body, timestamps)
        self._deliver_own_messages(timestamps)

    def take_settings_listing(
        self,
        listing: list[store.TeamDocument],
        revision: int,
        timestamps: moments.Moment,
    ) -> None:
        """Applies a complete listing of the configuration service."""
        self._configuration.take_listing(listing, revision)
        self._apply_settings(timestamps)

    def take_settings_document(
        self, document: store.TeamDocument, timestamps: moments.Moment
    ) -> None:
        """Applies one changed document of the configuration service."""
        self._configuration.take_document(document)
        self._apply_settings(timestamps)

    def take_machines(
        self, listing: vm_records.VmList, timestamps: moments.Moment
    ) -> None:
        """Applies a list of VMs."""
        self._pools.take_machines(listing, timestamps.now)
        self._deliver_own_messages(timestamps)

    def tick(self, timestamps: moments.Moment) -> None:
        """Does periodic work; must be called every few milliseconds."""
        if timestamps.now - self._last_tick_time > PROCESS_PAUSE_SECONDS:
            self._pools.forget_summaries()
        self._last_tick_time = timestamps.now
        if (
            timestamps.now - self._last_heartbeat_time
            >= self._context.settings.cluster.heartbeat
        ):
            self._last_heartbeat_time = timestamps.now
            self._send_heartbeats(timestamps.now)
            self._apply_membership(timestamps.now)
            self._keys.tick(timestamps)
            self._pools.refresh_members(timestamps.now)
        self._pools.tick(timestamps.now)
        self._deliver_own_messages(timestamps)

    def note_crash(
        self,
        fingerprint: ids.Fingerprint,
        sent: float,
        timestamps: moments.Moment,
    ) -> None:
        """Records a server crash and notifies the other daemons."""
        if self._quarantine.record_crash(fingerprint, sent, timestamps.now):
            self._broadcast_crash_count(fingerprint, 1, timestamps.now)

    def note_survived(
        self,
        fingerprint: ids.Fingerprint,
        sent: float,
        timestamps: moments.Moment,
    ) -> None:
        """Clears the crash record of a request, here and at other daemons."""
        if self._quarantine.record_completed(fingerprint, sent, timestamps.now):
            self._broadcast_crash_count(fingerprint, 0, timestamps.now)

    def run_own_messages(self, timestamps: moments.Moment) -> None:
        """Handles the messages that the node sent to itself."""
        self._deliver_own_messages(timestamps)

    def take_outgoing(self) -> list[messages.Outgoing]:
        """Removes and returns the queued messages to other daemons."""
        return self._context.take_outgoing()

    def take_events(self) -> list[events.Event]:
        """Removes and returns the queued events."""
        return self._context.take_events()

    def _broadcast_crash_count(
        self, fingerprint: ids.Fingerprint, crashes: int, now: float
    ) -> None:
        notice = messages.CrashNotice(fingerprint=fingerprint, crashes=crashes)
        self._context.broadcast(notice, now)

    def _dispatch(
        self,
        sender: messages.Sender,
        body: messages.AnyMessage,
        timestamps: moments.Moment,
    ) -> None:
        _HANDLERS.find(type(body))(self, sender, body, timestamps)

    def _deliver_own_messages(self, timestamps: moments.Moment) -> None:
        while True:
            body = self._context.take_own()
            if body is None:
                return
            self._dispatch(self.sender, body, timestamps)

    def _send_heartbeats(self, now: float) -> None:
        heartbeat = self.members.heartbeat(
            self._configuration.documents.revisions
        )
        for daemon in self.members.peer_addresses():
            self._context.send(daemon, heartbeat)

    def _apply_membership(self, now: float) -> None:
        """Updates the pool owners if the live daemons or phases changed."""
        states: list[object] = [self.members.phase]
        for peer in self.members.live_peers(now):
            states.append((peer.sender, peer.heartbeat.phase))
        peer_states = tuple(sorted(states, key=str))
        if peer_states == self._last_peer_states:
            return
        self._last_peer_states = peer_states
        self._pools.update_owners(now)

    def _apply_settings(self, timestamps: moments.Moment) -> None:
        settings = self._configuration.documents.snapshot
        self._recovery_ramps.record_settings(settings, timestamps.now)
        self._pools.take_settings(settings, timestamps.now)
        self._deliver_own_messages(timestamps)

    @_HANDLERS.register(messages.Heartbeat)
    def _on_heartbeat(
        self,
        sender: messages.Sender,
        heartbeat: messages.Heartbeat,
        timestamps: moments.Moment,
    ) -> None:
        is_new_peer = (
            self.members.find_live_peer(sender.daemon, timestamps.now) is None
        )
        self.members.record_heartbeat(sender, heartbeat, timestamps.now)
        self._configuration.take_heartbeat(sender, heartbeat)
        self._apply_membership(timestamps.now)
        if is_new_peer:
            reply = self.members.heartbeat(
                self._configuration.documents.revisions
            )
            self._context.send(sender.daemon, reply)

    @_HANDLERS.register(messages.Documents)
    def _on_documents(
        self,
        sender: messages.Sender,
        message: messages.Documents,
        timestamps: moments.Moment,
    ) -> None:
        previous = self._configuration.documents.snapshot
        self._configuration.take_documents(message)
        if self._configuration.documents.snapshot is not previous:
            self._apply_settings(timestamps)

    @_HANDLERS.register(messages.LeaseRequest)
    def _on_lease_request(
        self,
        sender: messages.Sender,
        message: messages.LeaseRequest,
        timestamps: moments.Moment,
    ) -> None:
        self._keys.take_lease_request(sender, message, timestamps.now)

    @_HANDLERS.register(messages.LeaseReply)
    def _on_lease_reply(
        self,
        sender: messages.Sender,
        message: messages.LeaseReply,
        timestamps: moments.Moment,
    ) -> None:
        self._keys.take_lease_reply(sender, message, timestamps)

    @_HANDLERS.register(messages.LeaseRelease)
    def _on_lease_release(
        self,
        sender: messages.Sender,
        message: messages.LeaseRelease,
        timestamps: moments.Moment,
    ) -> None:
        self._keys.take_lease_release(sender, message)

    @_HANDLERS.register(messages.TransferRequest)
    def _on_transfer_request(
        self,
        sender: messages.Sender,
        message: messages.TransferRequest,
        timestamps: moments.Moment,
    ) -> None:
        self._keys.take_transfer_request(sender, message, timestamps)

    @_HANDLERS.register(messages.Transfer)
    def _on_transfer(
        self,
        sender: messages.Sender,
        message: messages.Transfer,
        timestamps: moments.Moment,
    ) -> None:
        self._keys.take_transfer(sender, message, timestamps.now)

    @_HANDLERS.register(messages.Settled)
    def _on_key_completed(
        self,
        sender: messages.Sender,
        message: messages.Settled,
        timestamps: moments.Moment,
    ) -> None:
        self._keys.take_settled(message, timestamps.now)

    @_HANDLERS.register(messages.Tell)
    def _on_load_update(
        self,
        sender: messages.Sender,
        message: messages.Tell,
        timestamps: moments.Moment,
    ) -> None:
        self._pools.take_tell(sender, message, timestamps.now)

    @_HANDLERS.register(messages.Ask)
    def _on_admission_request(
        self,
        sender: messages.Sender,
        message: messages.Ask,
        timestamps: moments.Moment,
    ) -> None:
        self._pools.take_ask(sender, message, timestamps.now)

    @_HANDLERS.register(messages.Withdrawal)
    def _on_cancellation(
        self,
        sender: messages.Sender,
        message: messages.Withdrawal,
        timestamps: moments.Moment,
    ) -> None:
        self._pools.take_withdrawal(sender, message)

    @_HANDLERS.register(messages.Grant)
    def _on_grant(
        self,
        sender: messages.Sender,
        message: messages.Grant,
        timestamps: moments.Moment,
    ) -> None:
        self._pools.take_grant(sender, message, timestamps.now)

    @_HANDLERS.register(messages.Refusal)
    def _on_refusal(
        self,
        sender: messages.Sender,
        message: messages.Refusal,
        timestamps: moments.Moment,
    ) -> None:
        self._pools.take_refusal(sender, message)

    @_HANDLERS.register(messages.Summary)
    def _on_summary(
        self,
        sender: messages.Sender,
        message: messages.Summary,
        timestamps: moments.Moment,
    ) -> None:
        self._pools.take_summary(sender, message, timestamps.now)

    @_HANDLERS.register(messages.CrashNotice)
    def _on_crash_notice(
        self,
        sender: messages.Sender,
        message: messages.CrashNotice,
        timestamps: moments.Moment,
    ) -> None:
        self._quarantine.handle_notice(
            message.fingerprint, message.crashes, timestamps.now
        )
