"""Connections of callers, with pipelining.

When a caller sends several requests before the first answer, idempotent ones
run concurrently; answers are written in the order of the requests. Any other
request waits until all requests before it have been answered.

What a connection holds counts in the account of all callers
(`core/callers/caller_account.py`). A connection that may not hold more is not
read until it may.
"""

import asyncio
import collections
import dataclasses
import enum
import math
import typing
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import logbook

from hyssopwind.core import outcomes
from hyssopwind.core.callers import body_pace
from hyssopwind.core.callers import caller_account
from hyssopwind.core.callers import head_decisions
from hyssopwind.core.routing import tables
from hyssopwind.core.stopping import deliveries
from hyssopwind.core.stopping import lingering
from hyssopwind.daemon.gateway import caller_parsing
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import caller_resources
from hyssopwind.daemon.gateway import rendering
from hyssopwind.platform import field_names
from hyssopwind.transport import boot_clock
from hyssopwind.transport import socket_queues

# Unanswered requests on one connection; with more it is not read.
MAX_PIPELINED_REQUESTS = 64
# Work for one connection before others have their turn, in fields and pieces
# of bodies; a request counts as 16.
MAX_TURN_EVENTS = 100
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
        judge_head: the outcome of a request with a body if its head decides
            it.
        is_stopping: whether the daemon stops, so that connections close.
        takes_followers: whether requests behind unanswered ones are taken.
        log_rejection: logs a request that was rejected before it was served,
            with the address of the caller.
        count_undelivered: counts an answer that was not delivered whole.
    """

    serve: Callable[
        [caller_requests.CallerRequest], Coroutine[Any, Any, outcomes.Outcome]
    ]
    may_overlap: Callable[[caller_requests.CallerRequest], bool]
    limits: Callable[[], tables.CallerLimits]
    judge_head: caller_parsing.JudgeHead
    is_stopping: Callable[[], bool]
    takes_followers: Callable[[], bool]
    log_rejection: Callable[[outcomes.Failure, str], None]
    count_undelivered: Callable[
        [deliveries.DeliveryStage, deliveries.CloseCause], None
    ]


class _Block(enum.Enum):
    """Why a connection is not read."""

    TURN = "turn"  # others have their turn first
    PIPELINE = "pipeline"  # earlier requests have to be answered first
    MEMORY = "memory"  # others hold what it needs


class _TimerKind(enum.Enum):
    """What the timer of a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    MEMORY = "memory"
    START = "start"
    UNREAD = "unread"


class _PendingRequest:
    """A request whose answer has not been written yet.

    Attributes:
        request: the request; `None` for bytes that are no valid request.
        task: serves the request, once started.
        outcome: how it ended, once it has.
        cost: memory that it and its answer take.
        closes_connection: whether the connection ends with the answer.
    """

    def __init__(
        self, request: caller_requests.CallerRequest | None, cost: int = 0
    ):
        self.request = request
        self.cost = cost
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


