import asyncio
import pathlib
import random
import statistics
import unittest

from hyssopwind.standins.virtual import callers
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import sessions
from hyssopwind.standins.virtual import world

GOLDEN = pathlib.Path(__file__).parent / "golden"


class GoldenTest(unittest.TestCase):
    maxDiff = None

    def test_sessions_take_their_recorded_course(self):
        for name in sessions.SESSIONS:
            with self.subTest(session=name):
                path = GOLDEN / f"{name}.jsonl"
                self.assertEqual(
                    sessions.render(name), path.read_text(encoding="utf-8")
                )


class LeavingServerTest(unittest.TestCase):
    def test_leaving_server_gets_no_new_work(self):
        arrivals, left = loop.run_virtual(self.leave())
        self.assertGreater(sum(time < left for time in arrivals), 10)
        self.assertEqual([t for t in arrivals if t > left + 3.0], [])

    async def leave(self):
        target = world.World(world.WorldModel(), seed=5)
        await target.start()
        caller = callers.VirtualCaller(target, random.Random(5))
        server = target.servers["ledger-chicago-1"]
        left = float("inf")
        for number in range(600):
            await caller.get(sessions.PATH)
            if number == 200:
                target.set_leaving([server.server])
                left = asyncio.get_running_loop().time()
        return server.arrivals, left


class MorningTest(unittest.TestCase):
    """A data centre leaves and returns at 60% load."""

    SEEDS = (7, 8, 9)

    @classmethod
    def setUpClass(cls):
        cls.plain = cls.run_mornings(crash=False)
        cls.crashed = cls.run_mornings(crash=True)

    @classmethod
    def run_mornings(cls, crash):
        results = []
        for seed in cls.SEEDS:
            plan = sessions.MorningPlan(seed=seed, crash=crash)
            morning = sessions.run_morning(plan, sessions.Recorder())
            results.append(loop.run_virtual(morning))
        return results

    def test_callers_are_served_while_a_data_centre_moves(self):
        results = self.plain
        for result in results:
            self.assertEqual(result.late_work, 0)
            self.assertEqual(result.breaches, ())
        answered = sum(r.answered for r in results)
        calls = sum(r.calls for r in results)
        self.assertGreaterEqual(answered / calls, 0.999)

    def test_tail_is_at_most_twice_the_quiet_one(self):
        results = self.plain
        ratio = statistics.median(r.move_p99 / r.quiet_p99 for r in results)
        self.assertLessEqual(ratio, 2.0)

    def test_callers_are_served_though_a_server_fails_meanwhile(self):
        results = self.crashed
        answered = sum(r.answered for r in results)
        calls = sum(r.calls for r in results)
        self.assertGreaterEqual(answered / calls, 0.999)
        self.assertEqual(sum(r.late_work for r in results), 0)

    def test_tail_is_at_most_twice_though_a_server_fails_meanwhile(self):
        results = self.crashed
        ratio = statistics.median(r.move_p99 / r.quiet_p99 for r in results)
        self.assertLessEqual(ratio, 2.0)


if __name__ == "__main__":
    unittest.main()
