"""Accepts connections within the bounds of the account of callers.

The server of asyncio accepts a whole backlog in one turn of the event loop and
all descriptors of the process.
"""

import asyncio
import socket
from collections.abc import Callable

import logbook

from hyssopwind.core.callers import caller_account
from hyssopwind.daemon.gateway import caller_resources
from hyssopwind.transport import boot_clock

MAX_ACCEPTS_PER_TURN = 16
# Time until a listener that was at its bound accepts again; its callers wait
# in the backlog meanwhile.
RETRY_SECONDS = 0.05

_log = logbook.Logger("callers")

MakeProtocol = Callable[[caller_account.Holding], asyncio.BaseProtocol]


class Acceptor:
    """Accepts the connections of one listener.

    Args:
        listener_name: the listener, for its bound.
        raw_socket: the listening socket, which `close` closes.
        resources: the account of all connections.
        make_protocol: returns the protocol of a new connection.
    """

    def __init__(
        self,
        listener_name: caller_account.Listener,
        raw_socket: socket.socket,
        resources: caller_resources.CallerResources,
        make_protocol: MakeProtocol,
    ):
        self._loop = asyncio.get_running_loop()
        self._listener_name = listener_name
        self._socket = raw_socket
        self._resources = resources
        self._make_protocol = make_protocol
        self._retry_timer: asyncio.TimerHandle | None = None
        self._is_serving = False
        # The event loop itself keeps only weak references to tasks.
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begins to accept connections."""
        self._socket.setblocking(False)
        self._is_serving = True
        self._loop.add_reader(self._socket.fileno(), self._accept)

    def is_serving(self) -> bool:
        """Whether connections are accepted, now or in a moment."""
        return self._is_serving

    def close(self) -> None:
        """Closes the listening socket; open connections stay."""
        if not self._is_serving:
            return
        self._is_serving = False
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _accept(self) -> None:
        account = self._resources.account
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not account.may_open(self._listener_name):
                self._resources.make_room(self._listener_name)
                self._pause()
                return
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # No descriptor or memory is left for the process or the host.
                self._resources.record_refusal("descriptors", str(error))
                self._pause()
                return
            connection.setblocking(False)
            holding = account.open(self._listener_name, boot_clock.now())
            task = self._loop.create_task(self._connect(connection, holding))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(
        self, connection: socket.socket, holding: caller_account.Holding
    ) -> None:
        try:
            await self._loop.connect_accepted_socket(
                lambda: self._make_protocol(holding), connection
            )
        except Exception as error:  # The other connections must stay.
            _log.error(
                "connection of a caller failed; dropping it",
                extra={"error": repr(error)},
            )
            self._resources.account.close(holding)
            connection.close()

    def _pause(self) -> None:
        self._loop.remove_reader(self._socket.fileno())
        self._retry_timer = self._loop.call_later(RETRY_SECONDS, self._resume)

    def _resume(self) -> None:
        self._retry_timer = None
        if self._is_serving:
            self._loop.add_reader(self._socket.fileno(), self._accept)
