"""The stage that sends a request to servers until one answers."""

import asyncio

import multidict

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.attempts import retries
from hyssopwind.core.node import node
from hyssopwind.core.pools import member
from hyssopwind.core.requests import classification
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import snapshot
from hyssopwind.daemon import clock
from hyssopwind.daemon import exchange
from hyssopwind.daemon import headers
from hyssopwind.daemon import metrics
from hyssopwind.daemon import slots
from hyssopwind.daemon import tracing
from hyssopwind.daemon import transports
from hyssopwind.daemon import upstream

RETRY_AFTER = 1.0  # seconds
SURVIVOR_SAMPLE = 0.1  # share of the requests that are remembered
# Seconds within which a connection is refused: some round trips. A server that
# is not there at all takes the time-out of a connection.
REFUSAL_TIME = 0.05


class AttemptStage:
    """Makes attempts within the deadline and the retry budget."""

    def __init__(
        self,
        decisions: node.Node,
        timer: clock.Clock,
        keeper: slots.SlotKeeper,
        servers: transports.ServerTransport,
        tracer: tracing.Tracer,
        counters: metrics.Metrics,
    ):
        self._node = decisions
        self._clock = timer
        self._keeper = keeper
        self._servers = servers
        self._tracer = tracer
        self._counters = counters
        self._budgets: dict[
            ids.ServiceId, tuple[documents.RetrySettings, retries.RetryBudget]
        ] = {}

    async def apply(self, traffic: exchange.Exchange) -> outcomes.Outcome:
        """Returns the outcome of the request."""
        service = traffic.item.service
        budget = self._budget(service)
        budget.note_request(self._clock.now())
        tried: set[ids.ServerId] = set()
        possibly_ran = False
        attempt = 0
        while True:
            attempt += 1
            result = await self._attempt_or_hedge(traffic, tried, budget)
            if isinstance(result, judgement.WholeAnswer):
                return result.answer
            if isinstance(result, outcomes.NotRun):
                return _as_unknown(result) if possibly_ran else result
            execution = judgement.judge_execution(result)
            possibly_ran |= execution is not judgement.Execution.NEVER
            if not self._may_go_on(traffic, result, attempt, budget):
                break
        failure = judgement.failure_outcome(
            result,
            may_repeat=traffic.item.may_repeat,
            retry_after=RETRY_AFTER,
        )
        if possibly_ran and isinstance(failure, outcomes.NotRun):
            return _as_unknown(failure)
        return failure

    def _may_go_on(
        self,
        traffic: exchange.Exchange,
        result: judgement.Shed | judgement.Failed,
        attempt: int,
        budget: retries.RetryBudget,
    ) -> bool:
        settings = traffic.item.service.settings.retries
        if attempt >= settings.attempts:
            return False
        if not judgement.may_try_again(
            result, may_repeat=traffic.item.may_repeat
        ):
            return False
        now = self._clock.now()
        if now >= traffic.item.deadline:
            return False
        if judgement.is_crash(result) and self._node.quarantine.is_quarantined(
            traffic.ensure_fingerprint(), now
        ):
            return False
        return budget.take(now)

    async def _attempt_or_hedge(
        self,
        traffic: exchange.Exchange,
        tried: set[ids.ServerId],
        budget: retries.RetryBudget,
    ) -> judgement.AttemptResult | outcomes.NotRun:
        """Makes an attempt, and a second one beside it if it takes long."""
        delay = traffic.item.service.settings.retries.hedge_after
        if delay <= 0.0 or not traffic.item.may_repeat:
            return await self._attempt(traffic, tried)
        first = asyncio.create_task(self._attempt(traffic, tried))
        tasks = {first}
        try:
            done, _ = await asyncio.wait(tasks, timeout=delay)
            if not done and budget.take(self._clock.now()):
                second = asyncio.create_task(self._attempt(traffic, tried))
                tasks.add(second)
            return await _first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _attempt(
        self, traffic: exchange.Exchange, tried: set[ids.ServerId]
    ) -> judgement.AttemptResult | outcomes.NotRun:
        service = self._current_service(traffic)
        slot = await self._keeper.acquire(
            traffic.item, service, frozenset(tried)
        )
        if isinstance(slot, outcomes.NotRun):
            return slot
        tried.add(slot.server)
        sent = self._clock.now()
        result: judgement.AttemptResult | None = None
        try:
            result = await self._send(traffic, slot)
        finally:
            self._account(traffic, slot, result, sent)
        return result

    async def _send(
        self, traffic: exchange.Exchange, slot: slots.Slot
    ) -> judgement.AttemptResult:
        if not self._may_send(traffic, slot):
            return judgement.Failed(judgement.FailureKind.WITHHELD)
        with self._tracer.hop_span("attempt", traffic.span) as span:
            span.set("server", slot.server)
            span.set("pool", slot.pool)
            order = self._order(traffic, slot, span)
            result = await self._servers.attempt(order)
            span.set("result", type(result).__name__)
        never = judgement.judge_execution(result) is judgement.Execution.NEVER
        if traffic.claimed and never:
            self._node.keys.memory.mark_unsent(traffic.claimed)
        return result

    def _may_send(self, traffic: exchange.Exchange, slot: slots.Slot) -> bool:
        """Checks what may have changed while the request waited."""
        if not self._node.pools.is_server_usable(slot.pool, slot.server):
            return False
        service = self._current_service(traffic)
        data_centre = ids.pool_data_centre(slot.pool)
        if service.state_of(data_centre) is documents.DataCentreState.OUT:
            return False
        if not traffic.claimed:
            return True
        return self._node.keys.may_send(traffic.claimed, self._clock.now())

    def _order(
        self,
        traffic: exchange.Exchange,
        slot: slots.Slot,
        span: tracing.Span,
    ) -> upstream.AttemptOrder:
        item = traffic.item
        patience = max(0.0, item.deadline - self._clock.now())
        fields: multidict.CIMultiDict[str] = traffic.fields.copy()
        fields[classification.TIMEOUT_HEADER] = str(int(patience * 1000))
        if not item.may_repeat:
            not_after = int((self._clock.wall() + patience) * 1000)
            fields[headers.NOT_AFTER] = str(not_after)
        traceparent = span.traceparent()
        if traceparent is not None:
            fields[tracing.TRACEPARENT] = traceparent
        return upstream.AttemptOrder(
            slot.server,
            slot.address,
            item.request,
            fields,
            item.deadline,
            item.service.settings.max_answer,
            item.may_repeat,
        )

    def _account(
        self,
        traffic: exchange.Exchange,
        slot: slots.Slot,
        result: judgement.AttemptResult | None,
        sent: float,
    ) -> None:
        """Counts the end of an attempt; `None` stands for a cancelled one."""
        now = self._clock.now()
        name = "Cancelled" if result is None else type(result).__name__
        self._counters.count_attempt(traffic.item.service.id, name)

        def apply(pool_member: member.PoolMember) -> None:
            if isinstance(result, judgement.WholeAnswer):
                pool_member.finish_completed(
                    slot.server, result.start, result.latency, now
                )
            elif isinstance(result, judgement.Shed):
                pool_member.finish_shed(slot.server, result.start, now)
            elif result is None or _is_no_fault(result):
                pool_member.finish_cancelled(slot.server)
            elif _is_refusal(result, now - sent):
                pool_member.finish_refused(slot.server, now)
            else:
                pool_member.finish_failed(slot.server, now)

        if result is not None:
            self._note_crash(traffic, result, sent)
        self._keeper.finish(slot, apply)

    def _note_crash(
        self,
        traffic: exchange.Exchange,
        result: judgement.AttemptResult,
        sent: float,
    ) -> None:
        if judgement.is_crash(result):
            moment = self._clock.moment()
            fingerprint = traffic.ensure_fingerprint()
            self._node.note_crash(fingerprint, sent, moment)
            return
        if not isinstance(result, judgement.WholeAnswer):
            return
        quarantine = self._node.quarantine
        if quarantine.is_empty and not self._is_sampled_survivor():
            return
        self._node.note_survived(
            traffic.ensure_fingerprint(), sent, self._clock.moment()
        )

    def _is_sampled_survivor(self) -> bool:
        """Whether to remember a request; popular ones are met soon."""
        return self._node.generator.random() < SURVIVOR_SAMPLE

    def _current_service(self, traffic: exchange.Exchange) -> snapshot.Service:
        """Returns the service as it is in force now, if it still is."""
        settings = self._node.configuration.documents.snapshot
        service = traffic.item.service
        return settings.services.get(service.id, service)

    def _budget(self, service: snapshot.Service) -> retries.RetryBudget:
        settings = service.settings.retries
        known = self._budgets.get(service.id)
        if known is not None and known[0] is settings:
            return known[1]
        budget = retries.RetryBudget(settings, self._clock.now())
        self._budgets[service.id] = (settings, budget)
        return budget


def _is_refusal(result: judgement.AttemptResult, took: float) -> bool:
    """Whether the server's VM answered that nothing listens there."""
    return (
        isinstance(result, judgement.Failed)
        and result.kind is judgement.FailureKind.NOT_CONNECTED
        and took <= REFUSAL_TIME
    )


def _is_no_fault(result: judgement.AttemptResult) -> bool:
    """Whether a failure says nothing about the server."""
    if not isinstance(result, judgement.Failed):
        return False
    return result.kind in (
        judgement.FailureKind.WITHHELD,
        judgement.FailureKind.TOO_LARGE,
    )


def _as_unknown(failure: outcomes.NotRun) -> outcomes.Unknown:
    return outcomes.Unknown(failure.reason, failure.detail, failure.retry_after)


async def _first_answer(
    tasks: "set[asyncio.Task[judgement.AttemptResult | outcomes.NotRun]]",
) -> judgement.AttemptResult | outcomes.NotRun:
    """Returns the first whole answer, or the last failure without one."""
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        result = done.pop().result()
        if isinstance(result, judgement.WholeAnswer) or not pending:
            return result
