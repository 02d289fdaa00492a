"""Fleets whose servers state limits: in virtual time and as real processes."""

import asyncio
import dataclasses
import functools
import pathlib
import tempfile
import time
import unittest

from hyssopwind.daemon.gateway import permits
from hyssopwind.standins.limits import judging
from hyssopwind.standins.limits import rig
from hyssopwind.standins.limits import scenarios
from hyssopwind.standins.stops import rig as stop_rig
from hyssopwind.standins.tests import site_gateway_case
from hyssopwind.standins.virtual import limited_fleet

# Scenarios in which the demand for the limited servers lasts throughout.
DEMAND_SCENARIOS = (
    "fraction",
    "under one a second",
    "falling and rising",
    "one server",
    "all but one",
    "whole service",
    "whole service, one busy daemon",
    "one busy daemon",
    "stated to probes",
    "stated to requests",
    "unsafe requests",
)
MIN_USE_RATIO = 0.8
# Scenario and number of daemons of each run with real processes.
PROCESS_RUNS = (("faults", 6), ("whole service", 15), ("one busy daemon", 6))


@functools.cache
def run_scenario(
    name, size=limited_fleet.SMALL, seed=1, registry=scenarios.SCENARIOS
):
    scenario = registry.find(name)()
    return limited_fleet.run_in_virtual_time(scenario, size, seed)


class LimitCase(unittest.TestCase):
    def check_limits(self, evidence):
        self.assertEqual(judging.find_breaches(evidence), [])
        for use in judging.measure_use(evidence):
            self.assertLessEqual(
                use.count, use.allowed + judging.ALLOWED_SLACK, use
            )

    def check_use(self, evidence):
        uses = judging.measure_use(evidence)
        self.assertGreaterEqual(judging.total_use_ratio(uses), MIN_USE_RATIO)


class JudgingTest(unittest.TestCase):
    """An oracle that reports nothing, or everything, would prove nothing."""

    def make_evidence(self, interval, told_at=0.0):
        evidence = judging.Evidence(ended_at=20.0)
        evidence.limits["i-0"] = [judging.LimitStep(0.0, 1.0)]
        evidence.told["i-0", "d"] = [told_at]
        evidence.arrivals = [
            judging.Arrival(number * interval, "d", "i-0")
            for number in range(int(20.0 / interval))
        ]
        return evidence

    def test_rate_at_the_limit_is_no_breach(self):
        self.assertEqual(judging.find_breaches(self.make_evidence(1.0)), [])

    def test_rate_of_three_times_the_limit_is_a_breach(self):
        self.assertEqual(len(judging.find_breaches(self.make_evidence(0.3))), 1)

    def test_daemon_that_was_not_told_breaks_nothing(self):
        evidence = self.make_evidence(0.3, told_at=30.0)
        self.assertEqual(judging.find_breaches(evidence), [])

    def test_frozen_daemon_is_excused(self):
        evidence = self.make_evidence(0.3)
        evidence.excused["d"] = [(0.0, 20.0)]
        self.assertEqual(judging.find_breaches(evidence), [])

    def test_arrivals_of_all_daemons_count(self):
        evidence = self.make_evidence(0.6)
        evidence.told["i-0", "e"] = [0.0]
        evidence.arrivals += [
            judging.Arrival(each.at + 0.1, "e", "i-0")
            for each in evidence.arrivals
        ]
        self.assertEqual(len(judging.find_breaches(evidence)), 1)


class VirtualFleetLimitTest(LimitCase):
    """A server in need gets more requests than it takes from all daemons."""

    # Each daemon kept a limit for itself, or did not read it.
    def test_no_server_gets_more_than_its_limit_in_any_scenario(self):
        for name in scenarios.SCENARIOS:
            with self.subTest(name):
                self.check_limits(run_scenario(name).evidence)

    # With equal shares a busy daemon leaves its servers unused.
    def test_servers_are_used_up_to_their_limits_while_there_is_demand(self):
        for name in DEMAND_SCENARIOS:
            with self.subTest(name):
                self.check_use(run_scenario(name).evidence)

    # Each daemon holds a sixth of a limit, and may have all of the load.
    def test_limits_hold_and_are_used_by_six_daemons(self):
        # With few limited servers, the two daemons of a data centre may prefer
        # the others for seconds.
        for name in (
            "under one a second",
            "all but one",
            "whole service",
            "whole service, one busy daemon",
            "one busy daemon",
            "unsafe requests",
        ):
            with self.subTest(name):
                evidence = run_scenario(name, limited_fleet.TINY).evidence
                self.check_limits(evidence)
                self.check_use(evidence)

    # A failure could not be played again: sets of tasks ordered the servers.
    def test_seed_decides_all_arrivals(self):
        scenario = scenarios.SCENARIOS.find("hedges and retries")()
        first, second = (
            limited_fleet.run_in_virtual_time(scenario, limited_fleet.TINY, 7)
            for _ in range(2)
        )
        self.assertEqual(first.evidence.arrivals, second.evidence.arrivals)

    # Shares of a hundredth of a request per second do not add up.
    def test_limits_hold_and_are_used_by_a_hundred_daemons(self):
        for name in ("whole service", "under one a second"):
            with self.subTest(name):
                evidence = run_scenario(name, limited_fleet.LARGE).evidence
                self.check_limits(evidence)
                self.check_use(evidence)


