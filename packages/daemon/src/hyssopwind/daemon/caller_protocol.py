"""Connections of callers and operators at hyssopwindd.

aiohttp parses and answers one request of a connection at a time. What is read,
and when it is parsed, depends on the account of all connections
(`core/callers/caller_account.py`).

References:
    RFC 9112, section 6.3: messages with ambiguous lengths are refused.
"""

import asyncio
import collections
import enum
import logging
import time
import typing
from typing import Any

import logbook
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from hyssopwind.core import outcomes
from hyssopwind.core.callers import caller_account
from hyssopwind.core.callers import head_decisions
from hyssopwind.core.stopping import lingering
from hyssopwind.daemon import answer_rendering
from hyssopwind.daemon.gateway import caller_resources
from hyssopwind.transport import boot_clock
from hyssopwind.transport import socket_queues

MAX_HEADER_BYTES = 16_384  # of one field
KEEPALIVE_TIMEOUT_SECONDS = 75.0
POLL_INTERVAL_SECONDS = 0.02
# Half of the bytes of a body that aiohttp holds before its handler reads them.
READ_BUFFER_BYTES = 16_384
# Parsed at a time outside of bodies, then counted. Fields of 5 bytes take about
# 100 KB of memory once they are parsed.
SLICE_BYTES = 2_048
# Longest part of a body in chunks without data: trailers, which the parser
# stores up to 2 MB, and extensions of chunks.
MAX_TRAILER_BYTES = 65_536
# Work for one connection before others have their turn, in lines of heads and
# chunks.
MAX_TURN_EVENTS = 100
_HEAD_END = b"\r\n\r\n"  # also of trailers

_log = logbook.Logger("frontend")
_NO_ACCESS_LOG = logging.getLogger("hyssopwind.no-access-log")
_NO_ACCESS_LOG.disabled = True


class BodyStoppedError(Exception):
    """A body stopped while others needed its memory."""


class _Block(enum.Enum):
    """Why received bytes are not parsed."""

    TURN = "turn"  # others have their turn first
    PIPELINE = "pipeline"  # earlier requests have to be answered first
    MEMORY = "memory"  # others hold what it needs


