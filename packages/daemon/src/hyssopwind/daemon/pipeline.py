"""The stages that a request passes, in order, until one gives an outcome."""

import asyncio
from collections.abc import Callable

from hyssopwind.core import outcomes
from hyssopwind.core.node import node
from hyssopwind.daemon import attempt_stage
from hyssopwind.daemon import clock
from hyssopwind.daemon import exchange
from hyssopwind.daemon import key_stage
from hyssopwind.daemon import quarantine_stage


class Pipeline:
    """Runs requests through the stages."""

    def __init__(
        self,
        decisions: node.Node,
        timer: clock.Clock,
        keys: key_stage.KeyStage,
        crashes: quarantine_stage.QuarantineStage,
        attempts: attempt_stage.AttemptStage,
        flush: Callable[[], None],
    ):
        self._node = decisions
        self._clock = timer
        self._flush = flush
        self._stages = (keys, crashes, attempts)
        self._running: set[asyncio.Task[outcomes.Outcome]] = set()

    async def run(self, traffic: exchange.Exchange) -> outcomes.Outcome:
        """Returns the outcome of a request.

        A caller that goes away cancels an idempotent request. A request that
        runs at most once goes on to its end, so that a resend gets its
        outcome.
        """
        if traffic.item.may_repeat:
            return await self._pass_stages(traffic)
        task = asyncio.create_task(self._run_claimed(traffic))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Waits for the requests whose callers are gone."""
        while self._running:
            await asyncio.wait(self._running)

    async def _run_claimed(
        self, traffic: exchange.Exchange
    ) -> outcomes.Outcome:
        outcome: outcomes.Outcome = outcomes.Unknown(
            outcomes.Reason.STOPPING, "the daemon stopped while it ran"
        )
        try:
            outcome = await self._pass_stages(traffic)
            return outcome
        finally:
            if traffic.claimed:
                self._node.keys.settle(
                    traffic.claimed, outcome, self._clock.now()
                )
                self._flush()

    async def _pass_stages(
        self, traffic: exchange.Exchange
    ) -> outcomes.Outcome:
        for stage in self._stages:
            outcome = await stage.apply(traffic)
            if outcome is not None:
                return outcome
        raise AssertionError("the last stage gives an outcome")
