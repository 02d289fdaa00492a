"""A connection to a server, which carries one request at a time.

A connection is not reused after it has received anything but one whole answer
for each request.
"""

import asyncio
import dataclasses
import fcntl
import re
import sys
import termios
import typing
from collections.abc import Callable
from typing import TypeAlias

from hyssopwind.core.attempts import attempt_results
from hyssopwind.transport import answers
from hyssopwind.transport import boot_clock
from hyssopwind.transport import byte_budgets

# Bytes of each answer that the budget does not count, so that small answers
# are read while large ones take up all of it.
SMALL_ANSWER_BYTES = 65_536
MAX_SKIPPED_ANSWERS = 4  # late or extra answers on one connection
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")

# Whether an answer belongs to the pending request.
AnswerPredicate: TypeAlias = Callable[[answers.Answer], bool]


class ExchangeError(Exception):
    """A request got no whole answer."""

    def __init__(self, kind: attempt_results.FailureKind, detail: str):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    future: "asyncio.Future[answers.Answer]"
    method: str
    is_expected: AnswerPredicate
    on_progress: Callable[[int], None] | None


class ClientConnection(asyncio.Protocol):
    """Sends requests and reads whole answers.

    Args:
        address: IP address and port of the server.
        byte_budget: bytes of answers that may be held; a budget of its own if
            omitted.
        check_head: finds faults in the heads of answers.
    """

    def __init__(
        self,
        address: str,
        byte_budget: byte_budgets.ByteBudget | None = None,
        check_head: answers.HeadCheck = answers.accept_head,
    ):
        self.address = address
        self._check_head = check_head
        self._byte_budget = byte_budget or byte_budgets.ByteBudget(
            answers.MAX_ANSWER_BYTES
        )
        self._held_bytes = 0
        self.keep_alive_seconds: float | None = None
        self._loop = asyncio.get_running_loop()
        self._last_used_at = self._loop.time()
        self._transport: asyncio.Transport | None = None
        self._pending: _PendingRequest | None = None
        self._reader: answers.AnswerReader | None = None
        self._skipped_count = 0
        self._is_closed = False
        self._is_abandoned = False
        self._held_until = float("-inf")
        self._is_silent = False
        self._delivered_at: float | None = None
        self._written_at: float | None = None

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent now."""
        return (
            not self._is_closed
            and not self._is_abandoned
            and self._pending is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def idle_seconds(self) -> float:
        """Seconds since the last request ended."""
        return self._loop.time() - self._last_used_at

    async def exchange(
        self,
        data: bytes,
        method: str,
        is_expected: AnswerPredicate = lambda _: True,
        on_progress: Callable[[int], None] | None = None,
    ) -> answers.Answer:
        """Sends a request and returns the whole answer to it.

        Args:
            data: the encoded request.
            method: the method, which decides whether the answer has a body.
            is_expected: whether an answer is for this request; others are
                skipped.
            on_progress: called with the length of the answer as far as it is
                known, whenever bytes of it are received. It may raise
                `AnswerTooLargeError`.

        Raises:
            ExchangeError: no whole answer was received.
        """
        if not self.is_usable or self._transport is None:
            raise ExchangeError(
                attempt_results.FailureKind.NOT_CONNECTED,
                "connection has ended",
            )
        future: asyncio.Future[answers.Answer] = self._loop.create_future()
        self._pending = _PendingRequest(
            future, method, is_expected, on_progress
        )
        self._reader = answers.AnswerReader(method, self._check_head)
        self._is_silent = True
        self._delivered_at = None
        self._written_at = boot_clock.now()
        self._transport.write(data)
        try:
            return await future
        except asyncio.CancelledError:
            # The answer may be complete, but nobody is left who could return
            # the connection to a pool.
            self._abandon()
            raise
        finally:
            self._pending = None
            self._account_bytes(0)
            self._last_used_at = self._loop.time()

    def find_silent_since(self) -> float | None:
        """Returns since when the remote end has been silent with a request.

        Acknowledgements are not reported, so the time is that of the first
        call that finds the request delivered, unless the first call does.

        Returns:
            The time in seconds of the boot clock; `None` if bytes of the
            request may be on their way, if an answer has begun, or if the
            connection has ended.
        """
        if self._is_closed or not self._is_silent:
            return None
        if self._delivered_at is None:
            if self._has_unacknowledged_bytes():
                self._written_at = None
                return None
            self._delivered_at = self._written_at or boot_clock.now()
        return self._delivered_at

    def hold(self, seconds: float) -> None:
        """Keeps the connection open for a time if its request is cancelled.

        Whether an answer was on its way can be seen only on an open connection.
        """
        self._held_until = self._loop.time() + seconds

    def abort(self) -> None:
        """Closes the connection without sending buffered data."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the server."""
        self._is_silent = False
        if self._is_closed:
            return
        if self._pending is None or self._reader is None:
            # Bytes without a pending request: the connection cannot be trusted.
            self.abort()
            return
        try:
            self._reader.feed(data)
            if self._pending.on_progress is not None:
                self._pending.on_progress(self._reader.known_bytes)
            self._account_bytes(self._reader.held_bytes)
            self._process_answers()
        except answers.BadAnswerError as error:
            self._fail(attempt_results.FailureKind.GARBLED, str(error))
        except answers.AnswerTooLargeError:
            self._fail(
                attempt_results.FailureKind.TOO_LARGE, "answer is too large"
            )

    def eof_received(self) -> bool:
        """Completes an answer that ends with the connection."""
        if self._reader is not None:
            self._reader.feed_end()
            self._process_answers()
        self._fail(attempt_results.FailureKind.BROKEN, "ended by the server")
        return False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the pending request, if there is one."""
        self._fail(attempt_results.FailureKind.BROKEN, repr(exc))

    def _abandon(self) -> None:
        """Closes the connection with a cancelled request, at once or later."""
        self._is_abandoned = True
        left_seconds = self._held_until - self._loop.time()
        if left_seconds <= 0.0:
            self.abort()
            return
        self._loop.call_later(left_seconds, self.abort)

    def _has_unacknowledged_bytes(self) -> bool:
        if self._transport is None or self._transport.get_write_buffer_size():
            return True
        transport_socket = self._transport.get_extra_info("socket")
        if transport_socket is None:
            return False
        try:
            # For TCP, Linux counts the bytes that are not acknowledged.
            count = fcntl.ioctl(transport_socket, termios.TIOCOUTQ, bytes(4))
        except (OSError, ValueError):
            return True
        return int.from_bytes(count, sys.byteorder) > 0

    def _account_bytes(self, held_bytes: int) -> None:
        """Acquires or releases the bytes that the answer takes up.

        Raises:
            AnswerTooLargeError: there is no room for the bytes.
        """
        held_bytes = max(0, held_bytes - SMALL_ANSWER_BYTES)
        added_bytes = held_bytes - self._held_bytes
        if added_bytes > 0 and not self._byte_budget.try_acquire(added_bytes):
            raise answers.AnswerTooLargeError
        if added_bytes < 0:
            self._byte_budget.release(-added_bytes)
        self._held_bytes = held_bytes

    def _process_answers(self) -> None:
        """Delivers the expected answer and skips late or extra ones."""
        while self._reader is not None and self._pending is not None:
            answer = self._reader.answer
            if answer is None:
                return
            remaining = bytes(self._reader.remaining)
            if self._pending.is_expected(answer):
                self._deliver(answer, has_extra=bool(remaining))
                return
            self._skipped_count += 1
            if self._skipped_count > MAX_SKIPPED_ANSWERS:
                self._fail(attempt_results.FailureKind.GARBLED, "extra answers")
                return
            self._reader = answers.AnswerReader(
                self._pending.method, self._check_head
            )
            self._reader.feed(remaining)

    def _deliver(self, answer: answers.Answer, *, has_extra: bool) -> None:
        pending, self._pending = self._pending, None
        self._reader = None
        match = _KEEP_ALIVE_TIMEOUT.search(
            answer.fields.get("Keep-Alive", "").lower()
        )
        if match:
            self.keep_alive_seconds = float(match[1])
        if pending is not None and not pending.future.done():
            pending.future.set_result(answer)
        if has_extra or self._skipped_count or not answer.may_reuse_connection:
            self.abort()

    def _fail(self, kind: attempt_results.FailureKind, detail: str) -> None:
        pending, self._pending = self._pending, None
        self._reader = None
        if pending is not None and not pending.future.done():
            pending.future.set_exception(ExchangeError(kind, detail))
        self.abort()
