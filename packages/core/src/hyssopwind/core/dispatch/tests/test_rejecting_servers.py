"""All servers of a service reject half of the arrivals."""

import bisect
import collections
import dataclasses
import math
import random
import statistics
import unittest

from hyssopwind.core import ids
from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import retry_reserves

SERVICE = ids.ServiceId("s")
SETTINGS = fleet_retry_budgets.FleetRetrySettings(
    ratio=0.2, window_seconds=10.0, slack=58.0, spent_ratio=0.8
)
URGENT = priorities.Priority(0)
TOLERANT = priorities.Priority(2)
MAX_RETRIES = 2
REJECTING_SINCE = 10.0
REJECTED_RATIO = 0.55
CALM_REJECTED_RATIO = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The requests of all daemons; their rate oscillates."""

    daemon_count: int
    requests_per_daemon_second: float
    urgent_ratio: float = 0.4
    uses_classes: bool = True
    urgent_work_seconds: float = 0.1
    tolerant_work_seconds: float = 0.6
    duration_seconds: float = 40.0


@dataclasses.dataclass(slots=True)
class Result:
    """What a fleet of retry budgets allowed."""

    request_times: list[float] = dataclasses.field(default_factory=list)
    retry_times: list[float] = dataclasses.field(default_factory=list)
    request_counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    served_counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def served_ratio(self, priority):
        return self.served_counts[priority] / self.request_counts[priority]

    def spent_ratios(self, first_start=0.0):
        """Returns what each window spent of the fleet's budget."""
        ratios = []
        first_step = int(10 * first_start)
        for step in range(first_step, int(10 * self.request_times[-1]) - 100):
            counts = []
            for times in (self.request_times, self.retry_times):
                first = bisect.bisect_left(times, step / 10)
                last = bisect.bisect_left(times, step / 10 + 10.0)
                counts.append(last - first)
            allowed = SETTINGS.ratio * counts[0] + SETTINGS.slack
            ratios.append(counts[1] / allowed)
        return ratios

    def highest_spent_ratio(self):
        """Returns the most that any window spent of the fleet's budget."""
        return max(self.spent_ratios())


def run_fleet(load, seed):
    random_source = random.Random(seed)
    budgets = [
        fleet_retry_budgets.FleetRetryBudget(
            SETTINGS, fleet_retry_budgets.rounding_phase(f"d-{number}")
        )
        for number in range(load.daemon_count)
    ]
    result = Result()
    rate = load.daemon_count * load.requests_per_daemon_second
    now = 0.0
    while now < load.duration_seconds:
        oscillation = 1.0 + 0.55 * math.sin(2 * math.pi * now / 13.0)
        now += random_source.expovariate(rate * oscillation)
        is_urgent = random_source.random() < load.urgent_ratio
        budget = random_source.choice(budgets)
        run_request(load, budget, is_urgent, now, result, random_source)
    return result


def run_request(load, budget, is_urgent, now, result, random_source):
    demand = retry_reserves.RetryDemand(
        URGENT if is_urgent else TOLERANT,
        load.urgent_work_seconds if is_urgent else load.tolerant_work_seconds,
    )
    is_rejecting = now >= REJECTING_SINCE
    budget.record_request(
        SERVICE, now, demand.priority, demand.work_seconds, MAX_RETRIES
    )
    result.request_times.append(now)
    result.request_counts[demand.priority] += is_rejecting
    for attempt in range(1 + MAX_RETRIES):
        if attempt > 0:
            if not budget.try_acquire(
                SERVICE,
                now,
                load.daemon_count,
                demand if load.uses_classes else None,
            ):
                return
            result.retry_times.append(now)
        is_rejected = random_source.random() < (
            REJECTED_RATIO if is_rejecting else CALM_REJECTED_RATIO
        )
        budget.record_attempt(SERVICE, has_failed=is_rejected)
        if not is_rejected:
            result.served_counts[demand.priority] += is_rejecting
            return