class WithdrawalTest(unittest.TestCase):
    """Servers that leave or want quiet go on getting requests."""

    # The fields in which servers say so were not read.
    def test_no_server_gets_requests_after_it_asked_for_none(self):
        for name in scenarios.WITHDRAWALS:
            with self.subTest(name):
                fleet = run_scenario(name, registry=scenarios.WITHDRAWALS)
                late = judging.find_requests_after_leaving(fleet.evidence, 0.5)
                self.assertEqual(late, [])
                broken = judging.find_broken_quiets(fleet.evidence)
                self.assertEqual(broken, [])

    # A daemon that had heard of a leaving server restarted, and used it again.
    def test_restarted_daemon_hears_of_leaving_servers_from_its_peers(self):
        scenario = dataclasses.replace(
            scenarios.WITHDRAWALS.find("some leave")(),
            reports_load=False,
            faults=(
                scenarios.FaultStep(10.0, scenarios.Fault.KILL, 4),
                scenarios.FaultStep(11.0, scenarios.Fault.START, 4),
            ),
        )
        fleet = limited_fleet.run_in_virtual_time(
            scenario, limited_fleet.SMALL, 1
        )
        restarted = fleet.daemons["10.0.0.5"]
        leaving = {s.id for s in fleet.servers if s.is_limited}
        heard = {i.split("@")[0] for i in restarted.leaving_servers()}
        self.assertEqual(heard, leaving)
        started_at = fleet.evidence.excused[restarted.options.name][0][1]
        late = [
            arrival
            for arrival in fleet.evidence.arrivals
            if arrival.daemon == restarted.options.name
            and arrival.server in leaving
            and arrival.at > started_at + 1.0
        ]
        self.assertEqual(late, [])

    # Callers that are refused because of quiet come back when it ends.
    def test_callers_are_refused_at_once_with_the_end_of_the_quiet(self):
        fleet = run_scenario("all want quiet", registry=scenarios.WITHDRAWALS)
        refusals = [
            answer
            for answer in fleet.caller_answers
            if answer.retry_after_seconds is not None
        ]
        self.assertGreater(len(refusals), 100)
        prompt = [each for each in refusals if each.latency_seconds < 0.1]
        self.assertGreaterEqual(len(prompt), 0.9 * len(refusals))


class LoneDaemonTest(site_gateway_case.GatewayTestCase):
    """A daemon has no peers, so that it issues its own permits."""

    RUNS_ALONE = True

    async def state_limits(self, limit):
        for stand_in in self.servers:
            stand_in.options.limit = limit
        await self.call("/safe/a", request_id="first")
        await asyncio.sleep(permits.MIN_ISSUER_AGE_SECONDS)
        # The permits of a new limit begin with the first demand.
        await self.call("/safe/a", request_id="second")
        await asyncio.sleep(1.0)

    # The daemon denied itself permits without a wait, and tried again at once.
    async def test_requests_in_a_stop_get_permits_without_busy_waiting(self):
        await self.state_limits("5")
        self.daemon._request_path.permits.announce_stop()
        started_at = time.process_time()
        results = await asyncio.gather(
            *(self.call("/safe/a", request_id=f"r{n}") for n in range(12))
        )
        self.assertLess(time.process_time() - started_at, 0.5)
        statuses = [status for status, _, _ in results]
        self.assertGreaterEqual(statuses.count(200), 2)
        self.assertEqual(statuses.count(200) + statuses.count(503), 12)
        for status, headers, _ in results:
            if status == 503:
                self.assertGreater(float(headers["retry-after"]), 0.0)


class ProcessLimitTest(LimitCase):
    """A server in need gets more requests than it takes from real daemons."""

    RUNS_ALONE = True

    @classmethod
    def setUpClass(cls):
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.directory = pathlib.Path(directory.name)
        cls.evidence = asyncio.run(cls.run_all())

    @classmethod
    async def run_all(cls):
        await stop_rig.build(cls.directory / "build")
        results = await asyncio.gather(
            *(cls.run_one(name, count) for name, count in PROCESS_RUNS)
        )
        return dict(zip(PROCESS_RUNS, results, strict=True))

    @classmethod
    async def run_one(cls, name, count):
        logs = cls.directory / f"{count}-{name}"
        logs.mkdir()
        scenario = scenarios.PROCESS_SCENARIOS.find(name)()
        return await rig.run(scenario, count, 1, cls.directory / "build", logs)

    # Permits are issued twice, or the owner of the permits is gone for good.
    def test_limits_hold_while_six_daemons_are_killed_and_frozen(self):
        self.check_limits(self.evidence["faults", 6])

    # Callers come back together to servers that have no permits.
    def test_limits_of_a_whole_service_hold_and_are_used_by_fifteen(self):
        evidence = self.evidence["whole service", 15]
        self.check_limits(evidence)
        self.check_use(evidence)

    # The busy daemon has no more than its own share of the limits.
    def test_limits_hold_and_are_used_by_one_busy_daemon_of_six(self):
        evidence = self.evidence["one busy daemon", 6]
        self.check_limits(evidence)
        self.check_use(evidence)
