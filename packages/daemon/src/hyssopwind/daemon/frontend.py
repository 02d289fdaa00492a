"""The HTTP server for callers.

References:
    RFC 9112, section 6.3: messages with ambiguous lengths are refused.
"""

import asyncio
import logging
import time
from typing import Any

import logbook
from aiohttp import http_exceptions
from aiohttp import web
from aiohttp import web_protocol

from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.node import node
from hyssopwind.core.requests import classification
from hyssopwind.core.requests import refusals
from hyssopwind.core.stopping import lingering
from hyssopwind.daemon import answer_rendering
from hyssopwind.daemon import clock
from hyssopwind.daemon import headers
from hyssopwind.daemon import metrics
from hyssopwind.daemon import pipeline
from hyssopwind.daemon import request_context
from hyssopwind.daemon import tracing
from hyssopwind.transport import socket_queues

TICKETS_PATH = "/.hyssopwind/tickets"
BODY_READ_TIMEOUT_SECONDS = 10.0
MAX_HEADER_BYTES = 16_384
MAX_TICKETS = 16
NOT_READY_RETRY_AFTER_SECONDS = 1.0
KEEPALIVE_TIMEOUT_SECONDS = 75.0
LINGERING_SECONDS = 1.0  # for reading the rest of a refused body
POLL_INTERVAL_SECONDS = 0.02
CLOSE_TIMEOUT_SECONDS = 0.2  # of requests that the end of the grace cuts

_log = logbook.Logger("frontend")
_NO_ACCESS_LOG = logging.getLogger("hyssopwind.no-access-log")
_NO_ACCESS_LOG.disabled = True


class _ProblemProtocol(web_protocol.RequestHandler):
    """A caller's connection.

    Answers parse errors and failed handlers with problem documents, and closes
    only after its final answer was delivered.
    """

    __slots__ = ("_has_caller_closed", "_is_busy", "_is_lingering")

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self._is_busy = False
        self._is_lingering = False
        self._has_caller_closed = False

    @property
    def is_busy(self) -> bool:
        """Whether a request runs or its answer is not delivered yet."""
        return self._is_busy or self._count_unacknowledged_bytes() > 0

    def start_request(self) -> None:
        """Marks the connection as busy until its answer is written."""
        self._is_busy = True

    def data_received(self, data: bytes) -> None:
        """Parses what the caller sent; nothing after the final answer."""
        if not self._is_lingering:
            super().data_received(data)

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Keeps the connection until its final answer is delivered."""
        self._has_caller_closed = True
        return self._is_lingering

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Writes an answer, and delivers it if it is the final one."""
        self._is_busy = True
        try:
            result = await super().finish_response(request, resp, start_time)
            if not result[0].keep_alive:
                await self._linger()
            return result
        finally:
            self._is_busy = False

    async def _linger(self) -> None:
        """Reads on until the caller has got the final answer and closes."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._is_lingering = True
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

    def _count_unacknowledged_bytes(self) -> int:
        transport = self.transport
        if transport is None or transport.is_closing():
            return 0
        raw_socket = transport.get_extra_info("socket")
        queued_bytes = socket_queues.unacknowledged_bytes(raw_socket)
        return transport.get_write_buffer_size() + queued_bytes

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


def _exc_info(error: BaseException | None) -> Any:
    if error is None:
        return None
    return type(error), error, error.__traceback__


class _ProblemServer(web.Server):
    """Creates the protocol handler of each connection."""

    def __call__(self) -> web_protocol.RequestHandler:
        return _ProblemProtocol(
            self,
            loop=asyncio.get_running_loop(),
            access_log=_NO_ACCESS_LOG,
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            lingering_time=LINGERING_SECONDS,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=False,
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
    ):
        self._node = daemon_node
        self._clock = process_clock
        self._pipeline = request_pipeline
        self._tracer = tracer
        self._counters = counters
        self._is_ready = False
        self._is_stopping = False
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self._server: _ProblemServer | None = None

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
        host, _, port = address.rpartition(":")
        self._server = _ProblemServer(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(
            self._server, shutdown_timeout=CLOSE_TIMEOUT_SECONDS
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, int(port), backlog=1024)
        await self._site.start()

    async def stop_listening(self) -> None:
        """Closes the listening socket; open connections stay."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def close(self, deadline: float) -> None:
        """Closes all connections; busy ones once their answer is delivered.

        Args:
            deadline: monotonic time in seconds after which the answers that
                are not delivered are cut.
        """
        if self._runner is None:
            return
        for connection in self._connections():
            connection.close()
            if not connection.is_busy:
                connection.force_close()
        while self.active_request_count and self._clock.now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        await self._runner.cleanup()

    def _connections(self) -> list[_ProblemProtocol]:
        if self._server is None:
            return []
        return [
            connection
            for connection in self._server.connections
            if isinstance(connection, _ProblemProtocol)
        ]

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if isinstance(request.protocol, _ProblemProtocol):
            request.protocol.start_request()
        response = await self._answer(request)
        if self._is_stopping:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        started_at = self._clock.now()
        with self._tracer.request_span("request", request.headers) as span:
            context = await self._read_request(request, span, started_at)
            if isinstance(context, web.Response):
                return context
            if isinstance(context, outcomes.NotRun):
                failure = refusals.refuse_unclaimed(
                    context, _request_without_body(request)
                )
                self._count_request("", failure, started_at)
                response = answer_rendering.render_failure(failure)
                if not request.content.is_eof():
                    response.force_close()
                return response
            outcome = await self._pipeline.run(context)
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
        service = settings.find_service(path)
        max_body_bytes = service.settings.max_request if service else 0
        body = await _read_body(request, max_body_bytes)
        if isinstance(body, outcomes.NotRun):
            return body
        forwarded_fields = headers.end_to_end(request.headers)
        classified = classification.classify(
            classification.Request(
                request.method, target, path, request.headers, body
            ),
            settings,
            started_at,
        )
        if isinstance(classified, outcomes.NotRun):
            return classified
        return request_context.RequestContext(
            classified,
            forwarded_fields,
            span,
            expected_start_id=request.headers.get(headers.FORWARDED, ""),
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


async def _read_body(
    request: web.BaseRequest, max_body_bytes: int
) -> bytes | outcomes.NotRun:
    """Returns the whole body, or why it is refused."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        writer = request.writer
        await writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        writer.output_size = 0
    if not request.body_exists:
        return b""
    chunks = []
    size = 0
    try:
        async with asyncio.timeout(BODY_READ_TIMEOUT_SECONDS):
            async for chunk in request.content.iter_any():
                size += len(chunk)
                if size > max_body_bytes:
                    return outcomes.NotRun(
                        outcomes.Reason.REQUEST_TOO_LARGE,
                        f"the body is over the limit of {max_body_bytes} bytes",
                    )
                chunks.append(chunk)
    except TimeoutError:
        return outcomes.NotRun(
            outcomes.Reason.REQUEST_TOO_SLOW,
            f"the body took more than {BODY_READ_TIMEOUT_SECONDS:.0f} seconds",
        )
    except (web.PayloadAccessError, http_exceptions.HttpProcessingError):
        return outcomes.NotRun(
            outcomes.Reason.MALFORMED, "the body cannot be read"
        )
    return b"".join(chunks)
