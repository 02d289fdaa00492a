"""The stage that sends a request to servers until one answers."""

import asyncio

import multidict

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.attempts import retry_budgets
from hyssopwind.core.node import node
from hyssopwind.core.pools import clients
from hyssopwind.core.requests import classification
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import snapshot
from hyssopwind.daemon import clock
from hyssopwind.daemon import headers
from hyssopwind.daemon import metrics
from hyssopwind.daemon import request_context
from hyssopwind.daemon import slots
from hyssopwind.daemon import tracing
from hyssopwind.daemon import transports
from hyssopwind.daemon import upstream

RETRY_AFTER_SECONDS = 1.0
# Ratio of the completed requests that are recorded while no request has a
# recorded crash.
SURVIVOR_SAMPLE_RATIO = 0.1
# A refused connection fails within a few round trips. An unreachable server
# fails only at the time-out of the connection.
MAX_CONNECTION_REFUSAL_SECONDS = 0.05


class AttemptStage:
    """Sends attempts and hedges within the deadline and the retry budget."""

    def __init__(
        self,
        daemon_node: node.Node,
        process_clock: clock.Clock,
        slot_allocator: slots.SlotAllocator,
        servers: transports.ServerTransport,
        tracer: tracing.Tracer,
        counters: metrics.Metrics,
    ):
        self._node = daemon_node
        self._clock = process_clock
        self._slot_allocator = slot_allocator
        self._servers = servers
        self._tracer = tracer
        self._counters = counters
        self._retry_budgets: dict[
            ids.ServiceId,
            tuple[documents.RetrySettings, retry_budgets.RetryBudget],
        ] = {}

    async def apply(
        self, context: request_context.RequestContext
    ) -> outcomes.Outcome:
        """Returns the outcome of the request, after retries if needed."""
        service = context.classified.service
        budget = self._retry_budget(service)
        budget.record_request(self._clock.now())
        tried_servers: set[ids.ServerId] = set()
        may_have_run = False
        attempt_count = 0
        while True:
            attempt_count += 1
            result = await self._attempt_or_hedge(
                context, tried_servers, budget
            )
            if isinstance(result, attempt_results.WholeAnswer):
                return result.answer
            if isinstance(result, outcomes.NotRun):
                return _as_unknown(result) if may_have_run else result
            execution = attempt_results.classify_execution(result)
            may_have_run |= execution is not attempt_results.Execution.NEVER
            if not self._may_retry(context, result, attempt_count, budget):
                break
        failure = attempt_results.failure_outcome(
            result,
            is_idempotent=context.classified.is_idempotent,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
        if may_have_run and isinstance(failure, outcomes.NotRun):
            return _as_unknown(failure)
        return failure

    def _may_retry(
        self,
        context: request_context.RequestContext,
        result: attempt_results.Shed | attempt_results.Failed,
        attempt_count: int,
        budget: retry_budgets.RetryBudget,
    ) -> bool:
        settings = context.classified.service.settings.retries
        if attempt_count >= settings.attempts:
            return False
        if not attempt_results.may_retry(
            result, is_idempotent=context.classified.is_idempotent
        ):
            return False
        now = self._clock.now()
        if now >= context.classified.deadline:
            return False
        if attempt_results.may_be_crash(
            result
        ) and self._node.quarantine.is_quarantined(
            context.ensure_fingerprint(), now
        ):
            return False
        return budget.try_acquire(now)

    async def _attempt_or_hedge(
        self,
        context: request_context.RequestContext,
        tried_servers: set[ids.ServerId],
        budget: retry_budgets.RetryBudget,
    ) -> attempt_results.AttemptResult | outcomes.NotRun:
        """Sends an attempt, and a hedge if no answer came within the delay."""
        delay_seconds = context.classified.service.settings.retries.hedge_after
        if delay_seconds <= 0.0 or not context.classified.is_idempotent:
            return await self._attempt(context, tried_servers)
        first_attempt = asyncio.create_task(
            self._attempt(context, tried_servers)
        )
        tasks = {first_attempt}
        try:
            done, _ = await asyncio.wait(tasks, timeout=delay_seconds)
            if not done and budget.try_acquire(self._clock.now()):
                hedge = asyncio.create_task(
                    self._attempt(context, tried_servers)
                )
                tasks.add(hedge)
            return await _first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _attempt(
        self,
        context: request_context.RequestContext,
        tried_servers: set[ids.ServerId],
    ) -> attempt_results.AttemptResult | outcomes.NotRun:
        service = self._current_service(context)
        slot = await self._slot_allocator.acquire(
            context.classified, service, frozenset(tried_servers)
        )
        if isinstance(slot, outcomes.NotRun):
            return slot
        tried_servers.add(slot.server)
        sent_at = self._clock.now()
        result: attempt_results.AttemptResult | None = None
        try:
            result = await self._send(context, slot)
        finally:
            self._record_result(context, slot, result, sent_at)
        return result

    async def _send(
        self, context: request_context.RequestContext, slot: slots.Slot
    ) -> attempt_results.AttemptResult:
        if not self._may_send(context, slot):
            return attempt_results.Failed(attempt_results.FailureKind.WITHHELD)
        with self._tracer.hop_span("attempt", context.span) as span:
            span.set_attribute("server", slot.server)
            span.set_attribute("pool", slot.pool)
            attempt_request = self._make_attempt_request(context, slot, span)
            result = await self._servers.attempt(attempt_request)
            span.set_attribute("result", type(result).__name__)
        did_not_run = (
            attempt_results.classify_execution(result)
            is attempt_results.Execution.NEVER
        )
        if context.claimed_key and did_not_run:
            self._node.keys.key_record_store.mark_unsent(context.claimed_key)
        return result

    def _may_send(
        self, context: request_context.RequestContext, slot: slots.Slot
    ) -> bool:
        """Whether the slot and the key are still valid after the wait."""
        if not self._node.pools.is_server_usable(slot.pool, slot.server):
            return False
        service = self._current_service(context)
        data_centre = ids.pool_data_centre(slot.pool)
        if (
            service.data_centre_state(data_centre)
            is documents.DataCentreState.OUT
        ):
            return False
        if not context.claimed_key:
            return True
        return self._node.keys.try_mark_sent(
            context.claimed_key, self._clock.now()
        )

    def _make_attempt_request(
        self,
        context: request_context.RequestContext,
        slot: slots.Slot,
        span: tracing.Span,
    ) -> upstream.AttemptRequest:
        classified = context.classified
        timeout_seconds = max(0.0, classified.deadline - self._clock.now())
        fields: multidict.CIMultiDict[str] = context.fields.copy()
        fields[classification.TIMEOUT_HEADER] = str(int(timeout_seconds * 1000))
        if not classified.is_idempotent:
            not_after = int((self._clock.wall() + timeout_seconds) * 1000)
            fields[headers.NOT_AFTER] = str(not_after)
        traceparent = span.traceparent()
        if traceparent is not None:
            fields[tracing.TRACEPARENT] = traceparent
        return upstream.AttemptRequest(
            slot.server,
            slot.address,
            classified.request,
            fields,
            classified.deadline,
            classified.service.settings.max_answer,
            classified.is_idempotent,
        )

    def _record_result(
        self,
        context: request_context.RequestContext,
        slot: slots.Slot,
        result: attempt_results.AttemptResult | None,
        sent_at: float,
    ) -> None:
        """Records the result of an attempt; `None` means a cancelled one."""
        now = self._clock.now()
        result_name = "Cancelled" if result is None else type(result).__name__
        self._counters.count_attempt(context.classified.service.id, result_name)

        def record_result(client: clients.PoolClient) -> None:
            if isinstance(result, attempt_results.WholeAnswer):
                client.finish_completed(
                    slot.server, result.start_id, result.latency_seconds, now
                )
            elif isinstance(result, attempt_results.Shed):
                client.finish_shed(slot.server, result.start_id, now)
            elif result is None or _is_neutral(result):
                client.finish_cancelled(slot.server)
            elif _is_refused_connection(result, now - sent_at):
                client.finish_connection_refused(slot.server, now)
            else:
                client.finish_failed(slot.server, now)

        if result is not None:
            self._record_crash_or_completion(context, result, sent_at)
        self._slot_allocator.finish(slot, record_result)

    def _record_crash_or_completion(
        self,
        context: request_context.RequestContext,
        result: attempt_results.AttemptResult,
        sent_at: float,
    ) -> None:
        if attempt_results.may_be_crash(result):
            timestamps = self._clock.timestamps()
            fingerprint = context.ensure_fingerprint()
            self._node.record_crash(fingerprint, sent_at, timestamps)
            return
        if not isinstance(result, attempt_results.WholeAnswer):
            return
        quarantine = self._node.quarantine
        if quarantine.is_empty and not self._is_sampled():
            return
        self._node.record_completion(
            context.ensure_fingerprint(), sent_at, self._clock.timestamps()
        )

    def _is_sampled(self) -> bool:
        """Whether a completed request is recorded.

        A sample is enough, because it soon contains each frequent request.
        """
        return self._node.random_source.random() < SURVIVOR_SAMPLE_RATIO

    def _current_service(
        self, context: request_context.RequestContext
    ) -> snapshot.Service:
        """Returns the service in force now, or the old one if removed."""
        settings = self._node.configuration.document_store.snapshot
        service = context.classified.service
        return settings.services.get(service.id, service)

    def _retry_budget(
        self, service: snapshot.Service
    ) -> retry_budgets.RetryBudget:
        settings = service.settings.retries
        cached = self._retry_budgets.get(service.id)
        if cached is not None and cached[0] is settings:
            return cached[1]
        budget = retry_budgets.RetryBudget(settings, self._clock.now())
        self._retry_budgets[service.id] = (settings, budget)
        return budget


def _is_refused_connection(
    result: attempt_results.AttemptResult, duration_seconds: float
) -> bool:
    """Whether the server's VM refused the connection."""
    return (
        isinstance(result, attempt_results.Failed)
        and result.kind is attempt_results.FailureKind.NOT_CONNECTED
        and duration_seconds <= MAX_CONNECTION_REFUSAL_SECONDS
    )


def _is_neutral(result: attempt_results.AttemptResult) -> bool:
    """Whether a failure does not count against the server."""
    if not isinstance(result, attempt_results.Failed):
        return False
    return result.kind in (
        attempt_results.FailureKind.WITHHELD,
        attempt_results.FailureKind.TOO_LARGE,
    )


def _as_unknown(failure: outcomes.NotRun) -> outcomes.Unknown:
    return outcomes.Unknown(
        failure.reason, failure.detail, failure.retry_after_seconds
    )


async def _first_answer(
    tasks: "set[asyncio.Task[attempt_results.AttemptResult | outcomes.NotRun]]",
) -> attempt_results.AttemptResult | outcomes.NotRun:
    """Returns the first whole answer, or else the last failure."""
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        result = done.pop().result()
        if isinstance(result, attempt_results.WholeAnswer) or not pending:
            return result
