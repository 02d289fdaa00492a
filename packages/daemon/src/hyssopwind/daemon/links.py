"""Messages between daemons over ZeroMQ.

Each daemon receives on one PULL socket and sends on one PUSH socket for each
peer. Messages to a peer without a connection are dropped, not kept: every
message is answered or repeated by the logic above.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import logbook
import zmq

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.daemon import metrics

SEND_QUEUE = 2_000  # messages for one peer
MAX_MESSAGE_BYTES = 4_000_000
HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
MAX_MESSAGES_PER_TURN = 500

_log = logbook.Logger("links")

Receiver = Callable[[messages.Envelope], None]


class Links:
    """The connections of one daemon to its peers."""

    def __init__(
        self,
        address: str,
        sender: messages.Sender,
        counters: metrics.Metrics,
    ):
        self._sender = sender
        self._counters = counters
        self._context = zmq.Context(io_threads=1)
        self._pull = self._context.socket(zmq.PULL)
        self._pull.setsockopt(zmq.LINGER, 0)
        self._pull.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._set_heartbeat(self._pull)
        self._pull.bind(f"tcp://{address}")
        self._pushes: dict[ids.DaemonId, tuple[str, zmq.Socket[bytes]]] = {}
        self._receiver: Receiver | None = None
        self._sent = counters.peer_messages.labels("sent")
        self._sent_bytes = counters.peer_bytes.labels("sent")
        self._received = counters.peer_messages.labels("received")
        self._received_bytes = counters.peer_bytes.labels("received")

    @property
    def _descriptor(self) -> int:
        return cast(int, self._pull.getsockopt(zmq.FD))

    def start(self, receiver: Receiver) -> None:
        """Gives each message that arrives to `receiver`."""
        self._receiver = receiver
        loop = asyncio.get_running_loop()
        loop.add_reader(self._descriptor, self._read)
        self._read()

    def connect(self, addresses: dict[ids.DaemonId, str]) -> None:
        """Connects to new peers, and ends the links to peers that are gone."""
        for daemon in list(self._pushes):
            if addresses.get(daemon) != self._pushes[daemon][0]:
                self._pushes.pop(daemon)[1].close(linger=0)
        for daemon, address in addresses.items():
            if daemon not in self._pushes:
                self._pushes[daemon] = (address, self._connect(address))

    def send(self, outgoing: messages.Outgoing) -> None:
        """Sends a message, or drops it where no connection takes it."""
        link = self._pushes.get(outgoing.receiver)
        if link is None:
            return
        envelope = messages.Envelope(self._sender, outgoing.body)
        data = messages.encode_envelope(envelope)
        try:
            link[1].send(data, flags=zmq.NOBLOCK)
        except zmq.Again:
            return
        self._sent.inc()
        self._sent_bytes.inc(len(data))

    def close(self) -> None:
        """Closes all sockets."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._descriptor)
        self._pull.close(linger=0)
        for _, push in self._pushes.values():
            push.close(linger=200)
        self._context.term()

    def _hand_on(self, envelope: messages.Envelope) -> None:
        """Gives a message to the receiver.

        A failure is logged and ends here; the messages behind it are read,
        because the descriptor does not announce them again.
        """
        if self._receiver is None:
            return
        try:
            self._receiver(envelope)
        except Exception as error:
            kind = type(envelope.body).__name__
            _log.error(
                "message handler failed",
                exc_info=(type(error), error, error.__traceback__),
                extra={"message_type": kind, "sender": str(envelope.sender)},
            )

    def _connect(self, address: str) -> "zmq.Socket[bytes]":
        push = self._context.socket(zmq.PUSH)
        push.setsockopt(zmq.LINGER, 0)
        push.setsockopt(zmq.SNDHWM, SEND_QUEUE)
        push.setsockopt(zmq.IMMEDIATE, 1)
        push.setsockopt(zmq.RECONNECT_IVL, 100)
        push.setsockopt(zmq.RECONNECT_IVL_MAX, 1_000)
        self._set_heartbeat(push)
        push.connect(f"tcp://{address}")
        return push

    def _set_heartbeat(self, socket: "zmq.Socket[bytes]") -> None:
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)

    def _read(self) -> None:
        """Reads until nothing is left; the descriptor is edge-triggered."""
        for _ in range(MAX_MESSAGES_PER_TURN):
            try:
                data = self._pull.recv(flags=zmq.NOBLOCK)
            except zmq.Again:
                return
            self._received.inc()
            self._received_bytes.inc(len(data))
            envelope = messages.decode_envelope(data)
            if envelope is None:
                _log.warn("dropped a message that cannot be decoded")
                continue
            self._hand_on(envelope)
        asyncio.get_running_loop().call_soon(self._read)
