"""The link of a VM, which all connections of a process share.

This module and `launcher` run inside the process under test, so they import
the standard library only.
"""

import asyncio
import collections
import dataclasses
import enum
import functools
import json
import socket
from collections.abc import Callable
from typing import Any

CONNECT_BYTES = 60  # of the packet that opens a connection, or confirms it
MIN_CHUNK_BYTES = 1_460
CHUNK_SECONDS = 0.001
# Unused time of the link that counts for later bytes, since timers run late.
SLACK_SECONDS = 0.004
SEND_BUFFER_BYTES = 32_768  # The kernel doubles it.


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings of a link, in JSON for the process under test.

    Attributes:
        mbps: width of each direction in Mbit/s.
        window_bytes: bytes of one connection that may wait for a direction.
        max_datagram_queue_bytes: waiting bytes of all kinds above which
            datagrams are lost.
        control_path: file with a `Control`, which is read when it changes.
        counters_path: file for the counters, written after each reading of the
            control file and at the end; none if empty.
    """

    mbps: float = 1_000.0
    window_bytes: int = 65_536
    max_datagram_queue_bytes: int = 65_536
    control_path: str = ""
    counters_path: str = ""

    def encode(self) -> str:
        """Returns the settings as JSON."""
        return json.dumps(dataclasses.asdict(self))


class CutKind(enum.Enum):
    """What happens to connections to the addresses that are cut off.

    Attributes:
        NONE: they work.
        HANG: nothing is sent or received; new connects hang.
        RESET: open connections are reset once; new connects hang.
        REFUSE: open connections work; new ones are refused.
    """

    NONE = "none"
    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """State of the cuts of one process.

    Attributes:
        serial: number that the counters repeat.
        kind: kind of the cut; `NONE` heals it.
        addresses: IP addresses with ports that the process connects to.
    """

    serial: int = 0
    kind: CutKind = CutKind.NONE
    addresses: frozenset[str] = frozenset()

    def encode(self) -> str:
        """Returns the state as JSON."""
        return json.dumps(
            {
                "serial": self.serial,
                "kind": self.kind.value,
                "addresses": sorted(self.addresses),
            }
        )

    def cuts_off(self, address: str) -> bool:
        """Whether new connections to an address do not work."""
        return self.kind is not CutKind.NONE and address in self.addresses


def decode_control(text: str) -> Control:
    """Returns the state that `Control.encode` wrote."""
    fields = json.loads(text)
    return Control(
        fields["serial"],
        CutKind(fields["kind"]),
        frozenset(fields["addresses"]),
    )


class Direction:
    """One direction of the link: a queue that all connections share.

    Attributes:
        carried_bytes: bytes so far, by the label of the connections.
        queued_bytes: bytes that wait.
        max_queued_bytes: most bytes that waited at the same time.
        lost_datagrams: number of datagrams that found too long a queue.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, link_settings: LinkSettings
    ):
        self._loop = loop
        self._settings = link_settings
        self._bytes_per_second = link_settings.mbps * 1e6 / 8
        self._chunks: collections.deque[tuple[int, Callable[[], None]]] = (
            collections.deque()
        )
        self._free_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._is_draining = False
        self.carried_bytes: collections.Counter[str] = collections.Counter()
        self.queued_bytes = 0
        self.max_queued_bytes = 0
        self.lost_datagrams = 0

    @property
    def chunk_bytes(self) -> int:
        """Bytes of a connection that take their turn together."""
        chunk = int(self._bytes_per_second * CHUNK_SECONDS)
        return min(max(MIN_CHUNK_BYTES, chunk), self._settings.window_bytes)

    def enqueue(
        self, label: str, size: int, deliver: Callable[[], None]
    ) -> None:
        """Calls `deliver` when the link has carried all bytes before it."""
        self.carried_bytes[label] += size
        self.queued_bytes += size
        self.max_queued_bytes = max(self.max_queued_bytes, self.queued_bytes)
        self._chunks.append((size, deliver))
        if self._timer is None and not self._is_draining:
            self._drain()

    def enqueue_datagram(self, size: int, deliver: Callable[[], None]) -> None:
        """Carries a datagram, or loses it if the queue is full."""
        max_bytes = self._settings.max_datagram_queue_bytes
        if self.queued_bytes + size > max_bytes:
            self.lost_datagrams += 1
            return
        self.enqueue("datagrams", size, deliver)

    async def carry(self, label: str, size: int) -> None:
        """Waits until the link has carried some bytes."""
        carried: asyncio.Future[None] = self._loop.create_future()

        def end_wait() -> None:
            if not carried.done():
                carried.set_result(None)

        self.enqueue(label, size, end_wait)
        await carried

    def _drain(self) -> None:
        self._timer = None
        self._is_draining = True
        try:
            while self._chunks:
                now = self._loop.time()
                if self._free_at > now:
                    self._timer = self._loop.call_at(self._free_at, self._drain)
                    return
                size, deliver = self._chunks.popleft()
                self.queued_bytes -= size
                start = max(self._free_at, now - SLACK_SECONDS)
                self._free_at = start + size / self._bytes_per_second
                deliver()
        finally:
            self._is_draining = False


