"""The stage that lets a non-idempotent request run at most once."""

import asyncio
import collections

import reactivex

from hyssopwind.core import outcomes
from hyssopwind.core.node import events
from hyssopwind.core.node import moments
from hyssopwind.core.node import node
from hyssopwind.core.node import owning
from hyssopwind.core.ownership import ledger
from hyssopwind.core.requests import classification
from hyssopwind.core.requests import refusals
from hyssopwind.daemon import clock
from hyssopwind.daemon import exchange
from hyssopwind.daemon import forwarding
from hyssopwind.daemon import streams
from hyssopwind.daemon import transports

IN_PROGRESS_RETRY_AFTER = 1.0  # seconds


class KeyStage:
    """Claims the key of a request, or answers from memory."""

    def __init__(
        self,
        decisions: node.Node,
        timer: clock.Clock,
        forwarder: transports.PeerTransport,
    ):
        self._node = decisions
        self._clock = timer
        self._forwarder = forwarder
        self._waiting: collections.defaultdict[
            str, set[asyncio.Future[outcomes.Outcome]]
        ] = collections.defaultdict(set)

    def subscribe(self, stream: reactivex.Observable[events.Event]) -> None:
        """Takes the ends of requests from the events of the node."""
        streams.select_type(stream, events.Settled).subscribe(self._resolve)

    async def apply(
        self, traffic: exchange.Exchange
    ) -> outcomes.Outcome | None:
        """Returns an outcome, or `None` where the request may run here."""
        if traffic.item.may_repeat:
            return None
        decision = self._decide(traffic)
        if isinstance(decision, ledger.Run):
            traffic.claimed = decision.key
            return None
        if isinstance(decision, ledger.Wait):
            return await self._wait(decision.key, traffic.item.deadline)
        if isinstance(decision, ledger.Replay):
            return decision.outcome
        if isinstance(decision, owning.Forward):
            return await self._forwarder.forward(traffic, decision)
        if decision.reason is outcomes.Reason.KEY_OWNER_UNKNOWN:
            return refusals.refuse_unclaimed(decision, traffic.item.request)
        return decision

    def _decide(self, traffic: exchange.Exchange) -> owning.KeyDecision:
        request = traffic.item.request
        ticket = request.headers.get(classification.TICKET_HEADER)
        key = request.headers.get(classification.KEY_HEADER)
        fingerprint = traffic.ensure_fingerprint()
        now = self._clock.now()
        if self._is_misdirected(traffic):
            return outcomes.Unknown(
                outcomes.Reason.KEY_OWNER_GONE,
                "the daemon that issued the ticket is gone; "
                "nothing runs any more",
            )
        if ticket is None and key is None:
            return self._decide_without_key(traffic, now)
        if ticket is not None:
            decision = self._node.keys.claim_ticket(ticket, fingerprint, now)
        else:
            assert key is not None
            decision = self._node.keys.claim_key(
                key,
                fingerprint,
                moments.Moment(now, self._clock.wall()),
                bool(traffic.forwarded_to),
            )
        if isinstance(decision, owning.Forward) and traffic.forwarded_to:
            return outcomes.Unknown(
                outcomes.Reason.KEY_OWNER_UNKNOWN,
                "the daemons differ about who decides about the key",
                IN_PROGRESS_RETRY_AFTER,
            )
        return decision

    def _decide_without_key(
        self, traffic: exchange.Exchange, now: float
    ) -> owning.KeyDecision:
        """Refuses the request, or runs it under a ticket of its own."""
        if traffic.item.service.settings.require_key:
            return outcomes.NotRun(
                outcomes.Reason.KEY_REQUIRED,
                f"send the {classification.TICKET_HEADER} of this answer, "
                f"or an {classification.KEY_HEADER}",
                0.0,
            )
        return self._node.keys.claim_ticket(
            self._node.keys.issue_ticket(now), traffic.fingerprint, now
        )

    def _is_misdirected(self, traffic: exchange.Exchange) -> bool:
        expected = traffic.forwarded_to
        if expected in ("", forwarding.ANY_START):
            return False
        return expected != self._node.sender.start

    async def _wait(self, stored: str, deadline: float) -> outcomes.Outcome:
        """Waits for the end of the run of the same key."""
        future: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[stored].add(future)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.now())):
                return await future
        except TimeoutError:
            return outcomes.Unknown(
                outcomes.Reason.KEY_IN_PROGRESS,
                "the same request is running",
                IN_PROGRESS_RETRY_AFTER,
            )
        finally:
            self._forget(stored, future)

    def _forget(
        self, stored: str, future: "asyncio.Future[outcomes.Outcome]"
    ) -> None:
        waiting = self._waiting[stored]
        waiting.discard(future)
        if not waiting:
            del self._waiting[stored]

    def _resolve(self, event: events.Settled) -> None:
        for future in self._waiting.get(event.key, ()):
            if not future.done():
                future.set_result(event.outcome)
