"""Connections kept for reuse."""

import asyncio
import socket

from hyssopwind.core.attempts import judgement
from hyssopwind.transport import answers
from hyssopwind.transport import connection

CONNECT_TIMEOUT = 0.4  # seconds; far above the longest round trip
DEFAULT_KEEP_ALIVE = 5.0  # seconds, where the other side states none
KEEP_ALIVE_MARGIN = 1.0  # seconds before the other side's own timeout
USER_TIMEOUT_MS = 3_000  # milliseconds of unacknowledged bytes
MAX_IDLE = 8  # kept connections to one address


class ConnectionPool:
    """The connections of one daemon, by address."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._idle: dict[str, list[connection.ClientConnection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    async def acquire(self, address: str) -> connection.ClientConnection:
        """Returns a kept connection, or a new one.

        Raises:
            ExchangeError: no connection could be made.
        """
        idle = self._idle.get(address, [])
        while idle:
            kept = idle.pop()
            if kept.usable and kept.idle_time <= _longest_idle(kept):
                return kept
            kept.abort()
        return await self._open(address)

    def release(self, used: connection.ClientConnection) -> None:
        """Keeps a connection for the next request, if it is still good."""
        idle = self._idle.setdefault(used.address, [])
        if not used.usable or len(idle) >= MAX_IDLE:
            used.abort()
            return
        idle.append(used)

    def distrust(self, address: str) -> None:
        """Ends the kept connections to an address, which may be silent."""
        for kept in self._idle.pop(address, []):
            kept.abort()

    def keep_only(self, addresses: set[str]) -> None:
        """Ends the connections to all other addresses."""
        for address in list(self._idle):
            if address not in addresses:
                self.distrust(address)

    def close(self) -> None:
        """Ends all kept connections."""
        self.keep_only(set())

    async def get(
        self,
        address: str,
        target: str,
        timeout: float,
        belongs: connection.Belongs = lambda _: True,
    ) -> answers.Answer:
        """Returns the answer to a GET, which may be sent twice.

        A kept connection may have been closed by the other side while it was
        unused, so its failure is followed by a try on another one.

        Args:
            address: IP address and port.
            target: path and query.
            timeout: seconds for all of it.
            belongs: tells answers to other requests apart.

        Raises:
            ExchangeError: no whole answer came in time.
        """
        head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
        try:
            async with asyncio.timeout(timeout):
                return await self._get(address, head, belongs)
        except TimeoutError as error:
            self.distrust(address)
            raise connection.ExchangeError(
                judgement.FailureKind.TIMED_OUT, f"after {timeout} s"
            ) from error

    async def _get(
        self, address: str, head: bytes, belongs: connection.Belongs
    ) -> answers.Answer:
        while True:
            was_kept = bool(self._idle.get(address))
            used = await self.acquire(address)
            try:
                answer = await used.exchange(head, "GET", belongs)
            except connection.ExchangeError:
                if was_kept:
                    continue
                raise
            self.release(used)
            return answer

    async def _open(self, address: str) -> connection.ClientConnection:
        host, _, port = address.rpartition(":")
        self._opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                transport, made = await self._loop.create_connection(
                    lambda: connection.ClientConnection(address),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            raise connection.ExchangeError(
                judgement.FailureKind.NOT_CONNECTED, repr(error)
            ) from error
        raw = transport.get_extra_info("socket")
        raw.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        return made


def _longest_idle(kept: connection.ClientConnection) -> float:
    if kept.keep_alive is None:
        return DEFAULT_KEEP_ALIVE
    return max(0.5, kept.keep_alive - KEEP_ALIVE_MARGIN)
