"""Connections of callers, with pipelining.

When a caller sends several requests before the first answer, idempotent ones
run concurrently; answers are written in the order of the requests. Any other
request waits until all requests before it have been answered.
"""

import asyncio
import collections
import dataclasses
import math
import typing
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import logbook

from hyssopwind.core import outcomes
from hyssopwind.core.routing import tables
from hyssopwind.core.stopping import deliveries
from hyssopwind.core.stopping import lingering
from hyssopwind.daemon.gateway import caller_parsing
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import rendering
from hyssopwind.platform import field_names
from hyssopwind.transport import boot_clock
from hyssopwind.transport import socket_queues

MAX_PIPELINED_REQUESTS = 64  # unanswered requests on one connection
# Interval of the check whether the last answer has been received.
LINGER_CHECK_SECONDS = 0.2

_log = logbook.Logger("callers")


@dataclasses.dataclass(frozen=True, slots=True)
class CallerCallbacks:
    """Callbacks of a connection.

    Attributes:
        serve: serves one request.
        may_overlap: whether a request may run while earlier ones still run.
        limits: the limits in force.
        is_stopping: whether the daemon stops, so that connections close.
        takes_followers: whether requests behind unanswered ones are taken.
        log_rejection: logs a request that was rejected before it was served.
        count_undelivered: counts an answer that was not delivered whole.
    """

    serve: Callable[
        [caller_requests.CallerRequest], Coroutine[Any, Any, outcomes.Outcome]
    ]
    may_overlap: Callable[[caller_requests.CallerRequest], bool]
    limits: Callable[[], tables.CallerLimits]
    is_stopping: Callable[[], bool]
    takes_followers: Callable[[], bool]
    log_rejection: Callable[[outcomes.Failure], None]
    count_undelivered: Callable[
        [deliveries.DeliveryStage, deliveries.CloseCause], None
    ]


class _PendingRequest:
    """A request whose answer has not been written yet.

    Attributes:
        request: the request; `None` for bytes that are no valid request.
        task: serves the request, once started.
        outcome: how it ended, once it has.
        closes_connection: whether the connection ends with the answer.
    """

    def __init__(self, request: caller_requests.CallerRequest | None):
        self.request = request
        self.task: asyncio.Task[None] | None = None
        self.outcome: outcomes.Outcome | None = None
        self.closes_connection = request is None or request.closes_connection

    @property
    def stage(self) -> deliveries.DeliveryStage:
        """How far the request is."""
        if self.outcome is not None:
            return deliveries.DeliveryStage.HELD
        if self.task is not None:
            return deliveries.DeliveryStage.RUNNING
        return deliveries.DeliveryStage.QUEUED


