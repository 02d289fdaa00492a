"""Gets slots at servers, in the best data centre that has one."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import TypeAlias

import reactivex

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.node import events
from hyssopwind.core.node import node
from hyssopwind.core.placement import data_centres
from hyssopwind.core.pools import member
from hyssopwind.core.requests import classification
from hyssopwind.core.settings import snapshot
from hyssopwind.daemon import clock
from hyssopwind.daemon import metrics
from hyssopwind.daemon import streams

NO_ROOM_RETRY_AFTER = 0.5  # seconds
MAX_PLANS_PER_POOL = 3
SHORTEST_WAIT = 1e-4  # seconds; less than that is not worth a wait


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Room for one request at a server; it must be finished once.

    Attributes:
        pool: the pool of the server.
        server: the server.
        address: its IP address and port.
    """

    pool: ids.PoolId
    server: ids.ServerId
    address: str


_Answer: TypeAlias = events.Granted | events.Refused


class SlotKeeper:
    """Finds slots and accounts for them."""

    def __init__(
        self,
        decisions: node.Node,
        timer: clock.Clock,
        counters: metrics.Metrics,
        flush: Callable[[], None],
    ):
        self._node = decisions
        self._clock = timer
        self._flush = flush
        self._waiting: dict[
            tuple[ids.PoolId, int], asyncio.Future[_Answer]
        ] = {}
        self._direct = counters.choices.labels("direct")
        self._granted = counters.choices.labels("granted")
        self._refused = counters.choices.labels("refused")

    def subscribe(self, stream: reactivex.Observable[events.Event]) -> None:
        """Takes the answers of pool owners from the events of the node."""
        streams.select_type(stream, events.Granted).subscribe(self._resolve)
        streams.select_type(stream, events.Refused).subscribe(self._resolve)

    async def acquire(
        self,
        item: classification.Classified,
        service: snapshot.Service,
        avoid: frozenset[ids.ServerId],
    ) -> Slot | outcomes.NotRun:
        """Returns a slot, or why there is none; the slot counts as used."""
        retry_after = NO_ROOM_RETRY_AFTER
        near = self._node.members.data_centre
        now = self._clock.now()
        order = data_centres.order_data_centres(
            service,
            near,
            self._node.returns,
            self._node.pools.expected_waits(service, now),
            self._node.generator,
            now,
        )
        for data_centre in order:
            pool = ids.pool_id(service.id, data_centre)
            result = await self._acquire_in(
                pool, item, data_centre != near, avoid
            )
            if isinstance(result, Slot):
                return result
            retry_after = max(retry_after, result)
        self._refused.inc()
        return _no_slot(service, order, retry_after)

    def finish(
        self, slot: Slot, apply: Callable[[member.PoolMember], None]
    ) -> None:
        """Accounts for the end of an attempt and tells the pool's owner."""
        now = self._clock.now()
        apply(self._node.pools.member_of(slot.pool, now))
        if self._node.pools.tell_at_once(slot.pool, now):
            self._run_node()

    async def _acquire_in(
        self,
        pool: ids.PoolId,
        item: classification.Classified,
        foreign: bool,
        avoid: frozenset[ids.ServerId],
    ) -> Slot | float:
        """Returns a slot in one pool, or seconds after which to come back."""
        retry_after = 0.0
        for _ in range(MAX_PLANS_PER_POOL):
            now = self._clock.now()
            pool_member = self._node.pools.member_of(pool, now)
            plan = pool_member.plan(
                now, item.deadline, item.priority, foreign, avoid
            )
            if isinstance(plan, member.NoRoom):
                return plan.retry_after
            if isinstance(plan, member.SendDirect):
                self._direct.inc()
                pool_member.begin(plan.server, direct=True)
                slot = self._slot(pool, plan.server)
                if slot is not None:
                    return slot
                continue
            answer = await self._ask(pool, pool_member, plan, item.deadline)
            if answer is None:
                continue
            if isinstance(answer, events.Refused):
                retry_after = answer.retry_after
                if retry_after > 0.0:
                    return retry_after
                continue
            self._granted.inc()
            slot = self._slot(pool, answer.server)
            if slot is not None:
                return slot
        return retry_after

    def _slot(self, pool: ids.PoolId, server: ids.ServerId) -> Slot | None:
        """Returns a slot that counts as used, or gives it back."""
        address = self._node.pools.find_address(server)
        if address is not None:
            return Slot(pool, server, address)
        self._give_back(pool, server)
        return None

    def _give_back(self, pool: ids.PoolId, server: ids.ServerId) -> None:
        """Frees a slot that no request used."""
        now = self._clock.now()
        self._node.pools.member_of(pool, now).finish_cancelled(server)
        self._node.pools.tell_at_once(pool, now)

    async def _ask(
        self,
        pool: ids.PoolId,
        pool_member: member.PoolMember,
        plan: member.AskOwner,
        deadline: float,
    ) -> _Answer | None:
        """Returns the owner's answer, or `None` where none came."""
        number = plan.ask.ask
        future: asyncio.Future[_Answer] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[pool, number] = future
        is_answered = False
        try:
            self._node.pools.ask(plan.ask, self._clock.now())
            self._run_node()
            if not future.done():
                await self._wait(future, pool_member, deadline)
            answer = future.result() if future.done() else None
            is_answered = answer is not None
            return answer
        finally:
            del self._waiting[pool, number]
            if not is_answered:
                self._abandon(pool, number, future)

    async def _wait(
        self,
        future: "asyncio.Future[_Answer]",
        pool_member: member.PoolMember,
        deadline: float,
    ) -> None:
        """Waits until the owner answers, falls silent, or it is too late."""
        while not future.done():
            now = self._clock.now()
            patience = min(member.OWNER_SILENCE, deadline - now)
            if patience < SHORTEST_WAIT or pool_member.note_silence(now):
                return
            await asyncio.wait([future], timeout=patience)

    def _abandon(
        self,
        pool: ids.PoolId,
        number: int,
        future: "asyncio.Future[_Answer]",
    ) -> None:
        """Gives an unused slot back, or withdraws the request for one."""
        answer = future.result() if future.done() else None
        if isinstance(answer, events.Granted):
            self._give_back(pool, answer.server)
        else:
            self._node.pools.withdraw(pool, number, self._clock.now())
        self._run_node()

    def _resolve(self, event: _Answer) -> None:
        future = self._waiting.get((event.pool, event.ask))
        if future is not None and not future.done():
            future.set_result(event)
        elif isinstance(event, events.Granted):
            self._give_back(event.pool, event.server)

    def _run_node(self) -> None:
        self._node.run_own_messages(self._clock.moment())
        self._flush()


def _no_slot(
    service: snapshot.Service,
    order: list[ids.DataCentreId],
    retry_after: float,
) -> outcomes.NotRun:
    if not order:
        return outcomes.NotRun(
            outcomes.Reason.NO_SERVER,
            f'all data centres of service "{service.id}" are out',
            1.0,
        )
    return outcomes.NotRun(
        outcomes.Reason.OVERLOADED,
        f'no server of service "{service.id}" has room',
        retry_after,
    )
