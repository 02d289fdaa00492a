"""Messages between daemons over ZeroMQ.

Each daemon receives on one PULL socket and sends on one PUSH socket for each
peer. Messages to a peer that is not connected are dropped and not queued. The
core tolerates this, because it expects an answer to a message or repeats it.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import logbook
import zmq

from hyssopwind.core import decoding
from hyssopwind.core import ids
from hyssopwind.core import left_out
from hyssopwind.core import messages
from hyssopwind.daemon import metrics

SEND_QUEUE_MESSAGES = 2_000  # for one peer
MAX_MESSAGE_BYTES = 4_000_000
HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
MAX_MESSAGES_PER_READ = 500

_log = logbook.Logger("links")

Receiver = Callable[[messages.Envelope], None]


class PeerLinks:
    """The connections of one daemon to its peers."""

    def __init__(
        self,
        address: str,
        sender: messages.DaemonIdentity,
        counters: metrics.Metrics,
        left_out_parts: left_out.LeftOutParts,
    ):
        self._left_out_parts = left_out_parts
        self._sender = sender
        self._counters = counters
        self._context = zmq.Context(io_threads=1)
        self._pull_socket = self._context.socket(zmq.PULL)
        self._pull_socket.setsockopt(zmq.LINGER, 0)
        self._pull_socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._set_heartbeat(self._pull_socket)
        self._pull_socket.bind(f"tcp://{address}")
        self._push_sockets: dict[
            ids.DaemonId, tuple[str, zmq.Socket[bytes]]
        ] = {}
        self._receiver: Receiver | None = None
        self._sent = counters.peer_messages.labels("sent")
        self._sent_bytes = counters.peer_bytes.labels("sent")
        self._received = counters.peer_messages.labels("received")
        self._received_bytes = counters.peer_bytes.labels("received")

    @property
    def _descriptor(self) -> int:
        return cast(int, self._pull_socket.getsockopt(zmq.FD))

    def start(self, receiver: Receiver) -> None:
        """Starts passing received messages to `receiver`."""
        self._receiver = receiver
        loop = asyncio.get_running_loop()
        loop.add_reader(self._descriptor, self._read)
        self._read()

    def connect(self, addresses: dict[ids.DaemonId, str]) -> None:
        """Connects to new peers and closes the connections to former ones."""
        for daemon in list(self._push_sockets):
            if addresses.get(daemon) != self._push_sockets[daemon][0]:
                self._push_sockets.pop(daemon)[1].close(linger=0)
        for daemon, address in addresses.items():
            if daemon in self._push_sockets:
                continue
            push_socket = self._open_push_socket(address)
            if push_socket is not None:
                self._push_sockets[daemon] = (address, push_socket)

    def send(self, outgoing: messages.Outgoing) -> None:
        """Sends a message, or drops it if it cannot be queued for the peer."""
        connection = self._push_sockets.get(outgoing.receiver)
        if connection is None:
            return
        envelope = messages.Envelope(self._sender, outgoing.body)
        try:
            data = messages.encode_envelope(envelope)
            connection[1].send(data, flags=zmq.NOBLOCK)
        except zmq.Again:
            return
        except Exception as error:
            # The messages behind it must be sent all the same.
            self._record(f"to {outgoing.receiver}", decoding.describe(error))
            return
        self._sent.inc()
        self._sent_bytes.inc(len(data))

    def close(self) -> None:
        """Closes all sockets."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._descriptor)
        self._pull_socket.close(linger=0)
        for _, push_socket in self._push_sockets.values():
            push_socket.close(linger=200)
        self._context.term()

    def _deliver(self, envelope: messages.Envelope) -> None:
        """Passes a message to the receiver, and logs its failure.

        A failure must not stop the reading of the remaining messages, because
        the descriptor does not signal them again.
        """
        if self._receiver is None:
            return
        try:
            self._receiver(envelope)
        except Exception as error:
            message_type = envelope.body.log_name
            _log.error(
                "message handler failed",
                exc_info=(type(error), error, error.__traceback__),
                extra={
                    "message_type": message_type,
                    "sender": str(envelope.sender),
                },
            )

    def _record(self, name: str, reason: str) -> None:
        """Records a message or a peer that is left out."""
        if self._left_out_parts.record(
            left_out.Source.PEER_MESSAGE, name, [reason]
        ):
            _log.warn(
                "message or peer left out",
                extra={"name": decoding.shorten(name), "error": reason},
            )

    def _open_push_socket(self, address: str) -> "zmq.Socket[bytes] | None":
        """Returns a socket that connects to a peer; `None` if it cannot."""
        push_socket = self._context.socket(zmq.PUSH)
        push_socket.setsockopt(zmq.LINGER, 0)
        push_socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        push_socket.setsockopt(zmq.IMMEDIATE, 1)
        push_socket.setsockopt(zmq.RECONNECT_IVL, 100)
        push_socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1_000)
        self._set_heartbeat(push_socket)
        try:
            push_socket.connect(f"tcp://{address}")
        except zmq.ZMQError as error:
            push_socket.close(linger=0)
            self._record(address, decoding.describe(error))
            return None
        return push_socket

    def _set_heartbeat(self, socket: "zmq.Socket[bytes]") -> None:
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)

    def _read(self) -> None:
        """Reads all messages, because the descriptor is edge-triggered.

        Other tasks of the event loop run between two batches.
        """
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                data = self._pull_socket.recv(flags=zmq.NOBLOCK)
            except zmq.Again:
                return
            self._received.inc()
            self._received_bytes.inc(len(data))
            try:
                envelope = messages.read_envelope(data)
                messages.check_addresses(envelope)
            except decoding.DecodeError as error:
                self._record("received", str(error))
                continue
            self._deliver(envelope)
        asyncio.get_running_loop().call_soon(self._read)
