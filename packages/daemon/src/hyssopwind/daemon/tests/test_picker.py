import asyncio
import dataclasses
import random
import types
import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import server_selection
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


class ReturnedRequestTest(unittest.IsolatedAsyncioTestCase):
    # A returned request waited until near its deadline for a full service.
    async def test_request_whose_target_is_lost_is_refused(self):
        health = types.SimpleNamespace(expected_work_seconds=lambda _: 0.1)
        full_picker = FullServersPicker(
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
        full_picker._lines[SERVICE] = FullLine()
        now = boot_clock.now()
        parts = (tables.WeightedService(SERVICE, 1.0),)
        route = tables.Route("r", "h", "/", True, 9.0, 0.3, 0, 2, parts)
        request = picker.SelectionRequest(
            route, SERVICE, now - 0.5, now + 8.0, frozenset(), True
        )
        persistent = dataclasses.replace(request, persists=True)
        async with asyncio.timeout(0.5):
            decision = await full_picker.pick(persistent)
        self.assertIsInstance(decision, server_selection.Refuse)
