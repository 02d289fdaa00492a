"""What the parts of a node share."""

import collections
import random

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core.membership import view
from hyssopwind.core.node import events
from hyssopwind.core.settings import documents


class Context:
    """Identity, settings, membership and the outgoing messages of a node."""

    def __init__(
        self,
        sender: messages.Sender,
        settings: documents.DaemonSettings,
        generator: random.Random,
        monitor: invariants.InvariantMonitor,
    ):
        self._sender = sender
        self._settings = settings
        self._generator = generator
        self._monitor = monitor
        self._members = view.MembershipView(sender, settings)
        self._outgoing: list[messages.Outgoing] = []
        self._to_self: collections.deque[messages.AnyMessage] = (
            collections.deque()
        )
        self._events: list[events.Event] = []

    @property
    def sender(self) -> messages.Sender:
        """The process."""
        return self._sender

    @property
    def settings(self) -> documents.DaemonSettings:
        """The settings of the daemon."""
        return self._settings

    @property
    def generator(self) -> random.Random:
        """The source of randomness."""
        return self._generator

    @property
    def monitor(self) -> invariants.InvariantMonitor:
        """The counter of breaches."""
        return self._monitor

    @property
    def members(self) -> view.MembershipView:
        """The daemons that are alive."""
        return self._members

    def send(
        self, receiver: ids.DaemonId, message: messages.AnyMessage
    ) -> None:
        """Queues a message, to another daemon or to this one."""
        if receiver == self._sender.daemon:
            self._to_self.append(message)
            return
        self._outgoing.append(messages.Outgoing(receiver, message))

    def send_all(self, outgoing: list[messages.Outgoing]) -> None:
        """Queues several messages."""
        for item in outgoing:
            self.send(item.receiver, item.body)

    def broadcast(self, message: messages.AnyMessage, now: float) -> None:
        """Queues a message to every daemon that was heard lately."""
        for peer in self._members.live_peers(now):
            self.send(peer.sender.daemon, message)

    def emit(self, event: events.Event) -> None:
        """Queues an event for the input and output around the node."""
        self._events.append(event)

    def take_own(self) -> messages.AnyMessage | None:
        """Takes the next message of the node to itself."""
        if not self._to_self:
            return None
        return self._to_self.popleft()

    def take_outgoing(self) -> list[messages.Outgoing]:
        """Takes the messages for other daemons."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def take_events(self) -> list[events.Event]:
        """Takes the events."""
        taken, self._events = self._events, []
        return taken
