"""Connections to servers, kept for reuse, and health checks over them."""

import asyncio
import socket

from hyssopwind.core import ids
from hyssopwind.core.attempts import judgement
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import readings
from hyssopwind.daemon.gateway import server_connection
from hyssopwind.platform import reports

CONNECT_TIMEOUT = 0.4  # seconds; far above the longest round trip
CHECK_TIMEOUT = 0.15  # seconds; a check is answered without a slot
DEFAULT_KEEP_ALIVE = 5.0  # seconds, where the server states none
KEEP_ALIVE_MARGIN = 1.0  # seconds before the server's own timeout
USER_TIMEOUT_MS = 3_000  # milliseconds of unacknowledged bytes
MAX_IDLE = 8  # kept connections to one server


class ServerPool:
    """The connections of one daemon to all servers."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._idle: dict[str, list[server_connection.ServerConnection]] = {}
        self._opened = 0
        self._checks = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    @property
    def checks(self) -> int:
        """Health checks sent so far."""
        return self._checks

    async def acquire(self, address: str) -> server_connection.ServerConnection:
        """Returns a kept connection to a server, or a new one.

        Raises:
            ExchangeError: no connection could be made.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable and not self._is_stale(connection):
                return connection
            connection.abort()
        return await self._open(address)

    def release(self, connection: server_connection.ServerConnection) -> None:
        """Keeps a connection for the next request, if it is still good."""
        idle = self._idle.setdefault(connection.address, [])
        if not connection.usable or len(idle) >= MAX_IDLE:
            connection.abort()
            return
        idle.append(connection)

    def distrust(self, address: str) -> None:
        """Ends the kept connections to a server, which may be silent."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def keep_only(self, addresses: set[str]) -> None:
        """Ends the connections to addresses that are no longer listed."""
        for address in list(self._idle):
            if address not in addresses:
                self.distrust(address)

    async def check(
        self, entry: entries.ServerEntry, path: str
    ) -> readings.HealthReport | None:
        """Asks a server for its health; `None` where no report came.

        An answer by another server at the same address is no report.
        """
        self._checks += 1
        try:
            async with asyncio.timeout(CHECK_TIMEOUT):
                answer = await self._check_once(entry.address, path)
        except (TimeoutError, server_connection.ExchangeError):
            self.distrust(entry.address)
            return None
        report = reports.decode_health(answer.status, answer.fields)
        if report.server not in (entry.id, ids.ServerId("")):
            return None
        return report

    async def _check_once(
        self, address: str, path: str
    ) -> server_connection.ServerAnswer:
        data = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
        while True:
            kept = bool(self._idle.get(address))
            connection = await self.acquire(address)
            try:
                answer = await connection.exchange(data, "GET", "")
            except server_connection.ExchangeError:
                if kept:
                    # The server may have closed it while it was unused.
                    continue
                raise
            self.release(connection)
            return answer

    def _is_stale(self, connection: server_connection.ServerConnection) -> bool:
        limit = DEFAULT_KEEP_ALIVE
        if connection.keep_alive is not None:
            limit = max(0.5, connection.keep_alive - KEEP_ALIVE_MARGIN)
        return self._loop.time() - connection.last_used > limit

    async def _open(self, address: str) -> server_connection.ServerConnection:
        host, _, port = address.rpartition(":")
        self._opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                transport, connection = await self._loop.create_connection(
                    lambda: server_connection.ServerConnection(
                        self._loop, address
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            raise server_connection.ExchangeError(
                judgement.FailureKind.NOT_CONNECTED, repr(error)
            ) from error
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
        return connection
