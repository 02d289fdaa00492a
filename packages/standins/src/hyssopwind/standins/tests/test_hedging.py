import asyncio
import random
import unittest

from hyssopwind.core import outcomes
from hyssopwind.standins.virtual import callers
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import world

PATH = "/team/ledger/item"
CALLS = 60


async def call_beside_a_stuck_server(extra):
    model = world.WorldModel(
        data_centres=("only",),
        daemons=1,
        servers_per_pool=3,
        services={"ledger": extra},
    )
    target = world.World(model, seed=3)
    await target.start()
    caller = callers.VirtualCaller(target, random.Random(3))
    for _ in range(CALLS):
        await caller.get(PATH)
    target.servers["ledger-only-1"].slow_factor = 1000.0
    told = []
    for _ in range(CALLS):
        told.append(await caller.get(PATH))
        await asyncio.sleep(0.05)
    return told, sum(len(s.arrivals) for s in target.servers.values())


class HedgingTest(unittest.TestCase):
    def test_second_attempt_answers_beside_a_stuck_server(self):
        extra = 'retries = { hedge_after = "60ms", ratio = 1.0 }'
        told, _ = loop.run_virtual(call_beside_a_stuck_server(extra))
        for item in told:
            self.assertIsInstance(item.outcome, outcomes.Answered)
            self.assertLess(item.heard - item.sent, 0.5)

    def test_without_hedging_a_call_waits_for_the_stuck_server(self):
        told, _ = loop.run_virtual(call_beside_a_stuck_server(""))
        self.assertGreater(max(t.heard - t.sent for t in told), 0.5)

    def test_hedging_stays_within_the_retry_budget(self):
        extra = (
            'retries = { hedge_after = "1us", ratio = 0.0, minimum = "0/s" }'
        )
        _, arrivals = loop.run_virtual(call_beside_a_stuck_server(extra))
        self.assertLessEqual(arrivals, 2 * CALLS + 10)


if __name__ == "__main__":
    unittest.main()
