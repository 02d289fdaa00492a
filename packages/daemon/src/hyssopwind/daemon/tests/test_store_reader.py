import asyncio
import unittest
from unittest import mock

from hyssopwind.core.discovery import items
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.daemon.gateway import store_reader
from hyssopwind.transport import boot_clock

RUNS_ALONE = True  # real sockets and times


class LongAnswerTest(unittest.IsolatedAsyncioTestCase):
    # The age of a replica left out the time for which the changes had been
    # received, so that it counted as newer than it was.
    async def test_age_includes_the_receipt_of_a_long_answer(self):
        platform_state = replicated_state.PlatformState()
        platform_state.apply_delta(items.Delta((), 5, True), 0.0, "store")
        client = mock.Mock(receipt_seconds=0.7)
        client.wait_for_changes = mock.AsyncMock(
            return_value=items.Delta((items.Item("a", b"1", 6),), 6, False)
        )
        reader = store_reader.StoreReader(
            client,
            platform_state,
            lambda: True,
            lambda _: 0.0,
            tuning.StoreReadSettings(),
            mock.Mock(current=mock.Mock(change_bound_seconds=2.0)),
        )
        times = iter([100.0])
        with mock.patch.object(boot_clock, "now", lambda: next(times, 101.5)):
            await reader._read_once()
            self.assertAlmostEqual(platform_state.age_seconds(), 0.95)
        self.assertIsNotNone(reader._next_check_at)
        # The next call ends sooner, so that the age stays within its limit.
        self.assertAlmostEqual(reader._watch_wait_seconds(), 0.3)


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    # A daemon that had read before began its next turn with a listing, which
    # takes a second on a narrow link.
    async def test_reader_that_takes_over_waits_for_changes(self):
        platform_state = replicated_state.PlatformState()
        platform_state.apply_delta(items.Delta((), 5, True), 0.0, "store")
        client = mock.Mock(receipt_seconds=0.0, list_items=mock.AsyncMock())
        client.wait_for_changes = mock.AsyncMock(
            return_value=items.Delta((), 5, False)
        )
        turns = iter([True, False, True])

        def should_read():
            turn = next(turns, None)
            if turn is None:
                raise asyncio.CancelledError
            return turn

        reader = store_reader.StoreReader(
            client,
            platform_state,
            should_read,
            lambda _: 0.0,
            tuning.StoreReadSettings(),
            mock.Mock(current=mock.Mock(change_bound_seconds=2.0)),
        )
        now = 100.0

        def advance():
            nonlocal now
            now += 20.0
            return now

        with (
            mock.patch.object(boot_clock, "now", advance),
            self.assertRaises(asyncio.CancelledError),
        ):
            await reader.run()
        self.assertEqual(client.wait_for_changes.await_count, 2)
        client.list_items.assert_not_awaited()


if __name__ == "__main__":
    unittest.main()
