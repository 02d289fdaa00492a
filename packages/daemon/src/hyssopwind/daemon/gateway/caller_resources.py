"""Shares the memory and descriptors of the daemon between connections."""

import asyncio
import collections
import random
import resource
import typing

import logbook

from hyssopwind.core import outcomes
from hyssopwind.core.callers import caller_account
from hyssopwind.core.callers import head_decisions
from hyssopwind.core.callers import refusal_log
from hyssopwind.transport import boot_clock

RECEIVE_BYTES = 65_536  # read at a time of a body
# Read at a time otherwise. A connection that is blocked holds as much unparsed.
RECEIVE_HEAD_BYTES = 16_384
# Interval at which connections without progress are closed while others wait.
RECLAIM_INTERVAL_SECONDS = 0.1
# Waiting connections that are tried when memory becomes free.
MAX_WAKE_ATTEMPTS = 32
# Work for all connections in one turn of the event loop, in the units of
# `caller_connection.MAX_TURN_EVENTS`. It takes about 3 ms.
MAX_LOOP_EVENTS = 1_000
# Time after which the work of earlier turns does not count any more.
TURN_SECONDS = 0.005
# Connections that are closed at a time so that others can be accepted.
MAX_EVICTIONS = 64

_log = logbook.Logger("callers")


class ManagedConnection(typing.Protocol):
    """A connection whose memory is shared with others."""

    def take_turn(self) -> None:
        """Parses what was received in an earlier turn of the event loop."""

    def retry_hold(self) -> None:
        """Reserves memory again."""

    def retry_start(self) -> None:
        """Starts the request that waited until others had ended."""

    def reclaim(self) -> None:
        """Gives up its request, as others need the memory."""

    def evict(self) -> bool:
        """Closes the connection if it is silent; returns whether it was."""


def derive_limits(
    memory_bytes: int, max_descriptors: int
) -> caller_account.AccountLimits:
    """Returns the bounds of the account for this process.

    Args:
        memory_bytes: memory above which the process is killed.
        max_descriptors: descriptors that it may open; 0 for those that the
            system allows.
    """
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(max_descriptors or process_limit, process_limit)
    return caller_account.derive_limits(memory_bytes, descriptors)


