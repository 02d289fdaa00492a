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
        # The next call ends sooner, so that the age stays within its limit.
        self.assertAlmostEqual(reader._watch_wait_seconds(), 0.3)


if __name__ == "__main__":
    unittest.main()
