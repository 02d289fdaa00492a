import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import probe_budgets
from hyssopwind.core.dispatch import retry_policy

SERVICE = ids.ServiceId("s")
SETTINGS = fleet_retry_budgets.FleetRetrySettings(
    ratio=0.2, window_seconds=10.0, slack=58.0
)


class FleetRetryBudgetTest(unittest.TestCase):
    """Callers of fifteen daemons retry immediately while answers are lost."""

    def test_retries_of_all_daemons_stay_within_fleet_budget(self):
        random_source = random.Random(3)
        budgets = [
            fleet_retry_budgets.FleetRetryBudget(SETTINGS) for _ in range(15)
        ]
        request_times, retry_times = [], []
        for step in range(4_000):
            now = step * 0.01
            budget = random_source.choice(budgets)
            budget.record_request(SERVICE, now)
            request_times.append(now)
            if budget.try_acquire(SERVICE, now, daemon_count=15):
                retry_times.append(now)
        for start in range(30):
            window = (start, start + SETTINGS.window_seconds)
            retry_count = sum(window[0] <= t < window[1] for t in retry_times)
            request_count = sum(
                window[0] <= t < window[1] for t in request_times
            )
            bound = SETTINGS.ratio * request_count + SETTINGS.slack
            self.assertLessEqual(retry_count, bound)

    def test_growing_fleet_lowers_the_budget_of_each_daemon(self):
        single_budget = fleet_retry_budgets.FleetRetryBudget(
            SETTINGS
        ).available_count(SERVICE, 0.0, 1)
        shared_budget = fleet_retry_budgets.FleetRetryBudget(
            SETTINGS
        ).available_count(SERVICE, 0.0, 100)
        self.assertAlmostEqual(single_budget, 100 * shared_budget)


class ProbeBudgetTest(unittest.TestCase):
    """All servers are full, and waiting requests probe repeatedly."""

    def test_probes_of_all_daemons_stay_within_rate_of_each_server(self):
        budgets = [probe_budgets.ProbeBudget(60.0, 0.0) for _ in range(15)]
        probe_count = 0
        seconds = 60
        for step in range(seconds * 40):
            for budget in budgets:
                probe_count += budget.try_acquire(
                    90, server_count=29, daemon_count=15, now=step / 40
                )
        self.assertLessEqual(probe_count / 29 / seconds, 60.0)


class RetryAfterTest(unittest.TestCase):
    def test_retry_times_are_spread_and_within_latency_target(self):
        random_source = random.Random(5)
        times = [
            retry_policy.retry_after_seconds(0.6, random_source.random())
            for _ in range(200)
        ]
        self.assertLess(max(times), 0.6)
        self.assertGreater(max(times) - min(times), 0.15)