class Link:
    """Both directions of a link, and the cuts.

    Attributes:
        settings: settings of the link.
        sent: direction from the process.
        received: direction to the process.
        control: state of the cuts.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, link_settings: LinkSettings
    ):
        self.settings = link_settings
        self.sent = Direction(loop, link_settings)
        self.received = Direction(loop, link_settings)
        self.control = Control()
        self._connections: set[LinkedConnection] = set()
        self._healed = asyncio.Event()

    def add(self, linked: "LinkedConnection") -> None:
        """Adds an open connection."""
        self._connections.add(linked)

    def discard(self, linked: "LinkedConnection") -> None:
        """Removes a connection that has ended."""
        self._connections.discard(linked)

    def apply(self, control: Control) -> None:
        """Changes the cuts."""
        old_control, self.control = self.control, control
        for linked in list(self._connections):
            is_cut = control.cuts_off(linked.label)
            if is_cut and control.kind is CutKind.RESET:
                if not old_control.cuts_off(linked.label):
                    linked.reset()
                continue
            linked.hold(is_cut and control.kind is CutKind.HANG)
        self._healed.set()
        self._healed = asyncio.Event()

    async def connect(self, address: str) -> None:
        """Carries the opening packet; waits while the address is cut off.

        Raises:
            ConnectionRefusedError: new connections are refused.
        """
        while self.control.cuts_off(address):
            if self.control.kind is CutKind.REFUSE:
                raise ConnectionRefusedError(f"{address} is cut off")
            await self._healed.wait()
        await self.sent.carry(address, CONNECT_BYTES)

    def counters(self) -> dict[str, Any]:
        """Returns what the link has carried."""
        return {
            name: {
                "bytes": dict(direction.carried_bytes),
                "max_queued_bytes": direction.max_queued_bytes,
                "lost_datagrams": direction.lost_datagrams,
            }
            for name, direction in (
                ("sent", self.sent),
                ("received", self.received),
            )
        }


class LinkedConnection(asyncio.Transport, asyncio.BufferedProtocol):
    """A connection whose bytes take their turn on the link.

    It is the transport of the protocol under test, and the protocol of the
    transport of the real socket.

    Attributes:
        label: address that the process connected to, or `at` and the port that
            it listens on.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        link: Link,
        protocol: asyncio.BaseProtocol,
        label: str,
    ):
        super().__init__()
        self.label = label
        self._loop = loop
        self._link = link
        self._protocol: Any = protocol
        self._socket_transport: Any = None
        self._read_buffer = bytearray(link.settings.window_bytes)
        self._unsent = bytearray()
        self._queued_out_bytes = 0
        self._queued_in_bytes = 0
        # Bytes, or steps, that the link has carried up to a cut.
        self._held_out: list[bytes] = []
        self._held_in: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._is_held = False
        self._is_reading = True
        self._is_pumping = False
        self._is_write_paused = False
        self._high_bytes = 65_536
        self._is_closing = False
        self._ends_output = False
        self._has_ended = False
        self._user_timeout: asyncio.TimerHandle | None = None

    # The side of the real socket.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits the kernel's buffer and announces the connection."""
        self._socket_transport = transport
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self._socket_transport.set_write_buffer_limits(high=0)
        self._link.add(self)
        self._protocol.connection_made(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns as much room as the window has."""
        room = self._link.settings.window_bytes - self._queued_in_bytes
        return memoryview(self._read_buffer)[: max(1, room)]

    def buffer_updated(self, nbytes: int) -> None:
        """Queues received bytes; reads no more than the window."""
        data = bytes(memoryview(self._read_buffer)[:nbytes])
        chunk_bytes = self._link.received.chunk_bytes
        for start in range(0, nbytes, chunk_bytes):
            chunk = data[start : start + chunk_bytes]
            self._queued_in_bytes += len(chunk)
            self._link.received.enqueue(
                self.label,
                len(chunk),
                functools.partial(
                    self._take_step,
                    functools.partial(self._receive_chunk, chunk),
                ),
            )
        self._update_reading()

    def eof_received(self) -> bool:
        """Queues the end behind the bytes before it."""
        self._link.received.enqueue(
            self.label,
            0,
            functools.partial(self._take_step, self._receive_end),
        )
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Queues the loss behind the bytes before it."""
        self._link.received.enqueue(
            self.label,
            0,
            functools.partial(
                self._take_step, functools.partial(self._end, exc)
            ),
        )

    def resume_writing(self) -> None:
        """Goes on when the peer has read."""
        self._pump()

    # The side of the protocol under test.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns information on the real socket."""
        return self._socket_transport.get_extra_info(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replaces the protocol."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Returns the protocol."""
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def is_closing(self) -> bool:
        """Whether it has ended or will end."""
        return (
            self._is_closing
            or self._has_ended
            or bool(self._socket_transport.is_closing())
        )

    def is_reading(self) -> bool:
        """Whether received bytes are delivered."""
        return self._is_reading

    def pause_reading(self) -> None:
        """Delivers nothing until `resume_reading`."""
        self._is_reading = False
        self._update_reading()

    def resume_reading(self) -> None:
        """Delivers what has been received."""
        self._is_reading = True
        self._take_held_steps()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Sets the bytes beyond the window that pause the writer."""
        self._high_bytes = 65_536 if high is None else high

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that are still held in the process."""
        return (
            len(self._unsent)
            + self._queued_out_bytes
            + sum(map(len, self._held_out))
            + int(self._socket_transport.get_write_buffer_size())
        )

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Queues bytes for the link."""
        if self._has_ended or self._is_closing:
            return
        self._unsent += data
        self._pump()
        if len(self._unsent) > self._high_bytes and not self._is_write_paused:
            self._is_write_paused = True
            self._protocol.pause_writing()

    def can_write_eof(self) -> bool:
        """Returns true."""
        return True

    def write_eof(self) -> None:
        """Ends the output behind the queued bytes."""
        self._ends_output = True
        self._finish_output()

    def close(self) -> None:
        """Closes the connection when all bytes have been sent."""
        if self._has_ended or self._is_closing:
            return
        self._is_closing = True
        self._finish_output()

    def abort(self) -> None:
        """Drops all bytes; a peer behind a cut does not notice until then."""
        if self._has_ended:
            return
        if not self._is_held:
            self._socket_transport.abort()
        self._is_closing = True
        self._unsent.clear()
        self._held_out.clear()
        self._loop.call_soon(self._end, None)

    # The cuts.

    def reset(self) -> None:
        """Resets the connection for both ends."""
        self._socket_transport.abort()
        self._end(ConnectionResetError("reset by a cut"))

    def hold(self, is_held: bool) -> None:
        """Holds all bytes up, or lets them go."""
        if self._is_held == is_held:
            return
        self._is_held = is_held
        if is_held:
            self._update_reading()
            return
        if self._user_timeout is not None:
            self._user_timeout.cancel()
            self._user_timeout = None
        if self._has_ended:
            self._socket_transport.abort()
            self._link.discard(self)
            return
        held, self._held_out = self._held_out, []
        for chunk in held:
            self._socket_transport.write(chunk)
        self._take_held_steps()
        self._pump()

    def _hold_chunk(self, chunk: bytes) -> None:
        self._held_out.append(chunk)
        if self._user_timeout is not None:
            return
        # The kernel gives up on bytes that are not acknowledged in this time.
        raw_socket = self.get_extra_info("socket")
        timeout_ms = raw_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        if timeout_ms:
            self._user_timeout = self._loop.call_later(
                timeout_ms / 1000, self._end, TimeoutError("not acknowledged")
            )

    # Both directions.

    def _pump(self) -> None:
        if self._is_pumping or self._has_ended:
            return
        self._is_pumping = True
        window_bytes = self._link.settings.window_bytes
        chunk_bytes = self._link.sent.chunk_bytes
        while self._unsent:
            waiting = self.get_write_buffer_size() - len(self._unsent)
            if waiting >= window_bytes:
                break
            chunk = bytes(self._unsent[:chunk_bytes])
            del self._unsent[:chunk_bytes]
            self._queued_out_bytes += len(chunk)
            self._link.sent.enqueue(
                self.label,
                len(chunk),
                functools.partial(self._send_chunk, chunk),
            )
        self._is_pumping = False
        if self._is_write_paused and not self._unsent:
            self._is_write_paused = False
            self._protocol.resume_writing()
        self._finish_output()

    def _send_chunk(self, chunk: bytes) -> None:
        self._queued_out_bytes -= len(chunk)
        if self._has_ended:
            return
        if self._is_held:
            self._hold_chunk(chunk)
            return
        self._socket_transport.write(chunk)
        self._pump()

    def _finish_output(self) -> None:
        is_sent = not (self._unsent or self._queued_out_bytes or self._held_out)
        if self._has_ended or not is_sent or self._is_held:
            return
        if self._is_closing:
            self._socket_transport.close()
        elif self._ends_output and not self._socket_transport.is_closing():
            self._ends_output = False
            self._socket_transport.write_eof()

    def _take_step(self, step: Callable[[], None]) -> None:
        if self._is_held or not self._is_reading or self._held_in:
            self._held_in.append(step)
            return
        step()

    def _take_held_steps(self) -> None:
        while self._held_in and not self._is_held and self._is_reading:
            self._held_in.popleft()()
        self._update_reading()

    def _receive_chunk(self, chunk: bytes) -> None:
        self._queued_in_bytes -= len(chunk)
        if self._has_ended:
            return
        self._protocol.data_received(chunk)
        self._update_reading()

    def _receive_end(self) -> None:
        if not self._has_ended and not self._protocol.eof_received():
            self.close()

    def _update_reading(self) -> None:
        if self._socket_transport.is_closing():
            return
        window_bytes = self._link.settings.window_bytes
        is_blocked = (
            self._is_held
            or not self._is_reading
            or self._queued_in_bytes >= window_bytes
        )
        if is_blocked:
            self._socket_transport.pause_reading()
        else:
            self._socket_transport.resume_reading()

    def _end(self, exc: Exception | None) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        # Behind a cut the real socket stays open until the cut heals.
        if not self._is_held:
            self._socket_transport.abort()
            self._link.discard(self)
        if self._user_timeout is not None:
            self._user_timeout.cancel()
            self._user_timeout = None
        self._protocol.connection_lost(exc)


class LinkedDatagrams(asyncio.DatagramTransport, asyncio.DatagramProtocol):
    """A UDP socket whose datagrams take their turn on the link."""

    def __init__(self, link: Link, protocol: asyncio.BaseProtocol):
        super().__init__()
        self._link = link
        self._protocol: Any = protocol
        self._socket_transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Announces the socket."""
        self._socket_transport = transport
        self._protocol.connection_made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Announces that the socket is closed."""
        self._protocol.connection_lost(exc)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Queues a received datagram."""
        self._link.received.enqueue_datagram(
            len(data),
            functools.partial(self._protocol.datagram_received, data, addr),
        )

    def error_received(self, exc: Exception) -> None:
        """Passes an error on."""
        self._protocol.error_received(exc)

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Queues a datagram for the link."""
        self._link.sent.enqueue_datagram(
            len(data), functools.partial(self._send, data, addr)
        )

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns information on the real socket."""
        return self._socket_transport.get_extra_info(name, default)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Returns the protocol."""
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def is_closing(self) -> bool:
        """Whether the socket is closed or will be."""
        return bool(self._socket_transport.is_closing())

    def close(self) -> None:
        """Closes the socket."""
        self._socket_transport.close()

    def abort(self) -> None:
        """Closes the socket."""
        self._socket_transport.abort()

    def _send(self, data: Any, addr: Any) -> None:
        if not self.is_closing():
            self._socket_transport.sendto(data, addr)
