"""State that the components of a node share."""

import collections
import random

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core.membership import membership_view
from hyssopwind.core.node import events
from hyssopwind.core.settings import documents


class NodeContext:
    """Identity, settings, membership and queued output of a node."""

    def __init__(
        self,
        identity: messages.DaemonIdentity,
        settings: documents.DaemonSettings,
        random_source: random.Random,
        monitor: invariants.InvariantMonitor,
    ):
        self._sender = identity
        self._settings = settings
        self._random_source = random_source
        self._monitor = monitor
        self._membership = membership_view.MembershipView(identity, settings)
        self._outgoing: list[messages.Outgoing] = []
        self._own_messages: collections.deque[messages.AnyMessage] = (
            collections.deque()
        )
        self._events: list[events.Event] = []

    @property
    def identity(self) -> messages.DaemonIdentity:
        """The identity of this process."""
        return self._sender

    @property
    def settings(self) -> documents.DaemonSettings:
        """The settings of the daemon."""
        return self._settings

    @property
    def random_source(self) -> random.Random:
        """The random number generator."""
        return self._random_source

    @property
    def monitor(self) -> invariants.InvariantMonitor:
        """The counter of invariant breaches."""
        return self._monitor

    @property
    def membership(self) -> membership_view.MembershipView:
        """The view of the daemons that are alive."""
        return self._membership

    def send(
        self, receiver: ids.DaemonId, message: messages.AnyMessage
    ) -> None:
        """Queues a message to another daemon or to this one."""
        if receiver == self._sender.daemon:
            self._own_messages.append(message)
            return
        self._outgoing.append(messages.Outgoing(receiver, message))

    def send_all(self, outgoing: list[messages.Outgoing]) -> None:
        """Queues several messages."""
        for entry in outgoing:
            self.send(entry.receiver, entry.body)

    def broadcast(self, message: messages.AnyMessage, now: float) -> None:
        """Queues a message to every live peer."""
        for peer in self._membership.live_peers(now):
            self.send(peer.sender.daemon, message)

    def emit(self, event: events.Event) -> None:
        """Queues an event for the input and output code around the node."""
        self._events.append(event)

    def pop_own_message(self) -> messages.AnyMessage | None:
        """Removes and returns the next message of the node to itself."""
        if not self._own_messages:
            return None
        return self._own_messages.popleft()

    def pop_outgoing(self) -> list[messages.Outgoing]:
        """Removes and returns the queued messages to other daemons."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def pop_events(self) -> list[events.Event]:
        """Removes and returns the queued events."""
        queued, self._events = self._events, []
        return queued