def run_persistent_fleet(daemon_count, window_request_count):
    """Spends, from the middle of a period on, all retries that are allowed."""
    demand = retry_reserves.RetryDemand(URGENT, 0.1)
    result = Result()
    budgets = [
        fleet_retry_budgets.FleetRetryBudget(
            SETTINGS, fleet_retry_budgets.rounding_phase(f"d-{number}")
        )
        for number in range(daemon_count)
    ]
    window_steps = int(10 * SETTINGS.window_seconds)
    for step in range(4 * window_steps):
        now = step / 10
        for budget in budgets:
            position = step % window_steps * window_request_count
            if position % window_steps < window_request_count:
                is_first = step % window_steps == 0
                priority = TOLERANT if is_first else URGENT
                budget.record_request(SERVICE, now, priority, 0.1, MAX_RETRIES)
                result.request_times.append(now)
            while now >= 15.0 and budget.try_acquire(
                SERVICE, now, daemon_count, demand
            ):
                result.retry_times.append(now)
    return result


def run_insatiable_fleet(daemon_count, requests_per_daemon_second, seed):
    """Spends all retries that less urgent requests are allowed.

    Arrivals are random. The urgent requests are not retried.
    """
    random_source = random.Random(seed)
    demand = retry_reserves.RetryDemand(TOLERANT, 0.6)
    result = Result()
    budgets = [
        fleet_retry_budgets.FleetRetryBudget(
            SETTINGS, fleet_retry_budgets.rounding_phase(f"d-{number}")
        )
        for number in range(daemon_count)
    ]
    for step in range(450):
        now = step / 10
        for budget in budgets:
            if random_source.random() < requests_per_daemon_second / 10:
                is_urgent = random_source.random() < 0.5
                priority = URGENT if is_urgent else TOLERANT
                budget.record_request(
                    SERVICE, now, priority, 0.1, 0 if is_urgent else MAX_RETRIES
                )
                result.request_times.append(now)
            while now >= REJECTING_SINCE and budget.try_acquire(
                SERVICE, now, daemon_count, demand
            ):
                result.retry_times.append(now)
    return result


