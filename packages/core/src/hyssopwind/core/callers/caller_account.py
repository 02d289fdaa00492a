"""Account of the memory and connections that callers make the daemon hold.

One account covers all listeners. It bounds the sum, not the single caller:
within the sum each caller may use all that the configuration allows.
"""

import dataclasses
import enum
from collections.abc import Iterable
from collections.abc import Mapping

# Ratio of the memory of the process for all that callers make it hold. The
# rest is for the process at rest (about 30 MB), answers of servers (0.12) and
# of peers (0.06), and for copies that live for one turn of the event loop.
CALLERS_MEMORY_RATIO = 0.25
# Memory of an open connection without requests: transport, protocol, parser.
# 1,100 silent connections took 6.4 KB each.
CONNECTION_BYTES = 8_192
# Memory of a header field beside its name and value: objects and the entries
# in the fields of the request and in their copy for the server. A field of 5
# bytes each took 156 bytes in one collection.
FIELD_OVERHEAD_BYTES = 256
# Memory of a request beside its head and body.
REQUEST_OVERHEAD_BYTES = 1_024
# Copies of a body while its request is sent: the body, the encoded request,
# and the buffer of the connection to the server.
BODY_COPIES = 3
# Ratio of the total above which only small requests are read, so that bodies
# do not keep requests without a body from being served.
LARGE_REQUESTS_RATIO = 0.75
SMALL_REQUEST_BYTES = 32_768
# Ratio of the total that others may hold while a single request that is
# larger than the total is taken.
SINGLE_REQUEST_RATIO = 0.25
# Ratio of the total beyond which one connection takes no further pipelined
# request before it has answered earlier ones.
CONNECTION_RATIO = 1 / 16
# Ratio of the total above which pipelined requests run one after the other.
FOLLOWERS_RATIO = 0.5
# Ratio of the total that open connections alone may take.
CONNECTIONS_MEMORY_RATIO = 0.25
# Time without progress after which a connection may be closed for another. It
# is many times the round trip between callers and daemons (8 ms).
RECLAIM_SILENCE_SECONDS = 0.5
# Ratios of the descriptors; the rest is for servers, peers and the store.
CALLERS_DESCRIPTOR_RATIO = 0.5
INTERNAL_DESCRIPTOR_RATIO = 0.04
# A running request may open connections to a server, for probes and a hedge.
RUNNING_DESCRIPTOR_RATIO = 0.125
# Fewest connections of a listener and fewest running requests, also with few
# descriptors, so that each listener always answers.
MIN_CONNECTIONS = 8


class Listener(enum.Enum):
    """The listeners whose connections are counted."""

    CALLERS = "callers"
    READY = "ready"
    PEERS = "peers"
    METRICS = "metrics"
    ADMIN = "admin"


class Stage(enum.IntEnum):
    """What a connection holds, in the order of reclamation."""

    IDLE = 0  # no request
    PARTIAL = 1  # a request that is partly read
    COMPLETE = 2  # whole requests or unread answers


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimits:
    """Bounds of the account.

    Attributes:
        total_bytes: memory that all connections may take together.
        max_connections: open connections of each listener.
        max_running: requests that run at a time.
    """

    total_bytes: int
    max_connections: Mapping[Listener, int]
    max_running: int


def derive_limits(memory_bytes: int, max_descriptors: int) -> AccountLimits:
    """Returns the bounds for a machine.

    Args:
        memory_bytes: memory above which the process is killed.
        max_descriptors: descriptors that the process may open.

    Examples:
        >>> limits = derive_limits(100_000_000, 1_000)
        >>> limits.total_bytes, limits.max_running
        (25000000, 125)
        >>> limits.max_connections[Listener.CALLERS]
        500
        >>> limits.max_connections[Listener.READY]
        40
    """
    total_bytes = int(CALLERS_MEMORY_RATIO * memory_bytes)
    connections = min(
        int(CALLERS_DESCRIPTOR_RATIO * max_descriptors),
        int(CONNECTIONS_MEMORY_RATIO * total_bytes / CONNECTION_BYTES),
    )
    internal = min(
        int(INTERNAL_DESCRIPTOR_RATIO * max_descriptors), connections
    )
    max_connections = {
        listener: max(MIN_CONNECTIONS, internal) for listener in Listener
    }
    max_connections[Listener.CALLERS] = max(MIN_CONNECTIONS, connections)
    max_running = int(RUNNING_DESCRIPTOR_RATIO * max_descriptors)
    return AccountLimits(
        total_bytes, max_connections, max(MIN_CONNECTIONS, max_running)
    )


