"""Serves one request: route, attempts at servers, final outcome."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable

import logbook

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.callers import head_decisions
from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import priority_classes
from hyssopwind.core.dispatch import refusal_policy
from hyssopwind.core.dispatch import retry_denials
from hyssopwind.core.dispatch import retry_policy
from hyssopwind.core.dispatch import retry_reserves
from hyssopwind.core.dispatch import search_refusals
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import handovers
from hyssopwind.core.routing import splitting
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.core.stopping import stop_plan
from hyssopwind.core.tenants import allowance_results
from hyssopwind.daemon.gateway import authenticator
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import handover_client
from hyssopwind.daemon.gateway import picker
from hyssopwind.daemon.gateway import reachability
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.daemon.gateway import sending
from hyssopwind.platform import field_names
from hyssopwind.transport import boot_clock

# Longest wait of a request for the first configuration after the start.
START_WAIT_SECONDS = 0.2
# Peers to which one request is handed at most. It is handed to no further one
# once a peer has said that it is cut off from the servers itself.
MAX_PEERS = 3
# Longer timeouts of callers count as this one.
MAX_CALLER_TIMEOUT_SECONDS = 86_400.0

_log = logbook.Logger("request")


@dataclasses.dataclass(slots=True)
class _RequestContext:
    """State of one request while it is served.

    Attributes:
        request: the request, without the key of its tenant.
        admission: its admission.
        route: its route.
        service: the service selected for it.
        deadline: monotonic time at which the caller or the route times out.
        tried_servers: servers that it was sent to.
        max_attempts: number of servers that it may be sent to.
        spent_seconds: seconds that the caller spent on earlier requests that
            were refused, or at the daemon that handed it over.
        is_caller_retry: whether the caller retries it after a refusal.
        terms: the terms of a peer that handed it over; `None` for a request
            of a caller.
        unconnected_servers: servers to which no connection was made.
        unanswered_servers: these, and servers that did not answer.
        may_have_run: servers that may have run it.
        may_have_run_elsewhere: whether it may have run at a peer's servers.
        last_result: result of the latest attempt.
        is_refusal_counted: whether its refusal has part in a line about many,
            and gets none of its own.
        granted: the part of its tenant's allowance that it was granted and
            that no attempt has used.
        has_ended: whether its outcome is known, or its caller has left.
    """

    request: caller_requests.CallerRequest
    admission: authenticator.Admission
    route: tables.Route
    service: ids.ServiceId
    deadline: float
    tried_servers: set[ids.ServerId]
    max_attempts: int
    spent_seconds: float = 0.0
    is_caller_retry: bool = False
    terms: handovers.Terms | None = None
    unconnected_servers: set[ids.ServerId] = dataclasses.field(
        default_factory=set
    )
    unanswered_servers: set[ids.ServerId] = dataclasses.field(
        default_factory=set
    )
    may_have_run: set[ids.ServerId] = dataclasses.field(default_factory=set)
    may_have_run_elsewhere: bool = False
    last_result: attempt_results.AttemptResult | None = None
    is_refusal_counted: bool = False
    granted: allowance_results.Granted | None = None
    has_ended: bool = False

    @property
    def priority(self) -> priorities.Priority:
        """Its priority, by its route and its tenant."""
        return self.admission.priority(self.route)


def _read_caller_timeout(
    request: caller_requests.CallerRequest,
) -> float | None:
    """Returns the timeout that the caller states in seconds, if any."""
    try:
        seconds = float(request.fields.get(field_names.DEADLINE, "")) / 1000
    except ValueError:
        return None
    if not math.isfinite(seconds):
        return None
    return min(max(0.0, seconds), MAX_CALLER_TIMEOUT_SECONDS)


def _create_peer_context(
    request: caller_requests.CallerRequest,
    admission: authenticator.Admission,
    route: tables.Route,
    service: ids.ServiceId,
    terms: handovers.Terms,
) -> _RequestContext:
    """Returns the state of a request that a peer handed over."""
    tried_servers = {ids.ServerId(server) for server in terms.tried_servers}
    # The configurations of the two daemons may differ.
    is_idempotent = route.is_idempotent and terms.is_idempotent
    route = dataclasses.replace(route, is_idempotent=is_idempotent)
    return _RequestContext(
        request,
        admission,
        route,
        service,
        request.arrived_at
        + min(route.timeout_seconds, terms.remaining_ms / 1000),
        tried_servers,
        len(tried_servers) + terms.attempts_left,
        terms.waited_ms / 1000,
        is_caller_retry=terms.is_caller_retry,
        terms=terms,
    )


_REVOKED = server_selection.Refuse("the key was revoked")
_WITHHELD = attempt_results.Failed(attempt_results.FailureKind.WITHHELD)


def _is_unconnected(result: attempt_results.AttemptResult) -> bool:
    return result == attempt_results.Failed(
        attempt_results.FailureKind.NOT_CONNECTED
    )


class Dispatcher:
    """Serves the requests of callers.

    Retries and hedges share one budget over the whole fleet.

    Attributes:
        search_refusals: requests for which no server was selected.
    """

    def __init__(
        self,
        platform_state: replicated_state.PlatformState,
        request_authenticator: authenticator.Authenticator,
        server_picker: picker.Picker,
        sender: sending.Sender,
        monitor: reachability.ReachabilityMonitor,
        handover: handover_client.HandoverClient,
        retry_budget: fleet_retry_budgets.FleetRetryBudget,
        daemon_count: Callable[[], int],
        retry_settings: tuning.RetryHedgeSettings,
        random_source: random.Random,
        configuration_bound_seconds: float,
        acquire_allowance: allowance_results.Acquire = (
            allowance_results.grant_all
        ),
        release_allowance: allowance_results.Release = (
            allowance_results.keep_released
        ),
        count_retry: Callable[[str, str, str], None] = (
            lambda _priority, _kind, _result: None
        ),
    ):
        self._count_retry = count_retry
        self._priority_classes = priority_classes.PriorityClasses()
        self._retry_denials = retry_denials.RetryDenials()
        self._platform_state = platform_state
        self._configuration_bound_seconds = configuration_bound_seconds
        self._authenticator = request_authenticator
        self._acquire_allowance = acquire_allowance
        self._release_allowance = release_allowance
        self._picker = server_picker
        self._sender = sender
        self._monitor = monitor
        self._handover = handover
        self._retry_budget = retry_budget
        self._daemon_count = daemon_count
        self._retry_settings = retry_settings
        self._random = random_source
        self._deadline_tracker = retry_policy.DeadlineTracker()
        self._forecasts: dict[
            ids.ServiceId, refusal_policy.CapacityForecast
        ] = {}
        self.search_refusals = search_refusals.SearchRefusals()
        self._splitter = splitting.Splitter(self._random)
        self._stop_plan: stop_plan.StopPlan | None = None
        self._has_expired = False
        self._timeouts: set[asyncio.Timeout] = set()
        # Requests of tenants that wait for a server.
        self._searches: dict[asyncio.Timeout, _RequestContext] = {}
        # The event loop itself keeps only weak references to tasks.
        self._attempts: set[asyncio.Task[object]] = set()
        self._received_count = 0

    @property
    def has_running_attempts(self) -> bool:
        """Whether an attempt runs, also one whose caller has left.

        A request that a peer handed over counts until it ends.
        """
        return bool(self._attempts) or self.has_received_requests

    @property
    def has_received_requests(self) -> bool:
        """Whether a request that a peer handed over has not ended."""
        return self._received_count > 0

    def start_stop(self, plan: stop_plan.StopPlan) -> None:
        """Refuses, from now on, requests that would outlast a planned stop."""
        self._stop_plan = plan

    def expire_all(self) -> None:
        """Ends all requests in progress, so that their callers get answers."""
        self._has_expired = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    def refuse_revoked(self) -> None:
        """Ends the waits of requests whose keys are not in force any more."""
        now = asyncio.get_running_loop().time()
        for search, context in self._searches.items():
            if search.expired() or self._authenticator.may_send(
                context.admission, context.request, context.route
            ):
                continue
            search.reschedule(now)

    def find_route(
        self, request: caller_requests.CallerRequest
    ) -> tables.Route | None:
        """Returns the route of a request, if there is one."""
        return self._platform_state.catalogue.routes.find(
            request.host, request.path
        )

    def may_overlap(self, request: caller_requests.CallerRequest) -> bool:
        """Whether a request may run while earlier ones of its caller run."""
        route = self.find_route(request)
        return route is not None and route.is_idempotent

    def refuse_unauthenticated(
        self,
        request: caller_requests.CallerRequest,
        terms: handovers.Terms | None = None,
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request whose key is not in force."""
        route = self.find_route(request)
        if route is None:
            return None
        admission = self._authenticator.admit(request, route, terms)
        return admission if isinstance(admission, outcomes.NotRun) else None

    async def serve_for_peer(
        self, request: caller_requests.CallerRequest, terms: handovers.Terms
    ) -> outcomes.Outcome:
        """Serves a request that a peer handed over."""
        self._received_count += 1
        try:
            return await self.serve(request, terms)
        finally:
            self._received_count -= 1

    async def serve(
        self,
        request: caller_requests.CallerRequest,
        terms: handovers.Terms | None = None,
    ) -> outcomes.Outcome:
        """Serves a request and returns its outcome.

        Args:
            request: the request.
            terms: the terms of the peer that handed it over, if one did.
        """
        if not await self._platform_state.wait_for_configuration(
            START_WAIT_SECONDS
        ):
            return self._log_outcome(
                request,
                None,
                outcomes.NotRun(
                    outcomes.Reason.NOT_READY,
                    "no configuration is known yet",
                    head_decisions.NOT_READY_RETRY_AFTER_SECONDS,
                ),
            )
        route = self.find_route(request)
        if route is None:
            return self._log_outcome(request, None, self._no_route_outcome())
        admission = self._authenticator.admit(request, route, terms)
        if isinstance(admission, outcomes.NotRun):
            return admission
        request = admission.prepare(request)
        context = self._create_context(request, admission, route, terms)
        if not self._may_start(context):
            return self._log_outcome(request, context, self._stop_outcome())
        if (
            terms is not None
            and terms.may_have_run
            and not context.route.is_idempotent
        ):
            return self._log_outcome(
                request,
                context,
                outcomes.Unknown(
                    outcomes.Reason.SERVER_FAILED, "it may have run before"
                ),
            )
        try:
            async with asyncio.timeout(
                max(0.0, context.deadline - boot_clock.now())
            ) as timeout:
                self._timeouts.add(timeout)
                try:
                    outcome = await self._check_allowance(
                        context
                    ) or await self._run_attempts(context)
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError:
            outcome = self._timeout_outcome(context)
        except asyncio.CancelledError:
            _log.info(
                "request cancelled: the caller's connection closed",
                extra=self._log_fields(context),
            )
            raise
        finally:
            context.has_ended = True
            self._release_unused(context)
        if context.is_refusal_counted:
            return outcome
        return self._log_outcome(request, context, outcome)

    def _no_route_outcome(self) -> outcomes.NotRun:
        return head_decisions.no_route(
            may_lack_configuration=self._platform_state.may_lack_configuration(
                self._configuration_bound_seconds
            )
        )

    def _create_context(
        self,
        request: caller_requests.CallerRequest,
        admission: authenticator.Admission,
        route: tables.Route,
        terms: handovers.Terms | None,
    ) -> _RequestContext:
        service = self._splitter.choose(route.name, route.parts)
        self._retry_budget.record_request(
            service,
            request.arrived_at,
            admission.priority(route),
            self._picker.expected_work_seconds(route),
            route.max_attempts - 1,
        )
        if terms is not None:
            return _create_peer_context(
                request, admission, route, service, terms
            )
        caller_timeout_seconds = _read_caller_timeout(request)
        timeout_seconds = (
            route.timeout_seconds
            if caller_timeout_seconds is None
            else min(route.timeout_seconds, caller_timeout_seconds)
        )
        spent_seconds = self._deadline_tracker.record_deadline(
            route.name, caller_timeout_seconds
        )
        deadline = request.arrived_at + timeout_seconds
        return _RequestContext(
            request,
            admission,
            route,
            service,
            deadline,
            set(),
            route.max_attempts,
            spent_seconds,
            is_caller_retry=refusal_policy.is_returned(
                spent_seconds,
                has_several_classes=self._has_several_classes(service),
            ),
        )

    def _may_start(self, context: _RequestContext) -> bool:
        plan = self._stop_plan
        if plan is None:
            return True
        return plan.may_start(
            boot_clock.now(),
            context.deadline,
            latency_target_seconds=context.route.latency_target_seconds,
            is_idempotent=context.route.is_idempotent,
        )

    def _stop_outcome(self) -> outcomes.NotRun:
        return outcomes.NotRun(
            outcomes.Reason.STOPPING,
            "the daemon stops before the request would be answered",
            stop_plan.RETRY_AFTER_SECONDS,
        )

    async def _check_allowance(
        self, context: _RequestContext
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request beyond its tenant's allowance."""
        admission = context.admission
        if admission.tenant is None:
            return None
        if admission.is_charged:
            # By the daemon that handed it over, for its first attempt.
            context.granted = allowance_results.Granted()
            return None
        result = await self._acquire_allowance(admission.tenant)
        if isinstance(result, allowance_results.Granted):
            context.granted = result
            return None
        context.is_refusal_counted = True
        # It is not sent, so it does not count for the retries of the service.
        self._retry_budget.withdraw_request(context.service, context.priority)
        if result.cause is allowance_results.DenialCause.EXHAUSTED:
            return outcomes.NotRun(
                outcomes.Reason.TENANT_LIMIT,
                "the allowance of the tenant is used up",
                result.retry_after_seconds,
            )
        return outcomes.NotRun(
            outcomes.Reason.NOT_READY,
            "what is left of the allowance of the tenant is not known",
            result.retry_after_seconds,
        )

    async def _charge_attempt(self, context: _RequestContext) -> bool:
        """Returns whether the allowance of the tenant covers an attempt more.

        An attempt that a server refused leaves its part to the next one.
        """
        tenant = context.admission.tenant
        if tenant is None or context.granted is not None:
            return True
        result = await self._acquire_allowance(tenant)
        if not isinstance(result, allowance_results.Granted):
            return False
        self._return_part(context, result)
        return True

    async def _charge_hedge(
        self, context: _RequestContext, first_attempt: "asyncio.Task[object]"
    ) -> bool:
        """Returns whether the allowance covers a hedge, if it is needed."""
        if context.admission.tenant is None:
            return True
        charge = asyncio.create_task(self._charge_attempt(context))
        await asyncio.wait(
            {first_attempt, charge}, return_when="FIRST_COMPLETED"
        )
        if not charge.done():
            charge.cancel()
            return False
        return charge.result() and not first_attempt.done()

    def _take_part(
        self, context: _RequestContext
    ) -> allowance_results.Granted | None:
        """Takes the granted part of the allowance for an attempt."""
        granted, context.granted = context.granted, None
        return granted

    def _return_part(
        self,
        context: _RequestContext,
        granted: allowance_results.Granted | None,
    ) -> None:
        """Keeps a part that no attempt has used for the next attempt."""
        if granted is None:
            return
        if context.granted is None and not context.has_ended:
            context.granted = granted
        else:
            self._release_allowance(granted)

    def _release_unused(self, context: _RequestContext) -> None:
        granted = self._take_part(context)
        if granted is not None:
            self._release_allowance(granted)

    async def _run_attempts(self, context: _RequestContext) -> outcomes.Outcome:
        while True:
            if self._monitor.is_cut_off:
                return await self._serve_elsewhere(context)
            if self._is_retry(context) and self._is_retry_denied(context):
                return self._final_outcome(context)
            if not await self._charge_attempt(context):
                return self._final_outcome(context)
            selected = await self._select_unless_revoked(context)
            revoked = self._refuse_revoked(context)
            if revoked is not None:
                return revoked
            if isinstance(selected, server_selection.Refuse):
                if (
                    selected.answered_count == 0
                    and await self._monitor.is_confirmed_unreachable()
                ):
                    return await self._serve_elsewhere(context)
                return self._handle_refusal(context, selected)
            if self._is_retry(context) and not self._try_acquire_retry(context):
                return self._final_outcome(context)
            result = await self._attempt_with_hedge(context, selected)
            context.last_result = result
            if result == _WITHHELD:
                revoked = self._refuse_revoked(context)
                if revoked is not None:
                    return revoked
            if (
                _is_unconnected(result)
                and await self._monitor.is_confirmed_unreachable()
            ):
                return await self._serve_elsewhere(context)
            decision = retry_policy.retry_decision(
                result,
                is_idempotent=context.route.is_idempotent,
                attempts_left=context.max_attempts - len(context.tried_servers),
                remaining_seconds=context.deadline - boot_clock.now(),
            )
            if decision is retry_policy.RetryDecision.RETRY:
                continue
            return self._final_outcome(context)

    def _refuse_revoked(
        self, context: _RequestContext
    ) -> outcomes.Outcome | None:
        """Returns the outcome of a request whose key is not in force now."""
        refusal = self._authenticator.refuse_revoked(
            context.admission, context.request, context.route
        )
        if refusal is None:
            return None
        if not context.may_have_run and not context.may_have_run_elsewhere:
            context.is_refusal_counted = True
            return refusal
        if context.last_result is None or context.may_have_run_elsewhere:
            return outcomes.Unknown(
                outcomes.Reason.SERVER_FAILED, refusal.detail
            )
        return self._final_outcome(context)

    async def _select_unless_revoked(
        self, context: _RequestContext
    ) -> server_selection.Send | server_selection.Refuse:
        """Searches a server until the key of the request is revoked."""
        if context.admission.tenant is None:
            return await self._select_server(context)
        if not self._authenticator.may_send(
            context.admission, context.request, context.route
        ):
            # While it waited for its part of the allowance.
            return _REVOKED
        try:
            async with asyncio.timeout(None) as search:
                self._searches[search] = context
                try:
                    return await self._select_server(context)
                finally:
                    del self._searches[search]
        except TimeoutError:
            return _REVOKED

    async def _select_server(
        self, context: _RequestContext
    ) -> server_selection.Send | server_selection.Refuse:
        """Searches a server and records how long that took."""
        started_at = boot_clock.now()
        try:
            selected = await self._picker.pick(self._selection_request(context))
        except asyncio.CancelledError:
            # A caller that leaves earlier shows nothing about capacity.
            now = boot_clock.now()
            if now >= context.deadline:
                self._forecast(context.service).record_search(
                    now - started_at, is_found=False, now=now
                )
            raise
        now = boot_clock.now()
        self._forecast(context.service).record_search(
            now - started_at,
            is_found=isinstance(selected, server_selection.Send),
            now=now,
        )
        return selected

    def _forecast(
        self, service: ids.ServiceId
    ) -> refusal_policy.CapacityForecast:
        return self._forecasts.setdefault(
            service, refusal_policy.CapacityForecast()
        )

    def _has_several_classes(self, service: ids.ServiceId) -> bool:
        return self._priority_classes.has_several(
            service, self._platform_state.catalogue.configuration
        )

    def _selection_request(
        self, context: _RequestContext
    ) -> picker.SelectionRequest:
        deadline = self._send_deadline(context)
        return picker.SelectionRequest(
            route=context.route,
            service=context.service,
            arrived_at=context.request.arrived_at - context.spent_seconds,
            deadline=deadline,
            tried_servers=frozenset(context.tried_servers),
            is_caller_retry=context.is_caller_retry,
            priority=context.priority,
            persists=context.is_caller_retry
            and self._has_several_classes(context.service),
        )

    def _send_deadline(self, context: _RequestContext) -> float:
        """Returns the monotonic time by which a server has to answer."""
        if self._stop_plan is None:
            return context.deadline
        return self._stop_plan.limit_deadline(context.deadline)

    async def _serve_elsewhere(
        self, context: _RequestContext
    ) -> outcomes.Outcome:
        """Hands a request to a peer, as this daemon does not reach servers."""
        attempts_left = handovers.attempts_left(
            context.max_attempts,
            context.tried_servers - context.unconnected_servers,
        )
        failure = self._unreachable_outcome(context)
        tried_peers: set[ids.DaemonId] = set()
        while (
            context.terms is None
            and attempts_left > 0
            and len(tried_peers) < MAX_PEERS
            and context.deadline - boot_clock.now()
            > retry_policy.MIN_USEFUL_SECONDS
        ):
            peer = self._handover.choose_peer(
                context.request, context.route, tried_peers
            )
            if peer is None or not await self._charge_attempt(context):
                break
            revoked = self._refuse_revoked(context)
            if revoked is not None:
                return revoked
            tried_peers.add(peer.name)
            handed = await self._hand_over(context, peer, attempts_left)
            if handed.result is handovers.HandoverResult.BROKEN:
                if not context.route.is_idempotent:
                    return outcomes.Unknown(
                        outcomes.Reason.SERVER_FAILED,
                        "the peer that served the request did not answer",
                    )
                attempts_left -= 1
                continue
            if handed.result is handovers.HandoverResult.WITHHELD:
                revoked = self._refuse_revoked(context)
                if revoked is not None:
                    return revoked
                continue
            if handed.result is handovers.HandoverResult.NOT_CONNECTED:
                continue
            assert handed.outcome is not None
            if handed.result is handovers.HandoverResult.CUT_OFF:
                break
            if (
                isinstance(handed.outcome, outcomes.NotRun)
                and handed.outcome.reason in handovers.PEER_REASONS
            ):
                continue
            self._retry_budget.withdraw_request(
                context.service, context.priority
            )
            if isinstance(handed.outcome, outcomes.NotRun):
                failure = handed.outcome
                break
            return handed.outcome
        if context.may_have_run or context.may_have_run_elsewhere:
            return outcomes.Unknown(
                outcomes.Reason.SERVER_FAILED, failure.detail
            )
        return failure

    def _unreachable_outcome(self, context: _RequestContext) -> outcomes.NotRun:
        return outcomes.NotRun(
            outcomes.Reason.NO_SERVER,
            "no server can be reached",
            self._retry_after(context),
        )

    async def _hand_over(
        self,
        context: _RequestContext,
        peer: fleet_members.Peer,
        attempts_left: int,
    ) -> handover_client.Handed:
        """Hands a request to one peer and records whether it may have run."""
        might_have_run = context.may_have_run_elsewhere
        terms = handovers.Terms(
            sender="",
            number=0,
            remaining_ms=0,
            waited_ms=self._waited_ms(context),
            is_idempotent=context.route.is_idempotent,
            is_caller_retry=context.is_caller_retry,
            attempts_left=attempts_left,
            # The others failed for lack of a way to them, which the peer has.
            tried_servers=sorted(
                context.tried_servers - context.unanswered_servers
            ),
            may_have_run=bool(context.may_have_run) or might_have_run,
        )
        terms = context.admission.add_terms(terms)
        context.may_have_run_elsewhere = True
        granted = self._take_part(context)
        # If the caller leaves, the connection to the peer is closed. The peer
        # then decides, as it alone knows whether a server has the request.
        handed = await self._handover.hand_over(
            peer,
            context.request,
            terms,
            self._send_deadline(context),
            lambda: self._authenticator.may_send(
                context.admission, context.request, context.route
            ),
        )
        has_run_nowhere = handed.result in (
            handovers.HandoverResult.NOT_CONNECTED,
            handovers.HandoverResult.WITHHELD,
            handovers.HandoverResult.CUT_OFF,
            handovers.HandoverResult.REFUSED,
        )
        if has_run_nowhere:
            self._return_part(context, granted)
            context.may_have_run_elsewhere = might_have_run
        return handed

    def _waited_ms(self, context: _RequestContext) -> int:
        waited_seconds = (
            boot_clock.now()
            - context.request.arrived_at
            + context.spent_seconds
        )
        return max(0, round(waited_seconds * 1000))

    def _is_retry(self, context: _RequestContext) -> bool:
        return bool(context.tried_servers) or (
            context.terms is not None and context.terms.may_have_run
        )

    def _is_retry_denied(self, context: _RequestContext) -> bool:
        """Whether a retry is denied, so that a server need not be searched.

        Services with requests of one class search first, as a retry may become
        available meanwhile.
        """
        if not self._has_several_classes(context.service):
            return False
        demand = self._retry_demand(context, retry_reserves.RetryKind.RETRY)
        if self._retry_budget.may_acquire(
            context.service, boot_clock.now(), self._daemon_count(), demand
        ):
            return False
        self._record_denial(context.service, demand)
        return True

    def _retry_demand(
        self, context: _RequestContext, kind: retry_reserves.RetryKind
    ) -> retry_reserves.RetryDemand:
        return retry_reserves.RetryDemand(
            context.priority,
            self._picker.expected_work_seconds(context.route),
            kind,
            is_caller_retry=context.is_caller_retry,
            classes=self._priority_classes.of_service(
                context.service, self._platform_state.catalogue.configuration
            ),
        )

    def _try_acquire_retry(
        self,
        context: _RequestContext,
        kind: retry_reserves.RetryKind = retry_reserves.RetryKind.RETRY,
    ) -> bool:
        demand = self._retry_demand(context, kind)
        has_several_classes = self._has_several_classes(context.service)
        is_allowed = self._retry_budget.try_acquire(
            context.service,
            boot_clock.now(),
            self._daemon_count(),
            # Requests of an earlier priority may be in the window.
            demand if has_several_classes else None,
        )
        if not has_several_classes:
            return is_allowed
        if is_allowed:
            label = priorities.label(demand.priority)
            self._count_retry(label, kind.value, "allowed")
        else:
            self._record_denial(context.service, demand)
        return is_allowed

    def _record_denial(
        self, service: ids.ServiceId, demand: retry_reserves.RetryDemand
    ) -> None:
        """Counts a denied retry; logs one line a second for each class."""
        label = priorities.label(demand.priority)
        self._count_retry(label, demand.kind.value, "denied")
        now = boot_clock.now()
        count = self._retry_denials.record(
            retry_denials.DenialClass(service, label, demand.kind), now
        )
        if not count:
            return
        reserves = self._retry_budget.reserves(service, now)
        available_count = self._retry_budget.available_count(
            service, now, self._daemon_count()
        )
        _log.info(
            "retries denied",
            extra={
                "service": service,
                "priority": label,
                "kind": demand.kind.value,
                "count": count,
                "available": round(available_count, 2),
                "reserved": round(reserves.reserved_count(demand), 2),
                "failed_ratio": round(reserves.failure_ratio, 2),
                "work_ms": round(demand.work_seconds * 1000),
            },
        )

    async def _attempt_with_hedge(
        self, context: _RequestContext, selected: server_selection.Send
    ) -> attempt_results.AttemptResult:
        first_attempt = self._start_attempt(context, selected)
        running = [first_attempt]
        try:
            if self._may_hedge(context):
                delay_seconds = retry_policy.hedge_delay_seconds(
                    selected.estimated_seconds,
                    context.route.latency_target_seconds,
                    self._retry_settings,
                )
                done, _ = await asyncio.wait(
                    {first_attempt}, timeout=delay_seconds
                )
                if not done:
                    self._picker.check_server(selected.server)
                    hedge = await self._start_hedge(context, first_attempt)
                    if hedge is not None:
                        running.append(hedge)
                    elif not first_attempt.done():
                        self._release_unused(context)
            return await self._first_success(running)
        finally:
            for task in running:
                self._cancel_if_idempotent(context, task)

    def _may_hedge(self, context: _RequestContext) -> bool:
        return (
            context.route.is_idempotent
            and len(context.tried_servers) < context.max_attempts
        )

    async def _start_hedge(
        self,
        context: _RequestContext,
        first_attempt: "asyncio.Task[attempt_results.AttemptResult]",
    ) -> "asyncio.Task[attempt_results.AttemptResult] | None":
        """Starts a hedge if there is a good server and the budget allows it."""
        if not await self._charge_hedge(context, first_attempt):
            return None
        search = asyncio.create_task(
            self._picker.find_good_server(self._selection_request(context))
        )
        await asyncio.wait(
            {first_attempt, search}, return_when="FIRST_COMPLETED"
        )
        if first_attempt.done() or not search.done():
            search.cancel()
            return None
        selected = search.result()
        if selected is None or not self._is_listed(selected):
            return None
        if not self._try_acquire_retry(context, retry_reserves.RetryKind.HEDGE):
            return None
        return self._start_attempt(context, selected)

    def _is_listed(self, selected: server_selection.Send) -> bool:
        return self._platform_state.catalogue.find(selected.server) is not None

    async def _first_success(
        self, running: "list[asyncio.Task[attempt_results.AttemptResult]]"
    ) -> attempt_results.AttemptResult:
        """Returns the first success, or the last failure if there is none."""
        pending = set(running)
        result: attempt_results.AttemptResult | None = None
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            # The order of the attempts, as sets have none.
            for task in [each for each in running if each in done]:
                result = task.result()
                if not retry_policy.is_failure(result):
                    return result
        assert result is not None
        return result

    def _start_attempt(
        self, context: _RequestContext, selected: server_selection.Send
    ) -> "asyncio.Task[attempt_results.AttemptResult]":
        listed_server = self._platform_state.catalogue.find(selected.server)
        assert listed_server is not None
        context.tried_servers.add(selected.server)
        context.may_have_run.add(selected.server)
        attempt_request = sending.AttemptRequest(
            entry=listed_server.entry,
            route=context.route,
            request=context.request,
            deadline=self._send_deadline(context),
            selection=selected,
            min_seconds=0.0
            if self._stop_plan is None
            else selected.estimated_seconds,
            may_send=lambda: self._authenticator.may_send(
                context.admission, context.request, context.route
            ),
        )
        attempt = asyncio.create_task(
            self._send(context, attempt_request, self._take_part(context))
        )
        self._attempts.add(attempt)
        attempt.add_done_callback(self._attempts.discard)
        return attempt

    async def _send(
        self,
        context: _RequestContext,
        attempt_request: sending.AttemptRequest,
        granted: allowance_results.Granted | None,
    ) -> attempt_results.AttemptResult:
        may_have_begun = False

        def may_send() -> bool:
            nonlocal may_have_begun
            may_have_begun = attempt_request.may_send()
            return may_have_begun

        try:
            result = await self._sender.send(
                dataclasses.replace(attempt_request, may_send=may_send)
            )
        except asyncio.CancelledError:
            if not may_have_begun:
                # It has waited for a connection, so that no server has it.
                self._return_part(context, granted)
            raise
        self._retry_budget.record_attempt(
            context.service, has_failed=retry_policy.is_failure(result)
        )
        execution = attempt_results.classify_execution(result)
        if execution is attempt_results.Execution.NEVER:
            context.may_have_run.discard(attempt_request.entry.id)
            self._return_part(context, granted)
        if _is_unconnected(result):
            context.unconnected_servers.add(attempt_request.entry.id)
        if isinstance(result, attempt_results.Failed):
            context.unanswered_servers.add(attempt_request.entry.id)
        return result

    def _cancel_if_idempotent(
        self,
        context: _RequestContext,
        task: "asyncio.Task[attempt_results.AttemptResult]",
    ) -> None:
        # An attempt of a non-idempotent request runs to its end: its effect is
        # wanted even when nobody waits for the answer.
        if not task.done() and context.route.is_idempotent:
            task.cancel()

    def _handle_refusal(
        self, context: _RequestContext, refusal: server_selection.Refuse
    ) -> outcomes.Outcome:
        self._record_refusal(context, refusal)
        if context.last_result is not None:
            return self._final_outcome(context)
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED,
            refusal.reason,
            self._retry_after(context)
            if refusal.retry_after_seconds is None
            else refusal.retry_after_seconds,
        )

    def _record_refusal(
        self, context: _RequestContext, refusal: server_selection.Refuse
    ) -> None:
        """Counts a refusal; logs one line a second for each class."""
        count = self.search_refusals.record(
            context.service, context.priority, refusal.reason, boot_clock.now()
        )
        if not count:
            return
        _log.info(
            "no server selected",
            extra={
                **self._log_fields(context),
                "priority": context.priority,
                "count": count,
                "reason": refusal.reason,
                "answered": refusal.answered_count,
                "best_ms": refusal.best_estimate_seconds
                and round(refusal.best_estimate_seconds * 1000),
                "retry_after_ms": refusal.retry_after_seconds
                and round(refusal.retry_after_seconds * 1000),
            },
        )

    def _final_outcome(self, context: _RequestContext) -> outcomes.Outcome:
        result = context.last_result
        if result is None:
            # Only a request that a peer handed over is a retry at first.
            return outcomes.NotRun(
                outcomes.Reason.OVERLOADED,
                "the budget has no retry left",
                self._retry_after(context),
            )
        if isinstance(result, attempt_results.WholeAnswer):
            return attempt_results.outcome_of_answer(
                result.answer, is_idempotent=context.route.is_idempotent
            )
        failure = attempt_results.failure_outcome(
            result,
            is_idempotent=context.route.is_idempotent,
            retry_after_seconds=self._retry_after(context),
        )
        if context.may_have_run and isinstance(failure, outcomes.NotRun):
            # The last server did not run the request; an earlier one may have.
            return outcomes.Unknown(
                outcomes.Reason.SERVER_FAILED, failure.detail
            )
        return failure

    def _timeout_outcome(self, context: _RequestContext) -> outcomes.Outcome:
        may_have_run = (
            bool(context.may_have_run) or context.may_have_run_elsewhere
        )
        if self._has_expired and may_have_run:
            return outcomes.Unknown(
                outcomes.Reason.STOPPING,
                "the daemon stopped before a server answered",
            )
        if self._has_expired:
            return self._stop_outcome()
        if may_have_run:
            return outcomes.Unknown(
                outcomes.Reason.DEADLINE, "no server answered in time"
            )
        return outcomes.NotRun(
            outcomes.Reason.OVERLOADED, "no server had room in time"
        )

    def _retry_after(self, context: _RequestContext) -> float:
        random_draw = self._random.random()
        if not self._has_several_classes(context.service):
            return retry_policy.retry_after_seconds(
                context.route.latency_target_seconds, random_draw
            )
        now = boot_clock.now()
        return refusal_policy.return_after_seconds(
            refusal_policy.ReturnTiming(
                context.route.latency_target_seconds,
                now - context.request.arrived_at + context.spent_seconds,
                context.deadline - now,
                self._picker.expected_work_seconds(context.route),
                self._forecast(context.service).free_after_seconds(now),
            ),
            random_draw,
        )

    def _log_fields(self, context: _RequestContext) -> dict[str, object]:
        log_fields: dict[str, object] = {
            "request": context.request.fields.get(field_names.REQUEST_ID, ""),
            "route": context.route.name,
            "service": context.service,
            "servers": sorted(context.tried_servers),
            "ms": round((boot_clock.now() - context.request.arrived_at) * 1000),
            **self._platform_state.log_fields(),
        }
        if context.admission.tenant is not None:
            log_fields["tenant"] = context.admission.tenant.id
        if context.terms is not None:
            log_fields["handed_by"] = context.terms.sender
        return log_fields

    def _log_outcome(
        self,
        request: caller_requests.CallerRequest,
        context: _RequestContext | None,
        outcome: outcomes.Outcome,
    ) -> outcomes.Outcome:
        if context is None:
            log_fields: dict[str, object] = {
                "request": request.fields.get(field_names.REQUEST_ID, ""),
                "host": request.host,
                "path": request.path,
                **self._platform_state.log_fields(),
            }
        else:
            log_fields = self._log_fields(context)
        if isinstance(outcome, outcomes.Answered):
            log_fields["status"] = outcome.status
        else:
            log_fields["reason"] = outcome.reason.slug
            log_fields["detail"] = outcome.detail
        _log.info(outcome.tag, extra=log_fields)
        return outcome
