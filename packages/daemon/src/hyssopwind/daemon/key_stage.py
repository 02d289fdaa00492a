"""The stage that lets a non-idempotent request run at most once."""

import asyncio
import collections

import reactivex

from hyssopwind.core import outcomes
from hyssopwind.core.node import events
from hyssopwind.core.node import key_component
from hyssopwind.core.node import node
from hyssopwind.core.node import timestamp
from hyssopwind.core.ownership import key_records
from hyssopwind.core.requests import classification
from hyssopwind.core.requests import refusals
from hyssopwind.daemon import clock
from hyssopwind.daemon import forwarding
from hyssopwind.daemon import request_context
from hyssopwind.daemon import streams
from hyssopwind.daemon import transports

IN_PROGRESS_RETRY_AFTER_SECONDS = 1.0


class KeyStage:
    """Claims the key of a request, or replays a stored outcome."""

    def __init__(
        self,
        daemon_node: node.Node,
        process_clock: clock.Clock,
        forwarder: transports.PeerTransport,
    ):
        self._node = daemon_node
        self._clock = process_clock
        self._forwarder = forwarder
        self._waiting_futures: collections.defaultdict[
            str, set[asyncio.Future[outcomes.Outcome]]
        ] = collections.defaultdict(set)

    def subscribe(self, stream: reactivex.Observable[events.Event]) -> None:
        """Subscribes to the completion of keys among the node's events."""
        streams.subscribe(
            streams.select_type(stream, events.KeyCompleted),
            self._handle_completion,
        )

    async def apply(
        self, context: request_context.RequestContext
    ) -> outcomes.Outcome | None:
        """Returns an outcome, or `None` if the request may run here."""
        if context.classified.is_idempotent:
            return None
        decision = self._decide(context)
        if isinstance(decision, key_records.Run):
            context.claimed_key = decision.key
            return None
        if isinstance(decision, key_records.Wait):
            return await self._wait_for_outcome(
                decision.key, context.classified.deadline
            )
        if isinstance(decision, key_records.Replay):
            return decision.outcome
        if isinstance(decision, key_component.Forward):
            return await self._forwarder.forward(context, decision)
        if decision.reason is outcomes.Reason.KEY_OWNER_UNKNOWN:
            return refusals.refuse_unclaimed(
                decision, context.classified.request
            )
        return decision

    def _decide(
        self, context: request_context.RequestContext
    ) -> key_component.KeyDecision:
        request = context.classified.request
        ticket = request.headers.get(classification.TICKET_HEADER)
        key = request.headers.get(classification.IDEMPOTENCY_KEY_HEADER)
        fingerprint = context.ensure_fingerprint()
        now = self._clock.now()
        if self._is_for_earlier_start(context):
            return outcomes.Unknown(
                outcomes.Reason.KEY_OWNER_GONE,
                "the daemon that issued the ticket is gone; "
                "nothing runs any more",
            )
        if ticket is None and key is None:
            return self._decide_without_key(context, now)
        if ticket is not None:
            decision = self._node.keys.claim_ticket(ticket, fingerprint, now)
        else:
            assert key is not None
            decision = self._node.keys.claim_key(
                key,
                fingerprint,
                timestamp.Timestamps(now, self._clock.wall()),
                bool(context.expected_start_id),
            )
        if (
            isinstance(decision, key_component.Forward)
            and context.expected_start_id
        ):
            return outcomes.Unknown(
                outcomes.Reason.KEY_OWNER_UNKNOWN,
                "the daemons differ about who decides about the key",
                IN_PROGRESS_RETRY_AFTER_SECONDS,
            )
        return decision

    def _decide_without_key(
        self, context: request_context.RequestContext, now: float
    ) -> key_component.KeyDecision:
        """Refuses the request, or claims a new ticket for it."""
        if context.classified.service.settings.require_key:
            return outcomes.NotRun(
                outcomes.Reason.KEY_REQUIRED,
                f"send the {classification.TICKET_HEADER} of this answer, "
                f"or an {classification.IDEMPOTENCY_KEY_HEADER}",
                0.0,
            )
        return self._node.keys.claim_ticket(
            self._node.keys.issue_ticket(now), context.fingerprint, now
        )

    def _is_for_earlier_start(
        self, context: request_context.RequestContext
    ) -> bool:
        """Whether a peer forwarded to an earlier start of this daemon."""
        expected_start_id = context.expected_start_id
        if expected_start_id in ("", forwarding.ANY_START_ID):
            return False
        return expected_start_id != self._node.identity.start_id

    async def _wait_for_outcome(
        self, stored_key: str, deadline: float
    ) -> outcomes.Outcome:
        """Waits for the outcome of the running request with the same key."""
        future: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting_futures[stored_key].add(future)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.now())):
                return await future
        except TimeoutError:
            return outcomes.Unknown(
                outcomes.Reason.KEY_IN_PROGRESS,
                "the same request is running",
                IN_PROGRESS_RETRY_AFTER_SECONDS,
            )
        finally:
            self._remove_waiting_future(stored_key, future)

    def _remove_waiting_future(
        self, stored_key: str, future: "asyncio.Future[outcomes.Outcome]"
    ) -> None:
        futures = self._waiting_futures[stored_key]
        futures.discard(future)
        if not futures:
            del self._waiting_futures[stored_key]

    def _handle_completion(self, event: events.KeyCompleted) -> None:
        for future in self._waiting_futures.get(event.key, ()):
            if not future.done():
                future.set_result(event.outcome)
