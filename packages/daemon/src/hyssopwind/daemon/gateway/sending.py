"""Sends one attempt of a request to a server."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import TypeAlias

import logbook

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.dispatch import server_reachability
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.limits import rate_limits
from hyssopwind.core.limits import server_notices
from hyssopwind.core.routing import tables
from hyssopwind.daemon import headers
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import crash_detection
from hyssopwind.daemon.gateway import gateway_metrics
from hyssopwind.daemon.gateway import notice_recorder
from hyssopwind.daemon.gateway import reachability
from hyssopwind.platform import field_names
from hyssopwind.platform import probe_answers
from hyssopwind.transport import answers
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools

# Wait after the deadline, so that an answer on its way still counts.
LATE_ANSWER_GRACE_SECONDS = 0.3

_log = logbook.Logger("attempt")

# Called with a server and the load in its answer to a request, if it has one.
OnAnswer: TypeAlias = Callable[
    [entries.ServerEntry, probe_results.Load | None], None
]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequest:
    """A request to send to one server.

    Attributes:
        entry: the server.
        route: the route of the request.
        request: the request of the caller.
        deadline: monotonic time at which the caller or the route times out.
        selection: the selection of the server, with the values behind it.
        min_seconds: time left below which the request is not sent.
        may_send: whether the request may still be sent; called last.
    """

    entry: entries.ServerEntry
    route: tables.Route
    request: caller_requests.CallerRequest
    deadline: float
    selection: server_selection.Send
    min_seconds: float = 0.0
    may_send: Callable[[], bool] = lambda: True


class Sender:
    """Sends requests to servers and classifies the results."""

    def __init__(
        self,
        connection_pool: connection_pools.ConnectionPool,
        passive_health: server_health.PassiveHealth,
        crash_detector: crash_detection.CrashDetector,
        metrics: gateway_metrics.GatewayMetrics,
        recorder: notice_recorder.NoticeRecorder,
        limits: rate_limits.RateLimits,
        health_path: Callable[[ids.ServiceId], str],
        monitor: reachability.ReachabilityMonitor,
        on_answer: OnAnswer,
    ):
        self._on_answer = on_answer
        self._pool = connection_pool
        self._passive_health = passive_health
        self._crash_detector = crash_detector
        self._metrics = metrics
        self._recorder = recorder
        self._limits = limits
        self._health_path = health_path
        self._monitor = monitor
        # Connections with idempotent requests, which may be sent elsewhere.
        self._repeatable: set[connection.ClientConnection] = set()
        self._busy: dict[
            ids.ServerId, dict[connection.ClientConnection, None]
        ] = {}

    def break_off_idempotent(self) -> None:
        """Ends the attempts that may be repeated, as no answer can come."""
        for server_connection in list(self._repeatable):
            server_connection.abort()

    def busy_connections(
        self, server: ids.ServerId
    ) -> list[connection.ClientConnection]:
        """Returns the connections on which a server has requests."""
        return list(self._busy.get(server, ()))

    async def send(
        self, attempt_request: AttemptRequest
    ) -> attempt_results.AttemptResult:
        """Sends an attempt and returns its result."""
        server = attempt_request.entry.id
        started_at = boot_clock.now()
        self._passive_health.record_start(server, started_at)
        overdue_timer = asyncio.get_running_loop().call_later(
            server_reachability.overdue_seconds(
                attempt_request.selection.estimated_seconds
            ),
            self._monitor.record_overdue,
            server,
            started_at,
        )
        try:
            result = await self._exchange(attempt_request, started_at)
        except asyncio.CancelledError:
            self._record_cancellation(attempt_request, started_at)
            raise
        finally:
            overdue_timer.cancel()
            self._passive_health.record_end(server, started_at)
        self._record_result(attempt_request, result, started_at)
        return result

    async def _exchange(
        self, attempt_request: AttemptRequest, started_at: float
    ) -> attempt_results.AttemptResult:
        request_id = attempt_request.request.fields.get(
            field_names.REQUEST_ID, ""
        )
        try:
            server_connection = await self._connect(
                attempt_request.entry.address, must_be_new=not request_id
            )
        except connection.ExchangeError as error:
            return attempt_results.Failed(error.kind)
        remaining_seconds = attempt_request.deadline - boot_clock.now()
        if (
            remaining_seconds <= attempt_request.min_seconds
            or not attempt_request.may_send()
        ):
            self._pool.release(server_connection)
            return attempt_results.Failed(attempt_results.FailureKind.WITHHELD)
        data = caller_requests.encode_request(
            attempt_request.request,
            (
                (
                    field_names.DEADLINE,
                    str(max(1, int(remaining_seconds * 1000))),
                ),
                (field_names.EXPECTED_SERVER, attempt_request.entry.id),
            ),
        )

        def is_own_answer(answer: answers.Answer) -> bool:
            # A late answer to a probe has no id. It must not be taken for a
            # statement that the server did not run this request.
            return answer.fields.get(field_names.REQUEST_ID, "") == request_id

        if attempt_request.route.is_idempotent:
            self._repeatable.add(server_connection)
        busy = self._busy.setdefault(attempt_request.entry.id, {})
        busy[server_connection] = None
        try:
            async with asyncio.timeout(
                remaining_seconds + LATE_ANSWER_GRACE_SECONDS
            ):
                answer = await server_connection.exchange(
                    data, attempt_request.request.method, is_own_answer
                )
        except connection.ExchangeError as error:
            if error.kind is attempt_results.FailureKind.GARBLED:
                _log.warn(
                    "answer rejected",
                    extra={
                        "request": request_id,
                        "server": attempt_request.entry.id,
                        "fault": error.detail,
                    },
                )
            return attempt_results.Failed(error.kind)
        except TimeoutError:
            return attempt_results.Failed(attempt_results.FailureKind.TIMED_OUT)
        finally:
            self._repeatable.discard(server_connection)
            del busy[server_connection]
            if not busy:
                self._busy.pop(attempt_request.entry.id, None)
        quiet_seconds = 0.0
        if not _is_from_server(answer):
            # What sent it may send more; see `_judge_answer`.
            server_connection.abort()
        else:
            self._pool.release(server_connection)
            kind = server_notices.AnswerKind.REQUEST
            if answer.status == 421 or field_names.NOT_RUN in answer.fields:
                kind = server_notices.AnswerKind.REFUSAL
            notices = self._recorder.record_answer(
                attempt_request.entry,
                kind,
                answer.status,
                answer.fields,
            )
            quiet_seconds = notices.quiet_seconds
            load = probe_answers.decode_load(
                answer.fields.get(field_names.LOAD, "")
            )
            self._on_answer(attempt_request.entry, load)
        return _judge_answer(
            answer,
            attempt_request.request.method,
            boot_clock.now() - started_at,
            quiet_seconds,
        )

    async def _connect(
        self, address: str, *, must_be_new: bool
    ) -> connection.ClientConnection:
        """Returns a connection to a server.

        Args:
            address: IP address and port of the server.
            must_be_new: whether an earlier answer on the connection could not
                be told apart from the one to this request.

        Raises:
            ExchangeError: no connection could be opened.
        """
        if must_be_new:
            return await self._pool.open(address)
        if self._monitor.is_reachable:
            return await self._pool.acquire(address)
        # A new one may be accepted, only to be reset with the request on it.
        idle = self._pool.take_idle(address)
        if idle is None:
            raise connection.ExchangeError(
                attempt_results.FailureKind.NOT_CONNECTED,
                "new connections fail",
            )
        return idle

    def _record_result(
        self,
        attempt_request: AttemptRequest,
        result: attempt_results.AttemptResult,
        started_at: float,
    ) -> None:
        now = boot_clock.now()
        server = attempt_request.entry.id
        if isinstance(result, attempt_results.Failed) and result.kind in (
            attempt_results.FailureKind.NOT_CONNECTED,
            attempt_results.FailureKind.BROKEN,
            attempt_results.FailureKind.TIMED_OUT,
        ):
            self._monitor.record_failure(server, result.kind)
        elif result != attempt_results.Failed(
            attempt_results.FailureKind.WITHHELD
        ):
            self._monitor.record_answer()
        answer_fields: dict[str, object] = {}
        result_label = "shed"
        if isinstance(result, attempt_results.WholeAnswer):
            result_label = "answered"
            answer_fields["status"] = result.answer.status
            self._crash_detector.record_completed(
                attempt_request.request, started_at
            )
            if result.answer.status >= 500:
                self._passive_health.record_failure(server, now)
            else:
                self._passive_health.record_success(
                    attempt_request.route,
                    server,
                    result.latency_seconds,
                    attempt_request.selection.estimated_seconds,
                    now,
                    service=attempt_request.entry.service,
                    is_congested=attempt_request.selection.is_congested,
                )
        elif isinstance(result, attempt_results.Failed):
            result_label = result.kind.name.lower()
            if attempt_results.may_be_crash(result):
                health_path = self._health_path(attempt_request.entry.service)
                self._crash_detector.check_for_crash(
                    attempt_request.request,
                    attempt_request.entry,
                    health_path,
                    started_at,
                )
            if result.kind is not attempt_results.FailureKind.WITHHELD:
                self._passive_health.record_failure(server, now)
        else:
            self._passive_health.record_failure(server, now)
        limit = self._limits.stated.rate(attempt_request.entry.instance, now)
        self._metrics.count_attempt(
            attempt_request.entry.service,
            result_label,
            is_limited=limit is not None,
        )
        _log.info(
            "attempt",
            extra={
                "request": attempt_request.request.fields.get(
                    field_names.REQUEST_ID, ""
                ),
                "server": server,
                "ms": round((now - started_at) * 1000),
                "result": result_label,
                "limit": limit,
                **answer_fields,
                **_selection_log_fields(attempt_request.selection),
            },
        )

    def _record_cancellation(
        self, attempt_request: AttemptRequest, started_at: float
    ) -> None:
        """Records a cancelled attempt that far exceeded its estimate."""
        now = boot_clock.now()
        elapsed = now - started_at
        if (
            elapsed
            > attempt_request.selection.estimated_seconds
            * server_health.TYPICAL_DURATION_RATIO
        ):
            self._passive_health.record_slow(
                attempt_request.entry.id,
                elapsed / attempt_request.selection.estimated_seconds,
                now,
            )


def _selection_log_fields(selected: server_selection.Send) -> dict[str, object]:
    """Returns the values behind the selection of a server, for the log."""
    log_fields: dict[str, object] = {
        "estimate_ms": round(selected.estimated_seconds * 1000),
        "caller_waited_ms": round(selected.waited_seconds * 1000),
        "near": selected.is_local,
        "crowded": selected.is_congested,
    }
    if selected.load is not None:
        load = selected.load
        log_fields["running"] = load.running
        log_fields["waiting"] = load.waiting
        log_fields["slots"] = load.slots
        log_fields["slowdown"] = load.slowdown
    return log_fields


def _is_from_server(answer: answers.Answer) -> bool:
    """Whether the expected server sent an answer."""
    return (
        field_names.SERVER_STAMP in answer.fields
        or field_names.NOT_RUN in answer.fields
        or (answer.status == 421 and field_names.SERVER_ID in answer.fields)
    )


def _judge_answer(
    answer: answers.Answer,
    method: str,
    latency_seconds: float,
    quiet_seconds: float,
) -> attempt_results.AttemptResult:
    """Returns the result of an attempt that got an answer."""
    is_stamped = field_names.SERVER_STAMP in answer.fields
    # 421 comes from a server that is not the expected one and ran nothing.
    if answer.status == 421 or field_names.NOT_RUN in answer.fields:
        return attempt_results.Shed("", quiet_seconds)
    if not is_stamped:
        # Servers stamp all of their answers, so something else sent this one.
        return attempt_results.Failed(attempt_results.FailureKind.GARBLED)
    answer_fields = headers.end_to_end(answer.fields)
    if method == "HEAD" and "Content-Length" in answer.fields:
        answer_fields["Content-Length"] = answer.fields["Content-Length"]
    pairs = headers.to_pairs(answer_fields)
    answered = outcomes.Answered(answer.status, pairs, answer.body)
    return attempt_results.WholeAnswer(answered, "", latency_seconds)
