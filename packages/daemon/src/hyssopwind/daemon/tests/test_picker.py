import asyncio
import dataclasses
import random
import types
import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.dispatch import slot_reserves
from hyssopwind.core.dispatch import waiting_order
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import picker
from hyssopwind.daemon.gateway import waiting_lines
from hyssopwind.transport import boot_clock

SERVICE = ids.ServiceId("s")


class FullLine(waiting_lines.WaitingLine):
    def has_room(self, max_wait_seconds, rank=None):
        return False


class FullServersPicker(picker.Picker):
    def _refuse_at_once(self, request):
        return None

    def _needs_permit(self, request, now):
        return False

    def _find_demand(self, request):
        return None

    async def _run_round(self, request, search):
        return server_selection.Wait(0.01)


def make_picker(picker_class):
    health = types.SimpleNamespace(expected_work_seconds=lambda _: 0.1)
    return picker_class(
        None,
        None,
        health,
        None,
        None,
        None,
        None,
        tuning.SelectionSettings(),
        random.Random(1),
    )


def make_request(waited_seconds, remaining_seconds):
    now = boot_clock.now()
    parts = (tables.WeightedService(SERVICE, 1.0),)
    route = tables.Route("r", "h", "/", True, 9.0, 0.3, 0, 2, parts)
    return picker.SelectionRequest(
        route,
        SERVICE,
        now - waited_seconds,
        now + remaining_seconds,
        frozenset(),
        True,
    )


class ReturnedRequestTest(unittest.IsolatedAsyncioTestCase):
    # A returned request waited until near its deadline for a full service.
    async def test_request_whose_target_is_lost_is_refused(self):
        full_picker = make_picker(FullServersPicker)
        full_picker._lines[SERVICE] = FullLine()
        request = make_request(0.5, 8.0)
        persistent = dataclasses.replace(request, persists=True)
        async with asyncio.timeout(0.5):
            decision = await full_picker.pick(persistent)
        self.assertIsInstance(decision, server_selection.Refuse)


class FreeServersPicker(picker.Picker):
    """A picker of a service with several priorities and a free server."""

    demand = slot_reserves.ServiceDemand()

    def _refuse_at_once(self, request):
        return None

    def _needs_permit(self, request, now):
        return False

    def _find_demand(self, request):
        return self.demand

    def _leave_reserve(self, candidates, request):
        return candidates

    async def _probe(self, request, *, include_remote, is_first=False):
        return [server_selection.Candidate(ids.ServerId("a"), True, None, 6)]

    async def _try_reserve(self, server, request):
        return True


class LateRequestTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.picker = make_picker(FreeServersPicker)
        self.line = waiting_lines.WaitingLine()
        self.picker._lines[SERVICE] = self.line
        rank = waiting_order.Rank(priorities.Priority(2))
        self.place = self.line.join(rank)

    # Late work took servers of requests in line that could still be in target.
    async def test_late_request_is_sent_when_no_other_waits(self):
        search = asyncio.create_task(self.picker.pick(make_request(0.5, 8.0)))
        await asyncio.sleep(0.1)
        self.assertFalse(search.done())
        self.assertIsNone(
            await self.picker.find_good_server(make_request(0.5, 8.0))
        )
        self.line.leave(self.place)
        async with asyncio.timeout(0.5):
            self.assertIsInstance(await search, server_selection.Send)

    # Long waits of earlier late work had it refused although a server was free.
    async def test_late_request_is_sent_to_a_free_server_at_once(self):
        self.line.leave(self.place)
        request = make_request(0.5, 1.0)
        late_work = self.picker._find_late_work(request)
        now = boot_clock.now()
        late_work.add(now - 4.0)
        late_work.remove(now, is_sent=True)
        self.assertIsInstance(
            await self.picker.pick(request), server_selection.Send
        )

    # A request that arrived before the second priority counted for ever, so
    # that all later late requests were refused.
    async def test_count_of_late_work_ends_after_a_change_of_priorities(self):
        demands = [None]
        self.picker._find_demand = lambda request: (
            demands.pop() if demands else FreeServersPicker.demand
        )
        search = asyncio.create_task(self.picker.pick(make_request(0.5, 8.0)))
        await asyncio.sleep(0)
        late_work = self.picker._late_work[SERVICE]
        later = boot_clock.now() + 60.0
        self.assertGreater(late_work.expected_wait_seconds(later), 50.0)
        search.cancel()
        await asyncio.wait([search])
        self.assertEqual(late_work.expected_wait_seconds(later), 0.0)

    # It waited until its caller gave up.
    async def test_late_request_is_refused_when_its_turn_comes_too_late(self):
        late = asyncio.create_task(self.picker.pick(make_request(0.5, 2.0)))
        async with asyncio.timeout(1.3):
            self.assertIsInstance(await late, server_selection.Refuse)


class StarvedClassTest(unittest.IsolatedAsyncioTestCase):
    # All requests of a starved class went before the urgent ones.
    async def test_starved_class_gets_one_turn_at_a_time(self):
        starved_picker = make_picker(FullServersPicker)
        demand = slot_reserves.ServiceDemand()
        starved_picker._prober = types.SimpleNamespace(
            pause_seconds=lambda _: 0.01
        )
        starved_picker._find_demand = lambda request: demand
        now = boot_clock.now()
        urgent, bulk = priorities.Priority(0), priorities.Priority(2)
        for _ in range(10):
            demand.record_end(urgent, now, is_sent=True)
            demand.record_end(bulk, now, is_sent=False)
        line = waiting_lines.WaitingLine()
        starved_picker._lines[SERVICE] = line
        urgent_place = line.join(waiting_order.Rank(urgent))
        request = dataclasses.replace(make_request(0.0, 8.0), priority=bulk)
        searches = [
            asyncio.create_task(starved_picker.pick(request)) for _ in range(2)
        ]
        await asyncio.sleep(0.05)
        self.assertTrue(urgent_place.is_overtaken)
        searches[0].cancel()
        await asyncio.sleep(0.05)
        self.assertFalse(urgent_place.is_overtaken)
        searches[1].cancel()
        await asyncio.gather(*searches, return_exceptions=True)