class RejectingServersTest(unittest.TestCase):
    # The most urgent kind was served as rarely as the others.
    def test_urgent_requests_get_the_retries(self):
        for load in (Load(98, 3.2), Load(98, 1.5), Load(15, 10.0)):
            for seed in (1, 2, 3):
                with self.subTest(load, seed=seed):
                    classes = run_fleet(load, seed)
                    equal = run_fleet(
                        dataclasses.replace(load, uses_classes=False), seed
                    )
                    self.assertGreater(
                        classes.served_ratio(URGENT),
                        equal.served_ratio(URGENT) + 0.05,
                    )
                    # The share of first attempts that are not rejected.
                    self.assertGreater(
                        classes.served_ratio(TOLERANT),
                        1.0 - REJECTED_RATIO - 0.03,
                    )

    # A share below one retry was never used, though the fleet's budget was.
    def test_daemons_with_little_traffic_use_the_budget_of_the_fleet(self):
        load = Load(312, 0.3)
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                classes = run_fleet(load, seed)
                equal = run_fleet(
                    dataclasses.replace(load, uses_classes=False), seed
                )
                self.assertGreater(
                    classes.served_ratio(URGENT),
                    equal.served_ratio(URGENT) + 0.05,
                )

    def test_fleet_stays_within_its_budget(self):
        for load in (
            Load(98, 3.2),
            Load(98, 0.5, urgent_ratio=0.9),
            Load(312, 1.0, urgent_ratio=0.9),
            Load(15, 10.0),
        ):
            for seed in (1, 2):
                with self.subTest(load, seed=seed):
                    result = run_fleet(load, seed)
                    self.assertLessEqual(result.highest_spent_ratio(), 1.0)

    # Rounding up changed with the clock, so that a sliding window over two
    # periods got the rounded-up retries of both.
    def test_trouble_within_a_period_stays_within_the_budget(self):
        for window_request_count in (2, 5, 10):
            with self.subTest(window_request_count):
                result = run_persistent_fleet(100, window_request_count)
                self.assertLessEqual(result.highest_spent_ratio(), 1.0)

    # Daemons with about 10 requests in a window rounded their share of about
    # two retries down for all but the most urgent class.
    def test_less_urgent_requests_of_small_daemons_use_the_budget(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                ratios = run_insatiable_fleet(100, 1.0, seed).spent_ratios(25.0)
                used_ratio = statistics.mean(ratios) / SETTINGS.spent_ratio
                self.assertGreater(used_ratio, 0.93)

    # Shares that are rounded up together could exceed the budget of the fleet.
    def test_random_arrivals_stay_within_the_budget(self):
        for daemon_count in (15, 100, 312):
            for rate in (0.3, 0.6, 1.0, 3.0):
                with self.subTest(daemon_count, rate=rate):
                    result = run_insatiable_fleet(daemon_count, rate, seed=1)
                    self.assertLessEqual(result.highest_spent_ratio(), 1.0)

    # An estimate of work that is wrong by a factor of 5 starved a class.
    def test_wrong_estimates_of_work_starve_no_class(self):
        for urgent_work_seconds in (0.02, 0.5):
            load = Load(98, 3.2, urgent_work_seconds=urgent_work_seconds)
            with self.subTest(load):
                result = run_fleet(load, 1)
                for priority in (URGENT, TOLERANT):
                    self.assertGreater(result.served_ratio(priority), 0.42)


class OneClassTest(unittest.TestCase):
    # Services whose routes have one priority keep their decisions.
    def test_decisions_are_those_of_budgets_without_classes(self):
        for priority_ratio in (0.0, 1.0):
            load = Load(15, 5.0, urgent_ratio=priority_ratio)
            for seed in (1, 2, 3):
                with self.subTest(priority_ratio, seed=seed):
                    result = run_fleet(load, seed)
                    equal = run_fleet(
                        dataclasses.replace(load, uses_classes=False), seed
                    )
                    self.assertEqual(result, equal)

    def test_hedges_of_one_class_are_not_held_back(self):
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS, 0.9)
        for _ in range(10):
            budget.record_request(SERVICE, 0.0, TOLERANT, 0.1, MAX_RETRIES)
            budget.record_attempt(SERVICE, has_failed=True)
        demand = retry_reserves.RetryDemand(
            TOLERANT, 0.1, retry_reserves.RetryKind.HEDGE
        )
        count = 0
        while budget.try_acquire(SERVICE, 0.0, 98, demand):
            count += 1
        self.assertEqual(count, int(0.8 * (0.2 * 10 + 58.0 / 98)))


class HedgeTest(unittest.TestCase):
    # Load: half of the requests are urgent, and no attempt fails. Hedges of the
    # others left a reserve for failures that did not occur.
    def test_less_urgent_hedges_leave_nothing_without_failures(self):
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        for _ in range(20):
            for priority in (URGENT, TOLERANT):
                budget.record_request(SERVICE, 0.0, priority, 0.1, MAX_RETRIES)
                budget.record_attempt(SERVICE, has_failed=False)
        hedge = retry_reserves.RetryDemand(
            TOLERANT, 0.1, retry_reserves.RetryKind.HEDGE
        )
        count = 0
        while budget.try_acquire(SERVICE, 0.0, 98, hedge):
            count += 1
        self.assertEqual(count, int(0.8 * (0.2 * 40 + 58.0 / 98)))

    # Load: servers reject half of the arrivals of urgent requests.
    def test_less_urgent_hedges_leave_what_failures_need(self):
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        budget.record_request(SERVICE, 0.0, TOLERANT, 0.1, 0)
        for number in range(20):
            budget.record_request(SERVICE, 0.0, URGENT, 0.1, MAX_RETRIES)
            budget.record_attempt(SERVICE, has_failed=number % 2 == 0)
        hedge = retry_reserves.RetryDemand(
            TOLERANT, 0.1, retry_reserves.RetryKind.HEDGE, is_caller_retry=True
        )
        self.assertFalse(budget.may_acquire(SERVICE, 0.0, 98, hedge))

    # Hedges spent the budget that rejected requests needed.
    def test_hedges_yield_to_retries_of_all_classes(self):
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        for _ in range(20):
            budget.record_request(SERVICE, 0.0, URGENT, 0.1, MAX_RETRIES)
            budget.record_request(SERVICE, 0.0, TOLERANT, 0.6, MAX_RETRIES)
        hedge = retry_reserves.RetryDemand(
            URGENT, 0.1, retry_reserves.RetryKind.HEDGE
        )
        self.assertTrue(budget.may_acquire(SERVICE, 0.0, 98, hedge))
        for number in range(20):
            budget.record_attempt(SERVICE, has_failed=number % 2 == 0)
        self.assertFalse(budget.may_acquire(SERVICE, 0.0, 98, hedge))
        retry = retry_reserves.RetryDemand(URGENT, 0.1)
        self.assertTrue(budget.may_acquire(SERVICE, 0.0, 98, retry))


