"""Callers in virtual time, and checks of what they were told."""

import asyncio
import dataclasses
import random
import uuid
from collections.abc import Iterator

import multidict

from hyssopwind.core import outcomes
from hyssopwind.core.requests import classification
from hyssopwind.standins.virtual import transports
from hyssopwind.standins.virtual import world

RESEND_PAUSE = 0.3  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What one sending of a request led to.

    Attributes:
        sent: virtual time of the sending.
        heard: virtual time of the answer, or of giving up.
        outcome: what the daemon said; `None` without an answer.
    """

    sent: float
    heard: float
    outcome: outcomes.Outcome | None


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """All sendings of one request, in order."""

    key: str
    body: bytes
    told: tuple[Told, ...]


class VirtualCaller:
    """Sends requests to the daemons of a world."""

    def __init__(self, target: world.World, generator: random.Random):
        self._world = target
        self._random = generator

    def new_key(self, error: float = 0.0) -> str:
        """Returns a UUID of version 7, by a wall clock with an error."""
        now = asyncio.get_running_loop().time()
        milliseconds = int((transports.WALL_EPOCH + now + error) * 1000)
        value = milliseconds << 80 | 7 << 76 | 2 << 62
        value |= self._random.getrandbits(12) << 64
        value |= self._random.getrandbits(62)
        return str(uuid.UUID(int=value))

    def take_ticket(self) -> str | None:
        """Returns a ticket of some daemon, or `None` where none is ready."""
        ready = [d for d in self._world.daemons.values() if d.is_ready]
        ready = [d for d in ready if not d.is_paused]
        if not ready:
            return None
        daemon = self._random.choice(ready)
        return daemon.node.keys.issue_ticket(daemon.clock.now())

    async def send(
        self,
        request: classification.Request,
        patience: float,
        daemon: world.VirtualDaemon | None = None,
    ) -> Told:
        """Sends a request once, to the given daemon or to any."""
        loop = asyncio.get_running_loop()
        sent = loop.time()
        target = daemon or self._random.choice(
            list(self._world.daemons.values())
        )
        await asyncio.sleep(0.001)
        if not target.is_alive:
            return Told(sent, loop.time(), None)
        working = asyncio.create_task(target.handle(request))
        done, _ = await asyncio.wait({working}, timeout=patience)
        if not done or not target.is_alive:
            return Told(sent, loop.time(), None)
        await asyncio.sleep(0.001)
        return Told(sent, loop.time(), working.result())

    async def post_until_final(
        self,
        path: str,
        key_header: str,
        key: str,
        *,
        attempts: int = 6,
        patience: float = 1.5,
        extra: dict[str, str] | None = None,
    ) -> Story:
        """Sends a non-idempotent request again until its answer is final."""
        body = f"body of {key}".encode()
        fields = multidict.CIMultiDict({key_header: key, **(extra or {})})
        request = classification.Request("POST", path, path, fields, body)
        told: list[Told] = []
        for _ in range(attempts):
            told.append(await self.send(request, patience))
            if _is_final(told[-1].outcome):
                break
            await asyncio.sleep(self._random.uniform(0.0, RESEND_PAUSE))
        return Story(key, body, tuple(told))

    async def get(self, path: str, patience: float = 3.0) -> Told:
        """Sends an idempotent request once."""
        fields: multidict.CIMultiDict[str] = multidict.CIMultiDict()
        request = classification.Request("GET", path, path, fields, b"")
        return await self.send(request, patience)


def _is_final(outcome: outcomes.Outcome | None) -> bool:
    if isinstance(outcome, outcomes.Answered):
        return True
    if isinstance(outcome, outcomes.Unknown):
        return outcome.retry_after is None
    return False


def check_story(story: Story, executions: list[float]) -> Iterator[str]:
    """Yields what was wrong with the handling of one request.

    Args:
        story: what the caller was told.
        executions: times at which servers ran the request.
    """
    if len(executions) > 1:
        yield f"key {story.key} ran {len(executions)} times"
    for position, told in enumerate(story.told):
        if isinstance(told.outcome, outcomes.Answered):
            if not executions:
                yield f"key {story.key} was answered and never ran"
            if told.outcome.body != story.body:
                yield f"key {story.key} got an answer that is not its own"
        if not isinstance(told.outcome, outcomes.NotRun):
            continue
        is_last = position == len(story.told) - 1
        limit = float("inf") if is_last else told.heard
        if any(time < limit for time in executions):
            yield f"key {story.key} was said not run and ran"
