import asyncio
import unittest

from reactivex import subject

from hyssopwind.daemon import streams
from hyssopwind.daemon import supervision


class SupervisionTest(unittest.IsolatedAsyncioTestCase):
    # The failure of one background task ended the process.
    async def test_task_that_fails_runs_again(self):
        runs = []
        failures = []

        async def run():
            runs.append(None)
            if len(runs) < 5:
                raise RecursionError("deep")

        await asyncio.wait_for(
            supervision.supervise(
                "test",
                run,
                on_failure=lambda: failures.append(None),
                restart_seconds=0.0,
            ),
            5.0,
        )
        self.assertEqual((len(runs), len(failures)), (5, 4))

    async def test_cancelled_task_ends(self):
        task = asyncio.create_task(
            supervision.supervise("test", asyncio.Event().wait)
        )
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


class StreamTest(unittest.TestCase):
    # The subscription ended, so that a daemon followed the list no longer.
    def test_handler_gets_the_items_behind_one_at_which_it_failed(self):
        source = subject.Subject()
        handled = []
        failures = []

        def handle(item):
            if item == 2:
                raise RecursionError("deep")
            handled.append(item)

        streams.subscribe(source, handle, lambda: failures.append(None))
        for item in (1, 2, 3):
            source.on_next(item)
        self.assertEqual((handled, len(failures)), ([1, 3], 1))


if __name__ == "__main__":
    unittest.main()
