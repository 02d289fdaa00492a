"""The HTTP server for callers."""

import asyncio
import dataclasses
import socket
import typing

from aiohttp import http_exceptions
from aiohttp import web

from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.callers import body_pace
from hyssopwind.core.callers import caller_account
from hyssopwind.core.callers import head_decisions
from hyssopwind.core.node import node
from hyssopwind.core.requests import classification
from hyssopwind.core.requests import refusals
from hyssopwind.daemon import answer_rendering
from hyssopwind.daemon import caller_protocol
from hyssopwind.daemon import clock
from hyssopwind.daemon import headers
from hyssopwind.daemon import metrics
from hyssopwind.daemon import pipeline
from hyssopwind.daemon import request_context
from hyssopwind.daemon import tracing
from hyssopwind.daemon.gateway import accepting
from hyssopwind.daemon.gateway import caller_resources
from hyssopwind.daemon.gateway import listening

TICKETS_PATH = "/.hyssopwind/tickets"
BODY_READ_TIMEOUT_SECONDS = 10.0
# Time that each body has before it must keep the pace that its deadline needs.
BODY_GRACE_SECONDS = 2.0
# Reserved for a body of unknown length, and doubled as it grows.
CHUNKED_BODY_BYTES = 65_536
MAX_TICKETS = 16
NOT_READY_RETRY_AFTER_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.02
CLOSE_TIMEOUT_SECONDS = 0.2  # of requests that the end of the grace cuts
# Refusals that are logged and counted with the connections closed for lack of
# memory or descriptors.
_RESOURCE_REASONS = frozenset(
    {
        outcomes.Reason.REQUEST_TOO_LARGE,
        outcomes.Reason.REQUEST_TOO_SLOW,
        outcomes.Reason.OVERLOADED,
    }
)


