"""The stages of a daemon around its node, without sockets of its own."""

from collections.abc import Callable

import reactivex
from reactivex import subject

from hyssopwind.core import messages
from hyssopwind.core.node import events
from hyssopwind.core.node import node
from hyssopwind.daemon import attempt_stage
from hyssopwind.daemon import clock
from hyssopwind.daemon import key_stage
from hyssopwind.daemon import metrics
from hyssopwind.daemon import pipeline
from hyssopwind.daemon import quarantine_stage
from hyssopwind.daemon import slots
from hyssopwind.daemon import tracing
from hyssopwind.daemon import transports

Send = Callable[[messages.Outgoing], None]


class Serving:
    """Connects a node with the stages, and both with the transports."""

    def __init__(
        self,
        decisions: node.Node,
        timer: clock.Clock,
        servers: transports.ServerTransport,
        peers: transports.PeerTransport,
        send: Send,
        tracer: tracing.Tracer,
        counters: metrics.Metrics,
    ):
        self._node = decisions
        self._clock = timer
        self._send = send
        self._events: subject.Subject[events.Event] = subject.Subject()
        keeper = slots.SlotKeeper(decisions, timer, counters, self.flush)
        keys = key_stage.KeyStage(decisions, timer, peers)
        self._pipeline = pipeline.Pipeline(
            decisions,
            timer,
            keys,
            quarantine_stage.QuarantineStage(decisions, timer),
            attempt_stage.AttemptStage(
                decisions, timer, keeper, servers, tracer, counters
            ),
            self.flush,
        )
        keeper.subscribe(self._events)
        keys.subscribe(self._events)

    @property
    def node(self) -> node.Node:
        """The decisions."""
        return self._node

    @property
    def pipeline(self) -> pipeline.Pipeline:
        """The stages of a request."""
        return self._pipeline

    @property
    def events(self) -> reactivex.Observable[events.Event]:
        """The events of the node."""
        return self._events

    def receive(self, envelope: messages.Envelope) -> None:
        """Takes a message of a peer."""
        self._node.receive(envelope, self._clock.moment())
        self.flush()

    def tick(self) -> None:
        """Takes the passing of time."""
        self._node.tick(self._clock.moment())
        self.flush()

    def set_phase(self, phase: messages.Phase) -> None:
        """Moves the daemon to another phase of its life."""
        self._node.set_phase(phase, self._clock.moment())
        self.flush()

    def flush(self) -> None:
        """Sends the messages of the node and publishes its events."""
        for outgoing in self._node.take_outgoing():
            self._send(outgoing)
        for event in self._node.take_events():
            self._events.on_next(event)
