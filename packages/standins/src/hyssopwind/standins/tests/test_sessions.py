import asyncio
import pathlib
import random
import statistics
import unittest

from hyssopwind.standins.virtual import callers
from hyssopwind.standins.virtual import fleet_simulation
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import sessions

GOLDEN = pathlib.Path(__file__).parent / "golden"


class GoldenTest(unittest.TestCase):
    maxDiff = None

    def test_sessions_record_their_golden_events(self):
        for name in sessions.SESSIONS:
            with self.subTest(session=name):
                path = GOLDEN / f"{name}.jsonl"
                self.assertEqual(
                    sessions.render(name), path.read_text(encoding="utf-8")
                )


class LeavingServerTest(unittest.TestCase):
    def test_leaving_server_gets_no_new_requests(self):
        arrivals, leaving_since = loop.run_virtual(self.publish_as_leaving())
        self.assertGreater(sum(time < leaving_since for time in arrivals), 10)
        self.assertEqual([t for t in arrivals if t > leaving_since + 3.0], [])

    async def publish_as_leaving(self):
        simulation = fleet_simulation.Simulation(
            fleet_simulation.SimulationModel(), seed=5
        )
        await simulation.start()
        caller = callers.VirtualCaller(simulation, random.Random(5))
        server = simulation.servers["ledger-chicago-1"]
        leaving_since = float("inf")
        for number in range(600):
            await caller.get(sessions.PATH)
            if number == 200:
                simulation.set_leaving_vms([server.server_id])
                leaving_since = asyncio.get_running_loop().time()
        return server.arrival_times, leaving_since


class EvacuationTest(unittest.TestCase):
    """A data centre is evacuated and brought back at 60% load."""

    SEEDS = (7, 8, 9)

    @classmethod
    def setUpClass(cls):
        cls.results = cls.run_evacuations(has_server_crash=False)
        cls.crash_results = cls.run_evacuations(has_server_crash=True)

    @classmethod
    def run_evacuations(cls, has_server_crash):
        results = []
        for seed in cls.SEEDS:
            plan = sessions.EvacuationPlan(
                seed=seed, has_server_crash=has_server_crash
            )
            evacuation = sessions.run_evacuation(plan, sessions.Recorder())
            results.append(loop.run_virtual(evacuation))
        return results

    def test_callers_are_served_during_an_evacuation(self):
        results = self.results
        for result in results:
            self.assertEqual(result.late_request_count, 0)
            self.assertEqual(result.breaches, ())
        answered = sum(r.answered_count for r in results)
        call_count = sum(r.call_count for r in results)
        self.assertGreaterEqual(answered / call_count, 0.999)

    def test_tail_is_at_most_doubled_during_an_evacuation(self):
        results = self.results
        ratio = statistics.median(
            r.evacuation_p99_seconds / r.before_p99_seconds for r in results
        )
        self.assertLessEqual(ratio, 2.0)

    def test_callers_are_served_when_a_server_also_crashes(self):
        results = self.crash_results
        answered = sum(r.answered_count for r in results)
        call_count = sum(r.call_count for r in results)
        self.assertGreaterEqual(answered / call_count, 0.999)
        self.assertEqual(sum(r.late_request_count for r in results), 0)

    def test_tail_is_at_most_doubled_when_a_server_also_crashes(self):
        results = self.crash_results
        ratio = statistics.median(
            r.evacuation_p99_seconds / r.before_p99_seconds for r in results
        )
        self.assertLessEqual(ratio, 2.0)


if __name__ == "__main__":
    unittest.main()