class Frontend:
    """Reads requests, runs them through the pipeline and writes answers."""

    def __init__(
        self,
        daemon_node: node.Node,
        process_clock: clock.Clock,
        request_pipeline: pipeline.Pipeline,
        tracer: tracing.Tracer,
        counters: metrics.Metrics,
        resources: caller_resources.CallerResources,
    ):
        self._node = daemon_node
        self._clock = process_clock
        self._pipeline = request_pipeline
        self._tracer = tracer
        self._counters = counters
        self._resources = resources
        self._is_ready = False
        self._is_stopping = False
        self._listener: socket.socket | None = None
        self._acceptor: accepting.Acceptor | None = None
        self._server: caller_protocol.CallerServer | None = None

    @property
    def port(self) -> int:
        """The port on which callers are accepted; 0 if it does not listen."""
        if self._listener is None:
            return 0
        return int(self._listener.getsockname()[1])

    @property
    def active_request_count(self) -> int:
        """The number of requests that run or are not delivered yet."""
        return sum(connection.is_busy for connection in self._connections())

    def set_ready(self, is_ready: bool) -> None:
        """Sets whether requests are accepted or refused as not ready."""
        self._is_ready = is_ready

    def announce_stop(self) -> None:
        """Makes each further answer close its connection."""
        self._is_stopping = True

    async def start(self, address: str) -> None:
        """Listens for callers."""
        self._server = caller_protocol.CallerServer(
            self._handle, self._resources, handler_cancellation=True
        )
        self._listener = listening.listen(address)
        self._acceptor = accepting.Acceptor(
            caller_account.Listener.CALLERS,
            self._listener,
            self._resources,
            self._server.make_receiver,
        )
        self._acceptor.start()

    async def stop_listening(self) -> None:
        """Closes the listening socket; open connections stay."""
        if self._acceptor is not None:
            self._acceptor.close()

    async def close(self, deadline: float) -> None:
        """Closes all connections; busy ones once their answer is delivered.

        Args:
            deadline: monotonic time in seconds after which the answers that
                are not delivered are cut.
        """
        if self._server is None:
            return
        await self.stop_listening()
        for connection in self._connections():
            connection.close()
            if not connection.is_busy:
                connection.force_close()
        while self.active_request_count and self._clock.now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self._server.pre_shutdown()
        await self._server.shutdown(CLOSE_TIMEOUT_SECONDS)

    def _connections(self) -> list[caller_protocol.CallerProtocol]:
        if self._server is None:
            return []
        return self._server.protocols

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = typing.cast(
            caller_protocol.CallerProtocol, request.protocol
        )
        connection.start_request()
        response = await self._answer(request, connection)
        if self._is_stopping or not request.content.is_eof():
            response.force_close()
        return response

    async def _answer(
        self,
        request: web.BaseRequest,
        connection: caller_protocol.CallerProtocol,
    ) -> web.Response:
        started_at = self._clock.now()
        with self._tracer.request_span("request", request.headers) as span:
            context = await self._read_request(
                request, connection, span, started_at
            )
            is_run = isinstance(context, request_context.RequestContext)
            if is_run and not await connection.acquire_start():
                context = self._resources.overload_refusal(
                    "too many requests run"
                )
            if isinstance(context, web.Response):
                return context
            if isinstance(context, outcomes.NotRun):
                failure = refusals.refuse_unclaimed(
                    context, _request_without_body(request)
                )
                self._count_request("", failure, started_at)
                if context.reason in _RESOURCE_REASONS:
                    self._resources.record_refusal(
                        context.reason.slug, connection.address, context.detail
                    )
                return answer_rendering.render_failure(failure)
            outcome = await self._pipeline.run(context, connection.finish_run)
            service = context.classified.service.id
            self._count_request(service, outcome, started_at)
            span.set_attribute("service", service)
            span.set_attribute("outcome", outcome.tag)
            response = answer_rendering.render_outcome(
                outcome, is_head=request.method == "HEAD"
            )
            self._add_ticket(request, context, response, started_at)
            return response

    async def _read_request(
        self,
        request: web.BaseRequest,
        connection: caller_protocol.CallerProtocol,
        span: tracing.Span,
        started_at: float,
    ) -> request_context.RequestContext | outcomes.NotRun | web.Response:
        """Returns the whole request, or why it is refused.

        A request for tickets is answered here.
        """
        target = request.message.path
        path = target.partition("?")[0]
        if path == TICKETS_PATH:
            return self._issue_tickets(request)
        if not self._is_ready:
            return outcomes.NotRun(
                outcomes.Reason.NOT_READY,
                "the daemon is starting",
                NOT_READY_RETRY_AFTER_SECONDS,
            )
        refusal = _check_target(request.method, target, path)
        if refusal is not None:
            return refusal
        settings = self._node.configuration.document_store.snapshot
        forwarded_fields = headers.end_to_end(request.headers)
        classified = classification.classify(
            classification.Request(
                request.method, target, path, request.headers, b""
            ),
            settings,
            started_at,
        )
        if isinstance(classified, outcomes.NotRun):
            return classified
        body = await self._read_body(
            request, connection, classified.service.settings.max_request
        )
        if isinstance(body, outcomes.NotRun):
            return body
        classified = dataclasses.replace(
            classified,
            request=dataclasses.replace(classified.request, body=body),
        )
        return request_context.RequestContext(
            classified,
            forwarded_fields,
            span,
            expected_start_id=request.headers.get(headers.FORWARDED, ""),
        )

    async def _read_body(
        self,
        request: web.BaseRequest,
        connection: caller_protocol.CallerProtocol,
        max_body_bytes: int,
    ) -> bytes | outcomes.NotRun:
        """Returns the whole body, or why it is refused."""
        declared_bytes = request.content_length
        if declared_bytes is not None and declared_bytes > max_body_bytes:
            return head_decisions.body_too_large(max_body_bytes)
        reserved_bytes = declared_bytes
        if reserved_bytes is None:
            reserved_bytes = min(CHUNKED_BODY_BYTES, max_body_bytes)
        if request.body_exists and not await connection.reserve_body(
            reserved_bytes
        ):
            return self._refuse_body()
        if request.headers.get("Expect", "").lower() == "100-continue":
            writer = request.writer
            await writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            writer.output_size = 0
        if not request.body_exists:
            return b""
        connection.set_reading_body(is_reading=True)
        try:
            return await self._collect_body(
                request, connection, reserved_bytes, max_body_bytes
            )
        except caller_protocol.BodyStoppedError:
            return outcomes.NotRun(
                outcomes.Reason.REQUEST_TOO_SLOW,
                "the body stopped, and others needed the memory",
            )
        except (web.PayloadAccessError, http_exceptions.HttpProcessingError):
            return outcomes.NotRun(
                outcomes.Reason.MALFORMED, "the body cannot be read"
            )
        finally:
            connection.set_reading_body(is_reading=False)

    async def _collect_body(
        self,
        request: web.BaseRequest,
        connection: caller_protocol.CallerProtocol,
        reserved_bytes: int,
        max_body_bytes: int,
    ) -> bytes | outcomes.NotRun:
        """Reads a body for which memory is reserved, and more as it grows."""
        pace = self._make_pace(request)
        chunks: list[bytes] = []
        size = 0
        while True:
            now = self._clock.now()
            if pace.is_too_slow(now):
                return outcomes.NotRun(
                    outcomes.Reason.REQUEST_TOO_SLOW, "the body came too slowly"
                )
            try:
                async with asyncio.timeout(pace.next_check_seconds(now)):
                    chunk = await request.content.readany()
            except TimeoutError:
                continue
            if not chunk:
                return b"".join(chunks)
            size += len(chunk)
            if size > max_body_bytes:
                return head_decisions.body_too_large(max_body_bytes)
            chunks.append(chunk)
            pace.record(size, self._clock.now())
            if size > reserved_bytes:
                reserved_bytes = min(2 * size, max_body_bytes)
                pace.suspend(self._clock.now())
                if not await connection.reserve_body(reserved_bytes):
                    return self._refuse_body()
                pace.resume(self._clock.now())

    def _make_pace(self, request: web.BaseRequest) -> body_pace.BodyPace:
        stated_seconds = body_pace.stated_seconds(
            request.headers.get(classification.TIMEOUT_HEADER, "")
        )
        return body_pace.BodyPace(
            now=self._clock.now(),
            declared_bytes=request.content_length,
            deadline_seconds=min(
                BODY_READ_TIMEOUT_SECONDS,
                stated_seconds or BODY_READ_TIMEOUT_SECONDS,
            ),
            stall_seconds=BODY_READ_TIMEOUT_SECONDS,
            grace_seconds=min(BODY_GRACE_SECONDS, BODY_READ_TIMEOUT_SECONDS),
        )

    def _refuse_body(self) -> outcomes.NotRun:
        return self._resources.overload_refusal(
            "the memory for requests is in use"
        )

    def _issue_tickets(self, request: web.BaseRequest) -> web.Response:
        count = _read_ticket_count(request)
        now = self._clock.now()
        tickets = [self._node.keys.issue_ticket(now) for _ in range(count)]
        return web.json_response({"tickets": tickets})

    def _add_ticket(
        self,
        request: web.BaseRequest,
        context: request_context.RequestContext,
        response: web.Response,
        now: float,
    ) -> None:
        """Adds a ticket for the next non-idempotent request of the caller."""
        is_ticket_requested = headers.WANT_TICKETS in request.headers
        if context.classified.is_idempotent and not is_ticket_requested:
            return
        if self._node.membership.phase is not messages.Phase.SERVING:
            return
        response.headers[classification.TICKET_HEADER] = (
            self._node.keys.issue_ticket(now)
        )

    def _count_request(
        self, service: str, outcome: outcomes.Outcome, started_at: float
    ) -> None:
        reason = ""
        if not isinstance(outcome, outcomes.Answered):
            reason = outcome.reason.slug
        elapsed_seconds = self._clock.now() - started_at
        self._counters.count_request(
            service, outcome.tag, reason, elapsed_seconds
        )


def _request_without_body(request: web.BaseRequest) -> classification.Request:
    """Returns the request without its body."""
    target = request.message.path
    path = target.partition("?")[0]
    return classification.Request(
        request.method, target, path, request.headers, b""
    )


def _read_ticket_count(request: web.BaseRequest) -> int:
    text = request.query.get("count", "1")
    if not text.isascii() or not text.isdigit():
        return 1
    return max(1, min(MAX_TICKETS, int(text)))


def _check_target(
    method: str, target: str, path: str
) -> outcomes.NotRun | None:
    """Refuses targets that another parser may read as a different path."""
    if method in ("CONNECT", "TRACE"):
        return outcomes.NotRun(
            outcomes.Reason.MALFORMED, f"method {method} is not served"
        )
    if not target.startswith("/"):
        return outcomes.NotRun(
            outcomes.Reason.MALFORMED, "the target does not start with a slash"
        )
    segments = path.replace("%2e", ".").replace("%2E", ".").split("/")
    if "." in segments or ".." in segments:
        return outcomes.NotRun(
            outcomes.Reason.MALFORMED, "the path has dot segments"
        )
    return None
