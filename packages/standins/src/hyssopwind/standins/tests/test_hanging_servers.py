"""Servers that never answer what they cannot queue, in virtual time."""

import functools
import unittest

from hyssopwind.standins.hangs import judging as hang_judging
from hyssopwind.standins.hangs import scenarios
from hyssopwind.standins.partitions import fleet
from hyssopwind.standins.partitions import judging

SEEDS = (1, 2, 3)
SERVICE = "s0"
# Requests that a server may ignore before no daemon uses it any more.
HANDFUL = 6
# Time from the end of a hang in which all callers are served again.
RECOVERY_SECONDS = 1.0
MIN_IN_TARGET_RATIO = 0.95
TRAFFIC_STARTS_AT = fleet.START_SECONDS + fleet.STARTUP_SECONDS
SERVICE_CAPACITY = (
    fleet.SERVERS_PER_SERVICE
    * fleet.servers.SLOTS
    / fleet.servers.MEDIAN_WORK_SECONDS
)


@functools.cache
def run_scenario(name, seed):
    return fleet.run_in_virtual_time(scenarios.SCENARIOS.find(name)(), seed)


def run_all(names=tuple(scenarios.SCENARIOS)):
    for name in names:
        for seed in SEEDS:
            yield f"{name}, seed {seed}", run_scenario(name, seed)


class FullServerTest(unittest.TestCase):
    """Daemons choose at the same moment and see only each other's results."""

    # Daemons chose by loads that were some milliseconds old.
    def test_herd_that_fits_the_queues_hangs_nothing(self):
        for title, evidence in run_all(["herd"]):
            with self.subTest(title):
                self.assertEqual(hang_judging.count_hung(evidence), 0)

    # Daemons whose probe budget was spent took all servers for idle.
    def test_burst_beyond_capacity_hangs_nothing(self):
        for title, evidence in run_all(["burst"]):
            with self.subTest(title):
                self.assertEqual(hang_judging.count_hung(evidence), 0)

    def test_burst_beyond_capacity_is_refused_early(self):
        for title, evidence in run_all(["burst"]):
            with self.subTest(title):
                held = hang_judging.refusal_seconds(evidence)
                self.assertGreater(len(held), 100)
                self.assertLessEqual(
                    judging.percentile(held, 0.95),
                    judging.FREE_HOLD_RATIO * evidence.latency_target_seconds,
                )

    def test_burst_beyond_capacity_uses_the_capacity(self):
        for title, evidence in run_all(["burst"]):
            with self.subTest(title):
                starts_at = TRAFFIC_STARTS_AT + scenarios.BURST_STARTS_AT + 1.0
                ends_at = TRAFFIC_STARTS_AT + scenarios.BURST_ENDS_AT
                served_count = sum(
                    attempt.is_served
                    and attempt.service == SERVICE
                    and starts_at <= attempt.ended_at < ends_at
                    for attempt in evidence.attempts.values()
                )
                self.assertGreaterEqual(
                    served_count / (ends_at - starts_at), 0.7 * SERVICE_CAPACITY
                )


class HungServerTest(unittest.TestCase):
    """Servers ignore requests for some time; their health is good."""

    # Its load showed no request, so that it was preferred.
    def test_server_that_hangs_gets_a_handful_of_requests(self):
        for title, evidence in run_all(["one server hangs"]):
            with self.subTest(title):
                self.assertLessEqual(hang_judging.count_hung(evidence), HANDFUL)

    def test_callers_are_served_in_target_while_a_server_hangs(self):
        for title, evidence in run_all(["one server hangs"]):
            with self.subTest(title):
                ratio = hang_judging.in_target_ratio(
                    evidence,
                    fleet.HANGING_SERVICE,
                    TRAFFIC_STARTS_AT + scenarios.HANG_STARTS_AT,
                    TRAFFIC_STARTS_AT + scenarios.HANG_ENDS_AT,
                )
                self.assertGreaterEqual(ratio, MIN_IN_TARGET_RATIO)

    # Ejections and penalties outlasted the hang.
    def test_service_is_served_within_a_second_after_all_servers_hung(self):
        for title, evidence in run_all(["all servers hang"]):
            with self.subTest(title):
                recovered_at = (
                    TRAFFIC_STARTS_AT
                    + scenarios.HANG_ENDS_AT
                    + RECOVERY_SECONDS
                )
                ratio = hang_judging.in_target_ratio(
                    evidence,
                    fleet.HANGING_SERVICE,
                    recovered_at,
                    recovered_at + 3.0,
                )
                self.assertGreaterEqual(ratio, MIN_IN_TARGET_RATIO)

    def test_hung_service_is_not_taken_for_a_cut(self):
        for title, evidence in run_all(["all servers hang"]):
            with self.subTest(title):
                self.assertEqual(evidence.forwards, [])


class SafetyTest(unittest.TestCase):
    """What holds for servers that refuse holds for servers that hang."""

    def test_unsafe_requests_run_at_most_once(self):
        for title, evidence in run_all():
            with self.subTest(title):
                self.assertEqual(judging.find_repeated_runs(evidence), [])

    def test_refused_requests_have_not_run(self):
        for title, evidence in run_all():
            with self.subTest(title):
                self.assertEqual(judging.find_broken_promises(evidence), [])

    def test_requests_reach_no_more_servers_than_the_route_allows(self):
        for title, evidence in run_all():
            with self.subTest(title):
                self.assertEqual(judging.find_excess_attempts(evidence), [])

    # A request that hung may have run, as far as its daemon knows.
    def test_hung_unsafe_requests_are_not_said_to_be_refused(self):
        for title, evidence in run_all(
            ["one server hangs", "all servers hang"]
        ):
            hung_ids = {
                each.request_id for each in evidence.arrivals if each.has_hung
            }
            for request_id in hung_ids:
                attempt = evidence.attempts[request_id]
                if attempt.is_safe:
                    continue
                with self.subTest(title, request=request_id):
                    self.assertNotIn(attempt.status, judging.PROMISES)

    def test_requests_end_at_their_deadlines_at_the_latest(self):
        for title, evidence in run_all():
            for attempt in evidence.attempts.values():
                if attempt.status is None:
                    continue
                with self.subTest(title, request=attempt.request_id):
                    self.assertLessEqual(
                        attempt.ended_at, attempt.deadline + 0.05
                    )

    def test_daemons_have_no_unexpected_exceptions(self):
        for title, evidence in run_all():
            with self.subTest(title):
                self.assertEqual(evidence.defects, [])