def field_cost(byte_count: int) -> int:
    """Returns the memory of a header field with its copy for the server.

    Args:
        byte_count: length of its name and value.
    """
    return FIELD_OVERHEAD_BYTES + 2 * byte_count


class Holding:
    """What one connection makes the daemon hold.

    Attributes:
        listener: listener that accepted the connection.
        held_bytes: memory that is counted for it.
        running_count: requests that servers may be running.
        stage: what it holds.
        progress_at: monotonic time at which it last sent bytes or read an
            answer.
        is_waiting: whether the daemon itself has paused it.
    """

    __slots__ = (
        "held_bytes",
        "is_open",
        "is_waiting",
        "listener",
        "progress_at",
        "running_count",
        "stage",
    )

    def __init__(self, listener: Listener, now: float):
        self.listener = listener
        self.held_bytes = CONNECTION_BYTES
        self.running_count = 0
        self.stage = Stage.IDLE
        self.progress_at = now
        self.is_waiting = False
        self.is_open = True


class CallerAccount:
    """Counts what all connections hold, and decides what may be added.

    Examples:
        >>> account = CallerAccount(derive_limits(100_000_000, 1_000))
        >>> holding = account.open(Listener.CALLERS, now=0.0)
        >>> account.try_hold(holding, 9_000, wanted_bytes=18_000_000)
        True
        >>> other = account.open(Listener.CALLERS, now=0.0)
        >>> account.try_hold(other, 9_000, wanted_bytes=3_000_000)
        False
        >>> account.held_bytes
        18009000
        >>> account.close(holding)
        >>> account.held_bytes
        9000
    """

    def __init__(self, limits: AccountLimits):
        self._limits = limits
        self._holdings: dict[Holding, None] = {}
        self._connection_counts = dict.fromkeys(Listener, 0)
        self._held_bytes = 0
        self._running_count = 0

    @property
    def held_bytes(self) -> int:
        """Memory that all connections take together."""
        return self._held_bytes

    @property
    def running_count(self) -> int:
        """Requests that servers may be running."""
        return self._running_count

    @property
    def may_start(self) -> bool:
        """Whether a request may start to run."""
        return self._running_count < self._limits.max_running

    @property
    def connection_count(self) -> int:
        """Open connections of all listeners."""
        return len(self._holdings)

    @property
    def excess_bytes(self) -> int:
        """Memory beyond the total; 0 if there is none."""
        return max(0, self._held_bytes - self._limits.total_bytes)

    @property
    def limits(self) -> AccountLimits:
        """The bounds in force."""
        return self._limits

    def apply_limits(self, limits: AccountLimits) -> None:
        """Replaces the bounds; what is held above them stays held."""
        self._limits = limits

    def may_open(self, listener: Listener) -> bool:
        """Returns whether a listener may accept another connection."""
        count = self._connection_counts[listener]
        return count < self._limits.max_connections[listener]

    def open(self, listener: Listener, now: float) -> Holding:
        """Counts a new connection."""
        holding = Holding(listener, now)
        self._holdings[holding] = None
        self._connection_counts[listener] += 1
        self._held_bytes += holding.held_bytes
        return holding

    def close(self, holding: Holding) -> None:
        """Ends the count of a connection; has no effect the second time."""
        if not holding.is_open:
            return
        holding.is_open = False
        del self._holdings[holding]
        self._connection_counts[holding.listener] -= 1
        self._held_bytes -= holding.held_bytes

    def set_held(self, holding: Holding, held_bytes: int) -> None:
        """Records what a connection holds, also if it is over the total."""
        if not holding.is_open:
            return
        self._held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes

    def try_hold(
        self, holding: Holding, held_bytes: int, wanted_bytes: int
    ) -> bool:
        """Records what a connection holds and reserves what it will hold.

        Args:
            holding: the connection.
            held_bytes: what it holds.
            wanted_bytes: what it will hold with the rest of its request.

        Returns:
            Whether the reservation fits. Without one the connection must not
            be read, and only `held_bytes` are counted.
        """
        wanted_bytes = max(held_bytes, wanted_bytes)
        others = self._held_bytes - holding.held_bytes
        if self._fits(others, wanted_bytes):
            self.set_held(holding, wanted_bytes)
            return True
        self.set_held(holding, held_bytes)
        return False

    def may_take_request(self, holding: Holding) -> bool:
        """Whether a connection may read a request behind unanswered ones."""
        share = CONNECTION_RATIO * self._limits.total_bytes
        return holding.held_bytes < share

    def try_start(self, holding: Holding, *, is_follower: bool) -> bool:
        """Counts a request that starts to run; returns whether it may.

        Args:
            holding: its connection.
            is_follower: whether earlier requests of the connection run still.
        """
        if not self.may_start:
            return False
        if is_follower and not self._may_start_follower():
            return False
        self._running_count += 1
        holding.running_count += 1
        return True

    def finish(self, holding: Holding) -> None:
        """Ends the count of a running request."""
        self._running_count -= 1
        holding.running_count -= 1

    def find_reclaimable(self, now: float, wanted_bytes: int) -> list[Holding]:
        """Returns the connections to close so that others can be read.

        Those without progress for the longest time come first, requests that
        are partly read before whole ones. A connection with a request that a
        server may be running is never among them, nor one that the daemon
        itself does not read.

        Args:
            now: monotonic time.
            wanted_bytes: memory that their end should make free.
        """
        found = []
        for holding in self._silent_holdings(now, Stage.COMPLETE):
            if wanted_bytes <= 0:
                break
            released = holding.held_bytes - CONNECTION_BYTES
            if released <= 0:
                continue
            found.append(holding)
            wanted_bytes -= released
        return found

    def find_silent(
        self, listener: Listener, now: float, max_count: int
    ) -> list[Holding]:
        """Returns the connections to close so that others can be accepted."""
        found: list[Holding] = []
        for holding in self._silent_holdings(now, Stage.PARTIAL):
            if len(found) == max_count:
                break
            if holding.listener is listener:
                found.append(holding)
        return found

    def _fits(self, others: int, wanted_bytes: int) -> bool:
        total = self._limits.total_bytes
        if wanted_bytes <= SMALL_REQUEST_BYTES:
            return others + wanted_bytes <= total
        if others + wanted_bytes <= LARGE_REQUESTS_RATIO * total:
            return True
        return others <= SINGLE_REQUEST_RATIO * total

    def _may_start_follower(self) -> bool:
        limits = self._limits
        return (
            2 * self._running_count < limits.max_running
            and self._held_bytes < FOLLOWERS_RATIO * limits.total_bytes
        )

    def _silent_holdings(
        self, now: float, last_stage: Stage
    ) -> Iterable[Holding]:
        """Returns the connections without progress, in reclamation order."""
        silent = []
        for holding in self._holdings:
            if holding.running_count or holding.is_waiting:
                continue
            if holding.stage > last_stage:
                continue
            if now - holding.progress_at >= RECLAIM_SILENCE_SECONDS:
                silent.append(holding)
        silent.sort(
            key=lambda each: (each.stage is Stage.COMPLETE, each.progress_at)
        )
        return silent