class ReturnedCallerTest(unittest.TestCase):
    # Callers that honoured Retry-After were refused a second time.
    def test_returned_request_leaves_a_smaller_reserve(self):
        reserves = retry_reserves.RetryReserves()
        for _ in range(8):
            reserves.record_request(URGENT, 0.1, 1, now=0.0)
        reserves.record_request(TOLERANT, 0.6, 1, now=0.0)
        demand = retry_reserves.RetryDemand(TOLERANT, 0.6)
        returned = dataclasses.replace(demand, is_caller_retry=True)
        self.assertLess(
            reserves.reserved_count(returned), reserves.reserved_count(demand)
        )


class RareUrgentRequestsTest(unittest.TestCase):
    CLASSES = frozenset((URGENT, TOLERANT))

    def make_budget(self):
        """Load: no urgent request for 12 s after some, at rejecting servers."""
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        for second in range(22):
            if second < 10:
                budget.record_request(SERVICE, second, URGENT, 0.1, 2)
            budget.record_request(SERVICE, second, TOLERANT, 0.1, 2)
            budget.record_attempt(SERVICE, has_failed=second % 2 == 0)
        return budget

    # The reserve vanished as soon as the window had no urgent request.
    def test_class_that_was_not_seen_for_a_window_keeps_a_reserve(self):
        demand = retry_reserves.RetryDemand(TOLERANT, 0.1, classes=self.CLASSES)
        reserves = self.make_budget().reserves(SERVICE, 21.5)
        self.assertGreater(reserves.reserved_count(demand), 1.0)
        reserves = self.make_budget().reserves(SERVICE, 200.0)
        self.assertLess(reserves.reserved_count(demand), 0.1)

    # Requests of an earlier priority went on counting as a class.
    def test_class_that_is_not_configured_any_more_has_no_reserve(self):
        demand = retry_reserves.RetryDemand(
            TOLERANT,
            0.1,
            classes=frozenset((TOLERANT, priorities.Priority(3))),
        )
        reserves = retry_reserves.RetryReserves()
        for _ in range(8):
            reserves.record_request(URGENT, 0.1, 1, now=0.0)
        self.assertEqual(reserves.reserved_count(demand), 0.0)

    # Hedges took all retries while no urgent request was in the window.
    def test_hedges_leave_the_retries_of_a_configured_class(self):
        hedge = retry_reserves.RetryDemand(
            TOLERANT,
            0.1,
            retry_reserves.RetryKind.HEDGE,
            classes=self.CLASSES,
        )
        self.assertFalse(
            self.make_budget().may_acquire(SERVICE, 21.5, 98, hedge)
        )


class WithdrawalTest(unittest.TestCase):
    # A request served by a peer went on counting for the reserve.
    def test_withdrawn_request_leaves_no_class_behind(self):
        budget = fleet_retry_budgets.FleetRetryBudget(SETTINGS)
        budget.record_request(SERVICE, 0.0, URGENT, 0.1, 1)
        budget.record_request(SERVICE, 0.0, TOLERANT, 0.6, 1)
        budget.withdraw_request(SERVICE, URGENT)
        self.assertFalse(budget.reserves(SERVICE, 0.0).has_several_classes)