class CallerConnection(asyncio.BufferedProtocol):
    """Reads requests, serves them and writes the answers in order."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        callbacks: CallerCallbacks,
        connections: "set[CallerConnection]",
        resources: caller_resources.CallerResources,
        holding: caller_account.Holding,
    ):
        self._loop = loop
        self._callbacks = callbacks
        self._connections = connections
        self._resources = resources
        self._holding = holding
        self._transport: asyncio.Transport | None = None
        self._request_reader = caller_parsing.RequestReader(
            callbacks.judge_head
        )
        # Bytes that were received and not parsed, as the connection is blocked.
        self._unparsed = b""
        self._block: _Block | None = None
        self._is_parsing = False
        self._is_reading_paused = False
        self._pace: body_pace.BodyPace | None = None
        self._paced_message = 0
        self._invited_message = 0
        self._paced_bytes = 0
        self._pending_cost = 0
        self._seen_outstanding_bytes = 0
        self._pending_requests: collections.deque[_PendingRequest] = (
            collections.deque()
        )
        # Requests whose answers are written, the last of them not wholly sent.
        self._buffered_requests: list[caller_requests.CallerRequest | None] = []
        self._is_write_paused = False
        self._last_answered: caller_requests.CallerRequest | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_kind: _TimerKind | None = None
        self._timed_message = 0
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
        self._resources.register(self._holding, self)
        self._update_timer()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that all connections share."""
        del sizehint  # The buffer bounds the work of a turn.
        if self._request_reader.is_reading_body:
            return self._resources.receive_view
        return self._resources.receive_view[
            : caller_resources.RECEIVE_HEAD_BYTES
        ]

    def buffer_updated(self, nbytes: int) -> None:
        """Parses bytes of the caller and starts the requests they complete."""
        # Bytes are read to the end, because a close with unread bytes resets
        # the connection and discards answers that the caller has not read.
        if self._is_closed or self._is_input_ended:
            return
        if self._pending_requests and not self._callbacks.takes_followers():
            self._end_input()
            return
        now = boot_clock.now()
        self._holding.progress_at = now
        self._unparsed += bytes(self._resources.receive_view[:nbytes])
        if self._resources.has_turn(now):
            self._parse()
        else:
            self._set_block(_Block.TURN)

    def _parse(self) -> None:
        """Parses what was received until the connection is blocked."""
        self._is_parsing = True
        reader = self._request_reader
        limits = self._callbacks.limits()
        first_event = reader.event_count
        last_event = first_event + MAX_TURN_EVENTS
        data, self._unparsed = self._unparsed, b""
        position = 0
        block = None
        while position < len(data) and not self._is_input_ended:
            block = self._find_block(last_event)
            if block is not None:
                break
            end = position + reader.slice_bytes
            piece = data[position:end]
            position = end
            for read_request in reader.feed(piece, limits):
                if self._is_input_ended:
                    break
                self._enqueue(read_request)
            if reader.failure is not None and not self._is_input_ended:
                self._handle_bad_request(reader.failure)
            if not self._is_input_ended and not self._try_hold():
                block = _Block.MEMORY
                break
        self._is_parsing = False
        self._resources.record_work(reader.event_count - first_event)
        if self._is_input_ended or self._is_closed:
            self._end_input()
        else:
            self._unparsed = data[position:]
            self._set_block(block)
            self._update_stage()
            if not self._pending_requests:
                self._invite_body()
        self._update_pace()
        self._update_timer()

    def _find_block(self, last_event: int) -> _Block | None:
        """Returns why no further bytes may be parsed, if so."""
        if self._request_reader.event_count >= last_event:
            return _Block.TURN
        if not self._pending_requests:
            return None
        if len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
            return _Block.PIPELINE
        if self._request_reader.is_between_requests and (
            self._is_write_paused
            or not self._resources.account.may_take_request(self._holding)
        ):
            return _Block.PIPELINE
        return None

    def _set_block(self, block: _Block | None) -> None:
        """Reads from the connection only if nothing blocks it."""
        if self._block is _Block.MEMORY and block is not _Block.MEMORY:
            self._resources.end_wait(self._holding, self)
        elif block is _Block.MEMORY and self._block is not _Block.MEMORY:
            self._resources.wait(self._holding, self)
        self._block = block
        self._pause_reading(is_paused=block is not None)
        if block is _Block.TURN:
            self._resources.queue_turn(self)

    def _pause_reading(self, *, is_paused: bool) -> None:
        transport = self._transport
        if transport is None or is_paused == self._is_reading_paused:
            return
        self._is_reading_paused = is_paused
        if transport.is_closing():
            return
        if is_paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _continue_parsing(self) -> None:
        """Parses on if what blocked the connection may have ended."""
        if self._is_closed or self._is_input_ended or self._block is None:
            return
        if self._is_parsing:
            return
        if self._pending_requests and not self._callbacks.takes_followers():
            self._end_input()
            return
        if self._block is _Block.MEMORY and not self._try_hold():
            return
        self._parse()

    def take_turn(self) -> None:
        """Parses what was received in an earlier turn of the event loop."""
        if self._block is _Block.TURN:
            self._continue_parsing()

    def retry_hold(self) -> None:
        """Reserves memory again."""
        self._continue_parsing()

    def retry_start(self) -> None:
        """Starts the request that waited until others had ended."""
        if not self._is_closed:
            self._start_runnable_requests()
            self._update_timer()

    def reclaim(self) -> None:
        """Gives up what it holds, as others need the memory."""
        is_refused = (
            not self._is_closed
            and not self._is_input_ended
            and self._request_reader.is_reading_body
            and not self._is_write_paused
        )
        if is_refused:
            self._reject(
                outcomes.NotRun(
                    outcomes.Reason.REQUEST_TOO_SLOW,
                    "the body stopped, and others needed the memory",
                )
            )
            return
        outstanding_bytes = self._outstanding_bytes
        if outstanding_bytes != self._seen_outstanding_bytes:
            # The caller reads, if slowly.
            self._seen_outstanding_bytes = outstanding_bytes
            self._holding.progress_at = boot_clock.now()
            return
        self._resources.record_refusal("memory", self._address)
        self.report_undelivered(deliveries.CloseCause.DAEMON)
        self.drop()

    def evict(self) -> bool:
        """Closes the connection if it is silent; returns whether it was."""
        if self._pending_requests or self._outstanding_bytes:
            return False
        raw_socket = None
        if self._transport is not None:
            raw_socket = self._transport.get_extra_info("socket")
        if socket_queues.unread_bytes(raw_socket):
            return False
        self.drop()
        return True

    @property
    def _address(self) -> str:
        """The address of the caller, without the port."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    def _try_hold(self) -> bool:
        """Counts what is held; returns whether more may be read."""
        reader = self._request_reader
        held = self._base_bytes()
        return self._resources.account.try_hold(
            self._holding,
            held + reader.held_bytes,
            held + reader.wanted_bytes,
        )

    def _base_bytes(self) -> int:
        """Memory that it holds, apart from a request that is partly read."""
        return (
            caller_account.CONNECTION_BYTES
            + len(self._unparsed)
            + self._pending_cost
            + self.unsent_bytes
        )

    def _update_held(self) -> None:
        """Counts what is held after a part of it was released or written."""
        reader = self._request_reader
        # Without a reservation only what has been read is counted.
        partial_bytes = reader.wanted_bytes
        if self._block is _Block.MEMORY:
            partial_bytes = reader.held_bytes
        self._resources.set_held(
            self._holding, self._base_bytes() + partial_bytes
        )
        self._update_stage()

    def _update_stage(self) -> None:
        if not self._request_reader.is_between_requests:
            self._holding.stage = caller_account.Stage.PARTIAL
        elif self._pending_requests or self._is_write_paused:
            self._holding.stage = caller_account.Stage.COMPLETE
        else:
            self._holding.stage = caller_account.Stage.IDLE

    def _handle_bad_request(
        self, failure: caller_parsing.BadRequestError
    ) -> None:
        if not self._request_reader.is_discarding:
            self._reject(outcomes.NotRun(failure.reason, failure.detail))
            return
        # The request has its answer already.
        self._is_input_ended = True
        if not self._pending_requests:
            self._close()

    def _end_input(self) -> None:
        """Discards what follows; the bytes are still read to their end."""
        self._is_input_ended = True
        self._unparsed = b""
        self._request_reader.release()
        self._set_block(None)
        if not self._is_closed:
            self._update_held()

    def eof_received(self) -> bool:
        """Closes the connection when the caller has closed its side."""
        return False

    def pause_writing(self) -> None:
        """Records that answers are held in the process."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Goes on with requests, as the kernel has taken all answers."""
        self._is_write_paused = False
        self._buffered_requests.clear()
        self._holding.progress_at = boot_clock.now()
        self._write_completed()
        if self._is_closed:
            self._update_held()

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
        # Reference cycles would keep a body until a full collection.
        self._request_reader.release()
        self._unparsed = b""
        self._resources.release(self._holding, self)

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
        self._end_input()
        if not self._pending_requests:
            self._close()

    def _enqueue(self, read_request: caller_parsing.ReadRequest) -> None:
        self._is_input_ended = read_request.request.closes_connection
        pending = _PendingRequest(read_request.request, read_request.cost)
        pending.outcome = read_request.outcome
        self._pending_requests.append(pending)
        self._pending_cost += pending.cost
        if pending.outcome is None:
            self._start_runnable_requests()
        elif len(self._pending_requests) == 1:
            self._write_completed()

    def _start_runnable_requests(self) -> None:
        """Starts the requests that need not wait for earlier ones any more."""
        for position, pending in enumerate(self._pending_requests):
            if pending.task is not None or pending.outcome is not None:
                continue
            if pending.request is None:
                return
            if position and not self._callbacks.may_overlap(pending.request):
                return
            if self._is_write_paused:
                return  # Its answer would be held, as the caller reads none.
            if not self._resources.try_start(
                self._holding, self, is_follower=position > 0
            ):
                return
            pending.task = self._loop.create_task(self._serve(pending))
            pending.task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: "asyncio.Task[None]") -> None:
        del task
        self._resources.finish(self._holding)

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
        if isinstance(outcome, outcomes.Answered):
            pending.cost += len(outcome.body)
            self._pending_cost += len(outcome.body)
        self._write_completed()

    def _write_completed(self) -> None:
        if self._is_closed:
            return
        if not self._write_first_answers():
            return
        self._start_runnable_requests()
        if not self._pending_requests:
            self._invite_body()
        self._update_held()
        self._continue_parsing()
        self._update_pace()
        self._update_timer()

    def _write_first_answers(self) -> bool:
        """Writes the answers that are next; returns whether it stays open."""
        while self._pending_requests:
            outcome = self._pending_requests[0].outcome
            if outcome is None:
                break
            pending = self._pending_requests.popleft()
            self._pending_cost -= pending.cost
            # Decided with the write, because a request may have followed since
            # the outcome was known. Without it no request that a server
            # received loses its answer.
            is_last = pending.closes_connection or self._is_last_of_stop()
            self._write_answer(pending, outcome, closes_connection=is_last)
            if is_last:
                self._close()
                return False
        return True

    def _invite_body(self) -> None:
        """Sends `100 Continue` if the caller waits for it."""
        reader = self._request_reader
        if self._block is _Block.MEMORY or not reader.expects_continue:
            return
        if self._invited_message != reader.message_count:
            self._invited_message = reader.message_count
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
        self._holding.progress_at = boot_clock.now()
        self._buffered_requests.append(request)
        self._write(answer)
        if not self._is_write_paused:
            self._buffered_requests.clear()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _reject(self, failure: outcomes.NotRun) -> None:
        """Answers an invalid request with an error and ends the input."""
        self._callbacks.log_rejection(failure, self._address)
        pending = _PendingRequest(None)
        self._pending_requests.append(pending)
        self._end_input()
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
        self._end_input()
        self._update_held()
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
        self._pending_cost = 0

    def _update_pace(self) -> None:
        """Follows the progress of a body that is partly read."""
        reader = self._request_reader
        if not reader.is_reading_body:
            self._pace = None
            return
        now = boot_clock.now()
        if self._pace is None or self._paced_message != reader.message_count:
            limits = self._callbacks.limits()
            self._pace = body_pace.BodyPace(
                now=now,
                declared_bytes=reader.declared_bytes,
                deadline_seconds=body_pace.stated_seconds(
                    reader.fields.get(field_names.DEADLINE, "")
                ),
                stall_seconds=limits.idle_timeout_seconds,
                grace_seconds=limits.header_timeout_seconds,
            )
            self._paced_message = reader.message_count
            self._paced_bytes = 0
        if reader.received_body_bytes != self._paced_bytes:
            self._paced_bytes = reader.received_body_bytes
            self._pace.record(self._paced_bytes, now)
        is_uninvited = reader.expects_continue and bool(self._pending_requests)
        if is_uninvited or self._block in (_Block.PIPELINE, _Block.MEMORY):
            self._pace.suspend(now)
        else:
            self._pace.resume(now)

    def _needed_timer(self) -> _TimerKind | None:
        """Returns what the connection waits for with a bound."""
        if self._is_closed or self._is_input_ended:
            return None
        reader = self._request_reader
        if self._pending_requests:
            if reader.is_reading_body and self._block is None:
                return _TimerKind.BODY
            if self._holding.running_count:
                return None
            if self._is_write_paused:
                return _TimerKind.UNREAD
            return _TimerKind.START
        if reader.is_between_requests:
            return _TimerKind.IDLE
        if self._block is _Block.MEMORY:
            return _TimerKind.MEMORY
        if reader.is_reading_head:
            return _TimerKind.HEAD
        return _TimerKind.BODY

    def _update_timer(self) -> None:
        """Starts the timer that is needed unless it runs already."""
        kind = self._needed_timer()
        message = self._request_reader.message_count
        if kind is self._timer_kind and message == self._timed_message:
            return
        self._start_timer(kind)

    def _start_timer(self, kind: _TimerKind | None) -> None:
        if self._linger is not None:
            return
        self._stop_timer()
        if kind is None:
            return
        limits = self._callbacks.limits()
        if kind is _TimerKind.HEAD:
            seconds = limits.header_timeout_seconds
        elif kind in (_TimerKind.MEMORY, _TimerKind.START):
            seconds = head_decisions.MAX_WAIT_SECONDS
        elif kind is _TimerKind.BODY and self._pace is not None:
            seconds = self._pace.next_check_seconds(boot_clock.now())
        else:
            seconds = limits.idle_timeout_seconds
        if kind is _TimerKind.UNREAD:
            self._seen_outstanding_bytes = self._outstanding_bytes
        self._timer_kind = kind
        self._timed_message = self._request_reader.message_count
        self._timer = self._loop.call_later(seconds, self._handle_timeout)

    def _stop_timer(self) -> None:
        self._timer_kind = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        kind = self._timer_kind
        self._timer = None
        self._timer_kind = None
        if self._is_closed or kind is None:
            return
        if kind is _TimerKind.IDLE:
            self._close()
        elif kind is _TimerKind.UNREAD:
            self._handle_unread_answers()
        elif kind is _TimerKind.START:
            self._refuse_start()
        elif kind is _TimerKind.MEMORY:
            self._reject(
                self._resources.overload_refusal(
                    "the memory for requests is in use"
                )
            )
        elif (
            kind is _TimerKind.BODY
            and self._pace is not None
            and not self._pace.is_too_slow(boot_clock.now())
        ):
            self._start_timer(self._needed_timer())
        else:
            self._reject(
                outcomes.NotRun(
                    outcomes.Reason.REQUEST_TOO_SLOW,
                    "the request came too slowly",
                )
            )

    def _refuse_start(self) -> None:
        """Refuses a request that waited too long until others had ended."""
        self._resources.end_start_wait(self)
        self._resources.record_refusal("running", self._address)
        self._complete(
            self._pending_requests[0],
            self._resources.overload_refusal("too many requests run"),
        )

    def _handle_unread_answers(self) -> None:
        """Ends the connection of a caller that has stopped to read."""
        if self._outstanding_bytes != self._seen_outstanding_bytes:
            self._start_timer(self._needed_timer())
            return
        self._resources.record_refusal("unread", self._address)
        self.report_undelivered(deliveries.CloseCause.DAEMON)
        self.drop()