class CallerConnection(asyncio.Protocol):
    """Reads requests, serves them and writes the answers in order."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        callbacks: CallerCallbacks,
        connections: "set[CallerConnection]",
    ):
        self._loop = loop
        self._callbacks = callbacks
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._request_reader = caller_parsing.RequestReader()
        self._pending_requests: collections.deque[_PendingRequest] = (
            collections.deque()
        )
        # Requests whose answers are written, the last of them not wholly sent.
        self._buffered_requests: list[caller_requests.CallerRequest | None] = []
        self._is_write_paused = False
        self._last_answered: caller_requests.CallerRequest | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Whether the last request has been read; later bytes are discarded.
        self._is_input_ended = False
        self._linger: lingering.Linger | None = None
        self._is_closed = False

    @property
    def pending_count(self) -> int:
        """The number of requests whose answers have not been written."""
        return len(self._pending_requests)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that are still held in the process."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes of answers in the kernel that the caller's end lacks."""
        if self._transport is None:
            return 0
        return socket_queues.unacknowledged_bytes(
            self._transport.get_extra_info("socket")
        )

    @property
    def _outstanding_bytes(self) -> int:
        return self.unsent_bytes + self.unacknowledged_bytes

    @property
    def is_idle(self) -> bool:
        """Whether no request is pending or partly read."""
        return (
            not self._pending_requests
            and self._request_reader.is_between_requests
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle timeout of the new connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        # Reports each write that the kernel does not take at once.
        self._transport.set_write_buffer_limits(high=0)
        self._connections.add(self)
        self._start_timer(self._callbacks.limits().idle_timeout_seconds)

    def data_received(self, data: bytes) -> None:
        """Parses bytes of the caller and starts the requests they complete."""
        # Bytes are read to the end, because a close with unread bytes resets
        # the connection and discards answers that the caller has not read.
        if self._is_closed or self._is_input_ended:
            return
        if self._pending_requests and not self._callbacks.takes_followers():
            self._is_input_ended = True
            return
        limits = self._callbacks.limits()
        was_reading_head = self._request_reader.is_reading_head
        requests_read = self._request_reader.feed(data, limits)
        if self._request_reader.is_reading_head and not was_reading_head:
            self._start_timer(limits.header_timeout_seconds)
        elif not self._request_reader.is_reading_head:
            self._stop_timer()
        if not self._pending_requests:
            self._invite_body()
        for request in requests_read:
            if self._is_input_ended:
                return
            self._enqueue(request)
        failure = self._request_reader.failure
        if failure is not None and not self._is_input_ended:
            self._reject(outcomes.NotRun(failure.reason, failure.detail))

    def eof_received(self) -> bool:
        """Closes the connection when the caller has closed its side."""
        return False

    def pause_writing(self) -> None:
        """Records that answers are held in the process."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Records that the kernel has taken all answers."""
        self._is_write_paused = False
        self._buffered_requests.clear()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the pending requests of a closed connection."""
        cause = deliveries.CloseCause.CALLER
        if self._is_closed:
            cause = deliveries.CloseCause.DAEMON
        elif exc is not None:
            cause = deliveries.CloseCause.RESET
        self.report_undelivered(cause)
        self._is_closed = True
        self._connections.discard(self)
        self._stop_timer()
        self._cancel_pending_requests()

    def report_undelivered(self, cause: deliveries.CloseCause) -> None:
        """Logs and counts the answers that a close at this moment loses."""
        for request in self._buffered_requests:
            self._report(request, deliveries.DeliveryStage.BUFFERED, cause)
        if not self._buffered_requests and self.unacknowledged_bytes:
            stage = deliveries.DeliveryStage.UNACKNOWLEDGED
            self._report(self._last_answered, stage, cause)
        self._buffered_requests.clear()
        self._report_pending(cause)

    def _report_pending(self, cause: deliveries.CloseCause) -> None:
        for pending in self._pending_requests:
            self._report(pending.request, pending.stage, cause)

    def close_if_idle(self) -> None:
        """Closes the connection unless it holds a request, also if unread."""
        if self._is_closed or not self.is_idle:
            return
        raw_socket = None
        if self._transport is not None:
            raw_socket = self._transport.get_extra_info("socket")
        if socket_queues.unread_bytes(raw_socket) == 0:
            self._close()

    def end_input(self, failure: outcomes.NotRun) -> None:
        """Takes no further request; answers one that is partly read."""
        if self._is_closed or self._is_input_ended:
            return
        is_partly_read = not self._request_reader.is_between_requests
        if is_partly_read and not self._pending_requests:
            self._reject(failure)
            return
        self._is_input_ended = True
        if not self._pending_requests:
            self._close()

    def _enqueue(self, request: caller_requests.CallerRequest) -> None:
        if len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
            self._reject(
                outcomes.NotRun(
                    outcomes.Reason.OVERLOADED, "too many requests ahead"
                )
            )
            return
        self._is_input_ended = request.closes_connection
        self._pending_requests.append(_PendingRequest(request))
        self._start_runnable_requests()

    def _start_runnable_requests(self) -> None:
        """Starts the requests that need not wait for earlier ones any more."""
        for position, pending in enumerate(self._pending_requests):
            if pending.task is not None or pending.outcome is not None:
                continue
            if pending.request is None:
                return
            if position and not self._callbacks.may_overlap(pending.request):
                return
            pending.task = self._loop.create_task(self._serve(pending))

    async def _serve(self, pending: _PendingRequest) -> None:
        assert pending.request is not None
        outcome: outcomes.Outcome
        try:
            outcome = await self._callbacks.serve(pending.request)
        except Exception:  # The caller must get an answer.
            _log.exception("unexpected error while serving a request")
            outcome = outcomes.Unknown(
                outcomes.Reason.INTERNAL, "the daemon has a defect"
            )
        self._complete(pending, outcome)

    def _complete(
        self, pending: _PendingRequest, outcome: outcomes.Outcome
    ) -> None:
        pending.outcome = outcome
        self._write_completed()

    def _write_completed(self) -> None:
        if self._is_closed:
            return
        while self._pending_requests:
            outcome = self._pending_requests[0].outcome
            if outcome is None:
                break
            pending = self._pending_requests.popleft()
            # Decided with the write, because a request may have followed since
            # the outcome was known. Without it no request that a server
            # received loses its answer.
            is_last = pending.closes_connection or self._is_last_of_stop()
            self._write_answer(pending, outcome, closes_connection=is_last)
            if is_last:
                self._close()
                return
        self._start_runnable_requests()
        limits = self._callbacks.limits()
        if not self._pending_requests:
            self._invite_body()
        if self.is_idle:
            self._start_timer(limits.idle_timeout_seconds)
        elif not self._pending_requests:
            self._start_timer(limits.header_timeout_seconds)

    def _invite_body(self) -> None:
        """Sends `100 Continue` if the caller waits for it."""
        if self._request_reader.expects_continue:
            self._write(rendering.CONTINUE_RESPONSE)

    def _is_last_of_stop(self) -> bool:
        """Whether the daemon stops and no request is left to be answered."""
        if self._pending_requests or not self._callbacks.is_stopping():
            return False
        return (
            self._is_input_ended
            or self._request_reader.is_between_requests
            or not self._callbacks.takes_followers()
        )

    def _write_answer(
        self,
        pending: _PendingRequest,
        outcome: outcomes.Outcome,
        *,
        closes_connection: bool,
    ) -> None:
        request = pending.request
        is_head = request is not None and request.method == "HEAD"
        try:
            answer = rendering.render(
                outcome,
                request,
                closes_connection=closes_connection,
                is_head=is_head,
            )
        except Exception:  # The caller must get an answer.
            _log.exception("an answer could not be encoded")
            answer = rendering.render(
                outcomes.Unknown(
                    outcomes.Reason.INTERNAL, "the daemon has a defect"
                ),
                request,
                closes_connection=closes_connection,
                is_head=is_head,
            )
        self._last_answered = request
        self._buffered_requests.append(request)
        self._write(answer)
        if not self._is_write_paused:
            self._buffered_requests.clear()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _reject(self, failure: outcomes.NotRun) -> None:
        """Answers an invalid request with an error and ends the input."""
        self._callbacks.log_rejection(failure)
        pending = _PendingRequest(None)
        self._pending_requests.append(pending)
        self._is_input_ended = True
        self._stop_timer()
        self._complete(pending, failure)

    def _report(
        self,
        request: caller_requests.CallerRequest | None,
        stage: deliveries.DeliveryStage,
        cause: deliveries.CloseCause,
    ) -> None:
        self._callbacks.count_undelivered(stage, cause)
        log_fields: dict[str, object] = {
            "stage": stage.value,
            "cause": cause.value,
            "stopping": self._callbacks.is_stopping(),
            "unsent_bytes": self.unsent_bytes,
            "unacknowledged_bytes": self.unacknowledged_bytes,
        }
        if request is not None:
            log_fields["request"] = request.fields.get(
                field_names.REQUEST_ID, ""
            )
            log_fields["ms"] = round(
                (boot_clock.now() - request.arrived_at) * 1000
            )
        _log.info("answer not delivered", extra=log_fields)

    def _close(self) -> None:
        self._report_pending(deliveries.CloseCause.DAEMON)
        self._is_closed = True
        self._stop_timer()
        self._cancel_pending_requests()
        transport = self._transport
        if transport is None:
            return
        if not transport.can_write_eof():
            transport.close()
            return
        try:
            transport.write_eof()
        except OSError:
            # The caller has reset the connection since the loop last polled.
            transport.abort()
            return
        self._linger = lingering.Linger(
            outstanding_bytes=self._outstanding_bytes, now=boot_clock.now()
        )
        self._schedule_linger_check()

    def drop(self) -> None:
        """Ends the connection at once, without its answers."""
        self._is_closed = True
        self._connections.discard(self)
        self._stop_timer()
        self._cancel_pending_requests()
        if self._transport is not None:
            self._transport.abort()

    def _schedule_linger_check(self) -> None:
        self._timer = self._loop.call_later(
            LINGER_CHECK_SECONDS, self._check_linger
        )

    def _check_linger(self) -> None:
        self._timer = None
        if self._linger is None or self._transport is None:
            return
        # The end of the process bounds the wait in a stop.
        stall_seconds = math.inf
        if not self._callbacks.is_stopping():
            stall_seconds = self._callbacks.limits().idle_timeout_seconds
        if not self._linger.may_drop(
            outstanding_bytes=self._outstanding_bytes,
            stall_seconds=stall_seconds,
            now=boot_clock.now(),
        ):
            self._schedule_linger_check()
            return
        self._transport.abort()

    def _cancel_pending_requests(self) -> None:
        for pending in self._pending_requests:
            if pending.task is not None:
                pending.task.cancel()
        self._pending_requests.clear()

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self._handle_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        self._timer = None
        if self._pending_requests or self._is_closed:
            return
        if not self._request_reader.is_between_requests:
            self._reject(
                outcomes.NotRun(
                    outcomes.Reason.REQUEST_TOO_SLOW,
                    "the request came too slowly",
                )
            )
            return
        self._close()
