"""The node, which makes all decisions of one daemon.

Its input is messages, VM lists, settings and the current time; its output is
messages and events. It performs no input or output itself, so that tests can
run many nodes on one virtual clock.
"""

import random
from collections.abc import Callable
from collections.abc import Collection
from typing import Any
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import registry
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.configuration import configuration_store
from hyssopwind.core.membership import membership_view
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import configuration_component
from hyssopwind.core.node import context
from hyssopwind.core.node import events
from hyssopwind.core.node import key_component
from hyssopwind.core.node import pool_component
from hyssopwind.core.node import timestamp
from hyssopwind.core.placement import data_centres
from hyssopwind.core.pools import clients
from hyssopwind.core.settings import documents

# A longer gap between two ticks means that the process was paused, so the
# summaries that it holds may be outdated.
PROCESS_PAUSE_SECONDS = 0.25

MessageHandler: TypeAlias = Callable[
    ["Node", messages.DaemonIdentity, Any, timestamp.Timestamps], None
]
_HANDLERS: registry.Registry[type, MessageHandler] = registry.Registry(
    "message handler"
)


class Node:
    """The decisions of one daemon from its start to its exit.

    Input and output code calls `receive`, `tick` and the other methods that
    act, then sends what `pop_outgoing` returns and handles `pop_events`.
    """

    def __init__(
        self,
        identity: messages.DaemonIdentity,
        settings: documents.DaemonSettings,
        random_source: random.Random,
        monitor: invariants.InvariantMonitor,
        now: float,
        make_pool_client: pool_component.PoolClientFactory = clients.PoolClient,
    ):
        self._context = context.NodeContext(
            identity, settings, random_source, monitor
        )
        self._keys = key_component.KeyComponent(self._context, now)
        self._pools = pool_component.PoolComponent(
            self._context, self._keys, make_pool_client
        )
        self._configuration = configuration_component.ConfigurationComponent(
            self._context
        )
        self._quarantine = quarantine.CrashQuarantine()
        self._recovery_ramps = data_centres.RecoveryRamps()
        self._last_heartbeat_time = float("-inf")
        self._last_tick_time = now
        self._last_peer_states: tuple[object, ...] = ()

    @property
    def identity(self) -> messages.DaemonIdentity:
        """The identity of this process."""
        return self._context.identity

    @property
    def random_source(self) -> random.Random:
        """The random number generator."""
        return self._context.random_source

    @property
    def membership(self) -> membership_view.MembershipView:
        """The view of the daemons that are alive."""
        return self._context.membership

    @property
    def keys(self) -> key_component.KeyComponent:
        """The component for tickets, keys and leases."""
        return self._keys

    @property
    def pools(self) -> pool_component.PoolComponent:
        """The component for used and owned pools."""
        return self._pools

    @property
    def configuration(self) -> configuration_component.ConfigurationComponent:
        """The component for the settings."""
        return self._configuration

    @property
    def quarantine(self) -> quarantine.CrashQuarantine:
        """The quarantine of requests that crash servers."""
        return self._quarantine

    @property
    def recovery_ramps(self) -> data_centres.RecoveryRamps:
        """The recovery ramps of the data centres."""
        return self._recovery_ramps

    @property
    def monitor(self) -> invariants.InvariantMonitor:
        """The counter of invariant breaches."""
        return self._context.monitor

    def set_phase(
        self, phase: messages.Phase, timestamps: timestamp.Timestamps
    ) -> None:
        """Sets the lifecycle phase and announces it to the peers."""
        self.membership.set_phase(phase)
        self._send_heartbeats(timestamps.now)
        self._apply_membership(timestamps.now)
        self._deliver_own_messages(timestamps)

    def receive(
        self, envelope: messages.Envelope, timestamps: timestamp.Timestamps
    ) -> None:
        """Handles a message from a peer."""
        self._dispatch(envelope.sender, envelope.body, timestamps)
        self._deliver_own_messages(timestamps)

    def apply_settings_listing(
        self,
        listing: list[configuration_store.TeamDocument],
        revision: int,
        timestamps: timestamp.Timestamps,
        unreadable_teams: Collection[ids.TeamId] = (),
    ) -> None:
        """Applies a complete listing of the configuration service.

        Args:
            listing: the documents that could be read.
            revision: revision of the listing.
            timestamps: the present times.
            unreadable_teams: teams whose documents could not be read.
        """
        self._configuration.apply_listing(listing, revision, unreadable_teams)
        self._apply_settings(timestamps)

    def apply_settings_document(
        self,
        document: configuration_store.TeamDocument,
        timestamps: timestamp.Timestamps,
    ) -> None:
        """Applies one changed document of the configuration service."""
        self._configuration.apply_document(document)
        self._apply_settings(timestamps)

    def apply_vm_list(
        self, vm_list: vm_records.VmList, timestamps: timestamp.Timestamps
    ) -> None:
        """Applies a VM list."""
        self._pools.apply_vm_list(vm_list, timestamps.now)
        self._deliver_own_messages(timestamps)

    def tick(self, timestamps: timestamp.Timestamps) -> None:
        """Does periodic work; must be called every few milliseconds."""
        if timestamps.now - self._last_tick_time > PROCESS_PAUSE_SECONDS:
            self._pools.expire_summaries()
        self._last_tick_time = timestamps.now
        if (
            timestamps.now - self._last_heartbeat_time
            >= self._context.settings.cluster.heartbeat
        ):
            self._last_heartbeat_time = timestamps.now
            self._send_heartbeats(timestamps.now)
            self._apply_membership(timestamps.now)
            self._keys.tick(timestamps)
            self._pools.refresh_pool_clients(timestamps.now)
        self._pools.tick(timestamps.now)
        self._deliver_own_messages(timestamps)

    def record_crash(
        self,
        fingerprint: ids.Fingerprint,
        sent_at: float,
        timestamps: timestamp.Timestamps,
    ) -> None:
        """Records that a request crashed a server; notifies other daemons."""
        if self._quarantine.record_crash(fingerprint, sent_at, timestamps.now):
            self._broadcast_crash_count(fingerprint, 1, timestamps.now)

    def record_completion(
        self,
        fingerprint: ids.Fingerprint,
        sent_at: float,
        timestamps: timestamp.Timestamps,
    ) -> None:
        """Clears the crash record of a request, here and at other daemons."""
        if self._quarantine.record_completed(
            fingerprint, sent_at, timestamps.now
        ):
            self._broadcast_crash_count(fingerprint, 0, timestamps.now)

    def deliver_own_messages(self, timestamps: timestamp.Timestamps) -> None:
        """Handles the messages that the node sent to itself."""
        self._deliver_own_messages(timestamps)

    def pop_outgoing(self) -> list[messages.Outgoing]:
        """Removes and returns the queued messages to other daemons."""
        return self._context.pop_outgoing()

    def pop_events(self) -> list[events.Event]:
        """Removes and returns the queued events."""
        return self._context.pop_events()

    def _broadcast_crash_count(
        self, fingerprint: ids.Fingerprint, crash_count: int, now: float
    ) -> None:
        notice = messages.CrashNotice(
            fingerprint=fingerprint, crash_count=crash_count
        )
        self._context.broadcast(notice, now)

    def _dispatch(
        self,
        sender: messages.DaemonIdentity,
        body: messages.AnyMessage,
        timestamps: timestamp.Timestamps,
    ) -> None:
        _HANDLERS.find(type(body))(self, sender, body, timestamps)

    def _deliver_own_messages(self, timestamps: timestamp.Timestamps) -> None:
        while True:
            body = self._context.pop_own_message()
            if body is None:
                return
            self._dispatch(self.identity, body, timestamps)

    def _send_heartbeats(self, now: float) -> None:
        heartbeat = self.membership.heartbeat(
            self._configuration.document_store.revisions
        )
        for daemon in self.membership.peer_addresses():
            self._context.send(daemon, heartbeat)

    def _apply_membership(self, now: float) -> None:
        """Updates the pool owners if the live daemons or phases changed."""
        states: list[object] = [self.membership.phase]
        for peer in self.membership.live_peers(now):
            states.append((peer.sender, peer.heartbeat.phase))
        peer_states = tuple(sorted(states, key=str))
        if peer_states == self._last_peer_states:
            return
        self._last_peer_states = peer_states
        self._pools.update_owners(now)

    def _apply_settings(self, timestamps: timestamp.Timestamps) -> None:
        settings = self._configuration.document_store.snapshot
        self._recovery_ramps.record_settings(settings, timestamps.now)
        self._pools.apply_settings(settings, timestamps.now)
        self._deliver_own_messages(timestamps)

    @_HANDLERS.register(messages.Heartbeat)
    def _on_heartbeat(
        self,
        sender: messages.DaemonIdentity,
        heartbeat: messages.Heartbeat,
        timestamps: timestamp.Timestamps,
    ) -> None:
        is_new_peer = (
            self.membership.find_live_peer(sender.daemon, timestamps.now)
            is None
        )
        self.membership.record_heartbeat(sender, heartbeat, timestamps.now)
        self._configuration.handle_heartbeat(sender, heartbeat)
        self._apply_membership(timestamps.now)
        if is_new_peer:
            reply = self.membership.heartbeat(
                self._configuration.document_store.revisions
            )
            self._context.send(sender.daemon, reply)

    @_HANDLERS.register(messages.Documents)
    def _on_documents(
        self,
        sender: messages.DaemonIdentity,
        message: messages.Documents,
        timestamps: timestamp.Timestamps,
    ) -> None:
        previous = self._configuration.document_store.snapshot
        self._configuration.handle_documents(message)
        if self._configuration.document_store.snapshot is not previous:
            self._apply_settings(timestamps)

    @_HANDLERS.register(messages.LeaseRequest)
    def _on_lease_request(
        self,
        sender: messages.DaemonIdentity,
        message: messages.LeaseRequest,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._keys.handle_lease_request(sender, message, timestamps.now)

    @_HANDLERS.register(messages.LeaseReply)
    def _on_lease_reply(
        self,
        sender: messages.DaemonIdentity,
        message: messages.LeaseReply,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._keys.handle_lease_reply(sender, message, timestamps)

    @_HANDLERS.register(messages.LeaseRelease)
    def _on_lease_release(
        self,
        sender: messages.DaemonIdentity,
        message: messages.LeaseRelease,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._keys.handle_lease_release(sender, message)

    @_HANDLERS.register(messages.TransferRequest)
    def _on_transfer_request(
        self,
        sender: messages.DaemonIdentity,
        message: messages.TransferRequest,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._keys.handle_transfer_request(sender, message, timestamps)

    @_HANDLERS.register(messages.Transfer)
    def _on_transfer(
        self,
        sender: messages.DaemonIdentity,
        message: messages.Transfer,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._keys.handle_transfer(sender, message, timestamps.now)

    @_HANDLERS.register(messages.KeyCompleted)
    def _on_key_completed(
        self,
        sender: messages.DaemonIdentity,
        message: messages.KeyCompleted,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._keys.handle_key_completed(message, timestamps.now)

    @_HANDLERS.register(messages.LoadUpdate)
    def _on_load_update(
        self,
        sender: messages.DaemonIdentity,
        message: messages.LoadUpdate,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._pools.handle_load_update(sender, message, timestamps.now)

    @_HANDLERS.register(messages.AdmissionRequest)
    def _on_admission_request(
        self,
        sender: messages.DaemonIdentity,
        message: messages.AdmissionRequest,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._pools.handle_admission_request(sender, message, timestamps.now)

    @_HANDLERS.register(messages.Cancellation)
    def _on_cancellation(
        self,
        sender: messages.DaemonIdentity,
        message: messages.Cancellation,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._pools.handle_cancellation(sender, message)

    @_HANDLERS.register(messages.Grant)
    def _on_grant(
        self,
        sender: messages.DaemonIdentity,
        message: messages.Grant,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._pools.handle_grant(sender, message, timestamps.now)

    @_HANDLERS.register(messages.Refusal)
    def _on_refusal(
        self,
        sender: messages.DaemonIdentity,
        message: messages.Refusal,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._pools.handle_refusal(sender, message)

    @_HANDLERS.register(messages.Summary)
    def _on_summary(
        self,
        sender: messages.DaemonIdentity,
        message: messages.Summary,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._pools.handle_summary(sender, message, timestamps.now)

    @_HANDLERS.register(messages.CrashNotice)
    def _on_crash_notice(
        self,
        sender: messages.DaemonIdentity,
        message: messages.CrashNotice,
        timestamps: timestamp.Timestamps,
    ) -> None:
        self._quarantine.handle_notice(
            message.fingerprint, message.crash_count, timestamps.now
        )
