"""Oracles of the soak, its plans, and a short seeded soak."""

import asyncio
import itertools
import pathlib
import tempfile
import unittest

from hyssopwind.standins.stops import crowds
from hyssopwind.standins.stops import judging
from hyssopwind.standins.stops import oracles
from hyssopwind.standins.stops import plans
from hyssopwind.standins.stops import records
from hyssopwind.standins.stops import soak

RUNS_ALONE = True  # real sockets and times

SEEDS = (1, 3)
SENT_AT = 100.0


def make_judged(caller=None, arrivals=(), verdict=judging.Verdict.ANSWERED):
    values = {
        "request_id": "r",
        "kind": plans.BOOK,
        "gateway": 0,
        "connection": 1,
        "requests_ahead": 0,
        "sent_first_at": SENT_AT,
        "sent_last_at": SENT_AT,
        "ended_at": SENT_AT + 0.3,
        "ending": records.Ending.WHOLE,
        "status": 200,
        "is_stamped": True,
    }
    record = records.CallerRecord(**{**values, **(caller or {})})
    return judging.Judged(record, tuple(arrivals), verdict, None)


def make_arrival(server="i-0", began_at=SENT_AT + 0.1):
    return records.ServerRecord(
        "r", server, SENT_AT + 0.1, began_at, SENT_AT + 0.2
    )


def make_run(*judged, **changes):
    values = {
        "judged": judged,
        "timelines": (records.GatewayTimeline(started_at=[10.0]),),
        "world": records.WorldTimeline(confirmed=[(20.0, 0)]),
        "service_of": {"i-0": 0, "i-1": 1},
        "bounds": judging.Bounds(),
    }
    return oracles.RunRecords(**{**values, **changes})


class OracleTest(unittest.TestCase):
    def check(self, rules, evidence):
        self.assertEqual(set(oracles.find_breaches(evidence)), set(rules))

    def test_answered_request_breaks_nothing(self):
        self.check([], make_run(make_judged(arrivals=[make_arrival()])))

    def test_lost_request_is_found(self):
        lost = make_judged(
            {"status": 0, "is_stamped": False}, verdict=judging.Verdict.LOST
        )
        self.check(["LOST", "RECOVER"], make_run(lost))

    def test_unsafe_request_that_runs_twice_is_found(self):
        arrivals = [make_arrival(), make_arrival()]
        self.check(["TWICE"], make_run(make_judged(arrivals=arrivals)))
        safe = make_judged({"kind": plans.BROWSE}, arrivals)
        self.check([], make_run(safe))

    def test_untrue_refusal_is_found(self):
        caller = {"status": 503, "is_stamped": False}
        refused = make_judged(caller, [make_arrival()])
        self.check(["REFUSED", "RECOVER"], make_run(refused))
        # A server that rejects a request does not begin to run it.
        rejected = make_judged(caller, [make_arrival(began_at=None)])
        self.check(["RECOVER"], make_run(rejected))

    def test_answer_of_another_request_is_found(self):
        foreign = make_judged({"foreign_id": "other"}, [make_arrival()])
        self.check(["MIXED"], make_run(foreign))

    def test_success_that_no_server_gave_is_found(self):
        self.check(["MIXED"], make_run(make_judged()))

    def test_process_that_ends_by_itself_is_found(self):
        self.check(["OWN-END"], make_run(crashes=((0, 1),)))

    def test_run_at_the_service_of_an_older_version_is_found(self):
        judged = make_judged(arrivals=[make_arrival("i-1")])
        self.check(["CONFIG"], make_run(judged))
        # Until the bound has passed, both services are allowed.
        recent = records.WorldTimeline(
            confirmed=[(20.0, 1), (SENT_AT - 1.9, 0)]
        )
        self.check([], make_run(judged, world=recent))
        late = records.WorldTimeline(confirmed=[(20.0, 1), (SENT_AT - 2.1, 0)])
        self.check(["CONFIG"], make_run(judged, world=late))

    def test_route_that_is_there_and_not_found_is_found(self):
        missing = make_judged({"status": 404, "is_stamped": False})
        self.check(["CONFIG", "RECOVER"], make_run(missing))

    def test_impairment_excuses_an_older_version(self):
        judged = make_judged(arrivals=[make_arrival("i-1")])
        frozen = records.GatewayTimeline(
            started_at=[10.0], impaired=[(SENT_AT - 5.0, SENT_AT - 2.0)]
        )
        self.check([], make_run(judged, timelines=(frozen,)))
        silent = records.WorldTimeline(
            confirmed=[(20.0, 0)],
            disturbed=[(SENT_AT - 5.0, SENT_AT - 2.9)],
        )
        self.check([], make_run(judged, world=silent))

    def test_fleet_that_does_not_recover_is_found(self):
        refused = make_judged({"status": 502, "is_stamped": False})
        self.check(["RECOVER"], make_run(refused))


class PlanTest(unittest.TestCase):
    def test_seed_determines_the_plan(self):
        self.assertEqual(soak.draw(7), soak.draw(7))
        self.assertNotEqual(soak.draw(7), soak.draw(8))

    def test_plan_can_be_run_again_from_its_text(self):
        plan = soak.draw(7)
        self.assertEqual(soak.decode_plan(soak.encode_plan(plan)), plan)

    # A kind or a listener that is never drawn is never tested.
    def test_each_crowd_is_drawn_at_each_listener(self):
        drawn = {
            (crowd.kind, crowd.listener)
            for seed in range(1, 60)
            for crowd in soak.draw(seed).crowds
        }
        self.assertEqual(
            drawn,
            set(itertools.product(plans.CrowdKind, plans.Listener)),
        )

    def test_crowd_stops_short_or_pipelines_or_sends_nothing(self):
        data = {kind: crowds.make_data(kind) for kind in plans.CrowdKind}
        head, _, body = data[plans.CrowdKind.SHORT_BODIES].partition(
            b"\r\n\r\n"
        )
        declared = int(head.rpartition(b" ")[2])
        self.assertEqual(len(body), declared - crowds.MISSING_BYTES)
        pipeline = data[plans.CrowdKind.UNREAD_PIPELINES]
        self.assertEqual(pipeline.count(b"GET "), crowds.PIPELINED_REQUESTS)
        self.assertEqual(data[plans.CrowdKind.SILENT], b"")

    def test_shrinking_keeps_the_fault_that_breaks_the_rule(self):
        plan = soak.draw(7)
        needed = plan.world_actions[0]

        async def run(tried):
            broken = {"CONFIG": ["x"]} if needed in tried.world_actions else {}
            return soak.Summary(1, broken, 0.0, pathlib.Path("."))

        runner = soak.Soak(pathlib.Path("."), 1)
        self.addCleanup(runner.close)
        runner.run = run
        smaller = asyncio.run(runner.shrink(plan, "CONFIG"))
        self.assertEqual(smaller.actions, ())
        self.assertIn(needed, smaller.world_actions)
        self.assertLess(len(smaller.world_actions), len(plan.world_actions))


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Faults that overlap, on real gateways; two seeds at the same time."""

    async def test_overlapping_faults_break_no_rule(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        runner = soak.Soak(pathlib.Path(directory.name), len(SEEDS))
        self.addCleanup(runner.close)
        await runner.build()
        summaries = await asyncio.gather(
            *(runner.run(soak.draw(seed)) for seed in SEEDS)
        )
        for summary in summaries:
            self.assertEqual(summary.breaches, {}, summary)
            self.assertGreater(summary.request_count, 500)


if __name__ == "__main__":
    unittest.main()
