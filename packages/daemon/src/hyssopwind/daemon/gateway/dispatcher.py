"""Serves one request: route, attempts at servers, final answer."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

import logbook

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.dispatch import attempts
from hyssopwind.core.dispatch import choice
from hyssopwind.core.dispatch import repeats
from hyssopwind.core.routing import splitting
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import knowledge
from hyssopwind.daemon.gateway import picker
from hyssopwind.daemon.gateway import requests
from hyssopwind.daemon.gateway import sending
from hyssopwind.platform import fields
from hyssopwind.transport import clock

# Seconds for which a request waits at a daemon that has just started.
START_PATIENCE = 0.2
NOT_READY_RETRY = 0.5  # seconds; a daemon knows its settings within a second

_log = logbook.Logger("request")


@dataclasses.dataclass(slots=True)
class _Case:
    """One request on its way.

    Attributes:
        request: the request.
        route: its route.
        service: the service chosen for it.
        expires: when the caller or the route gives up.
        tried: servers that it was sent to.
        used: seconds that the caller spent on earlier attempts.
        possible: servers that may have run it.
    """

    request: requests.CallerRequest
    route: tables.Route
    service: ids.ServiceId
    expires: float
    tried: set[ids.ServerId]
    used: float = 0.0
    possible: set[ids.ServerId] = dataclasses.field(default_factory=set)
    last: judgement.AttemptResult | None = None


def _read_deadline(request: requests.CallerRequest) -> float | None:
    """Returns the seconds for which a caller waits, if it states them."""
    try:
        return float(request.fields.get(fields.DEADLINE, "")) / 1000
    except ValueError:
        return None


class Dispatcher:
    """Serves the requests of callers."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        pick: picker.Picker,
        sender: sending.Sender,
        budget: repeats.RepeatBudget,
        daemon_count: Callable[[], int],
        terms: tuning.RepeatingSettings,
    ):
        self._known = known
        self._picker = pick
        self._sender = sender
        self._budget = budget
        self._daemon_count = daemon_count
        self._terms = terms
        self._random = random.Random()
        self._deadlines = attempts.UsualDeadlines()
        self._splitter = splitting.Splitter(self._random)

    def find_route(
        self, request: requests.CallerRequest
    ) -> tables.Route | None:
        """Returns the route of a request, if there is one."""
        return self._known.catalogue.routes.find(request.host, request.path)

    def may_overlap(self, request: requests.CallerRequest) -> bool:
        """Whether a request may run beside earlier ones of its caller."""
        route = self.find_route(request)
        return route is not None and route.idempotent

    async def serve(self, request: requests.CallerRequest) -> outcomes.Outcome:
        """Returns how a request ended."""
        if not await self._known.wait_for_configuration(START_PATIENCE):
            return self._close(
                request,
                None,
                outcomes.NotRun(
                    outcomes.Reason.NOT_READY,
                    "no configuration is known yet",
                    NOT_READY_RETRY,
                ),
            )
        route = self.find_route(request)
        if route is None:
            return self._close(
                request,
                None,
                outcomes.NotRun(
                    outcomes.Reason.NO_ROUTE, "no route matches the request"
                ),
            )
        case = self._open(request, route)
        try:
            async with asyncio.timeout(max(0.0, case.expires - clock.now())):
                outcome = await self._run(case)
        except TimeoutError:
            outcome = self._expired(case)
        except asyncio.CancelledError:
            _log.info("caller left", extra=self._describe(case))
            raise
        return self._close(request, case, outcome)

    def _open(
        self, request: requests.CallerRequest, route: tables.Route
    ) -> _Case:
        service = self._splitter.choose(route.name, route.parts)
        self._budget.note_request(service, request.arrived)
        stated = _read_deadline(request)
        patience = (
            route.timeout if stated is None else min(route.timeout, stated)
        )
        used = self._deadlines.note(route.name, stated)
        expires = request.arrived + patience
        return _Case(request, route, service, expires, set(), used)

    async def _run(self, case: _Case) -> outcomes.Outcome:
        while True:
            picked = await self._picker.pick(self._order(case))
            if isinstance(picked, choice.Refuse):
                return self._refuse(case, picked)
            if case.tried and not self._may_repeat_now(case):
                return self._give_up(case)
            result = await self._attempt(case, picked)
            case.last = result
            step = attempts.next_step(
                result,
                idempotent=case.route.idempotent,
                tries_left=case.route.max_attempts - len(case.tried),
                remaining=case.expires - clock.now(),
            )
            if step is attempts.Step.TRY_AGAIN:
                continue
            if isinstance(result, judgement.WholeAnswer):
                return result.answer
            return self._give_up(case)

    def _order(self, case: _Case) -> picker.PickOrder:
        return picker.PickOrder(
            route=case.route,
            service=case.service,
            arrived=case.request.arrived - case.used,
            expires=case.expires,
            tried=frozenset(case.tried),
            returned=case.used > attempts.RETURNED_AFTER,
        )

    def _may_repeat_now(self, case: _Case) -> bool:
        return self._budget.take(
            case.service, clock.now(), self._daemon_count()
        )

    async def _attempt(
        self, case: _Case, picked: choice.Send
    ) -> judgement.AttemptResult:
        first = self._start(case, picked)
        running = {first}
        try:
            if self._may_hedge(case):
                delay = attempts.hedge_delay(
                    picked.estimate, case.route.latency_target, self._terms
                )
                done, _ = await asyncio.wait({first}, timeout=delay)
                if not done:
                    second = await self._hedge(case, first)
                    if second is not None:
                        running.add(second)
            return await self._first_good(running)
        finally:
            for task in running:
                self._release(case, task)

    def _may_hedge(self, case: _Case) -> bool:
        return (
            case.route.idempotent and len(case.tried) < case.route.max_attempts
        )

    async def _hedge(
        self, case: _Case, first: "asyncio.Task[judgement.AttemptResult]"
    ) -> "asyncio.Task[judgement.AttemptResult] | None":
        """Sends a late request to a second server, if one is good."""
        search = asyncio.create_task(self._picker.find_good(self._order(case)))
        await asyncio.wait({first, search}, return_when="FIRST_COMPLETED")
        if first.done() or not search.done():
            search.cancel()
            return None
        picked = search.result()
        if picked is None or not self._may_repeat_now(case):
            return None
        return self._start(case, picked)

    async def _first_good(
        self, running: "set[asyncio.Task[judgement.AttemptResult]]"
    ) -> judgement.AttemptResult:
        pending = set(running)
        result: judgement.AttemptResult | None = None
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                result = task.result()
                if not attempts.is_failure(result):
                    return result
        assert result is not None
        return result

    def _start(
        self, case: _Case, picked: choice.Send
    ) -> "asyncio.Task[judgement.AttemptResult]":
        listed = self._known.catalogue.find(picked.server)
        assert listed is not None
        case.tried.add(picked.server)
        case.possible.add(picked.server)
        order = sending.SendOrder(
            entry=listed.entry,
            route=case.route,
            request=case.request,
            expires=case.expires,
            picked=picked,
        )
        return asyncio.create_task(self._send(case, order))

    async def _send(
        self, case: _Case, order: sending.SendOrder
    ) -> judgement.AttemptResult:
        result = await self._sender.send(order)
        execution = judgement.judge_execution(result)
        if execution is judgement.Execution.NEVER:
            case.possible.discard(order.entry.id)
        return result

    def _release(
        self, case: _Case, task: "asyncio.Task[judgement.AttemptResult]"
    ) -> None:
        # A request that may run only once is left to end at its server: its
        # effect is wanted even when nobody waits for the answer.
        if not task.done() and case.route.idempotent:
            task.cancel()

    def _refuse(self, case: _Case, refusal: choice.Refuse) -> outcomes.Outcome:
        _log.info(
            "no server chosen",
            extra={
                **self._describe(case),
                "reason": refusal.reason,
                "answered": refusal.answered,
                "best_ms": refusal.best and round(refusal.best * 1000),
            },
        )
        if case.last is not None:
            return self._give_up(case)
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED, refusal.reason, self._retry_after(case)
        )

    def _give_up(self, case: _Case) -> outcomes.Outcome:
        result = case.last
        assert result is not None
        if isinstance(result, judgement.WholeAnswer):
            return result.answer
        failure = judgement.failure_outcome(
            result,
            may_repeat=case.route.idempotent,
            retry_after=self._retry_after(case),
        )
        if case.possible and isinstance(failure, outcomes.NotRun):
            # The last server did not run it, but an earlier one may have.
            return outcomes.Unknown(
                outcomes.Reason.SERVER_FAILED, failure.detail
            )
        return failure

    def _expired(self, case: _Case) -> outcomes.Outcome:
        if case.possible:
            return outcomes.Unknown(
                outcomes.Reason.DEADLINE, "no server answered in time"
            )
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED, "no server had room in time"
        )

    def _retry_after(self, case: _Case) -> float:
        return attempts.retry_after(
            case.route.latency_target, self._random.random()
        )

    def _describe(self, case: _Case) -> dict[str, object]:
        return {
            "request": case.request.fields.get(fields.REQUEST_ID, ""),
            "route": case.route.name,
            "service": case.service,
            "servers": sorted(case.tried),
            "ms": round((clock.now() - case.request.arrived) * 1000),
            "age_ms": round(min(self._known.age(), 1e6) * 1000),
            "revision": self._known.copy.revision,
            "version": self._known.catalogue.version,
        }

    def _close(
        self,
        request: requests.CallerRequest,
        case: _Case | None,
        outcome: outcomes.Outcome,
    ) -> outcomes.Outcome:
        if case is None:
            description: dict[str, object] = {
                "request": request.fields.get(fields.REQUEST_ID, ""),
                "host": request.host,
                "path": request.path,
            }
        else:
            description = self._describe(case)
        if isinstance(outcome, outcomes.Answered):
            description["status"] = outcome.status
        else:
            description["reason"] = outcome.reason.slug
            description["detail"] = outcome.detail
        _log.info(outcome.tag, extra=description)
        return outcome
