import asyncio
import random
import unittest

from hyssopwind.core import outcomes
from hyssopwind.standins.virtual import callers
from hyssopwind.standins.virtual import fleet_simulation
from hyssopwind.standins.virtual import loop

PATH = "/team/ledger/item"
CALL_COUNT = 60


async def call_with_stuck_server(service_settings):
    model = fleet_simulation.SimulationModel(
        data_centres=("only",),
        daemons_per_data_centre=1,
        servers_per_pool=3,
        services={"ledger": service_settings},
    )
    simulation = fleet_simulation.Simulation(model, seed=3)
    await simulation.start()
    caller = callers.VirtualCaller(simulation, random.Random(3))
    for _ in range(CALL_COUNT):
        await caller.get(PATH)
    simulation.servers["ledger-only-1"].slow_factor = 1000.0
    results = []
    for _ in range(CALL_COUNT):
        results.append(await caller.get(PATH))
        await asyncio.sleep(0.05)
    return results, sum(
        len(s.arrival_times) for s in simulation.servers.values()
    )


class HedgingTest(unittest.TestCase):
    def test_hedge_answers_when_first_server_is_stuck(self):
        service_settings = 'retries = { hedge_after = "60ms", ratio = 1.0 }'
        results, _ = loop.run_virtual(call_with_stuck_server(service_settings))
        for result in results:
            self.assertIsInstance(result.outcome, outcomes.Answered)
            self.assertLess(result.ended_at - result.sent_at, 0.5)

    def test_call_without_hedging_waits_for_stuck_server(self):
        results, _ = loop.run_virtual(call_with_stuck_server(""))
        self.assertGreater(max(r.ended_at - r.sent_at for r in results), 0.5)

    def test_hedges_stay_within_the_retry_budget(self):
        service_settings = (
            'retries = { hedge_after = "1us", ratio = 0.0, minimum = "0/s" }'
        )
        _, arrival_count = loop.run_virtual(
            call_with_stuck_server(service_settings)
        )
        self.assertLessEqual(arrival_count, 2 * CALL_COUNT + 10)


if __name__ == "__main__":
    unittest.main()
