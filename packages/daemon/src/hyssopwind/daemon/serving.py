"""Connects a node with the request stages; it opens no sockets."""

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
        daemon_node: node.Node,
        process_clock: clock.Clock,
        servers: transports.ServerTransport,
        peers: transports.PeerTransport,
        send: Send,
        tracer: tracing.Tracer,
        counters: metrics.Metrics,
    ):
        self._node = daemon_node
        self._clock = process_clock
        self._send = send
        self._events: subject.Subject[events.Event] = subject.Subject()
        slot_allocator = slots.SlotAllocator(
            daemon_node, process_clock, counters, self.flush
        )
        keys = key_stage.KeyStage(daemon_node, process_clock, peers)
        self._pipeline = pipeline.Pipeline(
            daemon_node,
            process_clock,
            keys,
            quarantine_stage.QuarantineStage(daemon_node, process_clock),
            attempt_stage.AttemptStage(
                daemon_node,
                process_clock,
                slot_allocator,
                servers,
                tracer,
                counters,
            ),
            self.flush,
        )
        slot_allocator.subscribe(self._events)
        keys.subscribe(self._events)

    @property
    def node(self) -> node.Node:
        """The node, which makes the decisions of the daemon."""
        return self._node

    @property
    def pipeline(self) -> pipeline.Pipeline:
        """The stages that run a request."""
        return self._pipeline

    @property
    def events(self) -> reactivex.Observable[events.Event]:
        """The events of the node, published by `flush`."""
        return self._events

    def receive(self, envelope: messages.Envelope) -> None:
        """Passes a message of a peer to the node."""
        self._node.receive(envelope, self._clock.timestamps())
        self.flush()

    def tick(self) -> None:
        """Lets the node do the work that is due by now."""
        self._node.tick(self._clock.timestamps())
        self.flush()

    def set_phase(self, phase: messages.Phase) -> None:
        """Sets the lifecycle phase of the daemon."""
        self._node.set_phase(phase, self._clock.timestamps())
        self.flush()

    def flush(self) -> None:
        """Sends the messages of the node and publishes its events."""
        for outgoing in self._node.pop_outgoing():
            self._send(outgoing)
        for event in self._node.pop_events():
            self._events.on_next(event)
