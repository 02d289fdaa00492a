"""Allocates slots at servers, in the best data centre with a free one."""

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
from hyssopwind.core.pools import clients
from hyssopwind.core.requests import classification
from hyssopwind.core.settings import snapshot
from hyssopwind.daemon import clock
from hyssopwind.daemon import metrics
from hyssopwind.daemon import streams

NO_CAPACITY_RETRY_AFTER_SECONDS = 0.5
MAX_PLANS_PER_POOL = 3  # before the next data centre is tried
MIN_WAIT_SECONDS = 1e-4  # shorter waits cost more than they can gain


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A slot for one request at a server; it must be finished exactly once.

    Attributes:
        pool: the pool of the server.
        server: the identifier of the server.
        address: the IP address and port of the server.
    """

    pool: ids.PoolId
    server: ids.ServerId
    address: str


_AdmissionAnswer: TypeAlias = events.Granted | events.Refused


class SlotAllocator:
    """Allocates slots and reports how their requests ended."""

    def __init__(
        self,
        daemon_node: node.Node,
        process_clock: clock.Clock,
        counters: metrics.Metrics,
        flush: Callable[[], None],
    ):
        self._node = daemon_node
        self._clock = process_clock
        self._flush = flush
        self._pending_admissions: dict[
            tuple[ids.PoolId, int], asyncio.Future[_AdmissionAnswer]
        ] = {}
        self._direct = counters.choices.labels("direct")
        self._granted = counters.choices.labels("granted")
        self._refused = counters.choices.labels("refused")

    def subscribe(self, stream: reactivex.Observable[events.Event]) -> None:
        """Subscribes to the answers of pool owners among the node's events."""
        streams.subscribe(
            streams.select_type(stream, events.Granted), self._handle_answer
        )
        streams.subscribe(
            streams.select_type(stream, events.Refused), self._handle_answer
        )

    async def acquire(
        self,
        classified: classification.ClassifiedRequest,
        service: snapshot.Service,
        tried_servers: frozenset[ids.ServerId],
    ) -> Slot | outcomes.NotRun:
        """Returns a slot, counted as in use, or why there is none.

        Args:
            classified: the request.
            service: the settings of its service.
            tried_servers: servers that must not be used again.
        """
        retry_after_seconds = NO_CAPACITY_RETRY_AFTER_SECONDS
        local_data_centre = self._node.membership.data_centre
        now = self._clock.now()
        ordered_data_centres = data_centres.order_data_centres(
            service,
            local_data_centre,
            self._node.recovery_ramps,
            self._node.pools.expected_waits(service, now),
            self._node.random_source,
            now,
        )
        for data_centre in ordered_data_centres:
            pool = ids.pool_id(service.id, data_centre)
            result = await self._acquire_in_pool(
                pool,
                classified,
                data_centre != local_data_centre,
                tried_servers,
            )
            if isinstance(result, Slot):
                return result
            retry_after_seconds = max(retry_after_seconds, result)
        self._refused.inc()
        return _no_slot_outcome(
            service, ordered_data_centres, retry_after_seconds
        )

    def finish(
        self, slot: Slot, record_result: Callable[[clients.PoolClient], None]
    ) -> None:
        """Records how an attempt ended, and sends a load update if it is due.

        Args:
            slot: the slot of the attempt.
            record_result: records the result in the counts of the pool.
        """
        now = self._clock.now()
        record_result(self._node.pools.client_for_pool(slot.pool, now))
        if self._node.pools.send_load_update(slot.pool, now):
            self._run_node()

    async def _acquire_in_pool(
        self,
        pool: ids.PoolId,
        classified: classification.ClassifiedRequest,
        is_remote: bool,
        tried_servers: frozenset[ids.ServerId],
    ) -> Slot | float:
        """Returns a slot in one pool, or the seconds until a retry."""
        retry_after_seconds = 0.0
        for _ in range(MAX_PLANS_PER_POOL):
            now = self._clock.now()
            client = self._node.pools.client_for_pool(pool, now)
            plan = client.plan(
                now,
                classified.deadline,
                classified.priority,
                is_remote,
                tried_servers,
            )
            if isinstance(plan, clients.NoCapacity):
                return plan.retry_after_seconds
            if isinstance(plan, clients.SendDirect):
                self._direct.inc()
                client.begin(plan.server, is_direct=True)
                slot = self._make_slot(pool, plan.server)
                if slot is not None:
                    return slot
                continue
            answer = await self._request_admission(
                pool, client, plan, classified.deadline
            )
            if answer is None:
                continue
            if isinstance(answer, events.Refused):
                retry_after_seconds = answer.retry_after_seconds
                if retry_after_seconds > 0.0:
                    return retry_after_seconds
                continue
            self._granted.inc()
            slot = self._make_slot(pool, answer.server)
            if slot is not None:
                return slot
        return retry_after_seconds

    def _make_slot(self, pool: ids.PoolId, server: ids.ServerId) -> Slot | None:
        """Returns the slot, or releases it if the server has no address."""
        address = self._node.pools.find_address(server)
        if address is not None:
            return Slot(pool, server, address)
        self._release_unused(pool, server)
        return None

    def _release_unused(self, pool: ids.PoolId, server: ids.ServerId) -> None:
        """Releases a slot that no request used."""
        now = self._clock.now()
        self._node.pools.client_for_pool(pool, now).finish_cancelled(server)
        self._node.pools.send_load_update(pool, now)

    async def _request_admission(
        self,
        pool: ids.PoolId,
        client: clients.PoolClient,
        plan: clients.RequestAdmission,
        deadline: float,
    ) -> _AdmissionAnswer | None:
        """Returns the owner's answer, or `None` if there was none in time."""
        admission_id = plan.admission_request.admission_id
        future: asyncio.Future[_AdmissionAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_admissions[pool, admission_id] = future
        is_answered = False
        try:
            self._node.pools.request_admission(
                plan.admission_request, self._clock.now()
            )
            self._run_node()
            if not future.done():
                await self._wait_for_answer(future, client, deadline)
            answer = future.result() if future.done() else None
            is_answered = answer is not None
            return answer
        finally:
            del self._pending_admissions[pool, admission_id]
            if not is_answered:
                self._cancel_admission(pool, admission_id, future)

    async def _wait_for_answer(
        self,
        future: "asyncio.Future[_AdmissionAnswer]",
        client: clients.PoolClient,
        deadline: float,
    ) -> None:
        """Waits for the owner's answer, its time-out or the deadline."""
        while not future.done():
            now = self._clock.now()
            timeout_seconds = min(clients.OWNER_TIMEOUT_SECONDS, deadline - now)
            if timeout_seconds < MIN_WAIT_SECONDS or client.check_owner_timeout(
                now
            ):
                return
            await asyncio.wait([future], timeout=timeout_seconds)

    def _cancel_admission(
        self,
        pool: ids.PoolId,
        admission_id: int,
        future: "asyncio.Future[_AdmissionAnswer]",
    ) -> None:
        """Releases a granted slot, or cancels the admission request."""
        answer = future.result() if future.done() else None
        if isinstance(answer, events.Granted):
            self._release_unused(pool, answer.server)
        else:
            self._node.pools.cancel_admission(
                pool, admission_id, self._clock.now()
            )
        self._run_node()

    def _handle_answer(self, event: _AdmissionAnswer) -> None:
        future = self._pending_admissions.get((event.pool, event.admission_id))
        if future is not None and not future.done():
            future.set_result(event)
        elif isinstance(event, events.Granted):
            self._release_unused(event.pool, event.server)

    def _run_node(self) -> None:
        """Handles the node's messages to itself and sends the others."""
        self._node.deliver_own_messages(self._clock.timestamps())
        self._flush()


def _no_slot_outcome(
    service: snapshot.Service,
    ordered_data_centres: list[ids.DataCentreId],
    retry_after_seconds: float,
) -> outcomes.NotRun:
    if not ordered_data_centres:
        return outcomes.NotRun(
            outcomes.Reason.NO_SERVER,
            f'all data centres of service "{service.id}" are out',
            1.0,
        )
    return outcomes.NotRun(
        outcomes.Reason.OVERLOADED,
        f'no server of service "{service.id}" has room',
        retry_after_seconds,
    )
