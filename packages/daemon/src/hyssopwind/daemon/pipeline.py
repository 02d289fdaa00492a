"""Runs a request through the stages until one returns an outcome."""

import asyncio
from collections.abc import Callable

from hyssopwind.core import outcomes
from hyssopwind.core.node import node
from hyssopwind.daemon import attempt_stage
from hyssopwind.daemon import clock
from hyssopwind.daemon import key_stage
from hyssopwind.daemon import quarantine_stage
from hyssopwind.daemon import request_context


class Pipeline:
    """The stages in their order: keys, quarantine, attempts."""

    def __init__(
        self,
        daemon_node: node.Node,
        process_clock: clock.Clock,
        keys: key_stage.KeyStage,
        quarantine: quarantine_stage.QuarantineStage,
        attempts: attempt_stage.AttemptStage,
        flush: Callable[[], None],
    ):
        self._node = daemon_node
        self._clock = process_clock
        self._flush = flush
        self._stages = (keys, quarantine, attempts)
        self._running_tasks: set[asyncio.Task[outcomes.Outcome]] = set()

    async def run(
        self,
        context: request_context.RequestContext,
        handle_end: Callable[[], None] = lambda: None,
    ) -> outcomes.Outcome:
        """Returns the outcome of a request.

        An idempotent request is cancelled when its caller disconnects. A
        request that runs at most once continues to its end, so that a resend
        gets its outcome.

        Args:
            context: the request.
            handle_end: called when no server runs it any more, which may be
                after its caller has disconnected.
        """
        if context.classified.is_idempotent:
            try:
                return await self._run_stages(context)
            finally:
                handle_end()
        task = asyncio.create_task(self._run_to_end(context))
        self._running_tasks.add(task)
        task.add_done_callback(self._running_tasks.discard)
        task.add_done_callback(lambda _: handle_end())
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Waits for the non-idempotent requests that are still running."""
        while self._running_tasks:
            await asyncio.wait(self._running_tasks)

    async def _run_to_end(
        self, context: request_context.RequestContext
    ) -> outcomes.Outcome:
        outcome: outcomes.Outcome = outcomes.Unknown(
            outcomes.Reason.STOPPING, "the daemon stopped while it ran"
        )
        try:
            outcome = await self._run_stages(context)
            return outcome
        finally:
            if context.claimed_key:
                self._node.keys.complete(
                    context.claimed_key, outcome, self._clock.now()
                )
                self._flush()

    async def _run_stages(
        self, context: request_context.RequestContext
    ) -> outcomes.Outcome:
        for stage in self._stages:
            outcome = await stage.apply(context)
            if outcome is not None:
                return outcome
        raise AssertionError("the last stage must return an outcome")
