"""The line of a service, in virtual time."""

import asyncio
import unittest
from unittest import mock

from hyssopwind.core import ids
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import waiting_order
from hyssopwind.daemon.gateway import waiting_lines
from hyssopwind.standins.virtual import loop
from hyssopwind.transport import boot_clock

SERVER = ids.ServerId("i-1")
URGENT = waiting_order.Rank(priorities.Priority(0))
BULK = waiting_order.Rank(priorities.Priority(2))


def run_virtual(make_coroutine):
    async def run():
        event_loop = asyncio.get_running_loop()
        with mock.patch.object(boot_clock, "now", event_loop.time):
            return await make_coroutine(event_loop)

    return loop.run_virtual(run())


class WaitingLineTest(unittest.TestCase):
    def test_answer_of_a_server_wakes_only_the_first_request(self):
        async def run(event_loop):
            line = waiting_lines.WaitingLine()
            first, second = line.join(), line.join()
            event_loop.call_later(0.1, line.handle_answer, SERVER)
            results = await asyncio.gather(first.wait(0.5), second.wait(0.3))
            return results, event_loop.time()

        results, ended_at = run_virtual(run)
        self.assertEqual(results, [SERVER, None])
        self.assertAlmostEqual(ended_at, 0.3)

    def test_next_request_is_woken_when_the_first_leaves(self):
        async def run(event_loop):
            line = waiting_lines.WaitingLine()
            first, second = line.join(), line.join()
            event_loop.call_later(0.1, line.leave, first)
            await second.wait(0.5)
            return event_loop.time(), second.first_since

        ended_at, first_since = run_virtual(run)
        self.assertAlmostEqual(ended_at, 0.1)
        self.assertAlmostEqual(first_since, 0.1)

    def test_request_that_leaves_from_behind_changes_no_head_time(self):
        async def run(event_loop):
            line = waiting_lines.WaitingLine()
            first, second = line.join(), line.join()
            await asyncio.sleep(2.0)
            line.leave(second)
            return line.has_room(0.001), first.first_since

        has_room, first_since = run_virtual(run)
        self.assertTrue(has_room)
        self.assertEqual(first_since, 0.0)

    def test_line_of_slow_heads_has_no_room(self):
        async def run(event_loop):
            line = waiting_lines.WaitingLine()
            for _ in range(5):
                place = line.join()
                await asyncio.sleep(0.3)
                line.leave(place)
            line.join()
            return line.has_room(0.3)

        self.assertFalse(run_virtual(run))

    # The time before a request was overtaken was lost, so that requests joined
    # the line that could not get a server in time.
    def test_head_time_includes_that_before_a_request_was_overtaken(self):
        async def run(event_loop):
            line = waiting_lines.WaitingLine()
            for _ in range(5):
                bulk = line.join(BULK)
                await asyncio.sleep(0.3)
                urgent = line.join(URGENT)
                line.leave(urgent)
                line.leave(bulk)
            return line.has_room(0.3, BULK), line.has_room(0.3, URGENT)

        self.assertEqual(run_virtual(run), (False, True))

    # Urgent requests ahead were taken to find servers as late as bulk, and bulk
    # that was due as early as urgent ones.
    def test_each_request_ahead_counts_with_the_head_time_of_its_class(self):
        async def run(event_loop):
            line = waiting_lines.WaitingLine()
            for _ in range(5):
                for rank, seconds in ((BULK, 0.05), (URGENT, 0.005)):
                    place = line.join(rank)
                    await asyncio.sleep(seconds)
                    line.leave(place)
            for _ in range(5):
                line.join(URGENT)
            return line.has_room(0.2, BULK), line.has_room(0.1, URGENT)

        self.assertEqual(run_virtual(run), (True, True))

    # Urgent requests behind a due one waited beside slots that were left to
    # them.
    def test_urgent_request_goes_first_while_a_due_one_is_held_back(self):
        async def run(event_loop):
            line = waiting_lines.WaitingLine()
            bulk = line.join(BULK)
            urgent = line.join(URGENT)
            while bulk.first_since is None:
                line.leave(urgent)
                urgent = line.join(URGENT)
            line.hold_back(urgent)
            is_first_after_others = bulk.first_since is not None
            line.hold_back(bulk)
            return is_first_after_others, urgent.first_since, bulk.is_overtaken

        self.assertEqual(run_virtual(run), (True, 0.0, True))