class CallerResources:
    """The account of all connections, with those that wait for memory.

    Attributes:
        receive_view: buffer into which all connections read, one at a time.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: caller_account.AccountLimits,
        random_source: random.Random,
    ):
        self._loop = loop
        self._random = random_source
        self._account = caller_account.CallerAccount(limits)
        self._refusal_log = refusal_log.RefusalLog()
        self._counts: collections.Counter[str] = collections.Counter()
        self._connections: dict[caller_account.Holding, ManagedConnection] = {}
        self._waiting: dict[ManagedConnection, caller_account.Holding] = {}
        # Connections whose next request waits until others have ended.
        self._waiting_starts: dict[ManagedConnection, None] = {}
        # Connections with received bytes that are parsed in a later turn.
        self._turns: dict[ManagedConnection, None] = {}
        self._loop_events = 0
        self._turn_started_at = 0.0
        self._is_wake_scheduled = False
        self._is_start_scheduled = False
        self._reclaim_timer: asyncio.TimerHandle | None = None
        self.receive_view = memoryview(bytearray(RECEIVE_BYTES))

    @property
    def account(self) -> caller_account.CallerAccount:
        """The account of all connections."""
        return self._account

    @property
    def refusal_counts(self) -> collections.Counter[str]:
        """Refused requests and closed connections by reason."""
        return self._counts

    def apply_limits(self, limits: caller_account.AccountLimits) -> None:
        """Puts changed limits of the machine in force."""
        if limits != self._account.limits:
            self._account.apply_limits(limits)
            self._schedule_reclaim()

    def register(
        self, holding: caller_account.Holding, connection: ManagedConnection
    ) -> None:
        """Records which connection a part of the account belongs to."""
        self._connections[holding] = connection

    def release(
        self, holding: caller_account.Holding, connection: ManagedConnection
    ) -> None:
        """Ends the account of a closed connection."""
        self._account.close(holding)
        self._connections.pop(holding, None)
        self._waiting.pop(connection, None)
        self._turns.pop(connection, None)
        self._waiting_starts.pop(connection, None)
        self._schedule_wake()

    def has_turn(self, now: float) -> bool:
        """Whether a connection may parse at once, in this turn of the loop."""
        if self._turns:
            return False
        if now - self._turn_started_at >= TURN_SECONDS:
            self._turn_started_at = now
            self._loop_events = 0
        return self._loop_events < MAX_LOOP_EVENTS

    def record_work(self, event_count: int) -> None:
        """Counts work for a connection."""
        self._loop_events += event_count

    def queue_turn(self, connection: ManagedConnection) -> None:
        """Lets a connection parse in a later turn, after those before it."""
        if not self._turns:
            self._loop.call_soon(self._run_turns)
        self._turns[connection] = None

    def try_start(
        self,
        holding: caller_account.Holding,
        connection: ManagedConnection,
        *,
        is_follower: bool,
    ) -> bool:
        """Counts a request that starts to run; otherwise lets it wait."""
        if is_follower and self._waiting_starts:
            return False
        if self._account.try_start(holding, is_follower=is_follower):
            self._waiting_starts.pop(connection, None)
            return True
        if not is_follower:
            self._waiting_starts[connection] = None
        return False

    def finish(self, holding: caller_account.Holding) -> None:
        """Ends the count of a running request; the next one may start."""
        self._account.finish(holding)
        if self._waiting_starts and not self._is_start_scheduled:
            self._is_start_scheduled = True
            self._loop.call_soon(self._start_waiting)

    def end_start_wait(self, connection: ManagedConnection) -> None:
        """Ends the wait of a connection whose request was refused."""
        self._waiting_starts.pop(connection, None)

    def set_held(
        self, holding: caller_account.Holding, held_bytes: int
    ) -> None:
        """Records what a connection holds, and reclaims what is too much."""
        is_released = held_bytes < holding.held_bytes
        self._account.set_held(holding, held_bytes)
        if is_released:
            self._schedule_wake()
        elif self._account.excess_bytes:
            self._schedule_reclaim()

    def wait(
        self, holding: caller_account.Holding, connection: ManagedConnection
    ) -> None:
        """Lets a connection wait until memory for it is free."""
        holding.is_waiting = True
        self._waiting[connection] = holding
        self._schedule_reclaim()

    def end_wait(
        self, holding: caller_account.Holding, connection: ManagedConnection
    ) -> None:
        """Ends the wait of a connection."""
        holding.is_waiting = False
        self._waiting.pop(connection, None)

    def make_room(self, listener: caller_account.Listener) -> None:
        """Closes silent connections so that a listener can accept others."""
        now = boot_clock.now()
        for holding in self._account.find_silent(listener, now, MAX_EVICTIONS):
            if self._connections[holding].evict():
                self.record_refusal("connections", listener.value)

    def overload_refusal(self, detail: str) -> outcomes.NotRun:
        """Returns the refusal of a request that there is no capacity for."""
        return head_decisions.overloaded(detail, self._random.random())

    def record_refusal(
        self, reason: str, address: str, detail: str = ""
    ) -> None:
        """Counts a refused request or a closed connection, and logs it."""
        self._counts[reason] += 1
        count = self._refusal_log.record(reason, boot_clock.now())
        if count is None:
            return
        _log.info(
            "rejected",
            extra={
                "reason": reason,
                "detail": detail,
                "address": address,
                "count": count,
                "held_bytes": self._account.held_bytes,
                "connections": self._account.connection_count,
            },
        )

    def _run_turns(self) -> None:
        """Lets connections parse in turn; the rest goes on in the next turn."""
        waiting, self._turns = self._turns, {}
        self._loop_events = 0
        self._turn_started_at = boot_clock.now()
        for connection in list(waiting):
            if self._loop_events >= MAX_LOOP_EVENTS:
                break
            del waiting[connection]
            connection.take_turn()
        # Those that had no turn come before those that need another one.
        if waiting:
            if not self._turns:
                self._loop.call_soon(self._run_turns)
            self._turns = {**waiting, **self._turns}

    def _start_waiting(self) -> None:
        """Starts requests that waited, in their order."""
        self._is_start_scheduled = False
        for connection in list(self._waiting_starts):
            if not self._account.may_start:
                return
            self._waiting_starts.pop(connection, None)
            connection.retry_start()

    def _schedule_wake(self) -> None:
        if self._waiting and not self._is_wake_scheduled:
            self._is_wake_scheduled = True
            self._loop.call_soon(self._wake)

    def _wake(self) -> None:
        self._is_wake_scheduled = False
        waiting = list(self._waiting)[:MAX_WAKE_ATTEMPTS]
        for connection in waiting:
            # A connection may have closed since.
            if connection in self._waiting:
                connection.retry_hold()

    def _schedule_reclaim(self) -> None:
        if self._reclaim_timer is None:
            self._reclaim_timer = self._loop.call_later(
                RECLAIM_INTERVAL_SECONDS, self._reclaim
            )

    def _reclaim(self) -> None:
        """Closes connections without progress while others need memory."""
        self._reclaim_timer = None
        excess_bytes = self._account.excess_bytes
        if not self._waiting and not excess_bytes:
            return
        wanted_bytes = max(excess_bytes, self._account.limits.total_bytes // 4)
        for holding in self._account.find_reclaimable(
            boot_clock.now(), wanted_bytes
        ):
            connection = self._connections.get(holding)
            if connection is not None:
                connection.reclaim()
        self._schedule_wake()
        self._schedule_reclaim()
