"""A pool of idle connections for reuse."""

import asyncio
import dataclasses
import socket
from collections.abc import Callable
from collections.abc import Mapping

from hyssopwind.core.attempts import attempt_results
from hyssopwind.transport import answers
from hyssopwind.transport import byte_budgets
from hyssopwind.transport import connection

CONNECT_TIMEOUT_SECONDS = 0.4  # far above the longest round trip
DEFAULT_KEEP_ALIVE_SECONDS = 5.0  # if the remote end states none
KEEP_ALIVE_MARGIN_SECONDS = 1.0  # before the remote end closes the connection
TCP_USER_TIMEOUT_MS = 3_000  # for the acknowledgement of sent bytes
MAX_IDLE_PER_ADDRESS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Times for an answer that may be large.

    Attributes:
        stall_seconds: longest time between two parts of the answer.
        max_seconds: longest time after the timeout for the first part.
        on_bytes: called when a part is received.
        max_bytes: length of the longest answer that is received to its end.
    """

    stall_seconds: float
    max_seconds: float
    on_bytes: Callable[[], None]
    max_bytes: int = answers.MAX_ANSWER_BYTES


class ConnectionPool:
    """The connections of one daemon, by address.

    Args:
        max_held_bytes: bytes of all answers that may be in memory before they
            are complete; an answer that does not fit fails.
        check_head: finds faults in the heads of answers; an answer with one
            fails, and its connection ends.
    """

    def __init__(
        self,
        max_held_bytes: int = answers.MAX_ANSWER_BYTES,
        check_head: answers.HeadCheck = answers.accept_head,
    ) -> None:
        self._check_head = check_head
        self._loop = asyncio.get_running_loop()
        self._byte_budget = byte_budgets.ByteBudget(max_held_bytes)
        self._idle: dict[str, list[connection.ClientConnection]] = {}
        self._opened_count = 0
        self._max_idle_counts: Mapping[str, int] = {}

    @property
    def opened_count(self) -> int:
        """The number of connections opened so far."""
        return self._opened_count

    async def acquire(self, address: str) -> connection.ClientConnection:
        """Returns an idle connection, or opens a new one.

        Raises:
            ExchangeError: no connection could be opened.
        """
        pooled = self.take_idle(address)
        if pooled is not None:
            return pooled
        return await self._open(address)

    async def open(self, address: str) -> connection.ClientConnection:
        """Opens a connection, on which no earlier answer can be received.

        Raises:
            ExchangeError: no connection could be opened.
        """
        return await self._open(address)

    def take_idle(self, address: str) -> connection.ClientConnection | None:
        """Returns an idle connection, or `None` if there is none."""
        idle = self._idle.get(address, [])
        while idle:
            pooled = idle.pop()
            if pooled.is_usable and pooled.idle_seconds <= _max_idle_seconds(
                pooled
            ):
                return pooled
            pooled.abort()
        return None

    def release(self, client_connection: connection.ClientConnection) -> None:
        """Returns a connection to the pool, or closes one not to be reused."""
        idle = self._idle.setdefault(client_connection.address, [])
        max_idle_count = self._max_idle_counts.get(
            client_connection.address, MAX_IDLE_PER_ADDRESS
        )
        if not client_connection.is_usable or len(idle) >= max_idle_count:
            client_connection.abort()
            return
        idle.append(client_connection)

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address; they may have failed."""
        for pooled in self._idle.pop(address, []):
            pooled.abort()

    def retain(self, addresses: set[str]) -> None:
        """Closes the idle connections to all other addresses."""
        for address in list(self._idle):
            if address not in addresses:
                self.close_idle(address)

    def limit_idle(self, counts: Mapping[str, int]) -> None:
        """Sets how many idle connections are kept, by address.

        Other addresses have `MAX_IDLE_PER_ADDRESS`.
        """
        self._max_idle_counts = counts
        for address, count in counts.items():
            idle = self._idle.get(address, [])
            while len(idle) > count:
                idle.pop(0).abort()

    def close(self) -> None:
        """Closes all idle connections."""
        self.retain(set())

    async def get(
        self,
        address: str,
        target: str,
        timeout_seconds: float,
        is_expected: connection.AnswerPredicate = lambda _: True,
        progress: Progress | None = None,
    ) -> answers.Answer:
        """Sends a GET and returns the answer; it may be sent more than once.

        The remote end may have closed an idle connection in the meantime, so
        a request that failed on one is sent again on another.

        Args:
            address: IP address and port.
            target: path and query.
            timeout_seconds: seconds for the whole call, or until the first
                bytes of the answer if `progress` is given.
            is_expected: whether an answer is for this request.
            progress: how long an answer may take whose bytes keep coming, so
                that a narrow link does not make the call start anew.

        Raises:
            ExchangeError: no whole answer was received in time.
        """
        head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
        started_at = self._loop.time()
        try:
            async with asyncio.timeout(timeout_seconds) as timeout:

                def extend(known_bytes: int) -> None:
                    assert progress is not None
                    if known_bytes > progress.max_bytes:
                        raise answers.AnswerTooLargeError
                    progress.on_bytes()
                    ends_at = min(
                        self._loop.time() + progress.stall_seconds,
                        started_at + timeout_seconds + progress.max_seconds,
                    )
                    if not timeout.expired():
                        timeout.reschedule(max(ends_at, timeout.when() or 0.0))

                return await self._get(
                    address, head, is_expected, extend if progress else None
                )
        except TimeoutError as error:
            self.close_idle(address)
            elapsed = self._loop.time() - started_at
            raise connection.ExchangeError(
                attempt_results.FailureKind.TIMED_OUT, f"after {elapsed:.2f} s"
            ) from error

    async def _get(
        self,
        address: str,
        head: bytes,
        is_expected: connection.AnswerPredicate,
        on_progress: Callable[[int], None] | None,
    ) -> answers.Answer:
        while True:
            had_idle = bool(self._idle.get(address))
            client_connection = await self.acquire(address)
            try:
                answer = await client_connection.exchange(
                    head, "GET", is_expected, on_progress
                )
            except connection.ExchangeError as error:
                is_too_large = (
                    error.kind is attempt_results.FailureKind.TOO_LARGE
                )
                if had_idle and not is_too_large:
                    continue
                raise
            self.release(client_connection)
            return answer

    async def get_on_new_connection(
        self,
        address: str,
        target: str,
        timeout_seconds: float,
        is_expected: connection.AnswerPredicate = lambda _: True,
    ) -> answers.Answer:
        """Sends a GET on a new connection, once, and returns the answer.

        Args:
            address: IP address and port.
            target: path and query.
            timeout_seconds: seconds for the whole call.
            is_expected: whether an answer is for this request.

        Raises:
            ExchangeError: no whole answer was received in time.
        """
        head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
        try:
            async with asyncio.timeout(timeout_seconds):
                opened = await self._open(address)
                answer = await opened.exchange(head, "GET", is_expected)
        except TimeoutError as error:
            raise connection.ExchangeError(
                attempt_results.FailureKind.TIMED_OUT,
                f"after {timeout_seconds} s",
            ) from error
        self.release(opened)
        return answer

    async def _open(self, address: str) -> connection.ClientConnection:
        host, _, port = address.rpartition(":")
        self._opened_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                transport, opened = await self._loop.create_connection(
                    lambda: connection.ClientConnection(
                        address, self._byte_budget, self._check_head
                    ),
                    host,
                    int(port),
                )
            # Fails if the remote end has reset the connection meanwhile.
            transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise connection.ExchangeError(
                attempt_results.FailureKind.NOT_CONNECTED, repr(error)
            ) from error
        return opened


def _max_idle_seconds(pooled: connection.ClientConnection) -> float:
    if pooled.keep_alive_seconds is None:
        return DEFAULT_KEEP_ALIVE_SECONDS
    return max(0.5, pooled.keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS)