class CallerProtocol(web_protocol.RequestHandler):
    """A connection whose memory is shared with others.

    Answers parse errors and failed handlers with problem documents, and closes
    only after its final answer was delivered.
    """

    __slots__ = (
        "_answer_bytes",
        "_block",
        "_body",
        "_counted_body_bytes",
        "_counted_requests",
        "_declared_bytes",
        "_has_caller_closed",
        "_hold_waiter",
        "_holding",
        "_granted_bytes",
        "_is_busy",
        "_is_chunked",
        "_is_lingering",
        "_is_lost",
        "_is_parsing",
        "_is_reading_body",
        "_kept_bytes",
        "_memory_timer",
        "_parsed_end",
        "_partial_bytes",
        "_request_costs",
        "_resources",
        "_seen_outstanding_bytes",
        "_start_waiter",
        "_unparsed",
        "_unread_timer",
        "_wanted_bytes",
    )

    def __init__(
        self,
        manager: web.Server,
        resources: caller_resources.CallerResources,
        holding: caller_account.Holding,
        **options: Any,
    ):
        super().__init__(manager, **options)
        self._resources = resources
        self._holding = holding
        self._is_busy = False
        self._is_lingering = False
        self._is_lost = False
        self._has_caller_closed = False
        # Bytes that were received and not parsed, as the connection is blocked.
        self._unparsed = b""
        self._is_parsing = False
        self._parsed_end = b""  # last bytes that were parsed
        self._block: _Block | None = None
        # Memory of each unanswered request, the one being answered first.
        self._request_costs: collections.deque[int] = collections.deque()
        self._counted_requests = 0
        # Memory of the last head, which the parser keeps until the next one.
        self._kept_bytes = 0
        # Bytes of a head that is not complete.
        self._partial_bytes = 0
        # Body of the last request, and what of it was received.
        self._body: streams.StreamReader | None = None
        self._declared_bytes = 0
        self._is_chunked = False
        self._counted_body_bytes = 0
        self._is_reading_body = False
        # Reservation for a body, and what of it the account has granted.
        self._wanted_bytes = 0
        self._granted_bytes = 0
        self._answer_bytes = 0
        self._seen_outstanding_bytes = 0
        self._hold_waiter: asyncio.Future[None] | None = None
        self._start_waiter: asyncio.Future[None] | None = None
        self._memory_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request runs or its answer is not delivered yet."""
        return self._is_busy or self._count_unacknowledged_bytes() > 0

    @property
    def address(self) -> str:
        """The address of the caller, without the port."""
        name = self.peername
        return str(name[0]) if name else ""

    @property
    def _is_in_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    @property
    def _is_body_refused(self) -> bool:
        return self._body is not None and self._body.exception() is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the new connection with the account."""
        super().connection_made(transport)
        # Reports each write that the kernel does not take at once, so that no
        # request starts while the caller does not read.
        typing.cast(asyncio.Transport, transport).set_write_buffer_limits(
            high=0
        )
        self._resources.register(self._holding, self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the account, unless a server may still run a request."""
        super().connection_lost(exc)
        self._is_lost = True
        self._unparsed = b""
        self._stop_memory_timer()
        if self._holding.running_count:
            self._request_costs.clear()
            self._partial_bytes = 0
            self._kept_bytes = 0
            self._set_block(None)
            self._update_held()
            return
        self._resources.release(self._holding, self)

    def start_request(self) -> None:
        """Marks the connection as busy until its answer is written."""
        self._is_busy = True

    def receive(self, data: bytes) -> None:
        """Parses what the caller sent; nothing after the final answer."""
        if self._is_lingering or self.transport is None:
            return
        now = boot_clock.now()
        self._holding.progress_at = now
        self._unparsed += data
        if self._resources.has_turn(now):
            self._parse()
        else:
            self._set_block(_Block.TURN)

    def data_received(self, data: bytes) -> None:
        """Lets aiohttp parse, which also calls it to resume, and counts."""
        if self._is_lingering or self._parser is None:
            return
        was_in_body = self._is_in_body
        super().data_received(data)
        new_count = self._request_count - self._counted_requests
        if new_count and self._is_in_body:
            # aiohttp reports a malformed body only as another request.
            self._refuse_body("malformed body")
        body_bytes = self._count_body_bytes() if was_in_body else 0
        head_bytes = body_bytes + self._count_requests()
        if self._is_in_body and (new_count or body_bytes):
            self._partial_bytes = 0
        elif self._is_in_body:
            self._add_trailers(len(data))
        elif new_count or was_in_body:
            self._partial_bytes = max(0, len(data) - head_bytes)
        else:
            self._partial_bytes += len(data)
        if self._is_chunked and not self._is_in_body:
            self._is_chunked = False
            self._replace_parser()
        if not self._is_parsing:
            self._update_held()

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Keeps the connection until its final answer is delivered."""
        self._has_caller_closed = True
        return self._is_lingering

    def resume_writing(self) -> None:
        """Records that the caller reads."""
        super().resume_writing()
        self._holding.progress_at = boot_clock.now()
        self._update_held()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Writes an answer, and delivers it if it is the final one."""
        self._is_busy = True
        self._end_reservation()
        body = resp.body if isinstance(resp, web.Response) else None
        self._answer_bytes = len(body) if isinstance(body, bytes) else 0
        self._update_held()
        self._start_unread_timer()
        try:
            result = await super().finish_response(request, resp, start_time)
            self._stop_unread_timer()
            self._answer_bytes = 0
            if not result[0].keep_alive:
                await self._linger()
            return result
        finally:
            self._is_busy = False
            self._answer_bytes = 0
            self._stop_unread_timer()
            self._end_request()

    async def reserve_body(self, byte_count: int) -> bool:
        """Reserves memory for a body, or waits until others release it.

        Returns:
            Whether the body may be read.
        """
        self._wanted_bytes = caller_account.BODY_COPIES * byte_count
        if self._try_hold():
            return True
        self._hold_waiter = self._loop.create_future()
        self._resources.wait(self._holding, self)
        try:
            async with asyncio.timeout(head_decisions.MAX_WAIT_SECONDS):
                await self._hold_waiter
            return True
        except TimeoutError:
            return False
        finally:
            self._hold_waiter = None
            self._wanted_bytes = self._granted_bytes
            if self._block is not _Block.MEMORY:
                self._resources.end_wait(self._holding, self)

    def set_reading_body(self, *, is_reading: bool) -> None:
        """Records whether the handler waits for the rest of a body."""
        self._is_reading_body = is_reading
        self._update_stage()

    async def acquire_start(self) -> bool:
        """Waits until a request may run; returns whether it may.

        `finish_run` must follow if it may.
        """
        deadline = self._loop.time() + head_decisions.MAX_WAIT_SECONDS
        try:
            while not self._resources.try_start(
                self._holding, self, is_follower=False
            ):
                self._start_waiter = self._loop.create_future()
                async with asyncio.timeout_at(deadline):
                    await self._start_waiter
            return True
        except TimeoutError:
            return False
        finally:
            self._start_waiter = None
            self._resources.end_start_wait(self)

    def finish_run(self) -> None:
        """Ends the count of a request that no server runs any more."""
        # Its answer is not written yet, and must not be reclaimed before.
        self._holding.progress_at = boot_clock.now()
        self._resources.finish(self._holding)
        if self._is_lost and not self._holding.running_count:
            self._resources.release(self._holding, self)

    def take_turn(self) -> None:
        """Parses what was received in an earlier turn of the event loop."""
        if self._block is _Block.TURN:
            self._parse()

    def retry_hold(self) -> None:
        """Reserves memory again."""
        if not self._try_hold():
            return
        self._resources.end_wait(self._holding, self)
        if self._block is _Block.MEMORY:
            self._parse()

    def retry_start(self) -> None:
        """Starts the request that waited until others had ended."""
        if self._start_waiter is not None and not self._start_waiter.done():
            self._start_waiter.set_result(None)

    def reclaim(self) -> None:
        """Gives up its request, as others need the memory."""
        if self._stop_body():
            return
        outstanding_bytes = self._count_unacknowledged_bytes()
        if outstanding_bytes != self._seen_outstanding_bytes:
            # The caller reads, if slowly.
            self._seen_outstanding_bytes = outstanding_bytes
            self._holding.progress_at = boot_clock.now()
            return
        self._drop("memory")

    def evict(self) -> bool:
        """Closes the connection if it is silent; returns whether it was."""
        if self._stop_body():
            return True
        if self._request_costs or self.is_busy:
            return False
        if socket_queues.unread_bytes(self._raw_socket):
            return False
        self._abort()
        return True

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the answer to a malformed request or a failed handler."""
        failure: outcomes.Failure
        if isinstance(exc, http_exceptions.HttpProcessingError):
            failure = outcomes.NotRun(
                outcomes.Reason.MALFORMED, f"malformed request: {exc.message}"
            )
        else:
            _log.error("request handler failed", exc_info=_exc_info(exc))
            failure = outcomes.Unknown(
                outcomes.Reason.INTERNAL, "the daemon failed to handle this"
            )
        answer = answer_rendering.render_failure(failure)
        answer.force_close()
        return answer

    @property
    def _raw_socket(self) -> socket_queues.SocketLike | None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return None
        return typing.cast(
            socket_queues.SocketLike, transport.get_extra_info("socket")
        )

    def _count_unacknowledged_bytes(self) -> int:
        transport = self.transport
        if transport is None or transport.is_closing():
            return 0
        queued_bytes = socket_queues.unacknowledged_bytes(self._raw_socket)
        return transport.get_write_buffer_size() + queued_bytes

    def _parse(self) -> None:
        """Parses what was received until the connection is blocked."""
        data, self._unparsed = self._unparsed, b""
        position = 0
        event_count = 0
        block = None
        self._is_parsing = True
        while position < len(data):
            block = self._find_block(event_count)
            if block is not None:
                break
            piece = self._next_piece(data, position)
            position += len(piece)
            self._parsed_end = (self._parsed_end + piece)[1 - len(_HEAD_END) :]
            # Each line is a field, a request or the size of a chunk.
            is_declared = self._is_in_body and self._declared_bytes > 0
            event_count += 1 if is_declared else 1 + piece.count(b"\n")
            self.data_received(piece)
            if not self._try_hold():
                block = _Block.MEMORY
                break
        self._is_parsing = False
        self._unparsed = data[position:]
        self._resources.record_work(event_count)
        self._set_block(block)
        self._update_held()

    def _next_piece(self, data: bytes, position: int) -> bytes:
        """Returns the bytes that are parsed next and then counted.

        A piece contains the end of at most one head or body, as its last bytes.
        """
        if self._is_in_body and self._declared_bytes:
            missing_bytes = self._declared_bytes - self._counted_body_bytes
            return data[position : position + max(1, missing_bytes)]
        piece = data[position : position + SLICE_BYTES]
        earlier = self._parsed_end
        index = (earlier + piece).find(_HEAD_END)
        if index < 0:
            return piece
        return piece[: index + len(_HEAD_END) - len(earlier)]

    def _replace_parser(self) -> None:
        """Ends a body in chunks.

        The parser of aiohttp would add its last trailer to the fields of the
        next request.
        """
        if self._parser is None:
            return
        self._parser = http_parser.HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web_protocol.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=web_protocol.MAX_MSG_QUEUE_SIZE,
        )

    def _find_block(self, event_count: int) -> _Block | None:
        """Returns why no further bytes may be parsed, if so."""
        if event_count >= MAX_TURN_EVENTS:
            return _Block.TURN
        if self._reading_paused or self._buffer_paused:
            return _Block.PIPELINE
        if self._is_in_body and self._is_body_refused:
            return _Block.PIPELINE
        if not self._request_costs or self._is_in_body:
            return None
        if self._resources.account.may_take_request(self._holding):
            return None
        return _Block.PIPELINE

    def _set_block(self, block: _Block | None) -> None:
        """Reads from the connection only if nothing blocks it."""
        earlier_block = self._block
        self._block = block
        if block is _Block.MEMORY and earlier_block is not _Block.MEMORY:
            self._resources.wait(self._holding, self)
            self._start_memory_timer()
        elif earlier_block is _Block.MEMORY and block is not _Block.MEMORY:
            self._stop_memory_timer()
            if self._hold_waiter is None:
                self._resources.end_wait(self._holding, self)
        if block is not None:
            self._pause_transport_reading()
        elif not self._reading_paused and not self._buffer_paused:
            super()._resume_transport_reading()
        if block is _Block.TURN:
            self._resources.queue_turn(self)

    def _resume_transport_reading(self) -> None:
        """Parses what is left before aiohttp reads on."""
        if self._is_parsing:
            return  # The end of the parsing resumes the reading.
        if self._block is _Block.PIPELINE:
            # Not at once, as aiohttp is in its own parser here.
            self._loop.call_soon(self._continue_pipeline)
        elif self._block is None:
            super()._resume_transport_reading()

    def _continue_pipeline(self) -> None:
        if self._block is _Block.PIPELINE and self.transport is not None:
            self._parse()

    def _count_requests(self) -> int:
        """Counts newly parsed requests; returns their length as received."""
        new_count = self._request_count - self._counted_requests
        self._counted_requests = self._request_count
        byte_count = 0
        if new_count:
            for message, payload in list(self._messages)[-new_count:]:
                byte_count += self._add_request(message, payload)
        return byte_count

    def _add_request(self, message: Any, payload: streams.StreamReader) -> int:
        """Counts a parsed request; returns its length as received."""
        cost = caller_account.REQUEST_OVERHEAD_BYTES
        byte_count = 0
        # Bytes that are no valid request have no fields.
        for name, value in getattr(message, "raw_headers", ()):
            length = len(name) + len(value)
            cost += caller_account.field_cost(length)
            byte_count += length + len(b": \r\n")
        path = getattr(message, "path", "")
        self._kept_bytes = cost + 2 * len(path)
        self._request_costs.append(self._kept_bytes)
        self._body = payload
        self._counted_body_bytes = 0
        self._declared_bytes = 0
        # Bytes that are no valid request have no encoding.
        self._is_chunked = getattr(message, "chunked", False)
        if not payload.is_eof() and not self._is_chunked:
            self._declared_bytes = int(
                message.headers.get("Content-Length", "0")
            )
        request_line_bytes = len(path) + len(b"GET  HTTP/1.1\r\n\r\n")
        return byte_count + request_line_bytes + self._count_body_bytes()

    def _count_body_bytes(self) -> int:
        """Counts what has come of the last body; returns its length."""
        if self._body is None or not self._request_costs:
            return 0
        earlier_bytes = self._counted_body_bytes
        self._counted_body_bytes = self._body.total_bytes
        # The reservation of the handler counts what is beyond the buffer.
        buffer_bytes = 2 * READ_BUFFER_BYTES
        self._request_costs[-1] += min(
            buffer_bytes, self._counted_body_bytes
        ) - min(buffer_bytes, earlier_bytes)
        return self._counted_body_bytes - earlier_bytes

    def _add_trailers(self, byte_count: int) -> None:
        """Counts bytes of a body without data; refuses too many of them."""
        self._partial_bytes += byte_count
        if self._partial_bytes > MAX_TRAILER_BYTES:
            self._refuse_body("trailers too long")

    def _refuse_body(self, reason: str) -> None:
        """Lets the handler of the last request answer that it is malformed."""
        if self._body is not None:
            self._body.set_exception(http_exceptions.BadHttpMessage(reason))

    def _end_request(self) -> None:
        """Releases what an answered request took, and parses on."""
        self._end_reservation()
        if self._request_costs:
            self._request_costs.popleft()
        if self._request_count > self._counted_requests:
            # aiohttp itself parses what came behind a declined upgrade.
            self._count_requests()
            self._partial_bytes = 0
        if not (self._messages or self._reading_paused or self._buffer_paused):
            # Its parser counts a request whose body came after its handler had
            # started once too often, and may stop before the queue is full.
            # aiohttp itself resumes it only after a full queue.
            self.data_received(b"")
        self._update_held()
        self._continue_pipeline()

    def _end_reservation(self) -> None:
        self._wanted_bytes = 0
        self._granted_bytes = 0

    def _base_bytes(self) -> int:
        """Memory that it holds, apart from the reservation for a body."""
        buffered_bytes = 0
        if self.transport is not None:
            buffered_bytes = self.transport.get_write_buffer_size()
        return (
            caller_account.CONNECTION_BYTES
            + len(self._unparsed)
            + 2 * self._partial_bytes  # also held as decoded fields
            + max(self._kept_bytes, sum(self._request_costs))
            + max(self._answer_bytes, buffered_bytes)
        )

    def _try_hold(self) -> bool:
        """Counts what is held; returns whether more may be read."""
        base = self._base_bytes()
        if self._is_reading_body and self._granted_bytes == self._wanted_bytes:
            # A body in progress must not wait, or it would keep its
            # reservation from others that wait as well.
            self._update_held()
            return True
        is_held = self._resources.account.try_hold(
            self._holding, base + self._granted_bytes, base + self._wanted_bytes
        )
        if is_held:
            self._granted_bytes = self._wanted_bytes
            if self._hold_waiter is not None and not self._hold_waiter.done():
                self._hold_waiter.set_result(None)
        self._update_stage()
        return is_held

    def _update_held(self) -> None:
        self._resources.set_held(
            self._holding, self._base_bytes() + self._granted_bytes
        )
        self._update_stage()

    def _update_stage(self) -> None:
        if self._is_reading_body or self._partial_bytes:
            self._holding.stage = caller_account.Stage.PARTIAL
        elif self._request_costs or self._is_busy:
            self._holding.stage = caller_account.Stage.COMPLETE
        else:
            self._holding.stage = caller_account.Stage.IDLE

    def _stop_body(self) -> bool:
        """Refuses a request whose body is not whole; returns whether it did."""
        if not self._is_reading_body or self._current_request is None:
            return False
        self._current_request.content.set_exception(BodyStoppedError())
        return True

    def _start_memory_timer(self) -> None:
        self._stop_memory_timer()
        self._memory_timer = self._loop.call_later(
            head_decisions.MAX_WAIT_SECONDS, self._handle_memory_timeout
        )

    def _stop_memory_timer(self) -> None:
        if self._memory_timer is not None:
            self._memory_timer.cancel()
            self._memory_timer = None

    def _handle_memory_timeout(self) -> None:
        self._memory_timer = None
        if self._block is not _Block.MEMORY:
            return
        if self._request_costs or self._is_busy:
            self._start_memory_timer()  # Their end releases memory.
        else:
            self._drop("memory")

    def _start_unread_timer(self) -> None:
        self._unread_timer = self._loop.call_later(
            KEEPALIVE_TIMEOUT_SECONDS,
            self._handle_unread_answer,
            self._count_unacknowledged_bytes(),
        )

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _handle_unread_answer(self, earlier_bytes: int) -> None:
        """Ends the connection of a caller that has stopped to read."""
        if self._count_unacknowledged_bytes() == earlier_bytes:
            self._drop("unread")
        else:
            self._start_unread_timer()

    def _drop(self, reason: str) -> None:
        """Closes the connection without an answer."""
        self._resources.record_refusal(reason, self.address)
        self._abort()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    async def _linger(self) -> None:
        """Reads on until the caller has got the final answer and closes."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._is_lingering = True
        self._end_input()
        try:
            transport.write_eof()
        except OSError:
            return  # The caller has reset the connection.
        transport.resume_reading()
        linger = lingering.Linger(
            outstanding_bytes=self._count_unacknowledged_bytes(),
            now=time.monotonic(),
        )
        while not transport.is_closing():
            outstanding = self._count_unacknowledged_bytes()
            if self._has_caller_closed and not outstanding:
                return
            if linger.may_drop(
                outstanding_bytes=outstanding,
                stall_seconds=KEEPALIVE_TIMEOUT_SECONDS,
                now=time.monotonic(),
            ):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _end_input(self) -> None:
        """Releases what was received and will not be parsed or answered."""
        self._unparsed = b""
        self._partial_bytes = 0
        self._request_costs.clear()
        self._messages.clear()
        if self._body is not None and self._body.exception() is None:
            self._body.read_nowait()
        self._set_block(None)
        self._update_held()


class CallerServer(web.Server):
    """Creates the protocol of each connection of a listener."""

    def __init__(
        self,
        handler: Any,
        resources: caller_resources.CallerResources,
        **options: Any,
    ):
        super().__init__(handler, **options)
        self._resources = resources

    @property
    def protocols(self) -> list[CallerProtocol]:
        """The open connections."""
        return [
            connection
            for connection in self.connections
            if isinstance(connection, CallerProtocol)
        ]

    def make_receiver(
        self, holding: caller_account.Holding
    ) -> asyncio.BaseProtocol:
        """Returns the protocol of a new connection."""
        protocol = CallerProtocol(
            self,
            self._resources,
            holding,
            loop=asyncio.get_running_loop(),
            access_log=_NO_ACCESS_LOG,
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            # The connection lingers before, after its final answer.
            lingering_time=0.0,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
        )
        return _Receiver(protocol, self._resources)


class _Receiver(asyncio.BufferedProtocol):
    """Receives into the buffer that all connections share.

    uvloop reads up to 256 KB at a time for an `asyncio.Protocol` such as that
    of aiohttp, which a blocked connection would hold.
    """

    def __init__(
        self,
        protocol: CallerProtocol,
        resources: caller_resources.CallerResources,
    ):
        self._protocol = protocol
        self._view = resources.receive_view[
            : caller_resources.RECEIVE_HEAD_BYTES
        ]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the connection."""
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the connection."""
        self._protocol.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the shared buffer."""
        del sizehint  # The buffer bounds the work of a turn.
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        """Passes received bytes on."""
        self._protocol.receive(bytes(self._view[:nbytes]))

    def eof_received(self) -> bool | None:
        """Reports the end of the caller's side."""
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Reports that the kernel has not taken all output."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Reports that the kernel has taken all output."""
        self._protocol.resume_writing()


def _exc_info(error: BaseException | None) -> Any:
    if error is None:
        return None
    return type(error), error, error.__traceback__
